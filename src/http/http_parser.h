// Parses HTTP/1.1 messages incrementally, in the buffer that they are read into. No I/O.
#ifndef PADDLESTILE_HTTP_HTTP_PARSER_H_
#define PADDLESTILE_HTTP_HTTP_PARSER_H_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string_view>

#include "event/buffer.h"
#include "http/chunk_decoder.h"
#include "http/http_limits.h"
#include "http/http_message.h"
#include "http/parse_progress.h"

namespace paddlestile {

// One message at a time; Reset before the next. The buffer is the caller's, and must hold the same
// unread bytes, with more at the end, from call to call.
//
//   state        | reads                                            | next
//   -------------+--------------------------------------------------+------------------------------
//   kStart       | request line or status line                      | kHeaders
//   kHeaders     | header lines, to the empty one                   | by the head one of the next
//                |                                                  | three; kStart after a 1xx
//   kLength      | a body of known length, which may be 0           | kDone
//   kChunks      | a chunked body                                   | kDone
//   kUntilClose  | a body that ends with the connection (response)  | kDone
class HttpParser {
 public:
  enum class Kind {
    kRequest,
    kResponse
  };
  // Bodies of more than `max_body_bytes` are malformed.
  explicit HttpParser(Kind kind, size_t max_body_bytes = kMaxBufferedBodyBytes)
      : kind_(kind), max_body_bytes_(max_body_bytes) {}

  // Parses on in `in` and decodes chunks in place. kDone with the end of the message; its bytes
  // stay in `in`, and message() refers to them.
  ParseProgress Feed(Buffer& in);
  // The same, but kDone with the end of the head.
  ParseProgress FeedHead(Buffer& in);

  // To be called when the peer has closed its side: whether that is the end of the message.
  bool EndsWithConnection(Buffer& in);

  // ---- Bodies that stream.
  // Whether the head has been parsed, and the body not to its end.
  [[nodiscard]] bool head_done() const {
    return state_ == State::kLength || state_ == State::kChunks || state_ == State::kUntilClose;
  }
  // Nothing where it is known at the end only.
  [[nodiscard]] std::optional<uint64_t> body_length() const;
  // Bytes of the body that Feed has seen in `in`, without their framing.
  [[nodiscard]] size_t body_bytes_received(const Buffer& in) const;
  // Moves the head from `in` to `head` and returns it as a message without a body. The body is read
  // by TakeBody from then on.
  HttpMessage TakeHead(Buffer& in, Buffer& head);
  // Moves what has come of the body from `in` to `piece`, decoded. kDone with its end. `ended`: the
  // peer has closed its side.
  ParseProgress TakeBody(Buffer& in, Buffer& piece, bool ended);

  [[nodiscard]] const HttpMessage& message() const { return message_; }
  // The HTTP status to respond with to a malformed request; else 0.
  [[nodiscard]] int error_status() const { return error_status_; }
  // Whether bytes of the present message have been seen.
  [[nodiscard]] bool begun() const { return scanned_bytes_ > 0; }
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
  // `all` is the content of the buffer in each of these.
  ParseProgress ParseHeadLines(std::string_view all);
  ParseProgress ParseHeadLine(std::string_view all, Range line);
  ParseProgress ParseRequestLine(std::string_view all, Range line);
  ParseProgress ParseStatusLine(std::string_view text);
  ParseProgress ParseHeaderLine(std::string_view all, Range line);
  ParseProgress FinishHead(std::string_view all);
  ParseProgress ParseBodyFraming(std::string_view all);
  void ReadConnectionHeaders(std::string_view all);
  void SetVersion(std::string_view version);

  ParseProgress FeedSizedBody(const Buffer& in);
  ParseProgress FeedChunkedBody(Buffer& in);
  ParseProgress FeedBodyUntilClose(const Buffer& in);
  ParseProgress TakeSizedBody(Buffer& in, Buffer& piece);
  ParseProgress TakeChunkedBody(Buffer& in, Buffer& piece);

  ParseProgress Fail(int status);

  Kind kind_;
  size_t max_body_bytes_;
  State state_ = State::kStart;
  HttpMessage message_;
  size_t scanned_bytes_ = 0;     // of the buffer, parsed
  size_t line_begin_ = 0;        // position in the buffer of the present line
  size_t content_length_ = 0;    // where state_ is kLength
  size_t body_bytes_taken_ = 0;  // by TakeBody
  size_t decoded_bytes_ = 0;     // at the front of the buffer, decoded by Feed before TakeHead
  ChunkDecoder chunk_decoder_;
  int error_status_ = 0;
};

}  // namespace paddlestile

#endif  // PADDLESTILE_HTTP_HTTP_PARSER_H_
