// Peers for the tests of src/gateway: plain sockets on loopback that a test reads and writes by
// hand, and a loop that runs until something holds. Nothing here answers by itself.
#ifndef PADDLESTILE_TESTS_GATEWAY_TEST_PEERS_H_
#define PADDLESTILE_TESTS_GATEWAY_TEST_PEERS_H_

#include <arpa/inet.h>
#include <fcntl.h>
#include <gtest/gtest.h>
#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cerrno>
#include <functional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "balancer/load_balancer_fixture.h"
#include "config/gateway_config.h"
#include "event/event_loop.h"
#include "event/stream.h"

namespace paddlestile::testing {

using paddlestile::testing::Ms;

// Runs the loop until `holds`, for five seconds at most.
inline bool RunUntil(EventLoop& loop, const std::function<bool()>& holds,
                     Duration at_most = Ms(5000)) {
  const Time end = loop.Now() + at_most;
  while (!holds()) {
    if (loop.Now() > end) {
      return false;
    }
    loop.RunOnce(Ms(2));
  }
  return true;
}
inline void RunFor(EventLoop& loop, Duration time) {
  RunUntil(
      loop, [] { return false; }, time);
}

inline void MakeNonBlocking(int fd) {
  fcntl(fd, F_SETFL, fcntl(fd, F_GETFL) | O_NONBLOCK);
}

// The far end of a connection.
class Peer {
 public:
  Peer() = default;
  explicit Peer(FileDescriptor fd) : fd_(std::move(fd)) { MakeNonBlocking(fd_.get()); }
  explicit operator bool() const { return static_cast<bool>(fd_); }

  // Connects to a listener on loopback.
  static Peer To(const Address& to) {
    FileDescriptor fd(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0));
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(to.port);
    address.sin_addr.s_addr = htonl(to.host);
    EXPECT_EQ(connect(fd.get(), reinterpret_cast<sockaddr*>(&address), sizeof(address)), 0);
    return Peer(std::move(fd));
  }

  void Send(std::string_view text) {
    while (!text.empty()) {
      const ssize_t n = send(fd_.get(), text.data(), text.size(), MSG_NOSIGNAL);
      if (n <= 0) {
        return;
      }
      text.remove_prefix(static_cast<size_t>(n));
    }
  }
  // All that has come so far.
  const std::string& Received() {
    char bytes[4096];
    while (fd_ && !ended_) {
      const ssize_t n = recv(fd_.get(), bytes, sizeof(bytes), 0);
      if (n > 0) {
        received_.append(bytes, static_cast<size_t>(n));
      } else {
        if (n == 0 || (errno != EAGAIN && errno != EINTR)) {
          ended_ = true;
        }
        if (n < 0 && errno == EINTR) {
          continue;
        }
        return received_;
      }
    }
    return received_;
  }
  bool Has(std::string_view text) { return Received().find(text) != std::string::npos; }
  bool Ended() {
    Received();
    return ended_;
  }
  void ClearReceived() {
    Received();
    received_.clear();
  }
  void Close() { fd_.Reset(); }
  // A close that the other side sees as a reset.
  void Reset() {
    const linger now{1, 0};
    setsockopt(fd_.get(), SOL_SOCKET, SO_LINGER, &now, sizeof(now));
    fd_.Reset();
  }
  void ShutdownWrite() { shutdown(fd_.get(), SHUT_WR); }
  [[nodiscard]] int fd() const { return fd_.get(); }

 private:
  FileDescriptor fd_;
  std::string received_;
  bool ended_ = false;
};

// A listening socket on loopback whose connections the test takes one by one.
class Port {
 public:
  explicit Port(int backlog = 64) : fd_(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0)) {
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    EXPECT_EQ(bind(fd_.get(), reinterpret_cast<sockaddr*>(&address), sizeof(address)), 0);
    EXPECT_EQ(listen(fd_.get(), backlog), 0);
    socklen_t size = sizeof(address);
    getsockname(fd_.get(), reinterpret_cast<sockaddr*>(&address), &size);
    address_ = {INADDR_LOOPBACK, ntohs(address.sin_port)};
    MakeNonBlocking(fd_.get());
  }
  [[nodiscard]] const Address& address() const { return address_; }
  [[nodiscard]] std::string text() const { return ToText(address_); }

  // The next connection, or none yet.
  Peer TryAccept() {
    FileDescriptor fd(accept4(fd_.get(), nullptr, nullptr, SOCK_CLOEXEC));
    return fd ? Peer(std::move(fd)) : Peer();
  }
  Peer Accept(EventLoop& loop) {
    Peer peer;
    EXPECT_TRUE(RunUntil(loop, [&] { return static_cast<bool>(peer = TryAccept()); }));
    return peer;
  }
  void Close() { fd_.Reset(); }

 private:
  FileDescriptor fd_;
  Address address_;
};

// A host whose connections never come up: its backlog is full, and the kernel drops what comes.
class UnreachableHost {
 public:
  explicit UnreachableHost(EventLoop& loop) {
    for (int i = 0; i < 4; ++i) {
      FileDescriptor fd(::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0));
      sockaddr_in address{};
      address.sin_family = AF_INET;
      address.sin_port = htons(port_.address().port);
      address.sin_addr.s_addr = htonl(port_.address().host);
      (void)connect(fd.get(), reinterpret_cast<sockaddr*>(&address), sizeof(address));
      filling_.emplace_back(std::move(fd));
    }
    RunFor(loop, Ms(10));
  }
  [[nodiscard]] const Address& address() const { return port_.address(); }
  // From now on what comes is let in: what was dropped comes again a second after its first try.
  void StartAccepting() { filling_.clear(); }
  // The next that was let in, but for those that filled the backlog.
  Peer TryAccept() {
    Peer peer = port_.TryAccept();
    while (peer && peer.Ended()) {
      peer = port_.TryAccept();
    }
    return peer;
  }

 private:
  Port port_{0};
  std::vector<Peer> filling_;
};

// Two ends of one connection, the first on a loop.
inline std::pair<FileDescriptor, Peer> Pair() {
  int fds[2] = {-1, -1};
  EXPECT_EQ(socketpair(AF_UNIX, SOCK_STREAM | SOCK_CLOEXEC, 0, fds), 0);
  MakeNonBlocking(fds[0]);
  return {FileDescriptor(fds[0]), Peer(FileDescriptor(fds[1]))};
}

inline std::string Http200(std::string_view body, std::string_view headers = "") {
  return "HTTP/1.1 200 OK\r\n" + std::string(headers) +
         "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + std::string(body);
}

}  // namespace paddlestile::testing

#endif  // PADDLESTILE_TESTS_GATEWAY_TEST_PEERS_H_
