#include "event/socket.h"

#include <arpa/inet.h>
#include <linux/filter.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

#include <cerrno>
#include <chrono>

namespace paddlestile {

namespace {

sockaddr_in ToSocketAddress(const Address& address) {
  sockaddr_in result{};
  result.sin_family = AF_INET;
  result.sin_port = htons(address.port);
  result.sin_addr.s_addr = htonl(address.host);
  return result;
}

// Directs all new connections to the newest of several sockets that listen on the same address, so
// that an older one can empty its accept queue. By default the kernel distributes them.
void PreferNewestListener(int fd) {
  sock_filter select_newest{BPF_RET | BPF_K, 0, 0, 1};
  const sock_fprog program{1, &select_newest};
  setsockopt(fd, SOL_SOCKET, SO_ATTACH_REUSEPORT_CBPF, &program, sizeof(program));
}

std::optional<tcp_info> TcpInfo(int fd) {
  tcp_info info{};
  socklen_t size = sizeof(info);
  if (getsockopt(fd, IPPROTO_TCP, TCP_INFO, &info, &size) != 0 || size < sizeof(info)) {
    return std::nullopt;
  }
  return info;
}

}  // namespace

FileDescriptor Listen(const Address& listen, int backlog, bool shared) {
  FileDescriptor fd(::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0));
  const int enabled = 1;
  const sockaddr_in address = ToSocketAddress(listen);
  const auto* const name = reinterpret_cast<const sockaddr*>(&address);
  if (!fd || setsockopt(fd.get(), SOL_SOCKET, SO_REUSEADDR, &enabled, sizeof(enabled)) != 0 ||
      (shared && setsockopt(fd.get(), SOL_SOCKET, SO_REUSEPORT, &enabled, sizeof(enabled)) != 0) ||
      bind(fd.get(), name, sizeof(address)) != 0 || ::listen(fd.get(), backlog) != 0) {
    const int error = errno;
    fd.Reset();
    errno = error;
  }
  if (fd && shared) {
    PreferNewestListener(fd.get());
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

std::optional<size_t> AcceptQueueLength(int fd) {
  const std::optional<tcp_info> info = TcpInfo(fd);
  // For a listening socket the kernel reports the length of the accept queue in this field.
  return info ? std::optional<size_t>(info->tcpi_unacked) : std::nullopt;
}

std::optional<Duration> TimeSinceLastData(int fd) {
  const std::optional<tcp_info> info = TcpInfo(fd);
  return info ? std::optional<Duration>(std::chrono::milliseconds(info->tcpi_last_data_recv))
              : std::nullopt;
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
  const int enabled = 1;
  setsockopt(socket.get(), IPPROTO_TCP, TCP_NODELAY, &enabled, sizeof(enabled));
  const sockaddr_in address = ToSocketAddress(to);
  if (connect(socket.get(), reinterpret_cast<const sockaddr*>(&address), sizeof(address)) != 0 &&
      errno != EINPROGRESS && errno != EINTR) {
    refused = true;
    return std::nullopt;
  }
  return socket;
}

}  // namespace paddlestile
