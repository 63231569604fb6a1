// Primitive values of the simulator's text protocol: fields between separators, numbers, times in
// milliseconds. The events and the settings are written in the same form.
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

// Views into the text that was split; the text must outlive them.
using Fields = std::vector<std::string_view>;

// A value that cannot be parsed or is out of range. what(): "bad NAME 'VALUE', expected ...".
class InvalidValue : public std::invalid_argument {
 public:
  // `expected` may be empty: then the text ends with the value.
  InvalidValue(std::string_view name, std::string_view value, std::string_view expected = {});

  // The name of the setting or protocol field.
  [[nodiscard]] const std::string& name() const { return name_; }

 private:
  std::string name_;
};

// The pieces of `text` between separators; an empty text has one empty piece.
Fields Split(std::string_view text, char separator);

// Whether the text is the protocol's "-", which stands for a value that is not there.
bool IsAbsent(std::string_view text);

// A finite number. `name` is used in the error alone, here and below. Throws InvalidValue.
double ParseNumber(std::string_view name, std::string_view text);

// An integer that fits `Int`. Throws InvalidValue.
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

// A position in a list, 0 to 1,000,000. Throws InvalidValue.
uint32_t ParseIndex(std::string_view name, std::string_view text);

// A time or duration, written as milliseconds with a fraction. Throws InvalidValue.
Duration ParseMillis(std::string_view name, std::string_view text);

}  // namespace paddlestile::wire

#endif  // PADDLESTILE_CONFIG_WIRE_VALUES_H_
