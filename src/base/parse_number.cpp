#include "base/parse_number.h"

#include <cctype>
#include <charconv>

namespace paddlestile {

std::optional<uint64_t> ParseWholeNumber(std::string_view text) {
  uint64_t value = 0;
  if (text.empty() || !std::isdigit(static_cast<unsigned char>(text[0]))) {
    return std::nullopt;
  }
  const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
  if (error != std::errc() || end != text.data() + text.size()) {
    return std::nullopt;
  }
  return value;
}

}  // namespace paddlestile
