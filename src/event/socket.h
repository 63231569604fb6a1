// TCP sockets that are counted in the descriptor budget; listening and connecting.
#ifndef PADDLESTILE_EVENT_SOCKET_H_
#define PADDLESTILE_EVENT_SOCKET_H_

#include <optional>
#include <utility>

#include "base/address.h"
#include "base/file_descriptor.h"
#include "base/time.h"
#include "event/descriptor_budget.h"

namespace paddlestile {

// A descriptor that is counted in a budget while it is open.
class Socket {
 public:
  // Takes a descriptor that `budget` has counted by TryAcquire, or none with null.
  Socket(FileDescriptor fd, DescriptorBudget* budget) : fd_(std::move(fd)), budget_(budget) {}
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
    if (DescriptorBudget* const budget = std::exchange(budget_, nullptr)) {
      budget->Release();
    }
  }
  [[nodiscard]] int get() const { return fd_.get(); }

 private:
  FileDescriptor fd_;
  DescriptorBudget* budget_;
};

// A non-blocking listening socket; none, with errno set, where the kernel refuses. `shared`: other
// processes of the same user may listen on the address too.
FileDescriptor Listen(const Address& listen, int backlog, bool shared);
// The address that a socket is bound to.
Address LocalAddress(int fd);

// How many connections wait in the accept queue of a listening socket; nothing where the kernel
// does not tell.
std::optional<size_t> AcceptQueueLength(int fd);

// How long ago the last bytes came on a connection, or it came up where none have; nothing where
// the kernel does not tell. Of one that was just accepted: what it has waited for that.
std::optional<Duration> TimeSinceLastData(int fd);

// Begins to connect, without blocking; from the reserve where `budget` is null. Nothing where the
// budget or the kernel has no descriptor left, or, with `refused` set, where the connect fails.
std::optional<Socket> Connect(const Address& to, DescriptorBudget* budget, bool& refused);

}  // namespace paddlestile

#endif  // PADDLESTILE_EVENT_SOCKET_H_
