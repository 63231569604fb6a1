// What a link carries: a length of four bytes (little-endian), then one CBOR value of
// nlohmann-json; bounded in bytes and depth.
#ifndef PADDLESTILE_PEER_FRAMING_H_
#define PADDLESTILE_PEER_FRAMING_H_

#include <cstddef>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <string_view>

#include "event/buffer.h"

namespace paddlestile::peer {

inline constexpr size_t kMaxFrameBytes = 8 << 20;  // bytes of a value
inline constexpr size_t kMaxDepth = 16;

std::string EncodeFrame(const nlohmann::json& value);

// A value of these bytes; nothing where they are none, deeper than allowed, or more than one.
std::optional<nlohmann::json> DecodeValue(std::string_view bytes);

enum class FrameStatus {
  kIncomplete,
  kComplete,
  kMalformed
};
// Takes the next frame off the buffer, if all of it is there.
FrameStatus TakeFrame(Buffer& in, nlohmann::json& value);

}  // namespace paddlestile::peer

#endif  // PADDLESTILE_PEER_FRAMING_H_
