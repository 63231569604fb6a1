// Slow start: the reduced capacity of endpoints that have just started, and the part of it that
// this gateway may use.
#ifndef PADDLESTILE_BALANCER_SLOW_START_H_
#define PADDLESTILE_BALANCER_SLOW_START_H_

#include <algorithm>

#include "balancer/averages.h"
#include "balancer/endpoint_subset.h"
#include "balancer/event_context.h"
#include "balancer/learned_state.h"
#include "balancer/traffic_statistics.h"

namespace paddlestile {

// Returns the minimum fraction of its full capacity that an endpoint has now; 1 once it is warm.
inline double CapacityFraction(const EventContext& context, const Endpoint& endpoint) {
  constexpr double kDurationMargin = 1.1;  // clocks and start times are imprecise
  const Time started_at = endpoint.info.started_at;
  const Duration warm_up = context.settings.rules.slow_start_duration;
  if (started_at <= Time(0) || context.now - started_at >= warm_up * kDurationMargin) {
    return 1;
  }
  const double initial = context.settings.rules.slow_start_initial_capacity;
  const double progress = ToUs(context.now - started_at) / ToUs(warm_up);
  return initial + (1 - initial) * std::clamp(progress, 0.0, 1.0);
}

// Keeps a token bucket for each endpoint that is warming up. Such an endpoint collapses if all
// gateways together send more than its reduced capacity, so each gateway sends only its share.
class SlowStart {
 public:
  SlowStart(const EndpointTable& endpoints, const EndpointSubset& subset,
            const TrafficStatistics& traffic)
      : endpoints_(endpoints), subset_(subset), traffic_(traffic) {}

  // Refills the endpoint's bucket and returns whether it has enough tokens for a request of `cost`,
  // in mean requests. Only for endpoints that are warming up. `warm_throughput`: requests per us of
  // the endpoint when warm; 0 if unknown.
  bool HasBudget(const EventContext& context, Endpoint& endpoint, double cost,
                 double warm_throughput) const;
  // Takes the tokens for a request from the bucket when the request is sent.
  static void Spend(Endpoint& endpoint, double cost);

 private:
  [[nodiscard]] double RatePerUs(const EventContext& context, const Endpoint& endpoint,
                                 double warm_throughput) const;

  const EndpointTable& endpoints_;
  const EndpointSubset& subset_;
  const TrafficStatistics& traffic_;
};

}  // namespace paddlestile

#endif  // PADDLESTILE_BALANCER_SLOW_START_H_
