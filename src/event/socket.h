// Sockets that are counted in the descriptor budget; listening and connecting.
#ifndef PADDLESTILE_EVENT_SOCKET_H_
#define PADDLESTILE_EVENT_SOCKET_H_

#include <optional>
#include <utility>

#include "base/address.h"
#include "base/file_descriptor.h"
#include "event/descriptor_budget.h"

namespace paddlestile {

// A descriptor counted in the budget for as long as it is open.
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

// A listening socket; none where the kernel refuses, with errno. `shared`: others of the same user
// may listen there too.
FileDescriptor Listen(const Address& listen, int backlog, bool shared);
// Where a socket is bound.
Address LocalAddress(int fd);

// Begins a connection, out of the reserve where no budget is given. Nothing where the budget or the
// kernel has no descriptor; `refused` where the address itself gives none.
std::optional<Socket> Connect(const Address& to, DescriptorBudget* budget, bool& refused);

}  // namespace paddlestile

#endif  // PADDLESTILE_EVENT_SOCKET_H_
