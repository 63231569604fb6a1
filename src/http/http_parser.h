// Parses HTTP/1.1 messages incrementally in the buffer that they are read into. Does no I/O.
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

// Parses one message at a time; call Reset before the next one. The buffer belongs to the caller.
// Between calls the caller may only append to its content.
//
//   state        | reads                                            | next
//   -------------+--------------------------------------------------+------------------------------
//   kStart       | request line or status line                      | kHeaders
//   kHeaders     | header lines, up to the empty one                | one of the next three, as the
//                |                                                  | head says; kStart after a 1xx
//   kLength      | a body of known length, possibly 0               | kDone
//   kChunks      | a chunked body                                   | kDone
//   kUntilClose  | a body that ends with the connection (response)  | kDone
class HttpParser {
 public:
  enum class Kind {
    kRequest,
    kResponse
  };
  // Messages with a body of more than `max_body_bytes` are rejected as malformed.
  explicit HttpParser(Kind kind, size_t max_body_bytes = kMaxBufferedBodyBytes)
      : kind_(kind), max_body_bytes_(max_body_bytes) {}

  // Continues to parse `in` and decodes chunks in place. Returns kDone at the end of the message,
  // whose bytes stay in `in`; message() refers to them.
  ParseProgress Feed(Buffer& in);
  // Like Feed, but stops with kDone at the end of the head.
  ParseProgress FeedHead(Buffer& in);

  // Must be called when the peer has closed its side. Returns whether that completes the message.
  bool EndsWithConnection(Buffer& in);

  // ---- Streamed bodies.
  // Returns whether the head is complete and the body is not.
  [[nodiscard]] bool head_done() const {
    return state_ == State::kLength || state_ == State::kChunks || state_ == State::kUntilClose;
  }
  // The body's length in bytes; nullopt if it is not known in advance.
  [[nodiscard]] std::optional<uint64_t> body_length() const;
  // Number of body bytes in `in` that Feed has parsed, without framing.
  [[nodiscard]] size_t body_bytes_received(const Buffer& in) const;
  // Number of body bytes that TakeBody has not returned yet; 0 if the length is not known.
  [[nodiscard]] size_t body_bytes_left() const {
    return state_ == State::kLength ? content_length_ - body_bytes_taken_ : 0;
  }
  // Moves the head from `in` to `head` and returns it as a message without a body. After that,
  // TakeBody reads the body.
  HttpMessage TakeHead(Buffer& in, Buffer& head);
  // Moves the available part of the body, decoded, from `in` to `piece`. Returns kDone at the end
  // of the body. `ended`: the peer has closed its side.
  ParseProgress TakeBody(Buffer& in, Buffer& piece, bool ended);

  [[nodiscard]] const HttpMessage& message() const { return message_; }
  // The HTTP status of the response to a malformed request; 0 if there was no error.
  [[nodiscard]] int error_status() const { return error_status_; }
  // Returns whether any bytes of the current message have been parsed.
  [[nodiscard]] bool begun() const { return scanned_bytes_ > 0; }
  // Prepares for the next message.
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
  // In the following functions `all` is the whole content of the buffer.
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

  // Sets the error status and returns kMalformed.
  ParseProgress Fail(int status);

  Kind kind_;
  size_t max_body_bytes_;
  State state_ = State::kStart;
  HttpMessage message_;
  size_t scanned_bytes_ = 0;     // bytes of the buffer that were parsed
  size_t line_begin_ = 0;        // position in the buffer of the current line
  size_t content_length_ = 0;    // valid in state kLength
  size_t body_bytes_taken_ = 0;  // by TakeBody so far
  size_t decoded_bytes_ = 0;     // body bytes in the buffer that Feed decoded before TakeHead
  ChunkDecoder chunk_decoder_;
  int error_status_ = 0;
};

}  // namespace paddlestile

#endif  // PADDLESTILE_HTTP_HTTP_PARSER_H_
