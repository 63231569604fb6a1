#include "balancer/learned_state.h"

#include <algorithm>

#include "balancer/averages.h"

namespace paddlestile {
namespace {

constexpr Duration kSameStartTolerance{100'000};  // the two processes read their clocks separately
constexpr double kMinArrivalShare = 1e-6;         // lower bound of a divisor

bool IsSameProcess(const EndpointInfo& first, const EndpointInfo& second) {
  const Duration difference = first.started_at - second.started_at;
  return difference <= kSameStartTolerance && difference >= -kSameStartTolerance;
}

void ImportEndpoint(Endpoint& target, const Endpoint& source) {
  target.external_in_flight = source.external_in_flight;
  target.reported_at = source.reported_at;
  target.round_trip_us = source.round_trip_us;
  target.reported_latency_us = source.reported_latency_us;
  target.outcome_interval_us = source.outcome_interval_us;
  target.last_outcome_at = source.last_outcome_at;
  target.error_rate = source.error_rate;
  target.ejected_until = source.ejected_until;
  target.consecutive_ejections = source.consecutive_ejections;
  target.local_estimate = source.local_estimate;
  target.slow_start_tokens = source.slow_start_tokens;
  target.slow_start_refilled_at = source.slow_start_refilled_at;
}

void ImportEndpoints(EndpointRecords& target, const EndpointRecords& source) {
  for (const Endpoint& endpoint : source.endpoints) {
    const auto found = target.endpoint_index.find(endpoint.info.id);
    if (found == target.endpoint_index.end()) {
      continue;
    }
    Endpoint& own = target.endpoints[found->second];
    if (IsSameProcess(own.info, endpoint.info)) {
      ImportEndpoint(own, endpoint);
    }
  }
  const size_t kinds = std::min(target.machine_kinds.size(), source.machine_kinds.size());
  for (size_t kind = 0; kind < kinds; ++kind) {
    if (source.machine_kinds[kind].finished_attempts > 0) {
      target.machine_kinds[kind] = source.machine_kinds[kind];
    }
  }
}

void ImportTraffic(TrafficRecords& target, const TrafficRecords& source, Time now) {
  const size_t classes = std::min(target.mean_time_us.size(), source.mean_time_us.size());
  for (size_t i = 0; i < classes; ++i) {
    if (source.mean_time_us[i] <= 0) {
      continue;
    }
    target.mean_time_us[i] = source.mean_time_us[i];
    target.objective_met_rate[i] = source.objective_met_rate[i];
    target.arrival_shares[i] = std::max(source.arrival_shares[i], kMinArrivalShare);
  }
  if (source.mean_request_time_us > 0) {
    target.mean_request_time_us = source.mean_request_time_us;
  }
  target.mean_expected_us = std::max(source.mean_expected_us, 0.0);
  target.finished_work_per_us = source.finished_work_per_us;
  target.decayed_arrivals = source.decayed_arrivals;
  // Older versions of the gateway do not export the span.
  target.arrivals_span_us =
      source.arrivals_span_us > 0 ? source.arrivals_span_us : kRateTimeConstantUs;
  target.finished_work_updated_at = now;
  target.arrivals_updated_at = now;
}

}  // namespace

Endpoint ResetForRestart(const Endpoint& previous) {
  Endpoint endpoint;
  endpoint.attempts_in_flight = previous.attempts_in_flight;
  endpoint.probes_in_flight = previous.probes_in_flight;
  endpoint.in_subset = previous.in_subset;
  endpoint.was_up = previous.was_up;
  return endpoint;
}

void ImportState(LearnedState& target, const LearnedState& source, Time now) {
  ImportEndpoints(target, source);
  ImportTraffic(target, source, now);
  target.retry_tokens = std::min(source.retry_tokens, target.retry_tokens);
}

}  // namespace paddlestile
