// JSON values, and a parser that accepts a text in pieces, as it arrives on a connection. The
// nesting depth is limited by Json::kMaxDepth; the caller must limit the size of a text.
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

// Thrown for a text that is not valid JSON, and for a value that is missing or of the wrong type.
class JsonError : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

// A JSON value. Accessors that do not apply to its type return an empty or zero value.
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
  static constexpr size_t kMaxDepth = 32;  // of nested arrays and objects

  // Parses a text that contains exactly one value. Throws JsonError.
  static Json Parse(std::string_view text);

  [[nodiscard]] Type type() const { return type_; }
  [[nodiscard]] bool boolean() const { return boolean_; }
  [[nodiscard]] double number() const { return number_; }
  // Returns the characters of a string, or a number as it is written in the text.
  [[nodiscard]] const std::string& text() const { return text_; }
  [[nodiscard]] const std::vector<Json>& items() const { return items_; }
  // Returns the fields of an object in the order of the text.
  [[nodiscard]] const std::vector<std::pair<std::string, Json>>& fields() const { return fields_; }

  // Returns the first field of an object with this name, or null if there is none. The pointer is
  // valid as long as the object is not changed.
  [[nodiscard]] const Json* Find(std::string_view name) const;

  // Returns the field with this name. Throws JsonError with the name if the field is missing or of
  // another type.
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

// An incremental parser for one value. Must not be used any more after it has thrown.
class JsonParser {
 public:
  // Parses the next piece of the text. Throws JsonError at the first invalid byte.
  void Feed(std::string_view piece);

  // Ends the text and returns its value. Throws JsonError if the value is incomplete.
  Json End();

  // Returns whether anything but white space has been fed.
  [[nodiscard]] bool begun() const { return begun_; }
  // Returns whether an object or an array has begun and not ended.
  [[nodiscard]] bool open() const { return !open_containers_.empty(); }
  // Returns the number of bytes parsed.
  [[nodiscard]] size_t size() const { return size_; }

 private:
  // The parser's state: what the next character must be or belong to.
  //
  //   state           expects                                    next state
  //   kValue          a value                                    kAfter, or one within the value
  //   kFirstItem      a value, or the end of an empty array      as kValue; kAfter
  //   kFirstName      a name, or the end of an empty object      kString; kAfter
  //   kName           a name                                     kString
  //   kNameEnd        the colon after a name                     kValue
  //   kAfter          a comma, or the end of an array or object  kName or kValue; kAfter or kDone
  //   kString         characters of a string or a name           kAfter; kNameEnd; kEscape
  //   kEscape         the character after a backslash            kString; kHexDigits
  //   kHexDigits      the four digits of a UTF-16 code unit      kString; kLowSurrogate
  //   kLowSurrogate   the backslash of the low surrogate         kLowSurrogateU
  //   kLowSurrogateU  the 'u' of the low surrogate               kHexDigits
  //   kNumber         characters of a number                     kAfter
  //   kLiteral        letters of true, false or null             kAfter
  //   kDone           nothing but white space
  enum class State {
    kValue,
    kFirstItem,
    kFirstName,
    kName,
    kNameEnd,
    kAfter,
    kString,
    kEscape,
    kHexDigits,
    kLowSurrogate,
    kLowSurrogateU,
    kNumber,
    kLiteral,
    kDone
  };

  [[noreturn]] void Fail(std::string_view what) const;
  // Returns whether the next character belongs to the current token even if it is white space.
  [[nodiscard]] bool IsWithinToken() const;
  void Consume(char c);
  void ConsumeExpected(char c, char expected, std::string_view fault, State next);
  void ConsumeSeparator(char c);
  void ConsumeInString(char c);
  void ConsumeInLiteral(char c);
  void ConsumeEscape(char c);
  void ConsumeHexDigit(char c);
  void Begin(char c);
  void BeginName(char c);
  void Open(Json::Type type);
  void Close(char c);
  void Complete(Json value);
  void EndString();
  void EndNumber();
  void AppendUtf8(uint32_t code);

  State state_ = State::kValue;
  std::vector<Json> open_containers_;  // arrays and objects that have not ended, outermost first
  Json root_;
  std::string text_;             // of the string, number or literal being parsed
  bool is_name_ = false;         // the string being parsed is a field's name
  uint32_t code_unit_ = 0;       // of the escape sequence being parsed
  uint32_t high_surrogate_ = 0;  // the code unit before, if that is a high surrogate; else 0
  int digit_count_ = 0;          // digits of code_unit_ parsed so far
  bool begun_ = false;
  size_t size_ = 0;
};

}  // namespace paddlestile

#endif  // PADDLESTILE_CONFIG_JSON_H_
