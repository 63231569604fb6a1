// Frames exchanged between members. Their size and nesting depth are limited, because they come
// from other processes. All numbers are little-endian:
//
//   plain      4 bytes  length of the value
//              ..       the value in CBOR
//
//   checked    4 bytes  length of the value, with the highest bit set
//              4 bytes  XXH32 of the four bytes before, seeded with the sequence number
//              8 bytes  XXH64 of the value's bytes, seeded with the sequence number
//              ..       the value in CBOR
//
// The sequence number counts the checked frames in one direction of a connection, starting at 0. It
// is not sent. If a frame was modified, truncated, repeated or lost in transit, its checksums or
// those of the next frame do not match. The two ends agree on checked frames in their introductions
// (peer/introduction.h).
#ifndef PADDLESTILE_PEER_FRAMING_H_
#define PADDLESTILE_PEER_FRAMING_H_

#include <cstddef>
#include <cstdint>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <string_view>

#include "event/buffer.h"

namespace paddlestile::peer {

// Maximum size of an encoded value, without the preceding length.
inline constexpr size_t kMaxFrameBytes = 8 << 20;
// Maximum nesting depth of arrays and objects in a value.
inline constexpr size_t kMaxDepth = 16;

// Returns the plain frame of a value, which must be within these limits.
std::string EncodeFrame(const nlohmann::json& value);

// Returns the value that `bytes` encode, or std::nullopt if they are malformed, nested deeper than
// kMaxDepth, or contain more than one value.
std::optional<nlohmann::json> DecodeValue(std::string_view bytes);

// Returns the checked frame of a value.
std::string EncodeCheckedFrame(const nlohmann::json& value, uint64_t sequence_number);

enum class FrameStatus {
  kIncomplete,       // more bytes are needed; the buffer is unchanged
  kComplete,         // the frame was taken off the buffer
  kMalformed,        // too large or not a valid value; the connection must be closed
  kChecksumMismatch  // differs from the frame that was sent; the connection must be closed
};

// Takes the next plain frame off `input` and stores its value in `value`, which is set only if the
// result is kComplete. A checked frame is treated as malformed.
FrameStatus TakeFrame(Buffer& input, nlohmann::json& value);
// Does the same for a checked frame. A plain frame is treated as a checksum mismatch.
FrameStatus TakeCheckedFrame(Buffer& input, uint64_t sequence_number, nlohmann::json& value);
// Whether `input` begins with the length of a checked frame.
bool BeginsWithCheckedFrame(const Buffer& input);

}  // namespace paddlestile::peer

#endif  // PADDLESTILE_PEER_FRAMING_H_
