// The records that the decision module keeps of endpoints, requests and probe answers, and the
// check of its settings. No decision stands here: those are all in brain.cpp.
#ifndef PADDLESTILE_BALANCER_LEARNED_STATE_H_
#define PADDLESTILE_BALANCER_LEARNED_STATE_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "balancer/load_balancer.h"

namespace paddlestile {

// Throws std::invalid_argument, naming the setting, where the settings make no sense.
void ValidateSettings(const Settings& s);
// Puts them in. Throws std::invalid_argument as ValidateSettings does, and then changes nothing.
void ApplyTenantQuotas(const TenantQuotaUpdate& figures, Settings& s);

// Requests in flight at send and the time that attempts spent, averaged alike.
struct ThroughputEstimate {
  double mean_in_flight = 0, busy_us = 0,
         finished_attempts = 0;  // busy: us; done: attempts ended, decayed
  double reported_in_flight = 0,
         report_count = 0;         // mean in flight by the reports, of a kind; reports, decayed
  double reported_latency_us = 0;  // us; mean of the reported latencies, of a kind

  void Record(double f_at_send, double weight) {
    finished_attempts = finished_attempts * (1 - weight) + 1;
    busy_us *= 1 - weight;
    mean_in_flight += (f_at_send - mean_in_flight) / finished_attempts;
  }
  [[nodiscard]] double MeanTimeUs() const {
    return finished_attempts > 0 ? busy_us / finished_attempts : 0;
  }
  [[nodiscard]] double RequestsPerUs() const {
    return busy_us > 0 ? mean_in_flight / MeanTimeUs() : 0;
  }  // Little's law
};

struct Endpoint {
  EndpointInfo info;
  uint64_t id_hash = 0;        // of its id, the same at every gateway
  int attempts_in_flight = 0;  // own attempts out
  int probes_in_flight = 0;
  bool in_subset = false, was_up = false;  // of the working set; by the last list
  double external_in_flight = 0;           // in flight there from elsewhere, by the last reports
  Time reported_at{-1'000'000};            // when a report last came; below 0: never
  Time busy_counted_until{0};
  double round_trip_us = 0;        // us; probe round trip, 0 unknown
  double reported_latency_us = 0;  // us; as last reported
  double outcome_interval_us = 0;  // us; between the last two outcomes, bounded
  Time last_outcome_at{0};         // when an outcome last told of its health
  double error_rate = 0;           // share of failed outcomes, recent
  Time ejected_until{0};           // out of the working set till then
  int consecutive_ejections = 0;   // ejections in a row
  Time last_response_at{0};        // last answer, or the send that found none out
  ThroughputEstimate local_estimate;
  double slow_start_tokens = 0;  // this gateway's part of the cold budget, in mean requests
  Time slow_start_refilled_at{-1};
};

// The record of an endpoint whose process is new: what is out there stays known, nothing else.
inline Endpoint ResetForRestart(const Endpoint& was) {
  Endpoint e;
  e.attempts_in_flight = was.attempts_in_flight;
  e.probes_in_flight = was.probes_in_flight;
  e.in_subset = was.in_subset;
  e.was_up = was.was_up;
  return e;
}

struct Attempt {
  size_t endpoint = 0;
  Time sent_at{0};
  bool in_flight = true;
  bool may_have_run = true;  // until an outcome proves otherwise
  double in_flight_at_send = 0;
};

struct Request {
  uint64_t sequence_number = 0;
  RequestClass request_class;  // as they were when it came
  int max_attempts = 1;
  RequestArrived arrival;
  Time arrived_at{0};
  std::vector<Attempt> attempts;
  std::vector<size_t>
      affinity_endpoints{};  // endpoints where its key is kept warm, best first, and others asked
  Time probed_at{0};         // when they were last probed for it
  size_t probed_count = 0;   // how many of them were asked
  int attempts_in_flight = 0;
  bool finished = false;
  bool waiting = true;
  bool met_objective = false;      // answered within its aim
  double priority_percentile = 0;  // in the arriving work, from the least worth (0) to the most (1)
  bool over_quota = false;         // beyond its tenant's share
};

struct PoolEntry {
  size_t endpoint = 0;
  double latency_us = 0;  // us; reported, and on top of it the way and the price of crossing
  double round_trip_us = 0;
  Time received_at{0};
  int uses_left = 1;
};

// What a module has learned; see the fields' users in brain.cpp.
struct LearnedState {
  std::vector<Endpoint> endpoints;
  std::unordered_map<std::string, size_t> endpoint_index;  // look-up only, never iterated
  std::vector<ThroughputEstimate> machine_kinds;           // of each kind of machine
  std::vector<double> objective_met_rate,
      arrival_shares;                // of each class: served in its aim, part of the arrivals
  std::vector<double> mean_time_us;  // us; mean time of each class
  double mean_expected_us = 0;       // us; of the hints, where requests carry one
  double mean_request_time_us = 0;   // us; of a request over all classes
  double finished_work_per_us = 0;   // own finished work of late, in mean requests per us
  double decayed_arrivals = 0,
         arrivals_span_us = 0;  // decayed; us that they were counted over, decayed alike
  double retry_tokens = 0;
  Time finished_work_updated_at{0},
      arrivals_updated_at{0};  // when pace and arrivals were last brought up to date
};

// Takes over what another module has learned of the same fleet, at the moment `now`: of endpoints
// that are known here and have not started anew since, of kinds and classes that are told of.
void ImportState(LearnedState& mine, const LearnedState& told, Time now);

// The same at every gateway and in every build, unlike std::hash (FNV-1a).
uint64_t HashOfId(const std::string& text);
// A number in (0, 1) for a pair of hashes, as good as drawn (the finish of splitmix64).
double UniformFromHashes(uint64_t a, uint64_t b);

// Where the record of an endpoint lies; a new one for an id not met before. Endpoints that are
// replaced come with ids ever new: the place of one that is gone, and that no open request and no
// probe answer names any more, is taken again. `gone`: the places whose endpoints have left the
// list, and none else.
size_t EndpointSlotFor(const std::string& id, std::vector<Endpoint>& eps,
                       std::unordered_map<std::string, size_t>& index,
                       const std::map<uint64_t, Request>& open, const std::vector<PoolEntry>& pool,
                       const std::set<size_t>& gone);

}  // namespace paddlestile

#endif  // PADDLESTILE_BALANCER_LEARNED_STATE_H_
