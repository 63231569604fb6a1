// How many requests an endpoint may hold, by its learned throughput, and how long a request would
// take there.
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

// Fraction of a latency objective that the predicted latency may take: sizes differ, and so does
// what other gateways send meanwhile.
constexpr double kObjectiveFraction = 0.4;

// The time within which an endpoint should finish all that it holds, in us: the fraction of the
// tightest latency objective.
double LatencyTargetUs(const Settings& settings);

// A load report with the values that the settings name.
struct ReportedLoad {
  double in_flight = 0;
  double latency_us = 0;  // 0 or below: not reported
};

// Writes the load and throughput fields of endpoints and kinds. The functions that run for each
// endpoint of a selection are inline.
class ConcurrencyLimit {
 public:
  ConcurrencyLimit(EndpointTable& endpoints, const TrafficStatistics& traffic)
      : endpoints_(endpoints), traffic_(traffic) {}

  void ApplySettings(const Settings& settings) { target_us_ = LatencyTargetUs(settings); }
  [[nodiscard]] double target_us() const { return target_us_; }

  // Counts an attempt of this gateway in flight, and no longer.
  void RecordAttemptStarted(Time now, Endpoint& endpoint);
  void RecordAttemptFinished(Time now, Endpoint& endpoint);
  // Takes an attempt into the throughput estimates: one with a successful response, or one that
  // timed out or was cancelled, since responses alone would flatter a crowded endpoint.
  void RecordThroughput(Endpoint& endpoint, double in_flight_at_send);
  // Takes the round-trip time of a probe into the mean.
  static void RecordRoundTrip(Endpoint& endpoint, Duration elapsed);
  void RecordReport(const EventContext& context, Endpoint& endpoint, const ReportedLoad& load);

  // Requests in flight at the endpoint, of this gateway and, by estimate, of others. An old report
  // says little of now: it fades towards the mean of its kind.
  [[nodiscard]] double InFlight(Time now, const Endpoint& endpoint) const {
    const double reported = endpoints_.MachineKind(endpoint).reported_in_flight;
    const double age_us =
        endpoint.reported_at < Time(0) ? kReportFadeUs * 10 : ToUs(now - endpoint.reported_at);
    return reported + (endpoint.external_in_flight - reported) * std::exp(-age_us / kReportFadeUs) +
           endpoint.attempts_in_flight;
  }

  // Requests per us that the endpoint finishes when warm, 0 if unknown: this gateway's evidence
  // beside that of its kind.
  [[nodiscard]] double WarmThroughput(const EventContext& context, const Endpoint& endpoint) const {
    const double of_kind = ThroughputByKind(context, endpoint);
    const ThroughputEstimate& local = endpoint.local_estimate;
    const double own = local.finished_attempts >= kMinSamples ? local.RequestsPerUs() : 0;
    if (own <= 0 || of_kind <= 0) {
      return std::max(own, of_kind);
    }
    return of_kind +
           (own - of_kind) * local.finished_attempts / (local.finished_attempts + kMinSamples);
  }

  // As it is now, warming up included.
  [[nodiscard]] double Throughput(const EventContext& context, const Endpoint& endpoint) const {
    return CapacityFraction(context, endpoint) * WarmThroughput(context, endpoint);
  }

  // Requests that the endpoint may hold: what it finishes within the target. Beyond that queueing
  // only adds delay, and some endpoints slow down and stay slow. `strict`: without the allowance
  // that key affinity gives a quick kind.
  [[nodiscard]] double Limit(const EventContext& context, const Endpoint& endpoint,
                             bool strict) const {
    const bool key_affinity = context.settings.key_affinity;
    const ThroughputEstimate& kind = endpoints_.MachineKind(endpoint);
    const double throughput = Throughput(context, endpoint);
    // One more while it is quick, to learn whether it can do more.
    const double headroom = endpoint.local_estimate.MeanTimeUs() < target_us_ ? 1 : 0;
    const double learned =
        headroom + throughput * target_us_ * (key_affinity ? kAffinityLimitFraction : 1);
    // Endpoints that are probed before each attempt may hold more while their kind is quick.
    const double allowance =
        key_affinity && !strict ? kIdleKindLimit * (1 - kind.reported_latency_us / target_us_) : 0;
    const double initial = key_affinity || throughput <= 0 || kind.finished_attempts < kMinSamples
                               ? kInitialLimit
                               : kMinLimit;
    return std::max(
        {kMinLimit, RelativeSpeed(context, endpoint) * std::max(initial, allowance), learned});
  }

  // Predicted latency of the request there in us, round trip included; 0 if unknown.
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
  // Counts the time that attempts have spent in flight. Call before their number changes.
  void CountBusyTime(Time now, Endpoint& endpoint);

  static constexpr double kReportFadeUs = 6e6;  // queues turn over within some service times
  static constexpr double kMinLimit = 2;        // requests
  static constexpr double kInitialLimit = 4;    // requests; does not crowd an unknown endpoint
  static constexpr double kIdleKindLimit = 12;  // requests; some endpoints choke a little above
  static constexpr double kAffinityLimitFraction = 0.65;  // nothing needs to queue where all probe
  static constexpr double kMaxPredictedCost = 2;          // mean requests
  static constexpr double kSlowLatencyRatio = 2;  // to its kind's; the mix of keys explains less

  // The speed of an endpoint as a part of its kind's, by reported latency; 1 without key affinity.
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
    // Before any attempt has ended: what its kind holds by reports, over the mean time.
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
