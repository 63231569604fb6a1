// JSON values and a parser that takes a text in pieces, as it arrives from a connection. Depth is
// limited by Json::kMaxDepth; the size of a text is limited by who feeds it.
#ifndef PADDLESTILE_CONFIG_JSON_H_
#define PADDLESTILE_CONFIG_JSON_H_

#include <cstddef>
#include <cstdint>
#include <stdexcept>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace paddlestile {

// A text that is no JSON, or a value that is missing or of another type.
class JsonError : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

// A value; what it holds depends on its type, and the rest is empty or zero.
class Json {
 public:
  enum class Type {
    kNull,
    kBool,
    kNumber,
    kString,
    kArray,
    kObject
  };
  static constexpr size_t kMaxDepth = 32;  // of lists and objects within one another

  // The one value that a text holds. Throws JsonError.
  static Json Parse(std::string_view text);

  [[nodiscard]] Type type() const { return type_; }
  [[nodiscard]] bool boolean() const { return boolean_; }
  [[nodiscard]] double number() const { return number_; }
  // The characters of a string, or a number as it was written.
  [[nodiscard]] const std::string& text() const { return text_; }
  [[nodiscard]] const std::vector<Json>& items() const { return items_; }
  // The fields of an object in the order of the text.
  [[nodiscard]] const std::vector<std::pair<std::string, Json>>& fields() const { return fields_; }

  // The first field of an object with this name; null where there is none. Valid as long as the
  // object is not changed.
  [[nodiscard]] const Json* Find(std::string_view name) const;

  // A field that must be there and of this type. Throws JsonError with the field's name.
  [[nodiscard]] const Json& Require(std::string_view name, Type type) const;

 private:
  friend class JsonParser;

  Type type_ = Type::kNull;
  bool boolean_ = false;
  double number_ = 0;
  std::string text_;
  std::vector<Json> items_;
  std::vector<std::pair<std::string, Json>> fields_;
};

// Parses one value, a character at a time. Of no further use once it has thrown.
class JsonParser {
 public:
  // Takes the next piece of the text. Throws JsonError at the first byte that is wrong.
  void Feed(std::string_view piece);

  // Ends the text and returns its value. Throws JsonError where the value is incomplete.
  Json End();

  // Whether anything but white space was fed.
  [[nodiscard]] bool begun() const { return begun_; }
  // Whether an object or a list has not ended.
  [[nodiscard]] bool open() const { return !open_.empty(); }
  // Bytes fed.
  [[nodiscard]] size_t size() const { return size_; }

 private:
  // What the next character belongs to, or must begin.
  //
  //   state       expects                                  then
  //   kValue      a value                                  kAfter, or a state within the value
  //   kFirstItem  a value, or the end of an empty list     as kValue; kAfter
  //   kFirstName  a name, or the end of an empty object    kString; kAfter
  //   kName       a name                                   kString
  //   kNameEnd    the colon behind a name                  kValue
  //   kAfter      a comma, or the end of what is open      kName or kValue; kAfter or kDone
  //   kString     characters of a value or of a name       kAfter; kNameEnd; kEscape
  //   kEscape     what follows a backslash                 kString; kHex
  //   kHex        the four digits of a character           kString; kLow
  //   kLow        the backslash of the low surrogate       kLowU
  //   kLowU       its 'u'                                  kHex
  //   kNumber     characters of a number                   kAfter
  //   kWord       letters of true, false or null           kAfter
  //   kDone       nothing but white space
  enum class State {
    kValue,
    kFirstItem,
    kFirstName,
    kName,
    kNameEnd,
    kAfter,
    kString,
    kEscape,
    kHex,
    kLow,
    kLowU,
    kNumber,
    kWord,
    kDone
  };

  [[noreturn]] void Fail(std::string_view what) const;
  // Whether white space counts as a character of what is being parsed.
  [[nodiscard]] bool IsWithinToken() const;
  void Take(char c);
  void TakeExpected(char c, char expected, std::string_view fault, State next);
  void TakeSeparator(char c);
  void TakeInString(char c);
  void TakeInWord(char c);
  void TakeEscape(char c);
  void TakeHexDigit(char c);
  void Begin(char c);
  void BeginName(char c);
  void Open(Json::Type type);
  void Close(char c);
  void Complete(Json value);
  void EndOfString();
  void EndOfNumber();
  void AppendUtf8(uint32_t code);

  State state_ = State::kValue;
  std::vector<Json> open_;  // lists and objects that have not ended, the outermost first
  Json root_;
  std::string text_;      // of the string, number or word being parsed
  bool is_name_ = false;  // the string is a field's name
  uint32_t code_ = 0;     // of the escaped character being parsed
  uint32_t high_ = 0;     // the high surrogate before it; 0: none
  int digits_ = 0;        // of `code_` so far
  bool begun_ = false;
  size_t size_ = 0;
};

}  // namespace paddlestile

#endif  // PADDLESTILE_CONFIG_JSON_H_
