// What a load balancer learns of endpoints and requests, as plain records. A gateway exports them
// to the process that replaces it. Each group of fields belongs to one module, named beside it,
// which alone writes it; the names of the stored form are in the gateway's learned-state codec.
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

// The throughput of an endpoint, or of a kind of machine, by Little's law: mean requests in flight
// over mean time. Decayed sums, so that it follows changes.
struct ThroughputEstimate {
  double mean_in_flight = 0;     // when an attempt started, by finished attempts
  double busy_us = 0;            // time that attempts spent in flight, decayed
  double finished_attempts = 0;  // decayed
  // By load reports; used for kinds of machines alone.
  double reported_in_flight = 0;   // mean
  double report_count = 0;         // decayed
  double reported_latency_us = 0;  // mean

  // Counts a finished attempt. `in_flight_at_start`: at its endpoint, itself included.
  void Record(double in_flight_at_start, double weight) {
    finished_attempts = finished_attempts * (1 - weight) + 1;
    busy_us *= 1 - weight;
    mean_in_flight += (in_flight_at_start - mean_in_flight) / finished_attempts;
  }
  // 0 while nothing has finished.
  [[nodiscard]] double MeanTimeUs() const {
    return finished_attempts > 0 ? busy_us / finished_attempts : 0;
  }
  // 0 while unknown.
  [[nodiscard]] double RequestsPerUs() const {
    return busy_us > 0 ? mean_in_flight / MeanTimeUs() : 0;
  }
};

struct Endpoint {
  // EndpointTable
  EndpointInfo info;     // as last listed
  uint64_t id_hash = 0;  // HashOfId of its id
  bool was_up = false;   // state is kUp by the last list
  // EndpointSubset
  bool in_subset = false;  // exactly the members of the subset have it set
  // Prober
  int probes_in_flight = 0;  // of this gateway
  // ConcurrencyLimit
  int attempts_in_flight = 0;         // of this gateway
  double round_trip_us = 0;           // mean of probes; 0 unknown
  double external_in_flight = 0;      // of other gateways, by reports
  Time reported_at{-1'000'000};       // the last report; below 0: never
  Time busy_counted_until{0};         // local_estimate.busy_us is counted until then
  double reported_latency_us = 0;     // by the last report; 0 or below: unknown
  ThroughputEstimate local_estimate;  // by this gateway's attempts
  // OutlierDetection
  double outcome_interval_us = 0;  // between the last two outcomes, bounded
  Time last_outcome_at{0};
  double error_rate = 0;          // moving average of failed outcomes, 0 to 1
  Time ejected_until{0};          // outside the subset until then
  int consecutive_ejections = 0;  // 0 after a successful response in the subset
  Time last_response_at{0};       // or the start of the first attempt in flight, if later
  // SlowStart
  double slow_start_tokens = 0;  // this gateway's part of its slow-start budget, in mean requests
  Time slow_start_refilled_at{-1};  // below 0: never
};

// The record of an endpoint whose process is new: nothing learned stays, only what is in flight
// and where the record is listed.
Endpoint ResetForRestart(const Endpoint& previous);

// Owned by EndpointTable. Indices of `endpoints` stay valid while the endpoint is listed or
// referred to.
struct EndpointRecords {
  std::vector<Endpoint> endpoints;
  std::unordered_map<std::string, size_t> endpoint_index;  // by id; never iterated for a decision
  std::vector<ThroughputEstimate> machine_kinds;           // by EndpointInfo::machine_kind
};

// Owned by TrafficStatistics. The vectors are indexed by request class.
struct TrafficRecords {
  std::vector<double> objective_met_rate;  // fraction that met its latency objective
  std::vector<double> arrival_shares;      // fraction of the arrivals
  std::vector<double> mean_time_us;        // of a successful attempt
  double mean_expected_us = 0;             // mean of the clients' hints
  double mean_request_time_us = 0;         // over all classes
  double finished_work_per_us = 0;         // this gateway's, in mean requests, decayed
  double decayed_arrivals = 0;             // this gateway's
  double arrivals_span_us = 0;             // that decayed_arrivals counts, decayed alike
  Time finished_work_updated_at{0};
  Time arrivals_updated_at{0};
};

// Owned by RetryPolicy.
struct RetryRecords {
  double retry_tokens = 0;  // further attempts that may be made
};

struct LearnedState : EndpointRecords, TrafficRecords, RetryRecords {};

// Takes over what another process has learned of the same fleet: of endpoints that are known to
// `target` and have not restarted since, and of kinds and classes by their indices. The retry
// budget becomes the lesser of both, so that the two processes together spend one.
void ImportState(LearnedState& target, const LearnedState& source, Time now);

}  // namespace paddlestile

#endif  // PADDLESTILE_BALANCER_LEARNED_STATE_H_
