#include "balancer/outlier_detection.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace paddlestile {
namespace {

// Weight of one outcome in the moving average of the error rate.
constexpr double kOutcomeWeight = 0.2;
// Lower, because during network trouble all endpoints have some broken responses.
constexpr double kBrokenResponseWeight = kOutcomeWeight / 4;
constexpr double kUnresponsiveWeight = 2 * kOutcomeWeight;
// Reached by two errors or seven broken responses in a row.
constexpr double kEjectErrorRate = 0.3;
// Upper bound of the error rate after a successful half-open trial.
constexpr double kErrorRateAfterTrial = kEjectErrorRate * 0.7;
// Duration of the first ejection; it doubles with each consecutive one.
constexpr Duration kFirstEjection{1'000'000};
constexpr int kMaxEjectionDoublings = 4;  // up to 16 s, about the length of a short outage
constexpr double kMaxOutcomeIntervalUs = 4e6;

// Records the time of an outcome and returns its weight. With key affinity the weight grows with
// the time since the outcome before, because earlier outcomes are then out of date.
double RecordOutcome(const EventContext& context, Endpoint& endpoint) {
  const double interval_us =
      ToUs(context.now - std::exchange(endpoint.last_outcome_at, context.now));
  endpoint.outcome_interval_us = std::clamp(interval_us, 1.0, kMaxOutcomeIntervalUs);
  return std::max(kOutcomeWeight, context.settings.key_affinity
                                      ? 1 - std::exp(-interval_us / kRateTimeConstantUs)
                                      : 0);
}

}  // namespace

void OutlierDetection::RecordSuccess(const EventContext& context, Endpoint& endpoint) const {
  RecordOutcome(context, endpoint);
  MoveTowards(endpoint.error_rate, 0, kOutcomeWeight);
  if (endpoint.consecutive_ejections > 0 && endpoint.in_subset) {
    endpoint.consecutive_ejections = 0;
    endpoint.error_rate = std::min(endpoint.error_rate, kErrorRateAfterTrial);
  }
}

void OutlierDetection::RecordError(const EventContext& context, Endpoint& endpoint) const {
  RecordFailure(context, endpoint, RecordOutcome(context, endpoint));
}

void OutlierDetection::RecordBrokenResponse(const EventContext& context, Endpoint& endpoint) const {
  RecordFailure(context, endpoint, kBrokenResponseWeight);
}

void OutlierDetection::RecordConnectFailure(const EventContext& context, Endpoint& endpoint) const {
  if (endpoint.in_subset) {
    Eject(context, endpoint);  // once, even if many attempts fail at the same time
  }
}

void OutlierDetection::RecordUnresponsive(const EventContext& context, Endpoint& endpoint) const {
  RecordFailure(context, endpoint, kUnresponsiveWeight);
}

void OutlierDetection::RecordProbeFailure(const EventContext& context, Endpoint& endpoint) const {
  RecordFailure(context, endpoint, kOutcomeWeight);
}

void OutlierDetection::RecordFailure(const EventContext& context, Endpoint& endpoint,
                                     double weight) const {
  MoveTowards(endpoint.error_rate, 1, weight);
  if (endpoint.error_rate > kEjectErrorRate && endpoint.in_subset) {
    Eject(context, endpoint);
  }
}

// The ejection time is randomized, so that gateways do not return to the endpoint all at once. It
// is based on the interval between outcomes if that is longer, because an endpoint that is rarely
// used would otherwise be back before its next attempt.
void OutlierDetection::Eject(const EventContext& context, Endpoint& endpoint) const {
  const int doublings = std::min(endpoint.consecutive_ejections++, kMaxEjectionDoublings);
  const double base_us = std::max(ToUs(kFirstEjection), endpoint.outcome_interval_us);
  const double ejection_us = base_us * (1 << doublings) * (0.5 + context.random.Uniform());
  endpoint.ejected_until = context.now + Duration(std::llround(ejection_us));
  subset_.MarkChanged();
  subset_.Refill(context);
}

}  // namespace paddlestile
