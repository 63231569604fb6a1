// The decision module: takes events, returns actions. It does no I/O and has no clock, thread or
// global: the caller passes the time, performs the actions and reports what became of them. The
// same events with the same seed give the same actions.
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

// Decides for one gateway. Not thread-safe: one caller at a time.
class LoadBalancer {
 public:
  // `seed` starts the random numbers. Throws std::invalid_argument, naming the setting, where
  // ValidateSettings does.
  LoadBalancer(const Settings& settings, uint64_t seed);
  ~LoadBalancer();
  LoadBalancer(LoadBalancer&&) noexcept;
  LoadBalancer& operator=(LoadBalancer&&) noexcept;

  // Takes one event and appends to `actions` what is to be done about it, in this order. `now`
  // never goes back between calls. Throws std::invalid_argument for new settings or quotas that
  // are out of range; the earlier ones then stay.
  void Handle(Time now, const Event& event, std::vector<Action>& actions);

  // Counts since construction. The reference is valid as long as this object.
  [[nodiscard]] const Statistics& statistics() const;

  // What was learned of endpoints and requests, for export. The reference is valid as long as this
  // object; its content changes with each event.
  [[nodiscard]] const LearnedState& learned_state() const;

  // Takes over what another load balancer has learned of the same fleet (see ImportState).
  void ImportLearnedState(Time now, const LearnedState& learned);

 private:
  struct Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace paddlestile

#endif  // PADDLESTILE_BALANCER_LOAD_BALANCER_H_
