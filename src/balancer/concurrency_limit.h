// Concurrency limits of endpoints, derived from their learned throughput, and the predicted latency
// of a request at an endpoint.
#ifndef PADDLESTILE_BALANCER_CONCURRENCY_LIMIT_H_
#define PADDLESTILE_BALANCER_CONCURRENCY_LIMIT_H_

#include <algorithm>
#include <cmath>

#include "balancer/averages.h"
#include "balancer/endpoint_table.h"
#include "balancer/event_context.h"
#include "balancer/learned_state.h"
#include "balancer/request_table.h"
#include "balancer/slow_start.h"
#include "balancer/traffic_statistics.h"

namespace paddlestile {

// The predicted latency may use up to this fraction of a latency objective. The rest is a margin
// for varying request sizes and for the traffic of other gateways.
constexpr double kObjectiveFraction = 0.4;

// Returns the time within which an endpoint should finish all requests that it holds, in us:
// kObjectiveFraction of the tightest latency objective.
double LatencyTargetUs(const Settings& settings);

// The values of a load report that the settings select.
struct ReportedLoad {
  double in_flight = 0;
  double latency_us = 0;  // 0 or less: not reported
};

// Writes the load and throughput fields of endpoints and machine kinds. The functions that a
// selection calls for each endpoint are inline.
class ConcurrencyLimit {
 public:
  ConcurrencyLimit(EndpointTable& endpoints, const TrafficStatistics& traffic)
      : endpoints_(endpoints), traffic_(traffic) {}

  void ApplySettings(const Settings& settings) { target_us_ = LatencyTargetUs(settings); }
  [[nodiscard]] double target_us() const { return target_us_; }

  // Count the start and the end of an attempt of this gateway.
  void RecordAttemptStarted(Time now, Endpoint& endpoint);
  void RecordAttemptFinished(Time now, Endpoint& endpoint);
  // Adds an attempt to the throughput estimates. Attempts that timed out or were cancelled count
  // as well as successful ones; without them an overloaded endpoint would look fast.
  // `in_flight_at_send`: requests at the endpoint when the attempt started, itself included.
  void RecordThroughput(Endpoint& endpoint, double in_flight_at_send);
  // Adds the round-trip time of a probe to the mean.
  static void RecordRoundTrip(Endpoint& endpoint, Duration elapsed);
  void RecordReport(const EventContext& context, Endpoint& endpoint, const ReportedLoad& load);

  // Returns the requests in flight at the endpoint: those of this gateway and an estimate of those
  // of other gateways. As a report ages, the estimate decays to the mean of the machine kind.
  [[nodiscard]] double InFlight(Time now, const Endpoint& endpoint) const {
    const double reported = endpoints_.MachineKind(endpoint).reported_in_flight;
    const double age_us = endpoint.reported_at < Time(0) ? kReportTimeConstantUs * 10
                                                         : ToUs(now - endpoint.reported_at);
    return reported +
           (endpoint.external_in_flight - reported) * std::exp(-age_us / kReportTimeConstantUs) +
           endpoint.attempts_in_flight;
  }

  // Returns the requests per us that the endpoint finishes when warm, or 0 if unknown. Combines the
  // estimate for the endpoint with that of its machine kind, weighted by the number of samples.
  [[nodiscard]] double WarmThroughput(const EventContext& context, const Endpoint& endpoint) const {
    const double kind_throughput = ThroughputByKind(context, endpoint);
    const ThroughputEstimate& local = endpoint.local_estimate;
    const double own_throughput =
        local.finished_attempts >= kMinSamples ? local.RequestsPerUs() : 0;
    if (own_throughput <= 0 || kind_throughput <= 0) {
      return std::max(own_throughput, kind_throughput);
    }
    return kind_throughput + (own_throughput - kind_throughput) * local.finished_attempts /
                                 (local.finished_attempts + kMinSamples);
  }

  // Returns the requests per us that the endpoint finishes now, slow start included; 0 if unknown.
  [[nodiscard]] double Throughput(const EventContext& context, const Endpoint& endpoint) const {
    return CapacityFraction(context, endpoint) * WarmThroughput(context, endpoint);
  }

  // Returns the number of requests that the endpoint may hold: what it finishes within the latency
  // target. Above that queueing only adds delay, and some endpoints slow down and stay slow.
  // `strict` leaves out the higher limit that key affinity gives to fast machine kinds.
  [[nodiscard]] double Limit(const EventContext& context, const Endpoint& endpoint,
                             bool strict) const {
    const bool key_affinity = context.settings.key_affinity;
    const ThroughputEstimate& kind = endpoints_.MachineKind(endpoint);
    const double throughput = Throughput(context, endpoint);
    // One request more while the endpoint is fast, to learn whether it can sustain a higher limit.
    const double headroom = endpoint.local_estimate.MeanTimeUs() < target_us_ ? 1 : 0;
    const double learned =
        headroom + throughput * target_us_ * (key_affinity ? kAffinityLimitFraction : 1);
    // With key affinity endpoints are probed before each attempt, so they may hold more requests
    // while their machine kind is fast.
    const double allowance =
        key_affinity && !strict ? kIdleKindLimit * (1 - kind.reported_latency_us / target_us_) : 0;
    const double initial = key_affinity || throughput <= 0 || kind.finished_attempts < kMinSamples
                               ? kInitialLimit
                               : kMinLimit;
    return std::max(
        {kMinLimit, RelativeSpeed(context, endpoint) * std::max(initial, allowance), learned});
  }

  // Returns the predicted latency of the request at the endpoint in us, including the network round
  // trip; 0 if unknown.
  [[nodiscard]] double PredictedLatencyUs(const EventContext& context, const Endpoint& endpoint,
                                          const Request& request) const {
    const double throughput = Throughput(context, endpoint);
    if (throughput <= 0) {
      return 0;
    }
    const double requests =
        InFlight(context.now, endpoint) + std::min(traffic_.Cost(request), kMaxPredictedCost);
    return endpoint.round_trip_us + requests / throughput;
  }

 private:
  // Adds the time that attempts have spent in flight since the last call. Must be called before the
  // number of attempts in flight changes.
  void CountBusyTime(Time now, Endpoint& endpoint);

  // Time constant of the decay of load reports. A queue turns over within a few service times.
  static constexpr double kReportTimeConstantUs = 6e6;
  static constexpr double kMinLimit = 2;      // requests
  static constexpr double kInitialLimit = 4;  // requests; does not overload an unknown endpoint
  // Requests at an endpoint of an idle machine kind, with key affinity. Some endpoints become very
  // slow with slightly more.
  static constexpr double kIdleKindLimit = 12;
  // Lowers the limit with key affinity: every gateway probes before it sends, so no request needs
  // to queue at an endpoint.
  static constexpr double kAffinityLimitFraction = 0.65;
  static constexpr double kMaxPredictedCost = 2;  // mean requests
  // Latency of an endpoint relative to its machine kind above which the endpoint counts as slow.
  // The mix of keys explains only smaller differences.
  static constexpr double kSlowLatencyRatio = 2;

  // Returns the speed of an endpoint as a fraction of that of its machine kind, from the reported
  // latencies; 1 without key affinity.
  [[nodiscard]] double RelativeSpeed(const EventContext& context, const Endpoint& endpoint) const {
    if (!context.settings.key_affinity || endpoint.reported_latency_us <= 0) {
      return 1;
    }
    return std::min(1.0, kSlowLatencyRatio * endpoints_.MachineKind(endpoint).reported_latency_us /
                             endpoint.reported_latency_us);
  }

  [[nodiscard]] double ThroughputByKind(const EventContext& context,
                                        const Endpoint& endpoint) const {
    const ThroughputEstimate& kind = endpoints_.MachineKind(endpoint);
    if (kind.report_count < kMinSamples) {
      return 0;
    }
    // Until enough attempts have finished: the reported requests in flight of the machine kind,
    // divided by the mean request time (Little's law).
    const double throughput = kind.finished_attempts >= kMinSamples
                                  ? kind.RequestsPerUs()
                                  : kind.reported_in_flight / traffic_.MeanRequestTimeUs();
    return throughput * RelativeSpeed(context, endpoint);
  }

  EndpointTable& endpoints_;
  const TrafficStatistics& traffic_;
  double target_us_ = 0;
};

}  // namespace paddlestile

#endif  // PADDLESTILE_BALANCER_CONCURRENCY_LIMIT_H_
