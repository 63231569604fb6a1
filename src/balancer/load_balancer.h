// The decision module: handles events and returns actions. It does no I/O and uses no clock, thread
// or global variable. The caller passes the time, performs the actions and reports their results as
// events. The same events with the same seed give the same actions.
#ifndef PADDLESTILE_BALANCER_LOAD_BALANCER_H_
#define PADDLESTILE_BALANCER_LOAD_BALANCER_H_

#include <cstdint>
#include <memory>
#include <vector>

#include "balancer/events.h"
#include "balancer/settings.h"
#include "balancer/statistics.h"
#include "base/time.h"

namespace paddlestile {

struct LearnedState;  // learned_state.h

// Makes the decisions of one gateway. Not thread-safe.
class LoadBalancer {
 public:
  // `seed` initializes the random numbers. Throws std::invalid_argument, which names the setting,
  // if ValidateSettings does.
  LoadBalancer(const Settings& settings, uint64_t seed);
  ~LoadBalancer();
  LoadBalancer(LoadBalancer&&) noexcept;
  LoadBalancer& operator=(LoadBalancer&&) noexcept;

  // Handles one event and appends the resulting actions to `actions`, in the order in which they
  // must be performed. `now` must not decrease between calls. Throws std::invalid_argument for new
  // settings or quotas that are out of range; the previous ones then stay in force.
  void Handle(Time now, const Event& event, std::vector<Action>& actions);

  // Counters since construction. The reference is valid for the lifetime of this object.
  [[nodiscard]] const Statistics& statistics() const;

  // What was learned about endpoints and requests, for export. The reference is valid for the
  // lifetime of this object; its content changes with each event.
  [[nodiscard]] const LearnedState& learned_state() const;

  // Imports what another load balancer has learned about the same fleet (see ImportState).
  void ImportLearnedState(Time now, const LearnedState& learned);

 private:
  struct Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace paddlestile

#endif  // PADDLESTILE_BALANCER_LOAD_BALANCER_H_
