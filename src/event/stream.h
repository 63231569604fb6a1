// A TCP connection on the event loop, with buffered input and output.
#ifndef PADDLESTILE_EVENT_STREAM_H_
#define PADDLESTILE_EVENT_STREAM_H_

#include <cstdint>
#include <deque>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <utility>

#include "event/arrival_times.h"
#include "event/buffer.h"
#include "event/event_loop.h"
#include "event/socket.h"

namespace paddlestile {

// Owns the socket. Listener callbacks may close the stream but must not destroy it; its owner must
// defer the destruction with EventLoop::RunDeferred.
class Stream : public EventLoop::Handler {
 public:
  class Listener {
   public:
    virtual void OnConnected() {}
    // input() has new bytes, or ended() or hung_up() has become true.
    virtual void OnData() = 0;
    // All written data was passed to the kernel.
    virtual void OnWriteComplete() {}
    // The connection was reset or refused, or has failed. Called at most once.
    virtual void OnError() = 0;

   protected:
    ~Listener() = default;
  };

  // `connecting`: a connect is in progress; otherwise the socket is connected. `loop` and
  // `listener` must outlive the stream.
  Stream(EventLoop& loop, Socket socket, Listener* listener, bool connecting);
  virtual ~Stream();
  Stream(const Stream&) = delete;
  Stream& operator=(const Stream&) = delete;

  // Starts reading. Returns false if epoll rejects the socket. `urgent`: see EventLoop::Watch.
  bool Start(bool urgent = false);

  // The bytes that were read. The listener consumes them.
  Buffer& input() { return input_; }
  // The peer has closed its side, and everything that it sent was read.
  [[nodiscard]] bool ended() const { return ended_; }
  // The peer has closed its side. Bytes sent before may still be unread.
  [[nodiscard]] bool hung_up() const { return hung_up_ || ended_; }
  [[nodiscard]] bool closed() const { return closed_; }
  [[nodiscard]] bool connected() const { return connected_; }
  // The time since when unread bytes may have been there: the last arrival of bytes that the peer
  // cannot have sent earlier, because little was unread and nothing held them back.
  [[nodiscard]] Time newest_arrival() const { return newest_arrival_; }
  // The time at which the byte of the input arrived that `bytes_behind` bytes have followed.
  [[nodiscard]] Time ArrivalOf(size_t bytes_behind) const {
    return arrival_times_.TimeOf(bytes_behind, newest_arrival_);
  }
  // Returns whether all that the peer has sent was read and consumed, so that the peer is awaited.
  [[nodiscard]] bool awaits_peer() const { return input_.empty() && !readable_; }
  // Returns whether all written data was passed to the kernel.
  [[nodiscard]] bool flushed() const { return output_.empty(); }

  // Returns how many of the written bytes the peer's kernel has acknowledged; those that the kernel
  // here has taken if it does not tell.
  [[nodiscard]] uint64_t delivered_bytes() const;

  // Sets the size of input() at which reading stops until ResumeReading is called.
  void set_max_unread_bytes(size_t bytes) { max_unread_bytes_ = bytes; }
  // Sets the minimum room in the buffer for each read.
  void set_min_read_bytes(size_t bytes) { min_read_bytes_ = bytes; }
  // Continues reading after it was stopped. May call the listener.
  void ResumeReading();
  // Returns whether the kernel may have unread bytes.
  [[nodiscard]] bool readable() const { return readable_; }

  // Writes `head` and `body`, and queues what the kernel does not accept. `keep_alive` owns the
  // memory of `body`. May call the listener.
  void Write(std::string head, std::shared_ptr<const void> keep_alive = nullptr,
             std::string_view body = {});
  // Closes with a reset, so that the peer detects that the data sent is incomplete.
  void CloseByReset();
  // Closes the write side.
  void ShutdownWrite();
  // Discards all further input, up to a limit. OnData then reports only the end.
  void DiscardInput();
  // Closes the connection. The listener is not called afterwards.
  void Close();

  // Returns whether the connection is open and has received neither unread bytes nor the end.
  [[nodiscard]] bool IsIdle() const;
  // Returns whether the kernel has unread bytes.
  [[nodiscard]] bool HasUnreadBytes() const;

 private:
  struct WriteSegment {
    std::string owned;                       // holds the data of `remaining`, or
    std::shared_ptr<const void> keep_alive;  // owns that data
    std::string_view remaining;              // not yet written
  };
  void OnEvents(uint32_t events) final;
  // Returns true if new bytes or the end were read.
  bool ReadAvailable();
  bool DiscardAvailable();
  [[nodiscard]] bool HasLittleUnread() const;
  [[nodiscard]] Time FirstArrival() const;
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
  bool awaits_first_bytes_;  // of an accepted connection, which may have waited to be accepted
  bool connected_;
  bool closed_ = false;
  bool ended_ = false;
  bool broken_ = false;    // OnError was called
  bool readable_ = false;  // an edge was reported, and EAGAIN not reached since
  bool hung_up_ = false;   // the end or an error follows the unread bytes
  bool discarding_ = false;
  size_t discarded_ = 0;
  size_t max_unread_bytes_ = SIZE_MAX;
  size_t min_read_bytes_ = 2048;
  Time newest_arrival_{0};
  ArrivalTimes arrival_times_;  // of the bytes of input_
  Buffer input_;
  std::deque<WriteSegment> output_;
  uint64_t written_bytes_ = 0;  // that were passed to the kernel
};

}  // namespace paddlestile

#endif  // PADDLESTILE_EVENT_STREAM_H_
