#include "gateway/listening_socket.h"

#include <sys/socket.h>

#include <cerrno>
#include <system_error>
#include <utility>

#include "event/socket.h"

namespace paddlestile {
namespace {

constexpr int kBacklog = 4096;  // connections
// Limits how many bytes of a client the kernel buffers. Requests are shorter than this.
constexpr int kReceiveBufferBytes = 1 << 17;

}  // namespace

ListeningSocket::ListeningSocket(EventLoop& loop, const Address& address, FileDescriptor inherited,
                                 bool shared, std::function<void()> on_pending_connections)
    : loop_(loop), on_pending_connections_(std::move(on_pending_connections)) {
  fd_ = inherited ? std::move(inherited) : Listen(address, kBacklog, shared);
  if (!fd_ || setsockopt(fd_.get(), SOL_SOCKET, SO_RCVBUF, &kReceiveBufferBytes,
                         sizeof(kReceiveBufferBytes)) != 0) {
    throw std::system_error(errno, std::generic_category(), "listen on " + ToText(address));
  }
}

ListeningSocket::~ListeningSocket() {
  if (watched_) {
    loop_.Unwatch(fd_.get(), token_);
  }
}

bool ListeningSocket::SetWatched(bool watched) {
  if (watched == watched_) {
    return true;
  }
  if (!watched) {
    loop_.Unwatch(fd_.get(), token_);
  }
  watched_ = watched && loop_.Watch(fd_.get(), this, token_);
  return watched_ == watched;
}

Address ListeningSocket::address() const {
  return LocalAddress(fd_.get());
}

void ListeningSocket::OnEvents(uint32_t) {
  on_pending_connections_();
}

}  // namespace paddlestile
