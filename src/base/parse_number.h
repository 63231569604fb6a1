// Parsing of numbers.
#ifndef PADDLESTILE_BASE_PARSE_NUMBER_H_
#define PADDLESTILE_BASE_PARSE_NUMBER_H_

#include <cstdint>
#include <optional>
#include <string_view>

namespace paddlestile {

// Reads an unsigned integer of decimal digits. Nothing for any other text, and for numbers of more
// than 64 bits.
std::optional<uint64_t> ParseWholeNumber(std::string_view text);

}  // namespace paddlestile

#endif  // PADDLESTILE_BASE_PARSE_NUMBER_H_
