// A message body that is forwarded while it is received, from one connection to another. The writer
// pulls: data that it cannot write yet stays unread, so that TCP flow control slows the sender.
#ifndef PADDLESTILE_HTTP_STREAMING_BODY_H_
#define PADDLESTILE_HTTP_STREAMING_BODY_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <utility>

#include "base/time.h"
#include "event/buffer.h"
#include "event/memory_budget.h"
#include "event/stream.h"
#include "http/parse_progress.h"

namespace paddlestile {

// Maximum that one transfer reads ahead, and moves in one round of the event loop.
constexpr size_t kMaxPieceBytes = 32'768;
// Memory of a transfer: one piece in the input, and one that is being written.
constexpr size_t kStreamingBodyBytes = 2 * kMaxPieceBytes;

// Connects a reading connection and a writer, which share it. Ends in one of three ways: it is read
// to the end, truncated by the reading side, or cancelled by the writing side.
class StreamingBody {
 public:
  using ReadCallback = std::function<ParseProgress(Buffer& piece)>;
  using ArrivalCallback = std::function<Time()>;

  // `read` provides the data received so far, which may be empty. It returns kDone with the last
  // piece, and kMalformed if the body was truncated. `cancel` (may be null) is called at most once,
  // when no more will be read.
  StreamingBody(std::optional<uint64_t> length, ReadCallback read, std::function<void()> cancel)
      : length_(length), read_(std::move(read)), cancel_(std::move(cancel)) {}

  // The length in bytes; nullopt if it is not known in advance.
  [[nodiscard]] std::optional<uint64_t> length() const { return length_; }
  // Returns whether any part was read. That part cannot be read again.
  [[nodiscard]] bool begun() const { return begun_; }
  [[nodiscard]] bool has_writer() const { return static_cast<bool>(data_callback_); }

  // Returns the earliest time at which the sender may have sent the last byte, as far as is known
  // now; nullopt if the body has ended or its reading side does not tell.
  [[nodiscard]] std::optional<Time> EarliestEnd() const {
    return read_ && earliest_end_ ? std::optional(earliest_end_()) : std::nullopt;
  }

  // ---- For the reading connection.
  // Sets what EarliestEnd returns while the body is being read.
  void SetEarliestEnd(ArrivalCallback earliest_end) { earliest_end_ = std::move(earliest_end); }
  // Holds the memory that is reserved for the transfer until the body has been written to the
  // kernel, or is cancelled or destroyed.
  void HoldMemory(MemoryBudget::Reservation memory) { memory_ = std::move(memory); }
  // Called when more data can be read.
  void OnDataAvailable() {
    if (const auto callback = data_callback_) {
      callback();
    }
  }
  // Called when the connection has failed. The next Read returns kMalformed.
  void OnTruncated() {
    read_ = nullptr;
    cancel_ = nullptr;
    OnDataAvailable();
  }

  // ---- For the writer.
  // Sets the callback for when Read may provide more data; null if there is no writer.
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
  // Called when the whole body has been passed to the kernel.
  void OnWritten() {
    data_callback_ = nullptr;
    memory_ = {};
  }
  // Ends the body from the writing side.
  void Cancel() {
    data_callback_ = nullptr;
    read_ = nullptr;
    memory_ = {};
    if (const auto cancel = std::exchange(cancel_, nullptr)) {
      cancel();
    }
  }

 private:
  std::optional<uint64_t> length_;
  ReadCallback read_;             // null after the end
  std::function<void()> cancel_;  // null after the end
  ArrivalCallback earliest_end_;  // may be null
  std::function<void()> data_callback_;
  MemoryBudget::Reservation memory_;
  bool begun_ = false;
};

// Writes a body to a stream.
class BodyWriter {
 public:
  // `stream` must outlive the writer. `chunked`: use the chunked transfer coding.
  // `cancel_on_destruction`: cancel the body if the writer is destroyed before the end, because no
  // other writer will follow. `done` is called at most once, with `complete` true when all data was
  // passed to the kernel, and false if the body was truncated. It may destroy the writer.
  BodyWriter(Stream& stream, std::shared_ptr<StreamingBody> body, bool chunked,
             bool cancel_on_destruction, std::function<void(bool complete)> done);
  BodyWriter(const BodyWriter&) = delete;
  BodyWriter& operator=(const BodyWriter&) = delete;
  ~BodyWriter();

  // Writes the available data. Must be called when the stream has been flushed.
  void Resume();

 private:
  void WritePiece(Buffer piece);
  void Finish(bool complete);

  Stream& stream_;
  std::shared_ptr<StreamingBody> body_;                         // null when completely written
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);  // used to detect destruction
  std::function<void(bool)> done_;                              // null after it was called
  bool chunked_;
  bool cancel_on_destruction_;
  bool first_chunk_ = true;
  bool read_all_ = false;  // the last piece has been read
  bool writing_ = false;   // the stream may call back within Write
};

}  // namespace paddlestile

#endif  // PADDLESTILE_HTTP_STREAMING_BODY_H_
