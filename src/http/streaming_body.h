// The body of a message that is passed on as it comes, from the connection that it is read from to
// the one that it is written to. The writer pulls: what it has no room for stays unread, and TCP
// flow control slows the sender.
#ifndef PADDLESTILE_HTTP_STREAMING_BODY_H_
#define PADDLESTILE_HTTP_STREAMING_BODY_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <utility>

#include "event/buffer.h"
#include "event/stream.h"
#include "http/parse_progress.h"

namespace paddlestile {

// What one transfer reads ahead, and moves in one turn of the event loop.
constexpr size_t kMaxPieceBytes = 32'768;

// Links a reading connection and a writer; shared by both. It ends once: read to the end, truncated
// by the reading side, or cancelled by the writing side.
class StreamingBody {
 public:
  using ReadCallback = std::function<ParseProgress(Buffer& piece)>;

  // `read` gives what has come, which may be nothing: kDone with the last piece, kMalformed where
  // the body was cut short. `cancel`, or null, says that no more will be read; at most once.
  StreamingBody(std::optional<uint64_t> length, ReadCallback read, std::function<void()> cancel)
      : length_(length), read_(std::move(read)), cancel_(std::move(cancel)) {}

  // Bytes; nothing where it is known at the end only.
  [[nodiscard]] std::optional<uint64_t> length() const { return length_; }
  // Whether a part has been read, which cannot be read again.
  [[nodiscard]] bool begun() const { return begun_; }
  [[nodiscard]] bool has_writer() const { return static_cast<bool>(data_callback_); }

  // ---- For the reading connection.
  // More can be read.
  void OnDataAvailable() {
    if (const auto callback = data_callback_) {
      callback();
    }
  }
  // The connection broke: the next Read gives kMalformed.
  void OnTruncated() {
    read_ = nullptr;
    cancel_ = nullptr;
    OnDataAvailable();
  }

  // ---- For the writer.
  // To be called when Read may give more; null: there is no writer.
  void SetDataCallback(std::function<void()> callback) { data_callback_ = std::move(callback); }
  ParseProgress Read(Buffer& piece) {
    if (!read_) {
      return ParseProgress::kMalformed;
    }
    const ReadCallback read = read_;  // the call may clear the member
    const ParseProgress progress = read(piece);
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
    if (const auto cancel = std::exchange(cancel_, nullptr)) {
      cancel();
    }
  }

 private:
  std::optional<uint64_t> length_;
  ReadCallback read_;             // null: it has ended
  std::function<void()> cancel_;  // null: it has ended
  std::function<void()> data_callback_;
  bool begun_ = false;
};

// Writes a body to a stream.
class BodyWriter {
 public:
  // `stream` must outlive the writer. `chunked`: in chunked coding. `cancel_on_destruction`: the
  // body is cancelled where the writer goes before its end, as no other one will follow. `done` is
  // called once: `complete` where all is with the kernel, else the body was truncated. It may
  // destroy the writer.
  BodyWriter(Stream& stream, std::shared_ptr<StreamingBody> body, bool chunked,
             bool cancel_on_destruction, std::function<void(bool complete)> done);
  BodyWriter(const BodyWriter&) = delete;
  BodyWriter& operator=(const BodyWriter&) = delete;
  ~BodyWriter();

  // Writes what has come; to be called when the stream has flushed.
  void Resume();

 private:
  void WritePiece(Buffer piece);
  void Finish(bool complete);

  Stream& stream_;
  std::shared_ptr<StreamingBody> body_;                         // null once written
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);  // expires with this
  std::function<void(bool)> done_;                              // null once called
  bool chunked_;
  bool cancel_on_destruction_;
  bool first_chunk_ = true;
  bool read_all_ = false;  // the last piece has been read
  bool writing_ = false;   // the stream may call back within Write
};

}  // namespace paddlestile

#endif  // PADDLESTILE_HTTP_STREAMING_BODY_H_
