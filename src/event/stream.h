// One TCP connection on the loop, read and written to EAGAIN; and the budget of descriptors.
#ifndef PADDLESTILE_EVENT_STREAM_H_
#define PADDLESTILE_EVENT_STREAM_H_

#include <cstdint>
#include <deque>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <utility>

#include "config/gateway_config.h"
#include "event/buffer.h"
#include "event/event_loop.h"

namespace paddlestile::net {

// All connections draw from one budget, which keeps some back for the files that every process has.
class Descriptors {
 public:
  static constexpr size_t kReserve = 32;
  explicit Descriptors(size_t limit) : most_(limit > 2 * kReserve ? limit - kReserve : limit / 2) {}
  bool Take() {
    if (used_ + elsewhere_ >= most_) return false;
    ++used_;
    return true;
  }
  void Give() { --used_; }
  [[nodiscard]] size_t used() const { return used_; }
  // All that the gateway may hold, of which the uses of it have their shares.
  [[nodiscard]] size_t most() const { return most_; }
  // Another process of the same gateway holds so many.
  void set_elsewhere(size_t count) { elsewhere_ = count; }

 private:
  size_t most_;
  size_t used_ = 0, elsewhere_ = 0;
};

// A descriptor counted in the budget for as long as it is open.
class Socket {
 public:
  Socket(Fd fd, Descriptors* budget) : fd_(std::move(fd)), budget_(budget) {}
  Socket(Socket&& other) noexcept
      : fd_(std::move(other.fd_)), budget_(std::exchange(other.budget_, nullptr)) {}
  Socket& operator=(Socket&& other) noexcept {
    if (this != &other) {
      Close();
      fd_ = std::move(other.fd_);
      budget_ = std::exchange(other.budget_, nullptr);
    }
    return *this;
  }
  Socket(const Socket&) = delete;
  Socket& operator=(const Socket&) = delete;
  ~Socket() { Close(); }
  void Close() {
    fd_.Reset();
    if (Descriptors* const budget = std::exchange(budget_, nullptr)) budget->Give();
  }
  [[nodiscard]] int get() const { return fd_.get(); }

 private:
  Fd fd_;
  Descriptors* budget_;
};

// A listening socket; none where the kernel refuses, with errno. `shared`: others of the same user
// may listen there too.
Fd Listen(const Address& listen, int backlog, bool shared);
// Where a socket is bound.
Address BoundTo(int fd);

// Begins a connection, out of the reserve where no budget is given. Nothing where the budget or the
// kernel has no descriptor; `refused` where the address itself gives none.
std::optional<Socket> Connect(const Address& to, Descriptors* budget, bool& refused);

class Stream : public EventLoop::Handler {
 public:
  class Owner {
   public:
    virtual void OnConnected() {}
    virtual void OnRead() = 0;    // more is in in(), or ended() or hung_up() has become true
    virtual void OnFlushed() {}   // all that was written is with the kernel
    virtual void OnBroken() = 0;  // reset, refused or failed

   protected:
    ~Owner() = default;
  };

  Stream(EventLoop& loop, Socket socket, Owner* owner, bool connecting);
  virtual ~Stream();
  Stream(const Stream&) = delete;
  Stream& operator=(const Stream&) = delete;

  // False where the kernel does not watch it.
  bool Start(bool urgent = false);

  Buffer& in() { return in_; }
  [[nodiscard]] bool ended() const { return ended_; }  // the peer has sent its last
  // The same, told by the kernel while something before it is not read yet.
  [[nodiscard]] bool hung_up() const { return hung_up_ || ended_; }
  [[nodiscard]] bool closed() const { return closed_; }
  [[nodiscard]] bool connected() const { return connected_; }
  [[nodiscard]] bool flushed() const { return out_.empty(); }

  // Stops reading once so much is unread, so that a peer cannot fill the memory; Resume goes on.
  void set_most_unread(size_t most) { most_unread_ = most; }
  // What is read at once, at the least.
  void set_read_at_least(size_t least) { read_at_least_ = least; }
  void Resume();
  // Whether there may be more to read than was read.
  [[nodiscard]] bool readable() const { return readable_; }

  // Queues bytes and writes what goes at once. `keep` holds the memory that `body` lies in.
  void Write(std::string head, std::shared_ptr<const void> keep = nullptr,
             std::string_view body = {});
  // Has the peer see a reset where it closes next: what it was sent is not whole.
  void CloseByReset();
  // Says that no more will be written.
  void ShutWrite();
  // From now on what comes is thrown away unseen, without a copy, up to a bound; OnRead tells only
  // of the end.
  void Discard();
  void Close();

  // Whether an idle connection is fit for use: nothing came on it, not even its end.
  [[nodiscard]] bool Quiet() const;
  // Whether bytes wait with the kernel.
  [[nodiscard]] bool Unread() const;

 private:
  struct Piece {
    std::string own;
    std::shared_ptr<const void> keep;
    std::string_view rest;
  };
  void OnEvents(uint32_t events) final;
  // True where something new was read or the end was seen.
  bool ReadAll();
  bool ReadNothing();
  void Flush();
  void Break();

  EventLoop& loop_;
  Socket socket_;
  Owner* owner_;
  uint64_t token_ = 0;
  bool watched_ = false, connected_, closed_ = false, ended_ = false, broken_ = false;
  bool readable_ = false;  // an edge not yet read to its end
  bool hung_up_ = false;   // an end or an error is to be read behind the last byte
  bool discarding_ = false;
  size_t discarded_ = 0;
  size_t most_unread_ = SIZE_MAX;
  size_t read_at_least_ = 2048;
  Buffer in_;
  std::deque<Piece> out_;
};

}  // namespace paddlestile::net

#endif  // PADDLESTILE_EVENT_STREAM_H_
