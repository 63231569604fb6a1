#include "event/socket.h"

#include <arpa/inet.h>
#include <linux/filter.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

#include <cerrno>

namespace paddlestile {

FileDescriptor Listen(const Address& listen, int backlog, bool shared) {
  FileDescriptor fd(::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0));
  const int on = 1;
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(listen.port);
  address.sin_addr.s_addr = htonl(listen.host);
  const auto* const name = reinterpret_cast<const sockaddr*>(&address);
  if (!fd || setsockopt(fd.get(), SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on)) != 0 ||
      (shared && setsockopt(fd.get(), SOL_SOCKET, SO_REUSEPORT, &on, sizeof(on)) != 0) ||
      bind(fd.get(), name, sizeof(address)) != 0 || ::listen(fd.get(), backlog) != 0) {
    const int error = errno;
    fd.Reset();
    errno = error;
  }
  // Of several that listen there the newest gets all that comes, and the one that leaves can empty
  // its queue. Without this, or with one alone, the kernel chooses.
  sock_filter newest{BPF_RET | BPF_K, 0, 0, 1};
  const sock_fprog choice{1, &newest};
  if (fd && shared) {
    setsockopt(fd.get(), SOL_SOCKET, SO_ATTACH_REUSEPORT_CBPF, &choice, sizeof(choice));
  }
  return fd;
}

Address LocalAddress(int fd) {
  sockaddr_in address{};
  socklen_t size = sizeof(address);
  if (getsockname(fd, reinterpret_cast<sockaddr*>(&address), &size) != 0) {
    return {};
  }
  return {ntohl(address.sin_addr.s_addr), ntohs(address.sin_port)};
}

std::optional<Socket> Connect(const Address& to, DescriptorBudget* budget, bool& refused) {
  refused = false;
  if (budget != nullptr && !budget->TryAcquire()) {
    return std::nullopt;
  }
  Socket socket(FileDescriptor(::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0)),
                budget);
  if (socket.get() < 0) {
    return std::nullopt;
  }
  const int on = 1;
  setsockopt(socket.get(), IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(to.port);
  address.sin_addr.s_addr = htonl(to.host);
  if (connect(socket.get(), reinterpret_cast<const sockaddr*>(&address), sizeof(address)) != 0 &&
      errno != EINPROGRESS && errno != EINTR) {
    refused = true;
    return std::nullopt;
  }
  return socket;
}

}  // namespace paddlestile
