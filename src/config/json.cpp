#include "config/json.h"

#include <fmt/format.h>

#include <cctype>
#include <charconv>
#include <cmath>
#include <optional>

namespace paddlestile {
namespace {

bool IsSpace(char c) {
  return c == ' ' || c == '\t' || c == '\n' || c == '\r';
}
bool IsDigit(char c) {
  return c >= '0' && c <= '9';
}

// A number as JSON writes it, which is stricter than what from_chars takes.
std::optional<double> ToNumber(std::string_view text) {
  size_t at = 0;
  const auto digits = [&] {
    const size_t from = at;
    while (at < text.size() && IsDigit(text[at])) {
      ++at;
    }
    return at - from;
  };
  const auto is = [&](char c) {
    return at < text.size() && text[at] == c;
  };
  if (is('-')) {
    ++at;
  }
  const bool zero = is('0');
  const size_t whole = digits();
  if (whole == 0 || (zero && whole > 1)) {
    return std::nullopt;
  }
  if (is('.') && (++at, digits() == 0)) {
    return std::nullopt;
  }
  if (is('e') || is('E')) {
    ++at;
    if (is('+') || is('-')) {
      ++at;
    }
    if (digits() == 0) {
      return std::nullopt;
    }
  }
  double value = 0;
  const auto read = std::from_chars(text.data(), text.data() + text.size(), value);
  if (at != text.size() || read.ec != std::errc() || !std::isfinite(value)) {
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
    Take(c);
    ++size_;
  }
}

Json JsonParser::End() {
  if (state_ == State::kNumber) {
    EndOfNumber();
  }
  if (state_ != State::kDone) {
    Fail(begun_ ? "the text ends too soon" : "no value");
  }
  return std::move(root_);
}

void JsonParser::Take(char c) {
  if (state_ == State::kNumber) {
    if (IsDigit(c) || c == '.' || c == 'e' || c == 'E' || c == '+' || c == '-') {
      text_ += c;
      return;
    }
    EndOfNumber();  // and c is what follows it
  }
  const bool within = state_ == State::kString || state_ == State::kEscape ||
                      state_ == State::kHex || state_ == State::kLow || state_ == State::kLowU ||
                      state_ == State::kWord;
  if (!within && IsSpace(c)) {
    return;
  }
  begun_ = true;
  switch (state_) {
    case State::kValue:
      return Begin(c);
    case State::kFirstItem:
      return c == ']' ? Close(c) : Begin(c);
    case State::kFirstName:
      if (c == '}') {
        return Close(c);
      }
      [[fallthrough]];
    case State::kName:
      if (c != '"') {
        Fail("no name");
      }
      name_ = true;
      text_.clear();
      state_ = State::kString;
      return;
    case State::kNameEnd:
      if (c != ':') {
        Fail("no colon");
      }
      state_ = State::kValue;
      return;
    case State::kAfter:
      if (c != ',') {
        return Close(c);
      }
      state_ = open_.back().type_ == Json::Type::kObject ? State::kName : State::kValue;
      return;
    case State::kString:
      if (c == '"') {
        return EndOfString();
      }
      if (static_cast<unsigned char>(c) < 0x20) {
        Fail("control character in a string");
      }
      if (c == '\\') {
        state_ = State::kEscape;
      } else {
        text_ += c;
      }
      return;
    case State::kEscape:
      return Escape(c);
    case State::kHex:
      return Hex(c);
    case State::kLow:
      if (c != '\\') {
        Fail("half a character");
      }
      state_ = State::kLowU;
      return;
    case State::kLowU:
      if (c != 'u') {
        Fail("half a character");
      }
      state_ = State::kHex;
      code_ = 0;
      digits_ = 0;
      return;
    case State::kWord: {
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
      Fail("no value");
    }
    case State::kNumber:
      return;
    case State::kDone:
      Fail("more after the value");
  }
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
    name_ = false;
    state_ = State::kString;
  } else if (c == '-' || IsDigit(c)) {
    text_ = c;
    state_ = State::kNumber;
  } else if (c == 't' || c == 'f' || c == 'n') {
    text_ = c;
    state_ = State::kWord;
  } else {
    Fail("no value");
  }
}

void JsonParser::Open(Json::Type type) {
  if (open_.size() >= Json::kMaxDepth) {
    Fail("too deep");
  }
  open_.emplace_back().type_ = type;
  state_ = type == Json::Type::kObject ? State::kFirstName : State::kFirstItem;
}

void JsonParser::Close(char c) {
  const bool object = open_.back().type_ == Json::Type::kObject;
  if (c != (object ? '}' : ']')) {
    Fail(object ? "no end of an object" : "no end of a list");
  }
  Json value = std::move(open_.back());
  open_.pop_back();
  Complete(std::move(value));
}

void JsonParser::Complete(Json value) {
  if (open_.empty()) {
    root_ = std::move(value);
    state_ = State::kDone;
    return;
  }
  Json& in = open_.back();
  if (in.type_ == Json::Type::kObject) {
    in.fields_.back().second = std::move(value);
  } else {
    in.items_.push_back(std::move(value));
  }
  state_ = State::kAfter;
}

void JsonParser::EndOfString() {
  if (name_) {
    open_.back().fields_.emplace_back(std::move(text_), Json());
    state_ = State::kNameEnd;
    return;
  }
  Json value;
  value.type_ = Json::Type::kString;
  value.text_ = std::move(text_);
  Complete(std::move(value));
}

void JsonParser::EndOfNumber() {
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

void JsonParser::Escape(char c) {
  static constexpr std::string_view kFrom = "\"\\/bfnrt", kTo = "\"\\/\b\f\n\r\t";
  if (c == 'u') {
    state_ = State::kHex;
    code_ = high_ = 0;
    digits_ = 0;
    return;
  }
  const size_t place = kFrom.find(c);
  if (place == std::string_view::npos) {
    Fail("bad escape");
  }
  text_ += kTo[place];
  state_ = State::kString;
}

void JsonParser::Hex(char c) {
  if (std::isxdigit(static_cast<unsigned char>(c)) == 0) {
    Fail("bad escape");
  }
  code_ = code_ * 16 + static_cast<uint32_t>(IsDigit(c) ? c - '0' : (c | 0x20) - 'a' + 10);
  if (++digits_ < 4) {
    return;
  }
  const bool low = code_ >= 0xdc00 && code_ <= 0xdfff;
  if ((high_ != 0) != low) {
    Fail("half a character");
  }
  if (code_ >= 0xd800 && code_ < 0xdc00) {
    high_ = code_;
    state_ = State::kLow;
    return;
  }
  Add(low ? 0x10000 + ((high_ - 0xd800) << 10) + (code_ - 0xdc00) : code_);
  state_ = State::kString;
}

// As UTF-8.
void JsonParser::Add(uint32_t code) {
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
