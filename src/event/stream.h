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

class Stream : public EventLoop::Handler {
 public:
  class Listener {
   public:
    virtual void OnConnected() {}
    virtual void OnData() = 0;         // more is in in(), or ended() or hung_up() has become true
    virtual void OnWriteComplete() {}  // all that was written is with the kernel
    virtual void OnError() = 0;        // reset, refused or failed

   protected:
    ~Listener() = default;
  };

  Stream(EventLoop& loop, Socket socket, Listener* owner, bool connecting);
  virtual ~Stream();
  Stream(const Stream&) = delete;
  Stream& operator=(const Stream&) = delete;

  // False where the kernel does not watch it.
  bool Start(bool urgent = false);

  Buffer& input() { return input_; }
  [[nodiscard]] bool ended() const { return ended_; }  // the peer has sent its last
  // The same, told by the kernel while something before it is not read yet.
  [[nodiscard]] bool hung_up() const { return hung_up_ || ended_; }
  [[nodiscard]] bool closed() const { return closed_; }
  [[nodiscard]] bool connected() const { return connected_; }
  [[nodiscard]] bool flushed() const { return output_.empty(); }

  // Stops reading once so much is unread, so that a peer cannot fill the memory; Resume goes on.
  void set_max_unread_bytes(size_t most) { max_unread_bytes_ = most; }
  // What is read at once, at the least.
  void set_min_read_bytes(size_t least) { min_read_bytes_ = least; }
  void ResumeReading();
  // Whether there may be more to read than was read.
  [[nodiscard]] bool readable() const { return readable_; }

  // Queues bytes and writes what goes at once. `keep` holds the memory that `body` lies in.
  void Write(std::string head, std::shared_ptr<const void> keep = nullptr,
             std::string_view body = {});
  // Has the peer see a reset where it closes next: what it was sent is not whole.
  void CloseByReset();
  // Says that no more will be written.
  void ShutdownWrite();
  // From now on what comes is thrown away unseen, without a copy, up to a bound; OnData tells only
  // of the end.
  void DiscardInput();
  void Close();

  // Whether an idle connection is fit for use: nothing came on it, not even its end.
  [[nodiscard]] bool IsIdle() const;
  // Whether bytes wait with the kernel.
  [[nodiscard]] bool HasUnreadBytes() const;

 private:
  struct WriteSegment {
    std::string owned;
    std::shared_ptr<const void> keep_alive;
    std::string_view remaining;
  };
  void OnEvents(uint32_t events) final;
  // True where something new was read or the end was seen.
  bool ReadAvailable();
  bool DiscardAvailable();
  void Flush();
  void ReportError();

  EventLoop& loop_;
  Socket socket_;
  Listener* listener_;
  uint64_t token_ = 0;
  bool watched_ = false, connected_, closed_ = false, ended_ = false, broken_ = false;
  bool readable_ = false;  // an edge not yet read to its end
  bool hung_up_ = false;   // an end or an error is to be read behind the last byte
  bool discarding_ = false;
  size_t discarded_ = 0;
  size_t max_unread_bytes_ = SIZE_MAX;
  size_t min_read_bytes_ = 2048;
  Buffer input_;
  std::deque<WriteSegment> output_;
};

}  // namespace paddlestile

#endif  // PADDLESTILE_EVENT_STREAM_H_
