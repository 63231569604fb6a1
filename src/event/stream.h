// One TCP connection on the event loop, read and written until EAGAIN.
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

// Reads into a buffer and writes from a queue. The owner destroys the stream, never from within one
// of its own callbacks (RunDeferred helps); Close may be called at any time and ends all callbacks.
//
//   connecting -> connected -> ended (the peer sent its last byte) -> closed
//   any state  -> broken (OnError was called) -> closed
class Stream : public EventLoop::Handler {
 public:
  class Listener {
   public:
    // The connection is established. Not called for a stream that began connected.
    virtual void OnConnected() {}
    // input() has more bytes, or ended() or hung_up() has become true.
    virtual void OnData() = 0;
    // All that was written is with the kernel.
    virtual void OnWriteComplete() {}
    // The connection was reset or refused, or failed. Called once at most.
    virtual void OnError() = 0;

   protected:
    ~Listener() = default;
  };

  // Takes over `socket`. `loop` and `listener` outlive the stream. `connecting`: the connection is
  // not established yet.
  Stream(EventLoop& loop, Socket socket, Listener* listener, bool connecting);
  virtual ~Stream();
  Stream(const Stream&) = delete;
  Stream& operator=(const Stream&) = delete;

  // Begins to report events; false where the loop cannot watch the socket. `urgent`: see
  // EventLoop::Watch.
  bool Start(bool urgent = false);

  // Bytes that were read and not consumed yet; the listener consumes them.
  Buffer& input() { return input_; }
  // The peer has sent its last byte, and it was read.
  [[nodiscard]] bool ended() const { return ended_; }
  // The peer has sent its last byte; some before it may not be read yet.
  [[nodiscard]] bool hung_up() const { return hung_up_ || ended_; }
  [[nodiscard]] bool closed() const { return closed_; }
  [[nodiscard]] bool connected() const { return connected_; }
  // Whether all that was written is with the kernel.
  [[nodiscard]] bool flushed() const { return output_.empty(); }

  // Reading stops while input() has so many bytes; ResumeReading goes on. The bound on what a peer
  // can make this side hold.
  void set_max_unread_bytes(size_t bytes) { max_unread_bytes_ = bytes; }
  // Room that each read offers to the kernel.
  void set_min_read_bytes(size_t bytes) { min_read_bytes_ = bytes; }
  void ResumeReading();
  // Whether the kernel may have more bytes than were read.
  [[nodiscard]] bool readable() const { return readable_; }

  // Queues `head` and then `body`, and writes what the kernel takes at once. `keep` owns the memory
  // of `body` and is released once it is written.
  void Write(std::string head, std::shared_ptr<const void> keep = nullptr,
             std::string_view body = {});
  // Closes with a reset, so that the peer knows that what it got is not complete.
  void CloseByReset();
  // Sends the end of this side; reading goes on.
  void ShutdownWrite();
  // Drops all further input without a copy, up to 1 MiB; OnData then reports only the end.
  void DiscardInput();
  // Closes the socket and drops what is queued. No callback follows.
  void Close();

  // Whether a connection is fit for reuse: no byte, end or error has arrived on it.
  [[nodiscard]] bool IsIdle() const;
  // Whether the kernel holds bytes that were not read.
  [[nodiscard]] bool HasUnreadBytes() const;

 private:
  // Bytes to write, in memory of its own or of `keep_alive`.
  struct WriteSegment {
    std::string owned;
    std::shared_ptr<const void> keep_alive;
    std::string_view remaining;  // not written yet
  };
  void OnEvents(uint32_t events) final;
  // Reads until EAGAIN or the bound; true where bytes or the end were read.
  bool ReadAvailable();
  // The same while input is dropped; true at the end.
  bool DiscardAvailable();
  // Handles the events of a socket that is connecting; true once it is connected.
  bool FinishConnecting(uint32_t events);
  // Removes `bytes` written ones from the front of the queue.
  void RemoveWritten(size_t bytes);
  void Flush();
  void ReportError();

  EventLoop& loop_;
  Socket socket_;
  Listener* listener_;
  uint64_t token_ = 0;
  bool watched_ = false;  // token_ is valid
  bool connected_;
  bool closed_ = false;
  bool ended_ = false;
  bool broken_ = false;    // OnError was called
  bool readable_ = false;  // an edge was reported and not read until EAGAIN
  bool hung_up_ = false;   // the kernel reported an end or an error
  bool discarding_ = false;
  size_t discarded_bytes_ = 0;
  size_t max_unread_bytes_ = SIZE_MAX;
  size_t min_read_bytes_ = 2048;
  Buffer input_;
  std::deque<WriteSegment> output_;
};

}  // namespace paddlestile

#endif  // PADDLESTILE_EVENT_STREAM_H_
