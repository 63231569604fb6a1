// A listening TCP socket on the event loop.
#ifndef PADDLESTILE_GATEWAY_LISTENING_SOCKET_H_
#define PADDLESTILE_GATEWAY_LISTENING_SOCKET_H_

#include <cstdint>
#include <functional>

#include "base/address.h"
#include "base/file_descriptor.h"
#include "event/event_loop.h"

namespace paddlestile {

// Owns a listening socket and reports pending connections while it is watched. Accepting them is up
// to the owner of this object.
class ListeningSocket final : public EventLoop::Handler {
 public:
  // Listens on `address`, or uses `inherited` if that holds a descriptor. If `shared` is true,
  // another process may listen on the same address. Throws std::system_error.
  ListeningSocket(EventLoop& loop, const Address& address, FileDescriptor inherited, bool shared,
                  std::function<void()> on_pending_connections);
  ListeningSocket(const ListeningSocket&) = delete;
  ListeningSocket& operator=(const ListeningSocket&) = delete;
  virtual ~ListeningSocket();

  // Starts or stops reporting. Connections that are already pending are reported once it starts.
  // Returns false if the event loop cannot watch the socket.
  bool SetWatched(bool watched);

  [[nodiscard]] int fd() const { return fd_.get(); }
  // Returns the address the socket is bound to, with the actual port if port 0 was requested.
  [[nodiscard]] Address address() const;

 private:
  void OnEvents(uint32_t events) override;

  EventLoop& loop_;
  std::function<void()> on_pending_connections_;
  FileDescriptor fd_;
  uint64_t token_ = 0;
  bool watched_ = false;
};

}  // namespace paddlestile

#endif  // PADDLESTILE_GATEWAY_LISTENING_SOCKET_H_
