// TCP sockets that are counted in the descriptor budget, and functions to listen and connect.
#ifndef PADDLESTILE_EVENT_SOCKET_H_
#define PADDLESTILE_EVENT_SOCKET_H_

#include <optional>
#include <utility>

#include "base/address.h"
#include "base/file_descriptor.h"
#include "base/time.h"
#include "event/descriptor_budget.h"

namespace paddlestile {

// Owns a descriptor that is counted in a budget while it is open.
class Socket {
 public:
  // Takes ownership of `fd`, which was counted by budget->TryAcquire(). A null `budget` means that
  // the descriptor is not counted.
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

// Returns a non-blocking listening socket, or an invalid descriptor with errno set on failure.
// `shared`: other processes of the same user may listen on the same address.
FileDescriptor Listen(const Address& listen, int backlog, bool shared);
// Returns the address that a socket is bound to.
Address LocalAddress(int fd);

// Returns the number of connections in the accept queue of a listening socket, or nullopt if the
// kernel does not report it.
std::optional<size_t> AcceptQueueLength(int fd);

// Returns the time since a connection last received data, or since it was established if it has
// received none; nullopt if the kernel does not report it. For a connection that was just accepted,
// this is how long it has waited in the accept queue.
std::optional<Duration> TimeSinceLastData(int fd);

// Starts a non-blocking connect. A null `budget` uses the descriptor reserve. Returns nullopt if
// the budget or the process has no descriptor left, or, with `refused` set, if the connect fails
// immediately.
std::optional<Socket> Connect(const Address& to, DescriptorBudget* budget, bool& refused);

}  // namespace paddlestile

#endif  // PADDLESTILE_EVENT_SOCKET_H_
