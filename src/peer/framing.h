// Frames among members: the length of a value in four bytes (little-endian), then the value in
// CBOR. Bounded in size and depth, as frames come from other processes.
#ifndef PADDLESTILE_PEER_FRAMING_H_
#define PADDLESTILE_PEER_FRAMING_H_

#include <cstddef>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <string_view>

#include "event/buffer.h"

namespace paddlestile::peer {

// Greatest size of a value, without the length before it.
inline constexpr size_t kMaxFrameBytes = 8 << 20;
// Greatest number of arrays and objects that a value nests.
inline constexpr size_t kMaxDepth = 16;

// The frame of a value, which must be within these bounds.
std::string EncodeFrame(const nlohmann::json& value);

// The value that `bytes` encode. Nothing if they are malformed, deeper than kMaxDepth, or more than
// one value.
std::optional<nlohmann::json> DecodeValue(std::string_view bytes);

enum class FrameStatus {
  kIncomplete,  // more bytes are needed; the buffer is unchanged
  kComplete,    // the frame was taken off the buffer
  kMalformed    // too large or not a valid value: the connection cannot go on
};

// Takes the next frame off `input` and stores it in `value`, which is set only for kComplete.
FrameStatus TakeFrame(Buffer& input, nlohmann::json& value);

}  // namespace paddlestile::peer

#endif  // PADDLESTILE_PEER_FRAMING_H_
