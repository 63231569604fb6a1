// Tracks the health of endpoints by the outcomes of this gateway's attempts and probes, and ejects
// unhealthy endpoints from the subset.
//
//   state             entered when                          attempts
//   healthy           initially; after a successful         any
//                     half-open trial
//   ejected           the error rate is too high or a       none, as it is outside the subset
//                     connect failed, while in the subset
//   half-open trial   drawn into the subset again,          one at a time; unsafe requests only if
//                     normally after the ejection time      no other endpoint is eligible
//
// An unresponsive endpoint gets no attempts in any state.
#ifndef PADDLESTILE_BALANCER_OUTLIER_DETECTION_H_
#define PADDLESTILE_BALANCER_OUTLIER_DETECTION_H_

#include "balancer/averages.h"
#include "balancer/endpoint_subset.h"
#include "balancer/event_context.h"
#include "balancer/learned_state.h"
#include "balancer/traffic_statistics.h"

namespace paddlestile {

// Writes the health fields of endpoints. Refills the subset when it ejects an endpoint.
class OutlierDetection {
 public:
  OutlierDetection(EndpointSubset& subset, const TrafficStatistics& traffic)
      : subset_(subset), traffic_(traffic) {}

  // Whether attempts are in flight and no response has arrived for several mean request times. A
  // hung endpoint may still respond to probes.
  [[nodiscard]] bool IsUnresponsive(Time now, const Endpoint& endpoint) const {
    return endpoint.attempts_in_flight > 0 &&
           ToUs(now - endpoint.last_response_at) >
               kUnresponsiveAfterMeanTimes * traffic_.MeanRequestTimeUs();
  }
  // Whether an attempt at the endpoint is a half-open trial.
  [[nodiscard]] static bool IsOnTrial(const Endpoint& endpoint) {
    return endpoint.consecutive_ejections > 0;
  }
  // Whether a request that can't be repeated should avoid the endpoint.
  [[nodiscard]] static bool IsDoubtful(const Endpoint& endpoint) {
    return IsOnTrial(endpoint) || endpoint.error_rate > kDoubtfulErrorRate;
  }

  // Must be called before the attempt is counted as in flight.
  static void RecordAttemptStarted(Time now, Endpoint& endpoint) {
    if (endpoint.attempts_in_flight == 0) {
      endpoint.last_response_at = now;
    }
  }
  // Records that a response arrived, whatever its outcome.
  static void RecordResponse(Time now, Endpoint& endpoint) { endpoint.last_response_at = now; }

  void RecordSuccess(const EventContext& context, Endpoint& endpoint) const;
  void RecordError(const EventContext& context, Endpoint& endpoint) const;
  // Records a broken connection or an invalid response.
  void RecordBrokenResponse(const EventContext& context, Endpoint& endpoint) const;
  // Records that an attempt could not connect. The connection table of the endpoint may be full.
  void RecordConnectFailure(const EventContext& context, Endpoint& endpoint) const;
  // Records that an attempt timed out or was cancelled while the endpoint was unresponsive.
  void RecordUnresponsive(const EventContext& context, Endpoint& endpoint) const;
  void RecordProbeFailure(const EventContext& context, Endpoint& endpoint) const;

 private:
  static constexpr double kUnresponsiveAfterMeanTimes = 3;  // mean request times
  static constexpr double kDoubtfulErrorRate = 0.1;  // an error counts until four successes later

  void RecordFailure(const EventContext& context, Endpoint& endpoint, double weight) const;
  void Eject(const EventContext& context, Endpoint& endpoint) const;

  EndpointSubset& subset_;
  const TrafficStatistics& traffic_;
};

}  // namespace paddlestile

#endif  // PADDLESTILE_BALANCER_OUTLIER_DETECTION_H_
