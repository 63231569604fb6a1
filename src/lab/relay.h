// Relays TCP connections between gateways, and can cut them, slow them down and corrupt their data,
// in one direction or both. Data sent during a cut is held and delivered afterwards, as by TCP
// retransmission.
#ifndef PADDLESTILE_LAB_RELAY_H_
#define PADDLESTILE_LAB_RELAY_H_

#include <cstddef>
#include <functional>
#include <map>
#include <memory>
#include <random>

#include "config/gateway_config.h"
#include "event/event_loop.h"
#include "lab/experiment.h"
#include "lab/listener.h"

namespace paddlestile::lab {

struct RelayDirection {
  int cuts = 0;  // number of faults that cut it at present
  UniformRange delay_ms{0, 0};
  size_t bytes_per_s = 0;      // 0: unlimited
  double corrupted_share = 0;  // share of the received chunks that are corrupted
};

class Relay {
 public:
  // Listens on `listen` at once and forwards each connection to `target`. Throws std::system_error.
  Relay(EventLoop& loop, const Address& listen, const Address& target, uint64_t seed);
  ~Relay();
  Relay(const Relay&) = delete;
  Relay& operator=(const Relay&) = delete;

  // The directions from and to the side that connects. Call ApplySettings() after a change.
  RelayDirection forward, backward;
  void ApplySettings();
  void Reset();  // closes all connections with a reset

 private:
  class Connection;
  EventLoop& loop_;
  Address target_;
  std::mt19937_64 random_;
  std::map<Connection*, std::unique_ptr<Connection>> connections_;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
  Listener listener_;
};

}  // namespace paddlestile::lab

#endif  // PADDLESTILE_LAB_RELAY_H_
