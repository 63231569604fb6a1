// JSON values, with limits on depth and size.
#ifndef PADDLESTILE_NET_JSON_H_
#define PADDLESTILE_NET_JSON_H_

#include <optional>
#include <stdexcept>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace paddlestile::net {

class JsonError : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

class Json {
 public:
  enum class Type { kNull, kBool, kNumber, kString, kArray, kObject };
  static constexpr int kMaxDepth = 32;

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
  [[nodiscard]] const Json& Need(std::string_view name, Type type) const;

 private:
  friend class JsonParser;
  Type type_ = Type::kNull;
  bool boolean_ = false;
  double number_ = 0;
  std::string text_;
  std::vector<Json> items_;
  std::vector<std::pair<std::string, Json>> fields_;
};

}  // namespace paddlestile::net

#endif  // PADDLESTILE_NET_JSON_H_
