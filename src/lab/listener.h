// A listening socket of a stand-in on the loop, at an address of its own on loopback.
#ifndef PADDLESTILE_LAB_LISTENER_H_
#define PADDLESTILE_LAB_LISTENER_H_

#include <cstddef>
#include <functional>
#include <vector>

#include "config/gateway_config.h"
#include "event/event_loop.h"

namespace paddlestile::lab {

// Addresses of this process alone: 127.x.y.z with x and y from its number, so that labs side by
// side do not meet. `place` tells one stand-in from the others.
Address OwnAddress(size_t place);

class Listener final : public EventLoop::Handler {
 public:
  // Listens at once; throws std::system_error that names the address.
  Listener(EventLoop& loop, const Address& at, std::function<void(FileDescriptor)> accepted);
  Listener(const Listener&) = delete;
  Listener& operator=(const Listener&) = delete;
  virtual ~Listener();

  // A machine that is cut off: no new connection comes up, and none is refused. Undone by false.
  void CutOff(bool off);

 private:
  void OnEvents(uint32_t events) override;
  void Accept();

  EventLoop& loop_;
  Address at_;
  std::function<void(FileDescriptor)> accepted_;
  FileDescriptor fd_;
  uint64_t token_ = 0;
  bool off_ = false;
  std::vector<FileDescriptor> fillers_;  // connections of our own that fill the queue
};

}  // namespace paddlestile::lab

#endif  // PADDLESTILE_LAB_LISTENER_H_
