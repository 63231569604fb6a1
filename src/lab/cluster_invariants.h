// Checks the cluster's guarantees from outside: from the answers that submitters of changes got and
// from the requests that hosts received. What gateways report about themselves is not used. No I/O.
// All times are relative to the experiment's time 0.
#ifndef PADDLESTILE_LAB_CLUSTER_INVARIANTS_H_
#define PADDLESTILE_LAB_CLUSTER_INVARIANTS_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "balancer/load_balancer.h"

namespace paddlestile::lab {

struct ClusterResult {
  bool enabled = false;
  uint64_t changes = 0, acknowledged = 0, lost = 0, duplicated = 0, refused = 0;
  double bound_ms = 0, max_contradiction_ms = 0, max_unavailable_ms = 0;
  double follow_ms_p50 = 0, follow_ms_p99 = 0, max_follow_ms = 0;
  double done_ms_p50 = 0, max_done_ms = 0;
  // Attempts sent to excluded hosts by isolated gateways that may go on serving.
  uint64_t sent_while_isolated = 0;
  std::vector<std::string> broken;
};

class ClusterInvariantChecker {
 public:
  // `bound`: the longest time for which two gateways may act on contradictory versions. `slack`:
  // added to the bound, for requests whose host was chosen earlier and that are still on their way.
  ClusterInvariantChecker(Duration bound, Duration slack) : bound_(bound), slack_(slack) {}

  struct RequestedRules {
    std::vector<size_t> excluded_hosts;
    std::optional<size_t> single_attempt_class;  // its requests get one attempt only
  };
  // Records the first submission of a change. Returns the change's index.
  size_t RecordSubmission(Time now, RequestedRules requested);
  void RecordAcknowledgement(Time now, size_t change_index, uint64_t version);
  void RecordRefusal(Time now, size_t change_index, const std::string& reason);

  // Records that a host received attempt number `attempt` of a client's request that was handed to
  // `gateway` at `handed_over`. `excused`: the experiment isolates that gateway from the others,
  // and the configuration lets isolated gateways go on serving.
  void RecordReceipt(Time now, size_t host, size_t gateway, size_t request_class, Time handed_over,
                     size_t attempt, bool excused, const std::string& id);

  // The changes acknowledged so far.
  struct AcknowledgedChange {
    Time submitted{0}, acknowledged_at{0};
    uint64_t version = 0;
  };
  [[nodiscard]] std::vector<AcknowledgedChange> acknowledged_changes() const;

  // Ends the checks and returns the result. `submitted_until`: the end of the time in which
  // changes are submitted.
  ClusterResult Finish(Time now, Time submitted_until);

 private:
  struct Change {
    RequestedRules requested;
    Time submitted{0}, acknowledged_at{-1};
    uint64_t version = 0;
    Time last_contrary_receipt{-1};  // last receipt at a host that it excludes
  };
  [[nodiscard]] Time ExclusionEnd(const Change& change, size_t host) const;
  void ReportViolation(Time now, const std::string& violation);

  Duration bound_, slack_;
  std::vector<Change> changes_;
  std::map<uint64_t, size_t> change_by_version_;
  ClusterResult result_;
};

}  // namespace paddlestile::lab

#endif  // PADDLESTILE_LAB_CLUSTER_INVARIANTS_H_
