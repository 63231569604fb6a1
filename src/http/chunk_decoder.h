// Decodes the chunked transfer coding of HTTP/1.1, in place and incrementally. No I/O.
#ifndef PADDLESTILE_HTTP_CHUNK_DECODER_H_
#define PADDLESTILE_HTTP_CHUNK_DECODER_H_

#include <cstddef>
#include <string_view>

#include "http/parse_progress.h"

namespace paddlestile {

//   state       | reads                              | next
//   ------------+------------------------------------+-----------------------------------
//   kSize       | hex digits of a chunk's size       | kExtension, kSizeEnd
//   kExtension  | anything to CR, ignored            | kSizeEnd
//   kSizeEnd    | LF                                 | kData; of the last chunk kTrailer
//   kData       | content                            | kDataCr
//   kDataCr     | CR                                 | kDataLf
//   kDataLf     | LF                                 | kSize
//   kTrailer    | lines to an empty one, ignored     | kDone
class ChunkDecoder {
 public:
  // Reads `in` and writes the content to `out`, which lies at or before `in` in the same buffer.
  // Adds the bytes read to `read`, those of the content to `written`. kDone once the last chunk and
  // its trailer are read; bytes of `in` behind them stay unread.
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
  // Each reads one character in its state; false where it is malformed.
  bool DecodeFraming(char c);
  bool DecodeSize(char c);
  bool DecodeExtension(char c);
  bool DecodeSizeEnd(char c);
  bool DecodeTrailer(char c);
  bool Expect(char c, char expected, State next);

  State state_ = State::kSize;
  size_t remaining_bytes_ = 0;  // of the present chunk's content
  int size_digits_ = 0;         // read of the present chunk's size
  size_t trailer_bytes_ = 0;
  size_t line_bytes_ = 0;    // of the present extension or trailer line
  char last_character_ = 0;  // of the trailer
};

}  // namespace paddlestile

#endif  // PADDLESTILE_HTTP_CHUNK_DECODER_H_
