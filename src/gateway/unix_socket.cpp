#include "gateway/unix_socket.h"

#include <fcntl.h>
#include <fmt/format.h>
#include <poll.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/time.h>
#include <sys/un.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <chrono>
#include <cstring>
#include <optional>

namespace paddlestile {
namespace {

constexpr int kBacklog = 4;
constexpr Duration kConnectTimeout = std::chrono::milliseconds(500);
constexpr size_t kMaxReceiveBytes = 16'384;  // per call

struct UnixAddress {
  sockaddr_un address{};
  FileDescriptor directory;  // must stay open while the address is used
  [[nodiscard]] const sockaddr* get() const { return reinterpret_cast<const sockaddr*>(&address); }
};

// A path that is too long for sockaddr_un is replaced by one through /proc/self/fd and its open
// directory. Returns nullopt if that fails.
std::optional<UnixAddress> MakeUnixAddress(const std::string& path) {
  UnixAddress result;
  result.address.sun_family = AF_UNIX;
  constexpr size_t kMaxPathBytes = sizeof(result.address.sun_path);
  std::string text = path;
  if (text.size() >= kMaxPathBytes) {
    const size_t slash = path.rfind('/');
    result.directory =
        FileDescriptor(open(path.substr(0, slash).c_str(), O_PATH | O_DIRECTORY | O_CLOEXEC));
    if (!result.directory) {
      return std::nullopt;
    }
    text = fmt::format("/proc/self/fd/{}{}", result.directory.get(), path.substr(slash));
    if (text.size() >= kMaxPathBytes) {
      return std::nullopt;
    }
  }
  std::memcpy(result.address.sun_path, text.c_str(), text.size() + 1);
  return result;
}

// Returns the last descriptor in the control data of a received message, or an empty descriptor.
FileDescriptor PassedDescriptor(msghdr& message) {
  FileDescriptor passed_fd;
  for (cmsghdr* header = CMSG_FIRSTHDR(&message); header != nullptr;
       header = CMSG_NXTHDR(&message, header)) {
    if (header->cmsg_level != SOL_SOCKET || header->cmsg_type != SCM_RIGHTS) {
      continue;
    }
    int fd = -1;
    std::memcpy(&fd, CMSG_DATA(header), sizeof(fd));
    passed_fd = FileDescriptor(fd);
  }
  return passed_fd;
}

}  // namespace

FileDescriptor ConnectUnix(const std::string& path) {
  FileDescriptor fd(::socket(AF_UNIX, SOCK_STREAM | SOCK_CLOEXEC, 0));
  if (!fd) {
    return {};
  }
  // Without a timeout, connect would block forever if a hung process has let its queue fill up.
  const timeval timeout{0, kConnectTimeout.count()};
  setsockopt(fd.get(), SOL_SOCKET, SO_SNDTIMEO, &timeout, sizeof(timeout));
  const auto address = MakeUnixAddress(path);
  if (!address || connect(fd.get(), address->get(), sizeof(address->address)) != 0) {
    return {};
  }
  return fd;
}

FileDescriptor ListenUnix(const std::string& path) {
  FileDescriptor fd(::socket(AF_UNIX, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0));
  unlink(path.c_str());  // may be left by a killed process, or belong to the previous process
  if (!fd) {
    return {};
  }
  const auto address = MakeUnixAddress(path);
  const bool listens = address && bind(fd.get(), address->get(), sizeof(address->address)) == 0 &&
                       chmod(path.c_str(), S_IRUSR | S_IWUSR) == 0 &&
                       ::listen(fd.get(), kBacklog) == 0;
  if (!listens) {
    const int error = errno;
    fd.Reset();
    errno = error;
  }
  return fd;
}

bool IsPeerOfSameUser(int fd) {
  ucred peer{};
  socklen_t size = sizeof(peer);
  return getsockopt(fd, SOL_SOCKET, SO_PEERCRED, &peer, &size) == 0 && peer.uid == geteuid();
}

uint64_t InodeOf(const std::string& path) {
  struct stat file {};
  return stat(path.c_str(), &file) == 0 ? file.st_ino : 0;
}

bool SendLine(int fd, const std::string& line, int passed_fd) {
  iovec part{const_cast<char*>(line.data()), line.size()};
  msghdr message{};
  message.msg_iov = &part;
  message.msg_iovlen = 1;
  alignas(cmsghdr) char control[CMSG_SPACE(sizeof(int))] = {};
  if (passed_fd >= 0) {
    message.msg_control = control;
    message.msg_controllen = sizeof(control);
    cmsghdr* const header = CMSG_FIRSTHDR(&message);
    header->cmsg_level = SOL_SOCKET;
    header->cmsg_type = SCM_RIGHTS;
    header->cmsg_len = CMSG_LEN(sizeof(int));
    std::memcpy(CMSG_DATA(header), &passed_fd, sizeof(int));
  }
  return sendmsg(fd, &message, MSG_NOSIGNAL) == static_cast<ssize_t>(line.size());
}

InputStatus WaitForInput(int fd, Duration timeout) {
  pollfd readable{fd, POLLIN, 0};
  const auto timeout_ms = std::chrono::duration_cast<std::chrono::milliseconds>(timeout).count();
  if (poll(&readable, 1, static_cast<int>(timeout_ms)) <= 0) {
    return InputStatus::kNone;
  }
  char byte = 0;
  return recv(fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT) > 0 ? InputStatus::kReadable
                                                         : InputStatus::kEnded;
}

bool ReceiveBytes(int fd, size_t max_bytes, Duration timeout, std::string& text,
                  FileDescriptor& passed_fd) {
  pollfd readable{fd, POLLIN, 0};
  const auto timeout_ms = std::chrono::duration_cast<std::chrono::milliseconds>(timeout).count();
  if (poll(&readable, 1, static_cast<int>(timeout_ms)) <= 0) {
    return false;
  }
  char bytes[kMaxReceiveBytes];
  iovec part{bytes, std::min(max_bytes, sizeof(bytes))};
  alignas(cmsghdr) char control[CMSG_SPACE(sizeof(int))] = {};
  msghdr message{};
  message.msg_iov = &part;
  message.msg_iovlen = 1;
  message.msg_control = control;
  message.msg_controllen = sizeof(control);
  const ssize_t received = recvmsg(fd, &message, MSG_CMSG_CLOEXEC);
  if (received <= 0) {
    return false;
  }
  if (FileDescriptor descriptor = PassedDescriptor(message)) {
    passed_fd = std::move(descriptor);
  }
  text.append(bytes, static_cast<size_t>(received));
  return true;
}

bool ReceiveLine(int fd, size_t max_bytes, Duration timeout, std::string& line,
                 FileDescriptor& passed_fd) {
  line.clear();
  // Reads a byte at a time, because the caller reads what follows the line.
  while (line.empty() || line.back() != '\n') {
    if (line.size() >= max_bytes || !ReceiveBytes(fd, 1, timeout, line, passed_fd)) {
      return false;
    }
  }
  line.pop_back();
  return true;
}

}  // namespace paddlestile
