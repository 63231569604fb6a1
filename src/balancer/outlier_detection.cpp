#include "balancer/outlier_detection.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace paddlestile {
namespace {

constexpr double kOutcomeWeight = 0.2;                        // of one outcome in the error rate
constexpr double kBrokenResponseWeight = kOutcomeWeight / 4;  // on bad days all endpoints have some
constexpr double kUnresponsiveWeight = 2 * kOutcomeWeight;
constexpr double kEjectErrorRate = 0.3;  // two errors in a row, or seven broken responses
constexpr double kErrorRateAfterTrial = kEjectErrorRate * 0.7;  // at most, after a success
constexpr Duration kFirstEjection{1'000'000};                   // doubles with each consecutive one
constexpr int kMaxEjectionDoublings = 4;  // up to 16 s, the order of a short outage
constexpr double kMaxOutcomeIntervalUs = 4e6;

// Counts an outcome and returns its weight: where they come seldom, the last one says most.
double RecordOutcome(const EventContext& context, Endpoint& endpoint) {
  const double interval_us =
      ToUs(context.now - std::exchange(endpoint.last_outcome_at, context.now));
  endpoint.outcome_interval_us = std::clamp(interval_us, 1.0, kMaxOutcomeIntervalUs);
  return std::max(kOutcomeWeight,
                  context.settings.key_affinity ? 1 - std::exp(-interval_us / kRateSpanUs) : 0);
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
    Eject(context, endpoint);  // once, however many attempts fail together
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

// The time is spread at random, so that gateways don't return together. An endpoint that is met
// seldom stays ejected for as long as between two outcomes at least.
void OutlierDetection::Eject(const EventContext& context, Endpoint& endpoint) const {
  const int doublings = std::min(endpoint.consecutive_ejections++, kMaxEjectionDoublings);
  const double base_us = std::max(ToUs(kFirstEjection), endpoint.outcome_interval_us);
  const double ejection_us = base_us * (1 << doublings) * (0.5 + context.random.Uniform());
  endpoint.ejected_until = context.now + Duration(std::llround(ejection_us));
  subset_.MarkChanged();
  subset_.Refill(context);
}

}  // namespace paddlestile
