#include "lab/listener.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cerrno>
#include <system_error>
#include <utility>

namespace paddlestile::lab {
namespace {

constexpr int kBacklog = 4096;
constexpr int kFillers = 3;  // a queue of 0 still holds one

sockaddr_in ToSock(const Address& at) {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(at.port);
  address.sin_addr.s_addr = htonl(at.host);
  return address;
}

}  // namespace

Address OwnAddress(size_t place) {
  const auto pid = static_cast<uint32_t>(getpid());
  const uint32_t x = 64 + pid / 256 % 128, y = pid % 256;
  constexpr size_t kHosts = 250;
  return {0x7f000000U | x << 16 | y << 8 | static_cast<uint32_t>(1 + place % kHosts),
          static_cast<uint16_t>(20'000 + place / kHosts)};
}

Listener::Listener(EventLoop& loop, const Address& at, std::function<void(FileDescriptor)> accepted)
    : loop_(loop), at_(at), accepted_(std::move(accepted)) {
  fd_ = FileDescriptor(::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0));
  const int on = 1;
  const sockaddr_in address = ToSock(at);
  if (!fd_ || setsockopt(fd_.get(), SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on)) != 0 ||
      bind(fd_.get(), reinterpret_cast<const sockaddr*>(&address), sizeof(address)) != 0 ||
      listen(fd_.get(), kBacklog) != 0 || !loop_.Watch(fd_.get(), this, token_)) {
    throw std::system_error(errno, std::generic_category(), "listen on " + ToText(at));
  }
}

Listener::~Listener() {
  loop_.Unwatch(fd_.get(), token_);
}

void Listener::OnEvents(uint32_t) {
  Accept();
}

void Listener::Accept() {
  while (!off_) {
    FileDescriptor fd(accept4(fd_.get(), nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC));
    if (!fd) {
      return;
    }
    const int on = 1;
    setsockopt(fd.get(), IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
    accepted_(std::move(fd));
  }
}

void Listener::CutOff(bool off) {
  if (off_ == off) {
    return;
  }
  off_ = off;
  if (!off) {
    fillers_.clear();
    listen(fd_.get(), kBacklog);
    return Accept();
  }
  // With its queue full the kernel drops what asks for a connection, as a cut link does.
  listen(fd_.get(), 0);
  for (int i = 0; i < kFillers; ++i) {
    FileDescriptor fd(::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0));
    const sockaddr_in address = ToSock(at_);
    (void)connect(fd.get(), reinterpret_cast<const sockaddr*>(&address), sizeof(address));
    fillers_.push_back(std::move(fd));
  }
}

}  // namespace paddlestile::lab
