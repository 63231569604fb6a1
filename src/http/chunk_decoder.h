// Decodes the chunked transfer coding of HTTP/1.1 incrementally and in place. Does no I/O.
#ifndef PADDLESTILE_HTTP_CHUNK_DECODER_H_
#define PADDLESTILE_HTTP_CHUNK_DECODER_H_

#include <cstddef>
#include <string_view>

#include "http/parse_progress.h"

namespace paddlestile {

//   state       | reads                              | next
//   ------------+------------------------------------+-----------------------------------
//   kSize       | hex digits of a chunk's size       | kExtension, kSizeEnd
//   kExtension  | anything up to CR, ignored         | kSizeEnd
//   kSizeEnd    | LF                                 | kData; kTrailer after the last chunk
//   kData       | content                            | kDataCr
//   kDataCr     | CR                                 | kDataLf
//   kDataLf     | LF                                 | kSize
//   kTrailer    | lines up to an empty one, ignored  | kDone
class ChunkDecoder {
 public:
  // Decodes `in` and writes the content to `out`, which may overlap `in` but must not start after
  // it. Adds the number of bytes read to `read` and the number of content bytes to `written`.
  // Returns kDone after the last chunk and its trailer; the bytes of `in` after them stay unread.
  ParseProgress Decode(std::string_view in, char* out, size_t& read, size_t& written);

 private:
  enum class State {
    kSize,
    kExtension,
    kSizeEnd,
    kData,
    kDataCr,
    kDataLf,
    kTrailer,
    kDone
  };
  // Each of these processes one character of the framing. Returns false if it is malformed.
  bool DecodeFraming(char c);
  bool DecodeSize(char c);
  bool DecodeExtension(char c);
  bool DecodeSizeEnd(char c);
  bool DecodeTrailer(char c);
  bool Expect(char c, char expected, State next);

  State state_ = State::kSize;
  size_t remaining_bytes_ = 0;  // content of the current chunk not yet read
  int size_digits_ = 0;         // digits read of the current chunk's size
  size_t trailer_bytes_ = 0;
  size_t line_bytes_ = 0;    // length so far of the current extension or trailer line
  char last_character_ = 0;  // last character read of the trailer
};

}  // namespace paddlestile

#endif  // PADDLESTILE_HTTP_CHUNK_DECODER_H_
