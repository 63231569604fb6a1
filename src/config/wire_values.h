// Parses primitive values of the simulator's text protocol: fields between separators, numbers, and
// times in milliseconds. Events and settings use the same format.
#ifndef PADDLESTILE_CONFIG_WIRE_VALUES_H_
#define PADDLESTILE_CONFIG_WIRE_VALUES_H_

#include <charconv>
#include <cstdint>
#include <stdexcept>
#include <string>
#include <string_view>
#include <system_error>
#include <vector>

#include "balancer/load_balancer.h"

namespace paddlestile::wire {

// Views into a text that was split. The text must outlive them.
using Fields = std::vector<std::string_view>;

// Thrown for a value that cannot be parsed or is out of range. what() returns "bad NAME 'VALUE',
// expected ...".
class InvalidValue : public std::invalid_argument {
 public:
  // If `expected` is empty, what() ends with the value.
  InvalidValue(std::string_view name, std::string_view value, std::string_view expected = {});

  // Returns the name of the setting or protocol field.
  [[nodiscard]] const std::string& name() const { return name_; }

 private:
  std::string name_;
};

// Returns the pieces of `text` between separators. An empty text has one empty piece.
Fields Split(std::string_view text, char separator);

// Returns whether the text is "-", which means that the value is absent.
bool IsAbsent(std::string_view text);

// In the functions below, `name` is used only in the error.

// Parses a finite number. Throws InvalidValue.
double ParseNumber(std::string_view name, std::string_view text);

// Parses an integer that fits `Int`. Throws InvalidValue.
template <typename Int>
Int ParseInteger(std::string_view name, std::string_view text) {
  Int value = 0;
  const char* const text_end = text.data() + text.size();
  const auto [end, error] = std::from_chars(text.data(), text_end, value);
  if (error != std::errc() || end != text_end) {
    throw InvalidValue(name, text);
  }
  return value;
}

// Parses a position in a list, 0 to 1,000,000. Throws InvalidValue.
uint32_t ParseIndex(std::string_view name, std::string_view text);

// Parses a time or duration in milliseconds, which may have a fraction. Throws InvalidValue.
Duration ParseMillis(std::string_view name, std::string_view text);

}  // namespace paddlestile::wire

#endif  // PADDLESTILE_CONFIG_WIRE_VALUES_H_
