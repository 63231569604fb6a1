// Parsing of numbers.
#ifndef PADDLESTILE_BASE_PARSE_NUMBER_H_
#define PADDLESTILE_BASE_PARSE_NUMBER_H_

#include <cstdint>
#include <optional>
#include <string_view>

namespace paddlestile {

// Parses an unsigned decimal integer. Returns nullopt for any other text, and for values that do
// not fit in 64 bits.
std::optional<uint64_t> ParseWholeNumber(std::string_view text);

}  // namespace paddlestile

#endif  // PADDLESTILE_BASE_PARSE_NUMBER_H_
