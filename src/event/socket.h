// Sockets that are counted in the descriptor budget; listening and connecting.
#ifndef PADDLESTILE_EVENT_SOCKET_H_
#define PADDLESTILE_EVENT_SOCKET_H_

#include <optional>
#include <utility>

#include "base/address.h"
#include "base/file_descriptor.h"
#include "event/descriptor_budget.h"

namespace paddlestile {

// An owned descriptor that counts in a budget until it is closed. The budget, which may be null,
// outlives the socket and has granted the descriptor already.
class Socket {
 public:
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

// A non-blocking socket that listens at `listen` with SO_REUSEADDR. `shared`: other processes of
// the same user may listen there too (SO_REUSEPORT); the newest then gets all new connections.
// Returns an empty descriptor where the kernel refuses, with errno set.
FileDescriptor Listen(const Address& listen, int backlog, bool shared);
// The address that a socket is bound to; a default one where it is not.
Address LocalAddress(int fd);

// Begins a non-blocking TCP connection to `to`. `budget` may be null: the descriptor then comes out
// of the reserve. Returns nothing where the budget or the kernel has no descriptor, or, with
// `refused` set, where the connection itself fails at once.
std::optional<Socket> Connect(const Address& to, DescriptorBudget* budget, bool& refused);

}  // namespace paddlestile

#endif  // PADDLESTILE_EVENT_SOCKET_H_
