// A listening socket of an emulated server, at a loopback address.
#ifndef PADDLESTILE_LAB_LISTENER_H_
#define PADDLESTILE_LAB_LISTENER_H_

#include <cstddef>
#include <functional>
#include <vector>

#include "config/gateway_config.h"
#include "event/event_loop.h"

namespace paddlestile::lab {

// A loopback address used only by this process: 127.x.y.z, with x and y derived from the process id
// so that labs running side by side do not collide. `index` distinguishes the addresses of a
// process.
Address LoopbackAddress(size_t index);

class Listener final : public EventLoop::Handler {
 public:
  // Starts to listen. Throws std::system_error with the address.
  Listener(EventLoop& loop, const Address& address,
           std::function<void(FileDescriptor)> on_accepted);
  Listener(const Listener&) = delete;
  Listener& operator=(const Listener&) = delete;
  virtual ~Listener();

  // Simulates a network partition: new connections are neither established nor refused. false ends
  // it.
  void SetPartitioned(bool partitioned);

 private:
  void OnEvents(uint32_t events) override;
  void Accept();

  EventLoop& loop_;
  Address address_;
  std::function<void(FileDescriptor)> on_accepted_;
  FileDescriptor fd_;
  uint64_t token_ = 0;
  bool partitioned_ = false;
  std::vector<FileDescriptor> queue_fillers_;  // own connections that fill the accept queue
};

}  // namespace paddlestile::lab

#endif  // PADDLESTILE_LAB_LISTENER_H_
