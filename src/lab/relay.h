// A link among gateways that can be cut, slowed and spoilt, one way or both. What is cut off is
// held back, as a network does that sends again, and comes once the cut is over.
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

struct RelayWay {
  int cuts = 0;  // how many faults cut it
  UniformRange delay_ms{0, 0};
  size_t bytes_per_s = 0;  // 0: as fast as it goes
  double noise = 0;        // share of the pieces that are spoilt
};

class Relay {
 public:
  // Listens at once; throws std::system_error.
  Relay(EventLoop& loop, const Address& listen, const Address& to, uint64_t seed);
  ~Relay();
  Relay(const Relay&) = delete;
  Relay& operator=(const Relay&) = delete;

  // From the one that dials, and to it. Changed() after a change of either.
  RelayWay there, back;
  void Changed();
  void Reset();  // ends all connections with resets

 private:
  class Pipe;
  EventLoop& loop_;
  Address to_;
  std::mt19937_64 random_;
  std::map<Pipe*, std::unique_ptr<Pipe>> pipes_;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
  Listener listener_;
};

}  // namespace paddlestile::lab

#endif  // PADDLESTILE_LAB_RELAY_H_
