#include "net/json.h"

#include <fmt/format.h>

#include <charconv>
#include <cmath>
#include <cstdint>

namespace paddlestile::net {

class JsonParser {
 public:
  explicit JsonParser(std::string_view text) : text_(text) {}

  Json Whole() {
    Json value = Value(0);
    Space();
    if (at_ != text_.size()) Fail("more after the value");
    return value;
  }

 private:
  [[noreturn]] void Fail(std::string_view what) const {
    throw JsonError(fmt::format("{} at byte {}", what, at_));
  }
  [[nodiscard]] char Peek() const { return at_ < text_.size() ? text_[at_] : '\0'; }
  void Space() {
    while (Peek() == ' ' || Peek() == '\t' || Peek() == '\n' || Peek() == '\r') ++at_;
  }
  bool Take(char c) {
    if (at_ >= text_.size() || text_[at_] != c) return false;
    ++at_;
    return true;
  }
  void Word(std::string_view word) {
    if (text_.substr(at_, word.size()) != word) Fail("no value");
    at_ += word.size();
  }

  Json Value(int depth) {
    if (depth > Json::kMaxDepth) Fail("too deep");
    Space();
    Json value;
    switch (Peek()) {
      case '{': Object(value, depth); break;
      case '[': Array(value, depth); break;
      case '"':
        value.type_ = Json::Type::kString;
        value.text_ = String();
        break;
      case 't':
      case 'f':
        value.type_ = Json::Type::kBool;
        value.boolean_ = Peek() == 't';
        Word(value.boolean_ ? "true" : "false");
        break;
      case 'n': Word("null"); break;
      default: Number(value);
    }
    return value;
  }

  void Object(Json& value, int depth) {
    value.type_ = Json::Type::kObject;
    ++at_;
    Space();
    if (Take('}')) return;
    do {
      Space();
      std::string name = String();
      Space();
      if (!Take(':')) Fail("no colon");
      value.fields_.emplace_back(std::move(name), Value(depth + 1));
      Space();
    } while (Take(','));
    if (!Take('}')) Fail("no end of an object");
  }

  void Array(Json& value, int depth) {
    value.type_ = Json::Type::kArray;
    ++at_;
    Space();
    if (Take(']')) return;
    do {
      value.items_.push_back(Value(depth + 1));
      Space();
    } while (Take(','));
    if (!Take(']')) Fail("no end of a list");
  }

  size_t Digits() {
    const size_t from = at_;
    while (Peek() >= '0' && Peek() <= '9') ++at_;
    return at_ - from;
  }

  void Number(Json& value) {
    const size_t from = at_;
    Take('-');
    const bool zero = Peek() == '0';
    const size_t digits = Digits();
    if (digits == 0 || (zero && digits > 1)) Fail("no value");
    if (Take('.') && Digits() == 0) Fail("no digits after the point");
    if (Peek() == 'e' || Peek() == 'E') {
      ++at_;
      if (Peek() == '+' || Peek() == '-') ++at_;
      if (Digits() == 0) Fail("no exponent");
    }
    value.type_ = Json::Type::kNumber;
    value.text_ = text_.substr(from, at_ - from);
    const char* const end = value.text_.data() + value.text_.size();
    const auto result = std::from_chars(value.text_.data(), end, value.number_);
    if (result.ec != std::errc() || !std::isfinite(value.number_)) Fail("number out of range");
  }

  uint32_t Hex4() {
    uint32_t code = 0;
    const std::string_view digits = text_.substr(std::min(at_, text_.size()), 4);
    const auto [end, ec] = std::from_chars(digits.data(), digits.data() + digits.size(), code, 16);
    if (digits.size() != 4 || ec != std::errc() || end != digits.data() + 4) Fail("bad escape");
    at_ += 4;
    return code;
  }

  void Escape(std::string& out) {
    static constexpr std::string_view kFrom = "\"\\/bfnrt", kTo = "\"\\/\b\f\n\r\t";
    const char c = Peek();
    ++at_;
    if (const size_t place = kFrom.find(c); c != '\0' && place != std::string_view::npos) {
      out += kTo[place];
      return;
    }
    if (c != 'u') Fail("bad escape");
    uint32_t code = Hex4();
    if (code >= 0xd800 && code < 0xdc00) {
      if (!Take('\\') || !Take('u')) Fail("half a character");
      const uint32_t low = Hex4();
      if (low < 0xdc00 || low > 0xdfff) Fail("half a character");
      code = 0x10000 + ((code - 0xd800) << 10) + (low - 0xdc00);
    } else if (code >= 0xdc00 && code <= 0xdfff) {
      Fail("half a character");
    }
    const auto add = [&](uint32_t byte) { out += static_cast<char>(byte); };
    if (code < 0x80) {
      add(code);
    } else if (code < 0x800) {
      add(0xc0 | code >> 6), add(0x80 | (code & 0x3f));
    } else if (code < 0x10000) {
      add(0xe0 | code >> 12), add(0x80 | (code >> 6 & 0x3f)), add(0x80 | (code & 0x3f));
    } else {
      add(0xf0 | code >> 18), add(0x80 | (code >> 12 & 0x3f)), add(0x80 | (code >> 6 & 0x3f)),
          add(0x80 | (code & 0x3f));
    }
  }

  std::string String() {
    if (!Take('"')) Fail("no string");
    std::string out;
    while (true) {
      if (at_ >= text_.size()) Fail("no end of a string");
      const char c = text_[at_++];
      if (c == '"') return out;
      if (static_cast<unsigned char>(c) < 0x20) Fail("control character in a string");
      if (c == '\\') {
        Escape(out);
      } else {
        out += c;
      }
    }
  }

  std::string_view text_;
  size_t at_ = 0;
};

Json Json::Parse(std::string_view text) { return JsonParser(text).Whole(); }

const Json* Json::Find(std::string_view name) const {
  for (const auto& [key, value] : fields_) {
    if (key == name) return &value;
  }
  return nullptr;
}

const Json& Json::Need(std::string_view name, Type type) const {
  const Json* const value = Find(name);
  if (value == nullptr) throw JsonError(fmt::format("'{}' is missing", name));
  if (value->type() != type) throw JsonError(fmt::format("'{}' is of the wrong type", name));
  return *value;
}

}  // namespace paddlestile::net
