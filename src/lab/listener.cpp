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
constexpr int kQueueFillers = 3;  // a backlog of 0 still admits one connection

sockaddr_in ToSocketAddress(const Address& at) {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(at.port);
  address.sin_addr.s_addr = htonl(at.host);
  return address;
}

}  // namespace

Address LoopbackAddress(size_t index) {
  const auto pid = static_cast<uint32_t>(getpid());
  const uint32_t x = 64 + pid / 256 % 128, third_octet = pid % 256;
  constexpr size_t kAddressesPerPort = 250;
  return {0x7f000000U | x << 16 | third_octet << 8 |
              static_cast<uint32_t>(1 + index % kAddressesPerPort),
          static_cast<uint16_t>(20'000 + index / kAddressesPerPort)};
}

Listener::Listener(EventLoop& loop, const Address& at,
                   std::function<void(FileDescriptor)> on_accepted)
    : loop_(loop), address_(at), on_accepted_(std::move(on_accepted)) {
  fd_ = FileDescriptor(::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0));
  const int on = 1;
  const sockaddr_in address = ToSocketAddress(at);
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
  while (!partitioned_) {
    FileDescriptor fd(accept4(fd_.get(), nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC));
    if (!fd) {
      return;
    }
    const int on = 1;
    setsockopt(fd.get(), IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
    on_accepted_(std::move(fd));
  }
}

void Listener::SetPartitioned(bool partitioned) {
  if (partitioned_ == partitioned) {
    return;
  }
  partitioned_ = partitioned;
  if (!partitioned) {
    queue_fillers_.clear();
    listen(fd_.get(), kBacklog);
    return Accept();
  }
  // With a full accept queue the kernel drops SYN packets, as a cut link does.
  listen(fd_.get(), 0);
  for (int i = 0; i < kQueueFillers; ++i) {
    FileDescriptor fd(::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0));
    const sockaddr_in address = ToSocketAddress(address_);
    (void)connect(fd.get(), reinterpret_cast<const sockaddr*>(&address), sizeof(address));
    queue_fillers_.push_back(std::move(fd));
  }
}

}  // namespace paddlestile::lab
