// Frames among members, bounded in size and depth, as they come from other processes. All numbers
// are little-endian:
//
//   plain      4 bytes  length of the value
//              ..       the value in CBOR
//
//   checked    4 bytes  length of the value, with the highest bit set
//              4 bytes  XXH32 of the four bytes before, seeded with the sequence number
//              8 bytes  XXH64 of the value's bytes, seeded with the sequence number
//              ..       the value in CBOR
//
// The sequence number counts the checked frames of one direction of a connection from 0 on and is
// not sent: a frame that was changed, cut, repeated or left out on the way does not match. The two
// ends agree on checked frames in their introductions (peer/introduction.h).
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

// Greatest size of a value, without the length before it.
inline constexpr size_t kMaxFrameBytes = 8 << 20;
// Greatest number of arrays and objects that a value nests.
inline constexpr size_t kMaxDepth = 16;

// The frame of a value, which must be within these bounds.
std::string EncodeFrame(const nlohmann::json& value);

// The value that `bytes` encode. Nothing if they are malformed, deeper than kMaxDepth, or more than
// one value.
std::optional<nlohmann::json> DecodeValue(std::string_view bytes);

// The checked frame of a value.
std::string EncodeCheckedFrame(const nlohmann::json& value, uint64_t sequence_number);

enum class FrameStatus {
  kIncomplete,       // more bytes are needed; the buffer is unchanged
  kComplete,         // the frame was taken off the buffer
  kMalformed,        // too large or not a valid value: the connection cannot go on
  kChecksumMismatch  // not the bytes that were sent: the connection cannot go on
};

// Takes the next plain frame off `input` and stores it in `value`, which is set only for
// kComplete. A checked frame is malformed here.
FrameStatus TakeFrame(Buffer& input, nlohmann::json& value);
// The same for a checked frame. A plain frame is a mismatch here.
FrameStatus TakeCheckedFrame(Buffer& input, uint64_t sequence_number, nlohmann::json& value);
// Whether `input` begins with the length of a checked frame.
bool BeginsWithCheckedFrame(const Buffer& input);

}  // namespace paddlestile::peer

#endif  // PADDLESTILE_PEER_FRAMING_H_
