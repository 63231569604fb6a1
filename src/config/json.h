// JSON values, read a piece at a time if need be, with limits on depth and size.
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

class JsonError : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

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
  static constexpr size_t kMaxDepth = 32;

  // The one value that a text holds; throws JsonError.
  static Json Parse(std::string_view text);

  [[nodiscard]] Type type() const { return type_; }
  [[nodiscard]] bool boolean() const { return boolean_; }
  [[nodiscard]] double number() const { return number_; }
  // Of a string its characters, of a number its text as it stood.
  [[nodiscard]] const std::string& text() const { return text_; }
  [[nodiscard]] const std::vector<Json>& items() const { return items_; }
  [[nodiscard]] const std::vector<std::pair<std::string, Json>>& fields() const { return fields_; }

  // A field of an object; null where there is none.
  [[nodiscard]] const Json* Find(std::string_view name) const;
  // A field that must be there and of this type; throws JsonError, naming it.
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

class JsonParser {
 public:
  // Goes on with the next piece of the text; throws JsonError at the first byte that is wrong, and
  // is of no use after that.
  void Feed(std::string_view piece);
  // The text is over: its value. Throws JsonError where it is not whole.
  Json End();

  // Whether anything but white space has come.
  [[nodiscard]] bool begun() const { return begun_; }
  // Whether an object or a list is not ended.
  [[nodiscard]] bool open() const { return !open_.empty(); }
  [[nodiscard]] size_t size() const { return size_; }  // bytes fed

 private:
  enum class State {
    kValue,      // a value is due
    kFirstItem,  // or the end of an empty list
    kFirstName,  // or the end of an empty object
    kName,       // a name is due
    kNameEnd,    // a colon is due
    kAfter,      // a comma or an end is due
    kString,     // within a value's or a name's quotes
    kEscape,     // behind a backslash
    kHex,        // within the four digits
    kLow,        // the backslash of a character's second half is due
    kLowU,       // its 'u'
    kNumber,
    kWord,
    kDone
  };
  [[noreturn]] void Fail(std::string_view what) const;
  void Take(char c);
  void Begin(char c);
  void Open(Json::Type type);
  void Close(char c);
  void Complete(Json value);
  void EndOfString();
  void EndOfNumber();
  void Escape(char c);
  void Hex(char c);
  void Add(uint32_t code);

  State state_ = State::kValue;
  std::vector<Json> open_;  // lists and objects not yet ended, the outermost first
  Json root_;
  std::string text_;   // of the string, number or word at work
  bool name_ = false;  // the string is a field's name
  uint32_t code_ = 0, high_ = 0;
  int digits_ = 0;
  bool begun_ = false;
  size_t size_ = 0;
};

}  // namespace paddlestile

#endif  // PADDLESTILE_CONFIG_JSON_H_
