// Health of endpoints by the outcomes of this gateway's attempts and probes, and their ejection
// from the subset.
//
//   state             entered when                          attempts there
//   healthy           start; success while ejections > 0    any
//   ejected           error rate too high, or no            none: it is outside the subset
//                     connection, while in the subset
//   half-open trial   the ejection time is over and it is   one at a time, no unsafe request
//                     drawn into the subset again           unless nothing else is left
//
// An endpoint that is unresponsive gets no attempt in any state.
#ifndef PADDLESTILE_BALANCER_OUTLIER_DETECTION_H_
#define PADDLESTILE_BALANCER_OUTLIER_DETECTION_H_

#include "balancer/averages.h"
#include "balancer/endpoint_subset.h"
#include "balancer/event_context.h"
#include "balancer/learned_state.h"
#include "balancer/traffic_statistics.h"

namespace paddlestile {

// Writes the health fields of endpoints; refills the subset when it ejects one.
class OutlierDetection {
 public:
  OutlierDetection(EndpointSubset& subset, const TrafficStatistics& traffic)
      : subset_(subset), traffic_(traffic) {}

  // Whether nothing came back for several typical times while attempts are in flight. A hung
  // endpoint may still answer probes.
  [[nodiscard]] bool IsUnresponsive(Time now, const Endpoint& endpoint) const {
    return endpoint.attempts_in_flight > 0 &&
           ToUs(now - endpoint.last_response_at) >
               kUnresponsiveAfterMeanTimes * traffic_.MeanRequestTimeUs();
  }
  // Whether an attempt there is a half-open trial.
  [[nodiscard]] static bool IsOnTrial(const Endpoint& endpoint) {
    return endpoint.consecutive_ejections > 0;
  }
  // Whether a request that can't be repeated should avoid it.
  [[nodiscard]] static bool IsDoubtful(const Endpoint& endpoint) {
    return IsOnTrial(endpoint) || endpoint.error_rate > kDoubtfulErrorRate;
  }

  // An attempt starts there; call before it is counted in flight.
  static void RecordAttemptStarted(Time now, Endpoint& endpoint) {
    if (endpoint.attempts_in_flight == 0) {
      endpoint.last_response_at = now;
    }
  }
  // A response came back, whatever it says of the endpoint's health.
  static void RecordResponse(Time now, Endpoint& endpoint) { endpoint.last_response_at = now; }

  void RecordSuccess(const EventContext& context, Endpoint& endpoint) const;
  void RecordError(const EventContext& context, Endpoint& endpoint) const;
  // A broken connection or an invalid response.
  void RecordBrokenResponse(const EventContext& context, Endpoint& endpoint) const;
  // No connection was established for an attempt: its connection table may be full.
  void RecordConnectFailure(const EventContext& context, Endpoint& endpoint) const;
  // An attempt timed out or was cancelled while the endpoint was unresponsive.
  void RecordUnresponsive(const EventContext& context, Endpoint& endpoint) const;
  void RecordProbeFailure(const EventContext& context, Endpoint& endpoint) const;

 private:
  static constexpr double kUnresponsiveAfterMeanTimes = 3;
  static constexpr double kDoubtfulErrorRate = 0.1;  // four successes after an error

  void RecordFailure(const EventContext& context, Endpoint& endpoint, double weight) const;
  void Eject(const EventContext& context, Endpoint& endpoint) const;

  EndpointSubset& subset_;
  const TrafficStatistics& traffic_;
};

}  // namespace paddlestile

#endif  // PADDLESTILE_BALANCER_OUTLIER_DETECTION_H_
