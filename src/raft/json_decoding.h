// What the decoders of raft/codec.cpp and cluster/codec.cpp share. Values come from other
// processes: each helper throws where one makes no sense, and TryDecode turns that into nothing.
#ifndef PADDLESTILE_RAFT_JSON_DECODING_H_
#define PADDLESTILE_RAFT_JSON_DECODING_H_

#include <cstdint>
#include <nlohmann/json.hpp>
#include <optional>
#include <stdexcept>

namespace paddlestile::raft {

// The enumerator with this number. Throws std::invalid_argument past `last`.
template <typename Enum>
Enum DecodeEnum(const nlohmann::json& value, Enum last) {
  const auto number = value.get<uint8_t>();
  if (number > static_cast<uint8_t>(last)) {
    throw std::invalid_argument("no such kind");
  }
  return static_cast<Enum>(number);
}

// What `decode` returns, or nothing where it throws.
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
