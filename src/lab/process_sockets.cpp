#include "lab/process_sockets.h"

#include <arpa/inet.h>
#include <fmt/format.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <sys/syscall.h>
#include <unistd.h>

#include <charconv>
#include <filesystem>
#include <optional>
#include <string>
#include <system_error>

#include "base/file_descriptor.h"
#include "event/socket.h"

namespace paddlestile::lab {
namespace {

// The descriptor numbers of a process's open sockets.
std::vector<int> SocketsOf(pid_t pid) {
  std::vector<int> sockets;
  std::error_code error;
  const std::string folder = fmt::format("/proc/{}/fd", pid);
  for (const auto& entry : std::filesystem::directory_iterator(folder, error)) {
    const std::string target = std::filesystem::read_symlink(entry.path(), error).string();
    const std::string name = entry.path().filename().string();
    int number = -1;
    std::from_chars(name.data(), name.data() + name.size(), number);
    if (number >= 0 && target.starts_with("socket:")) {
      sockets.push_back(number);
    }
  }
  return sockets;
}

std::optional<Address> PeerOf(int socket) {
  sockaddr_in peer{};
  socklen_t size = sizeof(peer);
  if (getpeername(socket, reinterpret_cast<sockaddr*>(&peer), &size) != 0 ||
      peer.sin_family != AF_INET) {
    return std::nullopt;
  }
  return Address{ntohl(peer.sin_addr.s_addr), ntohs(peer.sin_port)};
}

}  // namespace

std::vector<Address> AcceptedConnections(pid_t pid, const Address& listen) {
  std::vector<Address> clients;
  const FileDescriptor process(static_cast<int>(syscall(SYS_pidfd_open, pid, 0)));
  if (!process) {
    return clients;
  }
  for (const int number : SocketsOf(pid)) {
    const FileDescriptor copy(static_cast<int>(syscall(SYS_pidfd_getfd, process.get(), number, 0)));
    if (!copy || LocalAddress(copy.get()) != listen) {
      continue;
    }
    if (const auto peer = PeerOf(copy.get())) {
      clients.push_back(*peer);
    }
  }
  return clients;
}

}  // namespace paddlestile::lab
