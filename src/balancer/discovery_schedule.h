// When the gateway asks for the endpoint list, where the list has to be asked for.
#ifndef PADDLESTILE_BALANCER_DISCOVERY_SCHEDULE_H_
#define PADDLESTILE_BALANCER_DISCOVERY_SCHEDULE_H_

#include "balancer/event_context.h"

namespace paddlestile {

// The timer that OnTimer answers; an outside name, part of the simulator's protocol.
constexpr const char* kDiscoveryToken = "follow";

// Watches once after the first list, and again after each failure with a growing, random delay.
class DiscoverySchedule {
 public:
  // After an update of any kind but kFailed was applied.
  void OnUpdate(const EventContext& context, EndpointUpdateKind kind);
  void OnFailure(const EventContext& context);
  void OnTimer(const EventContext& context) const;

 private:
  bool started_ = false;
  int failures_ = 0;  // since the last list that was not from the cache
};

}  // namespace paddlestile

#endif  // PADDLESTILE_BALANCER_DISCOVERY_SCHEDULE_H_
