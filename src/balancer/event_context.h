// What the modules of one load balancer are given with each event: time, settings, random numbers
// and the list of actions.
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

// The only source of chance: the same seed and calls give the same numbers.
class RandomSource {
 public:
  explicit RandomSource(uint64_t seed) : engine_(seed) {}

  // In [0, 1).
  double Uniform() { return std::uniform_real_distribution<double>(0, 1)(engine_); }
  // In [0, count); `count` is above 0. Draws a number for a count of 1 too.
  size_t IndexBelow(size_t count) {
    return static_cast<size_t>(Uniform() * static_cast<double>(count)) % count;
  }

 private:
  std::mt19937_64 engine_;
};

// Lives as long as one event is handled; owns nothing.
struct EventContext {
  Time now;
  const Settings& settings;
  RandomSource& random;
  std::vector<Action>& actions;

  // `action`: one of the types of Action.
  template <typename T>
  void Emit(T action) const {
    actions.emplace_back(std::move(action));
  }
};

}  // namespace paddlestile

#endif  // PADDLESTILE_BALANCER_EVENT_CONTEXT_H_
