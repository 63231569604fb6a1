// The context in which the modules of a load balancer handle an event: time, settings, random
// numbers and the list of actions.
#ifndef PADDLESTILE_BALANCER_EVENT_CONTEXT_H_
#define PADDLESTILE_BALANCER_EVENT_CONTEXT_H_

#include <cstddef>
#include <cstdint>
#include <random>
#include <utility>
#include <vector>

#include "balancer/events.h"
#include "balancer/settings.h"
#include "base/time.h"

namespace paddlestile {

// The only source of random numbers. The same seed and the same sequence of calls give the same
// numbers.
class RandomSource {
 public:
  explicit RandomSource(uint64_t seed) : engine_(seed) {}

  // Returns a number in [0, 1).
  double Uniform() { return std::uniform_real_distribution<double>(0, 1)(engine_); }
  // Returns a number in [0, count). `count` must be above 0. Also advances the generator if `count`
  // is 1.
  size_t IndexBelow(size_t count) {
    return static_cast<size_t>(Uniform() * static_cast<double>(count)) % count;
  }

 private:
  std::mt19937_64 engine_;
};

// Valid while one event is handled. Owns nothing.
struct EventContext {
  Time now;
  const Settings& settings;
  RandomSource& random;
  std::vector<Action>& actions;

  // Appends an action. `T` must be one of the alternatives of Action.
  template <typename T>
  void Emit(T action) const {
    actions.emplace_back(std::move(action));
  }
};

}  // namespace paddlestile

#endif  // PADDLESTILE_BALANCER_EVENT_CONTEXT_H_
