// Reading numbers out of text.
#ifndef PADDLESTILE_BASE_PARSE_NUMBER_H_
#define PADDLESTILE_BASE_PARSE_NUMBER_H_

#include <cstdint>
#include <optional>
#include <string_view>

namespace paddlestile {

// A whole number of decimal digits and nothing else; nothing for any other text, and for a number
// past 64 bits.
std::optional<uint64_t> ParseWholeNumber(std::string_view text);

}  // namespace paddlestile

#endif  // PADDLESTILE_BASE_PARSE_NUMBER_H_
