// Network peers for the tests of src/gateway: plain loopback sockets that a test reads and writes
// explicitly, and helpers that run the event loop until a condition holds. Nothing here responds on
// its own.
#ifndef PADDLESTILE_TESTS_GATEWAY_TEST_PEERS_H_
#define PADDLESTILE_TESTS_GATEWAY_TEST_PEERS_H_

#include <arpa/inet.h>
#include <fcntl.h>
#include <gtest/gtest.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
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

// Runs the loop until `condition` holds; returns false if `timeout` passes first.
inline bool RunUntil(EventLoop& loop, const std::function<bool()>& condition,
                     Duration timeout = Ms(5000)) {
  const Time end = loop.Now() + timeout;
  while (!condition()) {
    if (loop.Now() > end) {
      return false;
    }
    loop.RunOnce(Ms(2));
  }
  return true;
}
// Runs the loop for `duration`.
inline void RunFor(EventLoop& loop, Duration duration) {
  RunUntil(
      loop, [] { return false; }, duration);
}

inline void MakeNonBlocking(int fd) {
  fcntl(fd, F_SETFL, fcntl(fd, F_GETFL) | O_NONBLOCK);
}

// The remote end of a connection to the code under test. Non-blocking.
class Peer {
 public:
  Peer() = default;
  explicit Peer(FileDescriptor fd) : fd_(std::move(fd)) { MakeNonBlocking(fd_.get()); }
  explicit operator bool() const { return static_cast<bool>(fd_); }

  // Connects to a listener on loopback.
  static Peer To(const Address& to) {
    return Connect(FileDescriptor(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0)), to);
  }
  // Connects like To, with small segments and a small receive buffer: the kernel then takes some
  // 100 KiB of what this peer does not read, and not several megabytes.
  static Peer SmallReaderTo(const Address& to) {
    constexpr int kSegmentBytes = 1024;
    constexpr int kReceiveBufferBytes = 4096;
    FileDescriptor fd(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0));
    setsockopt(fd.get(), IPPROTO_TCP, TCP_MAXSEG, &kSegmentBytes, sizeof(kSegmentBytes));
    setsockopt(fd.get(), SOL_SOCKET, SO_RCVBUF, &kReceiveBufferBytes, sizeof(kReceiveBufferBytes));
    return Connect(std::move(fd), to);
  }

  // Sends `text`, or as much of it as the socket buffer takes.
  void Send(std::string_view text) {
    while (!text.empty()) {
      const ssize_t n = send(fd_.get(), text.data(), text.size(), MSG_NOSIGNAL);
      if (n <= 0) {
        return;
      }
      text.remove_prefix(static_cast<size_t>(n));
    }
  }
  // Reads what has arrived. Returns everything received since the last ClearReceived.
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
  // Whether `text` has been received.
  bool Has(std::string_view text) { return Received().find(text) != std::string::npos; }
  // Whether the other side has closed or reset the connection.
  bool Ended() {
    Received();
    return ended_;
  }
  // Reads and discards what has arrived.
  void ClearReceived() {
    Received();
    received_.clear();
  }
  void Close() { fd_.Reset(); }
  // Closes the connection so that the other side sees a reset.
  void Reset() {
    const linger reset_on_close{1, 0};
    setsockopt(fd_.get(), SOL_SOCKET, SO_LINGER, &reset_on_close, sizeof(reset_on_close));
    fd_.Reset();
  }
  void ShutdownWrite() { shutdown(fd_.get(), SHUT_WR); }
  [[nodiscard]] int fd() const { return fd_.get(); }

 private:
  static Peer Connect(FileDescriptor fd, const Address& to) {
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(to.port);
    address.sin_addr.s_addr = htonl(to.host);
    EXPECT_EQ(connect(fd.get(), reinterpret_cast<sockaddr*>(&address), sizeof(address)), 0);
    return Peer(std::move(fd));
  }

  FileDescriptor fd_;
  std::string received_;
  bool ended_ = false;
};

// A listening socket on loopback whose connections the test accepts explicitly.
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

  // Accepts the next pending connection; returns an empty Peer if there is none.
  Peer TryAccept() {
    FileDescriptor fd(accept4(fd_.get(), nullptr, nullptr, SOCK_CLOEXEC));
    return fd ? Peer(std::move(fd)) : Peer();
  }
  // Runs the loop until a connection is pending, and accepts it.
  Peer Accept(EventLoop& loop) {
    Peer peer;
    EXPECT_TRUE(RunUntil(loop, [&] { return static_cast<bool>(peer = TryAccept()); }));
    return peer;
  }
  // Sets the receive buffer of the connections that are accepted from now on.
  void SetReceiveBuffer(int bytes) {
    EXPECT_EQ(setsockopt(fd_.get(), SOL_SOCKET, SO_RCVBUF, &bytes, sizeof(bytes)), 0);
  }
  void Close() { fd_.Reset(); }

 private:
  FileDescriptor fd_;
  Address address_;
};

// A host to which no connection is established: its backlog is full, so the kernel drops SYNs.
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
      backlog_connections_.emplace_back(std::move(fd));
    }
    RunFor(loop, Ms(10));
  }
  [[nodiscard]] const Address& address() const { return port_.address(); }
  // Accepts connections from now on. A client retransmits a dropped SYN one second after its first
  // attempt.
  void StartAccepting() { backlog_connections_.clear(); }
  // Accepts the next pending connection, except for those that filled the backlog.
  Peer TryAccept() {
    Peer peer = port_.TryAccept();
    while (peer && peer.Ended()) {
      peer = port_.TryAccept();
    }
    return peer;
  }

 private:
  Port port_{0};
  std::vector<Peer> backlog_connections_;
};

// A connected socket pair. The first end is non-blocking, for use on an event loop.
inline std::pair<FileDescriptor, Peer> Pair() {
  int fds[2] = {-1, -1};
  EXPECT_EQ(socketpair(AF_UNIX, SOCK_STREAM | SOCK_CLOEXEC, 0, fds), 0);
  MakeNonBlocking(fds[0]);
  return {FileDescriptor(fds[0]), Peer(FileDescriptor(fds[1]))};
}

// A 200 response with the given body and additional header lines.
inline std::string Http200(std::string_view body, std::string_view headers = "") {
  return "HTTP/1.1 200 OK\r\n" + std::string(headers) +
         "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + std::string(body);
}

}  // namespace paddlestile::testing

#endif  // PADDLESTILE_TESTS_GATEWAY_TEST_PEERS_H_
