#include "config/json.h"

#include <fmt/format.h>

#include <cctype>
#include <charconv>
#include <cmath>
#include <optional>

namespace paddlestile {
namespace {

constexpr unsigned char kFirstPrintable = 0x20;
constexpr int kHexDigitCount = 4;  // of a \u escape sequence

// A character above 16 bits is escaped as a UTF-16 high surrogate followed by a low surrogate.
constexpr uint32_t kFirstHighSurrogate = 0xd800;
constexpr uint32_t kFirstLowSurrogate = 0xdc00;
constexpr uint32_t kLastLowSurrogate = 0xdfff;
constexpr uint32_t kFirstSupplementary = 0x10000;

bool IsSpace(char c) {
  return c == ' ' || c == '\t' || c == '\n' || c == '\r';
}
bool IsDigit(char c) {
  return c >= '0' && c <= '9';
}

// Scans the parts of a number.
class NumberScanner {
 public:
  explicit NumberScanner(std::string_view text) : text_(text) {}

  [[nodiscard]] bool AtEnd() const { return position_ == text_.size(); }

  // Skips the next character if it is one of `characters`, and returns whether it did.
  bool Skip(std::string_view characters) {
    if (AtEnd() || characters.find(text_[position_]) == std::string_view::npos) {
      return false;
    }
    ++position_;
    return true;
  }

  // Skips digits and returns how many there were.
  size_t SkipDigits() {
    const size_t begin = position_;
    while (!AtEnd() && IsDigit(text_[position_])) {
      ++position_;
    }
    return position_ - begin;
  }

 private:
  std::string_view text_;
  size_t position_ = 0;
};

// Returns whether the text is a valid JSON number, which from_chars alone does not check.
bool IsJsonNumber(std::string_view text) {
  NumberScanner scanner(text);
  scanner.Skip("-");
  // A digit after a leading zero is not skipped, so AtEnd() is false and the text is invalid.
  if (!scanner.Skip("0") && scanner.SkipDigits() == 0) {
    return false;
  }
  if (scanner.Skip(".") && scanner.SkipDigits() == 0) {
    return false;
  }
  if (scanner.Skip("eE")) {
    scanner.Skip("+-");
    if (scanner.SkipDigits() == 0) {
      return false;
    }
  }
  return scanner.AtEnd();
}

std::optional<double> ToNumber(std::string_view text) {
  double value = 0;
  const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
  if (!IsJsonNumber(text) || error != std::errc() || !std::isfinite(value)) {
    return std::nullopt;
  }
  return value;
}

}  // namespace

// ---- Reading --------------------------------------------------------------------------------

void JsonParser::Fail(std::string_view what) const {
  throw JsonError(fmt::format("{} at byte {}", what, size_));
}

void JsonParser::Feed(std::string_view piece) {
  for (const char c : piece) {
    Consume(c);
    ++size_;
  }
}

Json JsonParser::End() {
  if (state_ == State::kNumber) {
    EndNumber();
  }
  if (state_ != State::kDone) {
    Fail(begun_ ? "unexpected end of text" : "no value");
  }
  return std::move(root_);
}

void JsonParser::Consume(char c) {
  if (state_ == State::kNumber) {
    if (IsDigit(c) || c == '.' || c == 'e' || c == 'E' || c == '+' || c == '-') {
      text_ += c;
      return;
    }
    EndNumber();  // c is the first character after the number
  }
  if (!IsWithinToken() && IsSpace(c)) {
    return;
  }
  begun_ = true;
  switch (state_) {
    case State::kValue:
      return Begin(c);
    case State::kFirstItem:
      return c == ']' ? Close(c) : Begin(c);
    case State::kFirstName:
      return c == '}' ? Close(c) : BeginName(c);
    case State::kName:
      return BeginName(c);
    case State::kNameEnd:
      return ConsumeExpected(c, ':', "missing ':'", State::kValue);
    case State::kAfter:
      return ConsumeSeparator(c);
    case State::kString:
      return ConsumeInString(c);
    case State::kEscape:
      return ConsumeEscape(c);
    case State::kHexDigits:
      return ConsumeHexDigit(c);
    case State::kLowSurrogate:
      return ConsumeExpected(c, '\\', "unpaired surrogate", State::kLowSurrogateU);
    case State::kLowSurrogateU:
      code_unit_ = 0;
      digit_count_ = 0;
      return ConsumeExpected(c, 'u', "unpaired surrogate", State::kHexDigits);
    case State::kLiteral:
      return ConsumeInLiteral(c);
    case State::kNumber:
      return;
    case State::kDone:
      Fail("unexpected text after the value");
  }
}

bool JsonParser::IsWithinToken() const {
  switch (state_) {
    case State::kString:
    case State::kEscape:
    case State::kHexDigits:
    case State::kLowSurrogate:
    case State::kLowSurrogateU:
    case State::kLiteral:
      return true;
    default:
      return false;
  }
}

void JsonParser::ConsumeExpected(char c, char expected, std::string_view fault, State next) {
  if (c != expected) {
    Fail(fault);
  }
  state_ = next;
}

void JsonParser::ConsumeSeparator(char c) {
  if (c != ',') {
    return Close(c);
  }
  state_ = open_containers_.back().type_ == Json::Type::kObject ? State::kName : State::kValue;
}

void JsonParser::ConsumeInString(char c) {
  if (c == '"') {
    return EndString();
  }
  if (static_cast<unsigned char>(c) < kFirstPrintable) {
    Fail("unescaped control character in a string");
  }
  if (c == '\\') {
    state_ = State::kEscape;
  } else {
    text_ += c;
  }
}

void JsonParser::ConsumeInLiteral(char c) {
  text_ += c;
  for (const std::string_view word : {"true", "false", "null"}) {
    if (!word.starts_with(text_)) {
      continue;
    }
    if (word.size() > text_.size()) {
      return;
    }
    Json value;
    value.type_ = word == "null" ? Json::Type::kNull : Json::Type::kBool;
    value.boolean_ = word == "true";
    return Complete(std::move(value));
  }
  Fail("invalid value");
}

void JsonParser::BeginName(char c) {
  if (c != '"') {
    Fail("missing name");
  }
  is_name_ = true;
  text_.clear();
  state_ = State::kString;
}

void JsonParser::Begin(char c) {
  text_.clear();
  if (c == '{') {
    return Open(Json::Type::kObject);
  }
  if (c == '[') {
    return Open(Json::Type::kArray);
  }
  if (c == '"') {
    is_name_ = false;
    state_ = State::kString;
  } else if (c == '-' || IsDigit(c)) {
    text_ = c;
    state_ = State::kNumber;
  } else if (c == 't' || c == 'f' || c == 'n') {
    text_ = c;
    state_ = State::kLiteral;
  } else {
    Fail("invalid value");
  }
}

void JsonParser::Open(Json::Type type) {
  if (open_containers_.size() >= Json::kMaxDepth) {
    Fail("too deep");
  }
  open_containers_.emplace_back().type_ = type;
  state_ = type == Json::Type::kObject ? State::kFirstName : State::kFirstItem;
}

void JsonParser::Close(char c) {
  const bool is_object = open_containers_.back().type_ == Json::Type::kObject;
  if (c != (is_object ? '}' : ']')) {
    Fail(is_object ? "missing ',' or '}'" : "missing ',' or ']'");
  }
  Json value = std::move(open_containers_.back());
  open_containers_.pop_back();
  Complete(std::move(value));
}

void JsonParser::Complete(Json value) {
  if (open_containers_.empty()) {
    root_ = std::move(value);
    state_ = State::kDone;
    return;
  }
  Json& parent = open_containers_.back();
  if (parent.type_ == Json::Type::kObject) {
    parent.fields_.back().second = std::move(value);
  } else {
    parent.items_.push_back(std::move(value));
  }
  state_ = State::kAfter;
}

void JsonParser::EndString() {
  if (is_name_) {
    open_containers_.back().fields_.emplace_back(std::move(text_), Json());
    state_ = State::kNameEnd;
    return;
  }
  Json value;
  value.type_ = Json::Type::kString;
  value.text_ = std::move(text_);
  Complete(std::move(value));
}

void JsonParser::EndNumber() {
  const auto number = ToNumber(text_);
  if (!number) {
    Fail("no number");
  }
  Json value;
  value.type_ = Json::Type::kNumber;
  value.number_ = *number;
  value.text_ = std::move(text_);
  Complete(std::move(value));
}

void JsonParser::ConsumeEscape(char c) {
  static constexpr std::string_view kEscapes = "\"\\/bfnrt";
  static constexpr std::string_view kCharacters = "\"\\/\b\f\n\r\t";
  if (c == 'u') {
    state_ = State::kHexDigits;
    code_unit_ = 0;
    high_surrogate_ = 0;
    digit_count_ = 0;
    return;
  }
  const size_t index = kEscapes.find(c);
  if (index == std::string_view::npos) {
    Fail("invalid escape");
  }
  text_ += kCharacters[index];
  state_ = State::kString;
}

void JsonParser::ConsumeHexDigit(char c) {
  if (std::isxdigit(static_cast<unsigned char>(c)) == 0) {
    Fail("invalid escape");
  }
  code_unit_ =
      code_unit_ * 16 + static_cast<uint32_t>(IsDigit(c) ? c - '0' : (c | 0x20) - 'a' + 10);
  ++digit_count_;
  if (digit_count_ < kHexDigitCount) {
    return;
  }
  const bool is_low = code_unit_ >= kFirstLowSurrogate && code_unit_ <= kLastLowSurrogate;
  if ((high_surrogate_ != 0) != is_low) {
    Fail("unpaired surrogate");
  }
  if (code_unit_ >= kFirstHighSurrogate && code_unit_ < kFirstLowSurrogate) {
    high_surrogate_ = code_unit_;
    state_ = State::kLowSurrogate;
    return;
  }
  const uint32_t pair = kFirstSupplementary + ((high_surrogate_ - kFirstHighSurrogate) << 10) +
                        (code_unit_ - kFirstLowSurrogate);
  AppendUtf8(is_low ? pair : code_unit_);
  state_ = State::kString;
}

void JsonParser::AppendUtf8(uint32_t code) {
  const auto add = [&](uint32_t byte) {
    text_ += static_cast<char>(byte);
  };
  if (code < 0x80) {
    return add(code);
  }
  if (code < 0x800) {
    add(0xc0 | code >> 6);
  } else if (code < 0x10000) {
    add(0xe0 | code >> 12);
    add(0x80 | (code >> 6 & 0x3f));
  } else {
    add(0xf0 | code >> 18);
    add(0x80 | (code >> 12 & 0x3f));
    add(0x80 | (code >> 6 & 0x3f));
  }
  add(0x80 | (code & 0x3f));
}

// ---- Values ---------------------------------------------------------------------------------

Json Json::Parse(std::string_view text) {
  JsonParser parser;
  parser.Feed(text);
  return parser.End();
}

const Json* Json::Find(std::string_view name) const {
  for (const auto& [key, value] : fields_) {
    if (key == name) {
      return &value;
    }
  }
  return nullptr;
}

const Json& Json::Require(std::string_view name, Type type) const {
  const Json* const value = Find(name);
  if (value == nullptr) {
    throw JsonError(fmt::format("'{}' is missing", name));
  }
  if (value->type() != type) {
    throw JsonError(fmt::format("'{}' is of the wrong type", name));
  }
  return *value;
}

}  // namespace paddlestile
