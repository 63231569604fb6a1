// Helpers that the decoders of raft/codec.cpp and cluster/codec.cpp share. Values come from other
// processes: a helper throws for a malformed one, and TryDecode() turns that into nothing.
#ifndef PADDLESTILE_RAFT_JSON_DECODING_H_
#define PADDLESTILE_RAFT_JSON_DECODING_H_

#include <cstdint>
#include <nlohmann/json.hpp>
#include <optional>
#include <stdexcept>

namespace paddlestile::raft {

// The enumerator with the number `value`. Throws std::invalid_argument if it is greater than
// `last`, and nlohmann::json::exception if it is no number.
template <typename Enum>
Enum DecodeEnum(const nlohmann::json& value, Enum last) {
  const auto number = value.get<uint8_t>();
  if (number > static_cast<uint8_t>(last)) {
    throw std::invalid_argument("no such kind");
  }
  return static_cast<Enum>(number);
}

// The result of `decode`, or nothing if it throws a std::exception.
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
