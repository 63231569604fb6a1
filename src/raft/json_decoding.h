// Helpers shared by the decoders in raft/codec.cpp and cluster/codec.cpp. The values come from
// other processes: a helper throws if its value is malformed, and TryDecode() converts the
// exception to std::nullopt.
#ifndef PADDLESTILE_RAFT_JSON_DECODING_H_
#define PADDLESTILE_RAFT_JSON_DECODING_H_

#include <cstdint>
#include <nlohmann/json.hpp>
#include <optional>
#include <stdexcept>

namespace paddlestile::raft {

// Returns the enumerator whose numeric value is `value`. Throws std::invalid_argument if it is
// greater than `last`, and nlohmann::json::exception if `value` is not a number.
template <typename Enum>
Enum DecodeEnum(const nlohmann::json& value, Enum last) {
  const auto number = value.get<uint8_t>();
  if (number > static_cast<uint8_t>(last)) {
    throw std::invalid_argument("unknown enumerator");
  }
  return static_cast<Enum>(number);
}

// Returns the result of `decode`, or std::nullopt if it throws a std::exception.
template <typename Decode>
auto TryDecode(Decode&& decode) -> std::optional<decltype(decode())> {
  try {
    return decode();
  } catch (const std::exception&) {
    return std::nullopt;
  }
}

}  // namespace paddlestile::raft

#endif  // PADDLESTILE_RAFT_JSON_DECODING_H_
