// One TCP connection on the event loop: buffers what it reads and what is to be written.
#ifndef PADDLESTILE_EVENT_STREAM_H_
#define PADDLESTILE_EVENT_STREAM_H_

#include <cstdint>
#include <deque>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <utility>

#include "event/buffer.h"
#include "event/event_loop.h"
#include "event/socket.h"

namespace paddlestile {

// Owns the socket. Calls of the listener may close the stream, and must not destroy it: its owner
// defers that by EventLoop::RunDeferred.
class Stream : public EventLoop::Handler {
 public:
  class Listener {
   public:
    virtual void OnConnected() {}
    // input() has more bytes, or ended() or hung_up() has become true.
    virtual void OnData() = 0;
    // All that was written is with the kernel.
    virtual void OnWriteComplete() {}
    // The connection was reset or refused, or failed; at most once.
    virtual void OnError() = 0;

   protected:
    ~Listener() = default;
  };

  // `connecting`: the socket has begun to connect, else it is connected. `loop` and `listener` must
  // outlive the stream.
  Stream(EventLoop& loop, Socket socket, Listener* listener, bool connecting);
  virtual ~Stream();
  Stream(const Stream&) = delete;
  Stream& operator=(const Stream&) = delete;

  // Begins to read; false where the kernel does not watch the socket. `urgent`: see EventLoop.
  bool Start(bool urgent = false);

  // What was read; the listener consumes it.
  Buffer& input() { return input_; }
  // The peer has closed its side, and all that it sent was read.
  [[nodiscard]] bool ended() const { return ended_; }
  // The peer has closed its side; bytes before that may be unread.
  [[nodiscard]] bool hung_up() const { return hung_up_ || ended_; }
  [[nodiscard]] bool closed() const { return closed_; }
  [[nodiscard]] bool connected() const { return connected_; }
  // Whether all that was written is with the kernel.
  [[nodiscard]] bool flushed() const { return output_.empty(); }

  // Reading stops while input() has so many bytes, until ResumeReading.
  void set_max_unread_bytes(size_t bytes) { max_unread_bytes_ = bytes; }
  // Room that each read has at least.
  void set_min_read_bytes(size_t bytes) { min_read_bytes_ = bytes; }
  // Reads on where reading had stopped; may call the listener within this call.
  void ResumeReading();
  // Whether the kernel may have more bytes than were read.
  [[nodiscard]] bool readable() const { return readable_; }

  // Writes `head` and `body`; queues what the kernel does not take. `keep_alive` owns the memory of
  // `body`. May call the listener within this call.
  void Write(std::string head, std::shared_ptr<const void> keep_alive = nullptr,
             std::string_view body = {});
  // Closes so that the peer sees a reset: what it was sent is incomplete.
  void CloseByReset();
  // Closes the write side.
  void ShutdownWrite();
  // From now on drops what comes, up to a limit; OnData reports only the end.
  void DiscardInput();
  // Closes the connection; the listener is not called any more.
  void Close();

  // Whether the connection is open and nothing has come on it, neither bytes nor the end.
  [[nodiscard]] bool IsIdle() const;
  // Whether the kernel has bytes that were not read.
  [[nodiscard]] bool HasUnreadBytes() const;

 private:
  struct WriteSegment {
    std::string owned;                       // the memory of `remaining`, or
    std::shared_ptr<const void> keep_alive;  // the owner of that memory
    std::string_view remaining;              // not yet written
  };
  void OnEvents(uint32_t events) final;
  // True where bytes were read, or the end.
  bool ReadAvailable();
  bool DiscardAvailable();
  bool FinishConnect(uint32_t events);
  void OnReadable(bool hung_up);
  void Flush();
  void ConsumeOutput(size_t bytes);
  void OnWriteFailed();
  void ReportError();

  EventLoop& loop_;
  Socket socket_;
  Listener* listener_;
  uint64_t token_ = 0;
  bool watched_ = false;
  bool connected_;
  bool closed_ = false;
  bool ended_ = false;
  bool broken_ = false;    // OnError was called
  bool readable_ = false;  // an edge was reported and not read to EAGAIN
  bool hung_up_ = false;   // the end, or an error, is behind the unread bytes
  bool discarding_ = false;
  size_t discarded_ = 0;
  size_t max_unread_bytes_ = SIZE_MAX;
  size_t min_read_bytes_ = 2048;
  Buffer input_;
  std::deque<WriteSegment> output_;
};

}  // namespace paddlestile

#endif  // PADDLESTILE_EVENT_STREAM_H_
