// HTTP/1.1 messages, parsed a byte at a time if need be, as places in the buffer they lie in.
#ifndef PADDLESTILE_HTTP_HTTP_PARSER_H_
#define PADDLESTILE_HTTP_HTTP_PARSER_H_

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "event/buffer.h"

namespace paddlestile {

constexpr size_t kMaxHeadBytes = 16'384;
constexpr size_t kMaxBufferedBodyBytes = 65'536;  // of a message held whole
constexpr size_t kMaxBodyBytes = 34U << 20;       // of any
constexpr size_t kMaxHeaders = 100;

enum class ParseProgress {
  kNeedMore,
  kDone,
  kMalformed
};

bool HeaderNamesEqual(std::string_view a, std::string_view b);  // letters in any case
std::string_view Trim(std::string_view text);                   // spaces and tabs at both ends

// Undoes the chunked framing in place.
class ChunkDecoder {
 public:
  // Reads `in`, which lies at or behind `out`, and writes the content to `out`; adds to `read` and
  // `written` how many bytes that were. kDone once the last chunk and its trailer are over.
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
  State state_ = State::kSize;
  size_t left_ = 0;
  int digits_ = 0;
  size_t trailer_ = 0, line_ = 0;  // bytes of the trailer; of its present line
  char last_ = 0;
};

struct HttpMessage {
  Range method, target;  // of a request
  int status = 0;        // of an answer
  std::vector<std::pair<Range, Range>> headers;
  Range body;
  size_t total_bytes = 0;  // all its bytes in the buffer
  bool keep_alive = true;
  bool chunked = false;
  bool body_until_close = false;  // an answer that ends with its connection
  bool is_http10 = false;         // its peer knows no chunks

  // The value of a header that stands there once; nothing where it is absent.
  [[nodiscard]] std::optional<std::string_view> FindHeader(std::string_view base,
                                                           std::string_view name) const;
  [[nodiscard]] size_t CountHeader(std::string_view base, std::string_view name) const;
};

// True for headers that concern one connection only and are not passed on.
bool IsHopByHop(const HttpMessage& message, std::string_view base, std::string_view name);

class HttpParser {
 public:
  enum class Kind {
    kRequest,
    kResponse
  };
  explicit HttpParser(Kind kind, size_t max_body = kMaxBufferedBodyBytes)
      : kind_(kind), max_body_(max_body) {}

  // Goes on with what is unread in `in`. Undoes chunks in place. kBad is final.
  ParseProgress Feed(Buffer& in);
  // The same, but done once the head is: for a body without end.
  ParseProgress FeedHead(Buffer& in);

  // The peer has sent its last: whether that was the end of an answer that has no other.
  bool EndsWithConnection(Buffer& in);

  // ---- Where a body is not to be held whole.
  [[nodiscard]] bool head_done() const {
    return state_ == State::kLength || state_ == State::kChunks || state_ == State::kUntilClose;
  }
  // What the head says of the length; nothing where only the end tells.
  [[nodiscard]] std::optional<uint64_t> body_length() const;
  // Bytes of the body that have come, in a buffer that Feed has seen.
  [[nodiscard]] size_t body_bytes_received(const Buffer& in) const;
  // Takes the head out of `in`, a message without a body. From here on TakeBody gives the rest.
  HttpMessage TakeHead(Buffer& in, Buffer& head);
  // Gives what has come of the body, its framing undone. kDone with the last; kBad is final.
  // `ended`: the peer has sent its last.
  ParseProgress TakeBody(Buffer& in, Buffer& piece, bool ended);

  [[nodiscard]] const HttpMessage& message() const { return message_; }
  [[nodiscard]] int error_status() const { return error_status_; }  // what to answer where kBad
  [[nodiscard]] bool begun() const { return scanned_ > 0; }
  void Reset();

 private:
  enum class State {
    kStart,
    kHeaders,
    kLength,
    kChunks,
    kUntilClose,
    kDone
  };
  ParseProgress Fail(int status);
  ParseProgress ParseHeadLines(std::string_view all);
  ParseProgress ParseStartLine(std::string_view all, Range line);
  ParseProgress ParseHeaderLine(std::string_view all, Range line);
  ParseProgress FinishHead(std::string_view all);

  Kind kind_;
  size_t max_body_;
  State state_ = State::kStart;
  HttpMessage message_;
  size_t scanned_ = 0;     // bytes looked at
  size_t line_begin_ = 0;  // where the present line begins
  size_t length_ = 0;
  size_t body_bytes_taken_ = 0;  // bytes of the body given by TakeBody
  size_t decoded_bytes_ = 0;     // at the front of the buffer, of which TakeBody has seen none
  ChunkDecoder chunk_decoder_;
  int error_status_ = 0;
};

}  // namespace paddlestile

#endif  // PADDLESTILE_HTTP_HTTP_PARSER_H_
