#include "http/chunk_decoder.h"

#include <algorithm>
#include <cctype>
#include <cstring>

#include "http/http_limits.h"

namespace paddlestile {
namespace {

constexpr int kMaxSizeDigits = 16;           // including leading zeros
constexpr size_t kMaxChunkBytes = 1U << 28;  // well above any accepted body
constexpr size_t kMaxExtensionBytes = 256;

size_t HexValue(unsigned char digit) {
  return static_cast<size_t>(std::isdigit(digit) ? digit - '0' : (digit | 0x20) - 'a' + 10);
}

}  // namespace

ParseProgress ChunkDecoder::Decode(std::string_view in, char* out, size_t& read, size_t& written) {
  while (state_ != State::kDone && read < in.size()) {
    if (state_ == State::kData) {
      const size_t size = std::min(remaining_bytes_, in.size() - read);
      std::memmove(out + written, in.data() + read, size);
      read += size;
      written += size;
      remaining_bytes_ -= size;
      if (remaining_bytes_ == 0) {
        state_ = State::kDataCr;
      }
      continue;
    }
    if (!DecodeFraming(in[read++])) {
      return ParseProgress::kMalformed;
    }
  }
  return state_ == State::kDone ? ParseProgress::kDone : ParseProgress::kNeedMore;
}

bool ChunkDecoder::DecodeFraming(char c) {
  switch (state_) {
    case State::kSize:
      return DecodeSize(c);
    case State::kExtension:
      return DecodeExtension(c);
    case State::kSizeEnd:
      return DecodeSizeEnd(c);
    case State::kDataCr:
      return Expect(c, '\r', State::kDataLf);
    case State::kDataLf:
      return Expect(c, '\n', State::kSize);
    case State::kTrailer:
      return DecodeTrailer(c);
    case State::kData:
    case State::kDone:
      break;
  }
  return true;
}

bool ChunkDecoder::Expect(char c, char expected, State next) {
  if (c != expected) {
    return false;
  }
  state_ = next;
  return true;
}

bool ChunkDecoder::DecodeSize(char c) {
  const auto digit = static_cast<unsigned char>(c);
  if (std::isxdigit(digit)) {
    remaining_bytes_ = remaining_bytes_ * 16 + HexValue(digit);
    return ++size_digits_ <= kMaxSizeDigits && remaining_bytes_ <= kMaxChunkBytes;
  }
  const bool ends_size = c == ';' || c == ' ' || c == '\t' || c == '\r';
  if (size_digits_ == 0 || !ends_size) {
    return false;
  }
  line_bytes_ = 0;
  state_ = c == '\r' ? State::kSizeEnd : State::kExtension;
  return true;
}

bool ChunkDecoder::DecodeExtension(char c) {
  if (c == '\n' || ++line_bytes_ > kMaxExtensionBytes) {
    return false;
  }
  if (c == '\r') {
    state_ = State::kSizeEnd;
  }
  return true;
}

bool ChunkDecoder::DecodeSizeEnd(char c) {
  if (c != '\n') {
    return false;
  }
  state_ = remaining_bytes_ > 0 ? State::kData : State::kTrailer;
  size_digits_ = 0;
  line_bytes_ = 0;
  last_character_ = 0;
  return true;
}

// The trailer ends with an empty line, for which line_bytes_ is 1 (the CR).
bool ChunkDecoder::DecodeTrailer(char c) {
  if (++trailer_bytes_ > kMaxHeadBytes) {
    return false;
  }
  const bool after_cr = last_character_ == '\r';
  if (after_cr != (c == '\n')) {
    return false;  // a bare CR or LF
  }
  if (c == '\n') {
    if (line_bytes_ == 1) {
      state_ = State::kDone;
    }
    line_bytes_ = 0;
  } else {
    ++line_bytes_;
  }
  last_character_ = c;
  return true;
}

}  // namespace paddlestile
