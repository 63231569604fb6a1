// What a load balancer learns about endpoints and requests, as plain records. A gateway exports
// them to the process that replaces it. Each group of fields is written only by the module that is
// named in the comment above it. The gateway's learned-state codec defines the stored field names.
#ifndef PADDLESTILE_BALANCER_LEARNED_STATE_H_
#define PADDLESTILE_BALANCER_LEARNED_STATE_H_

#include <cstddef>
#include <cstdint>
#include <string>
#include <unordered_map>
#include <vector>

#include "balancer/events.h"
#include "balancer/settings.h"
#include "base/time.h"

namespace paddlestile {

// Estimates the throughput of an endpoint or of a machine kind by Little's law: mean requests in
// flight divided by mean request time. The sums decay, so the estimate follows changes.
struct ThroughputEstimate {
  double mean_in_flight = 0;     // at the start of an attempt, over finished attempts
  double busy_us = 0;            // time that attempts spent in flight, decayed
  double finished_attempts = 0;  // decayed
  // From load reports. Used for machine kinds only.
  double reported_in_flight = 0;   // mean
  double report_count = 0;         // decayed
  double reported_latency_us = 0;  // mean

  // Counts a finished attempt. `in_flight_at_start`: requests at its endpoint when it started,
  // itself included. `weight`: the fraction by which the sums over earlier attempts decay.
  void Record(double in_flight_at_start, double weight) {
    finished_attempts = finished_attempts * (1 - weight) + 1;
    busy_us *= 1 - weight;
    mean_in_flight += (in_flight_at_start - mean_in_flight) / finished_attempts;
  }
  // Mean time of an attempt; 0 if none has finished yet.
  [[nodiscard]] double MeanTimeUs() const {
    return finished_attempts > 0 ? busy_us / finished_attempts : 0;
  }
  // Throughput; 0 if unknown.
  [[nodiscard]] double RequestsPerUs() const {
    return busy_us > 0 ? mean_in_flight / MeanTimeUs() : 0;
  }
};

struct Endpoint {
  // EndpointTable
  EndpointInfo info;     // as last listed
  uint64_t id_hash = 0;  // HashOfId of its id
  bool was_up = false;   // state was kUp after the last update
  // EndpointSubset
  bool in_subset = false;  // true exactly for the members of the subset
  // Prober
  int probes_in_flight = 0;  // of this gateway
  // ConcurrencyLimit
  int attempts_in_flight = 0;         // of this gateway
  double round_trip_us = 0;           // mean over probes; 0: unknown
  double external_in_flight = 0;      // of other gateways, estimated from load reports
  Time reported_at{-1'000'000};       // time of the last load report; below 0: never
  Time busy_counted_until{0};         // local_estimate.busy_us includes the time until then
  double reported_latency_us = 0;     // from the last load report; 0 or less: unknown
  ThroughputEstimate local_estimate;  // from this gateway's attempts
  // OutlierDetection
  double outcome_interval_us = 0;  // between the last two outcomes, bounded
  Time last_outcome_at{0};
  double error_rate = 0;          // moving average of failed outcomes, 0 to 1
  Time ejected_until{0};          // not usable for the subset until then
  int consecutive_ejections = 0;  // reset by a successful response while in the subset
  // The last response, or the start of an attempt while no other was in flight, if later.
  Time last_response_at{0};
  // SlowStart
  double slow_start_tokens = 0;  // this gateway's part of the slow-start budget, in mean requests
  Time slow_start_refilled_at{-1};  // below 0: never
};

// Returns the record of an endpoint after its process has restarted. Keeps the attempts and probes
// in flight, the subset membership and the listed state; resets all that was learned.
Endpoint ResetForRestart(const Endpoint& previous);

// Written by EndpointTable. Indices into `endpoints` stay valid while the endpoint is listed or
// referred to.
struct EndpointRecords {
  std::vector<Endpoint> endpoints;
  // By id. No decision iterates over it, because its order is unspecified.
  std::unordered_map<std::string, size_t> endpoint_index;
  std::vector<ThroughputEstimate> machine_kinds;  // by EndpointInfo::machine_kind
};

// Written by TrafficStatistics. The vectors are indexed by request class.
struct TrafficRecords {
  std::vector<double> objective_met_rate;  // fraction that met its latency objective
  std::vector<double> arrival_shares;      // fraction of the arrivals
  std::vector<double> mean_time_us;        // of a successful attempt
  double mean_expected_us = 0;             // mean of the clients' hints
  double mean_request_time_us = 0;         // over all classes
  double finished_work_per_us = 0;         // at this gateway, in mean requests, decayed
  double decayed_arrivals = 0;             // at this gateway
  double arrivals_span_us = 0;             // the time that decayed_arrivals covers, decayed as well
  Time finished_work_updated_at{0};
  Time arrivals_updated_at{0};
};

// Written by RetryPolicy.
struct RetryRecords {
  double retry_tokens = 0;  // the retry budget, in further attempts
};

struct LearnedState : EndpointRecords, TrafficRecords, RetryRecords {};

// Merges what another process has learned about the same fleet into `target`: records of endpoints
// that `target` knows and that have not restarted since, and records of machine kinds and request
// classes by index. The retry budget becomes the smaller of the two, so that the two processes
// together do not spend more than one budget.
void ImportState(LearnedState& target, const LearnedState& source, Time now);

}  // namespace paddlestile

#endif  // PADDLESTILE_BALANCER_LEARNED_STATE_H_
