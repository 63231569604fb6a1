// When the gateway requests the endpoint list in DiscoveryMode::kPoll.
#ifndef PADDLESTILE_BALANCER_DISCOVERY_SCHEDULE_H_
#define PADDLESTILE_BALANCER_DISCOVERY_SCHEDULE_H_

#include "balancer/event_context.h"

namespace paddlestile {

// Token of the timer that OnTimer handles. It is part of the simulator's protocol and must not
// change.
constexpr const char* kDiscoveryToken = "follow";

// Starts a watch after the first list, and again after each failure with an exponential, randomized
// backoff.
class DiscoverySchedule {
 public:
  // Called after an update of any kind except kFailed was applied.
  void OnUpdate(const EventContext& context, EndpointUpdateKind kind);
  void OnFailure(const EventContext& context);
  void OnTimer(const EventContext& context) const;

 private:
  bool started_ = false;
  int failures_ = 0;  // since the last list that did not come from the cache
};

}  // namespace paddlestile

#endif  // PADDLESTILE_BALANCER_DISCOVERY_SCHEDULE_H_
