#include "config/json.h"

#include <fmt/format.h>

#include <cctype>
#include <charconv>
#include <cmath>
#include <optional>

namespace paddlestile {
namespace {

constexpr unsigned char kFirstPrintable = 0x20;
constexpr int kHexDigits = 4;  // of an escaped character

// UTF-16's surrogates: a character beyond 16 bits is escaped as a high one and a low one.
constexpr uint32_t kHighSurrogates = 0xd800;
constexpr uint32_t kLowSurrogates = 0xdc00;
constexpr uint32_t kLastLowSurrogate = 0xdfff;
constexpr uint32_t kFirstInPair = 0x10000;

bool IsSpace(char c) {
  return c == ' ' || c == '\t' || c == '\n' || c == '\r';
}
bool IsDigit(char c) {
  return c >= '0' && c <= '9';
}

// Steps over the parts of a number.
class NumberScanner {
 public:
  explicit NumberScanner(std::string_view text) : text_(text) {}

  [[nodiscard]] bool AtEnd() const { return at_ == text_.size(); }

  // Steps over the next character if it is one of `characters`.
  bool Skip(std::string_view characters) {
    if (AtEnd() || characters.find(text_[at_]) == std::string_view::npos) {
      return false;
    }
    ++at_;
    return true;
  }

  // Steps over digits and returns how many there were.
  size_t SkipDigits() {
    const size_t begin = at_;
    while (!AtEnd() && IsDigit(text_[at_])) {
      ++at_;
    }
    return at_ - begin;
  }

 private:
  std::string_view text_;
  size_t at_ = 0;
};

// Whether the text is a number in JSON's form, which is stricter than that of from_chars.
bool IsJsonNumber(std::string_view text) {
  NumberScanner scanner(text);
  scanner.Skip("-");
  // A digit behind a leading zero is left over at the end, which makes the text invalid.
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
      return TakeExpected(c, ':', "no colon", State::kValue);
    case State::kAfter:
      return TakeSeparator(c);
    case State::kString:
      return TakeInString(c);
    case State::kEscape:
      return TakeEscape(c);
    case State::kHex:
      return TakeHexDigit(c);
    case State::kLow:
      return TakeExpected(c, '\\', "half a character", State::kLowU);
    case State::kLowU:
      code_ = 0;
      digits_ = 0;
      return TakeExpected(c, 'u', "half a character", State::kHex);
    case State::kWord:
      return TakeInWord(c);
    case State::kNumber:
      return;
    case State::kDone:
      Fail("more after the value");
  }
}

bool JsonParser::IsWithinToken() const {
  switch (state_) {
    case State::kString:
    case State::kEscape:
    case State::kHex:
    case State::kLow:
    case State::kLowU:
    case State::kWord:
      return true;
    default:
      return false;
  }
}

void JsonParser::TakeExpected(char c, char expected, std::string_view fault, State next) {
  if (c != expected) {
    Fail(fault);
  }
  state_ = next;
}

void JsonParser::TakeSeparator(char c) {
  if (c != ',') {
    return Close(c);
  }
  state_ = open_.back().type_ == Json::Type::kObject ? State::kName : State::kValue;
}

void JsonParser::TakeInString(char c) {
  if (c == '"') {
    return EndOfString();
  }
  if (static_cast<unsigned char>(c) < kFirstPrintable) {
    Fail("control character in a string");
  }
  if (c == '\\') {
    state_ = State::kEscape;
  } else {
    text_ += c;
  }
}

void JsonParser::TakeInWord(char c) {
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

void JsonParser::BeginName(char c) {
  if (c != '"') {
    Fail("no name");
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
  const bool is_object = open_.back().type_ == Json::Type::kObject;
  if (c != (is_object ? '}' : ']')) {
    Fail(is_object ? "no end of an object" : "no end of a list");
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
  Json& parent = open_.back();
  if (parent.type_ == Json::Type::kObject) {
    parent.fields_.back().second = std::move(value);
  } else {
    parent.items_.push_back(std::move(value));
  }
  state_ = State::kAfter;
}

void JsonParser::EndOfString() {
  if (is_name_) {
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

void JsonParser::TakeEscape(char c) {
  static constexpr std::string_view kEscapes = "\"\\/bfnrt";
  static constexpr std::string_view kCharacters = "\"\\/\b\f\n\r\t";
  if (c == 'u') {
    state_ = State::kHex;
    code_ = 0;
    high_ = 0;
    digits_ = 0;
    return;
  }
  const size_t index = kEscapes.find(c);
  if (index == std::string_view::npos) {
    Fail("bad escape");
  }
  text_ += kCharacters[index];
  state_ = State::kString;
}

void JsonParser::TakeHexDigit(char c) {
  if (std::isxdigit(static_cast<unsigned char>(c)) == 0) {
    Fail("bad escape");
  }
  code_ = code_ * 16 + static_cast<uint32_t>(IsDigit(c) ? c - '0' : (c | 0x20) - 'a' + 10);
  ++digits_;
  if (digits_ < kHexDigits) {
    return;
  }
  const bool is_low = code_ >= kLowSurrogates && code_ <= kLastLowSurrogate;
  if ((high_ != 0) != is_low) {
    Fail("half a character");
  }
  if (code_ >= kHighSurrogates && code_ < kLowSurrogates) {
    high_ = code_;
    state_ = State::kLow;
    return;
  }
  const uint32_t pair = kFirstInPair + ((high_ - kHighSurrogates) << 10) + (code_ - kLowSurrogates);
  AppendUtf8(is_low ? pair : code_);
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
