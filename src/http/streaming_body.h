// A message's body that passes on as it comes, from the connection that it is read from to the one
// that it is written to. The writing side pulls: what it has no room for stays unread, and stops
// the far end by TCP's own means.
#ifndef PADDLESTILE_HTTP_STREAMING_BODY_H_
#define PADDLESTILE_HTTP_STREAMING_BODY_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <utility>

#include "event/buffer.h"
#include "event/stream.h"
#include "http/http_parser.h"

namespace paddlestile {

// Bytes that one transfer reads ahead, and moves in one turn of the loop.
constexpr size_t kMaxPieceBytes = 32'768;

class StreamingBody {
 public:
  // `take` gives what has come: kMore (also with nothing), kDone with the last, kBad where it was
  // cut. `stop` says that nobody will take more.
  StreamingBody(std::optional<uint64_t> length, std::function<ParseProgress(Buffer&)> take,
                std::function<void()> stop)
      : length_(length), read_(std::move(take)), cancel_(std::move(stop)) {}

  // Where it is known before the end.
  [[nodiscard]] std::optional<uint64_t> length() const { return length_; }
  // Whether something was taken: it cannot be had again.
  [[nodiscard]] bool begun() const { return begun_; }
  // Whether somebody writes it.
  [[nodiscard]] bool has_writer() const { return static_cast<bool>(data_callback_); }

  // ---- Of the reading side: something has come; or it has gone, and what is missing never comes.
  void OnDataAvailable() {
    if (const auto more = data_callback_) {
      more();
    }
  }
  void OnTruncated() {
    read_ = nullptr;
    cancel_ = nullptr;
    OnDataAvailable();
  }

  // ---- Of the writing side.
  void SetDataCallback(std::function<void()> more) { data_callback_ = std::move(more); }
  ParseProgress Read(Buffer& piece) {
    if (!read_) {
      return ParseProgress::kMalformed;
    }
    const auto take = read_;
    const ParseProgress progress = take(piece);
    begun_ = begun_ || !piece.empty() || progress != ParseProgress::kNeedMore;
    if (progress != ParseProgress::kNeedMore) {
      read_ = nullptr;
      cancel_ = nullptr;
    }
    return progress;
  }
  void Cancel() {
    data_callback_ = nullptr;
    read_ = nullptr;
    if (const auto stop = std::exchange(cancel_, nullptr)) {
      stop();
    }
  }

 private:
  std::optional<uint64_t> length_;
  std::function<ParseProgress(Buffer&)> read_;
  std::function<void()> cancel_, data_callback_;
  bool begun_ = false;
};

// Writes a body to a stream, in chunks where asked.
class BodyWriter {
 public:
  // `done` tells once whether all of it is with the kernel, or it was cut. `last`: nobody else will
  // take the body, so that it stops where this writer ends before it.
  BodyWriter(Stream& stream, std::shared_ptr<StreamingBody> body, bool chunked, bool last,
             std::function<void(bool whole)> done);
  BodyWriter(const BodyWriter&) = delete;
  BodyWriter& operator=(const BodyWriter&) = delete;
  ~BodyWriter();

  // Goes on; to be called when the stream has flushed.
  void Resume();

 private:
  void Finish(bool whole);

  Stream& stream_;
  std::shared_ptr<StreamingBody> body_;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);  // what is put off looks at it
  std::function<void(bool)> done_;
  bool chunked_, last_, first_ = true, over_ = false, busy_ = false;
};

}  // namespace paddlestile

#endif  // PADDLESTILE_HTTP_STREAMING_BODY_H_
