// A listening TCP socket on the event loop.
#ifndef PADDLESTILE_GATEWAY_LISTENING_SOCKET_H_
#define PADDLESTILE_GATEWAY_LISTENING_SOCKET_H_

#include <cstdint>
#include <functional>

#include "base/address.h"
#include "base/file_descriptor.h"
#include "event/event_loop.h"

namespace paddlestile {

// Owns the descriptor. Reports pending connections while watched; accepting is the owner's.
class ListeningSocket final : public EventLoop::Handler {
 public:
  // Listens on `address`, or takes `inherited` over where that is a listening socket. `shared`:
  // another process may listen on the address too. Throws std::system_error.
  ListeningSocket(EventLoop& loop, const Address& address, FileDescriptor inherited, bool shared,
                  std::function<void()> on_pending_connections);
  ListeningSocket(const ListeningSocket&) = delete;
  ListeningSocket& operator=(const ListeningSocket&) = delete;
  virtual ~ListeningSocket();

  // Starts or stops reporting; connections that are pending already are reported at once. False
  // where the kernel refuses.
  bool SetWatched(bool watched);

  [[nodiscard]] int fd() const { return fd_.get(); }
  // With the port that the kernel chose where any was asked for.
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
