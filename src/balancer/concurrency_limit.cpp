#include "balancer/concurrency_limit.h"

namespace paddlestile {
namespace {

// Smoothing of external load. Without it, all gateways would send at once to an endpoint that a
// single report shows as idle.
constexpr double kExternalLoadTimeConstantUs = 2e6;

}  // namespace

double LatencyTargetUs(const Settings& settings) {
  const RequestClass& tightest =
      std::ranges::min(settings.classes, {}, &RequestClass::latency_objective);
  return kObjectiveFraction * ToUs(tightest.latency_objective);
}

void ConcurrencyLimit::CountBusyTime(Time now, Endpoint& endpoint) {
  const double busy_us = ToUs(now - endpoint.busy_counted_until) * endpoint.attempts_in_flight;
  endpoint.local_estimate.busy_us += busy_us;
  endpoints_.MachineKind(endpoint).busy_us += busy_us;
  endpoint.busy_counted_until = now;
}

void ConcurrencyLimit::RecordAttemptStarted(Time now, Endpoint& endpoint) {
  CountBusyTime(now, endpoint);
  ++endpoint.attempts_in_flight;
}

void ConcurrencyLimit::RecordAttemptFinished(Time now, Endpoint& endpoint) {
  CountBusyTime(now, endpoint);
  --endpoint.attempts_in_flight;
}

void ConcurrencyLimit::RecordThroughput(Endpoint& endpoint, double in_flight_at_send) {
  endpoint.local_estimate.Record(in_flight_at_send, kSampleWeight);
  ThroughputEstimate& kind = endpoints_.MachineKind(endpoint);
  kind.Record(kind.reported_in_flight, kSlowSampleWeight);
}

void ConcurrencyLimit::RecordRoundTrip(Endpoint& endpoint, Duration elapsed) {
  MoveTowards(endpoint.round_trip_us, ToUs(elapsed),
              endpoint.round_trip_us > 0 ? kSampleWeight : 1);
}

void ConcurrencyLimit::RecordReport(const EventContext& context, Endpoint& endpoint,
                                    const ReportedLoad& load) {
  // The first report has full weight, and with key affinity every report: endpoints are probed
  // before each attempt there.
  const double weight =
      endpoint.reported_at < Time(0) || context.settings.key_affinity
          ? 1
          : 1 - std::exp(-ToUs(context.now - endpoint.reported_at) / kExternalLoadTimeConstantUs);
  MoveTowards(endpoint.external_in_flight,
              std::max(0.0, load.in_flight - endpoint.attempts_in_flight), weight);
  ThroughputEstimate& kind = endpoints_.MachineKind(endpoint);
  kind.report_count = kind.report_count * (1 - kSampleWeight) + 1;
  MoveTowards(kind.reported_in_flight, load.in_flight, 1 / kind.report_count);
  if (load.latency_us > 0) {
    MoveTowards(kind.reported_latency_us, load.latency_us, 1 / kind.report_count);
  }
  endpoint.reported_latency_us = load.latency_us;
  endpoint.reported_at = context.now;
}

}  // namespace paddlestile
