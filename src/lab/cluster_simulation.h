// Deterministic simulation of the cluster's protocol: one process, simulated time and no sockets.
// A seed determines the whole sequence of events: clock drift, links that are cut, slow or deliver
// twice, disks that lose what was not durable, paused and killed processes, empty and older disks,
// voter changes, and clients that retry. The invariants are checked against what members applied,
// acted on and answered, never against what they report about themselves.
#ifndef PADDLESTILE_LAB_CLUSTER_SIMULATION_H_
#define PADDLESTILE_LAB_CLUSTER_SIMULATION_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <utility>
#include <vector>

namespace paddlestile::lab {

// A fault that members have on purpose, to show that the invariant checks detect it.
enum class Mischief {
  kNone,
  kForgetsVote,  // loses its vote and the last term on a restart
  kForgetsLog,   // loses the last acknowledged log entries on a restart
  kActsOn,       // goes on acting on its version after its lease has expired
  kAppliesLate,  // claims to have applied entries that it has not applied
  kVotesForAll,  // grants every vote request, also several in one term
  kTakesTwice,   // treats a retried change as a new one
  kMisapplies    // a follower that drops parts of deltas and does not check the hash
};
inline constexpr int kMischiefs = 8;
const char* NameOf(Mischief mischief);

struct WorldOptions {
  uint64_t seed = 1;
  size_t voters = 3;  // 3 or 5
  size_t followers = 2;
  double seconds = 8;  // of simulated time with faults; then all faults are repaired
  size_t faults = 6;
  bool old_disks = true;  // members may restart with an older copy of their disk
  // Link cuts and outages last 6 to 60 s, longer than every timeout of the protocol; choose
  // `seconds` accordingly.
  bool long_outages = false;
  bool deltas = false;  // changes are proposed as deltas, of random parts and sizes
  Mischief mischief = Mischief::kNone;
  bool trace = false;
};

struct WorldResult {
  std::vector<std::string> broken;  // rule, members and time; empty if all rules held
  uint64_t events = 0, acknowledged = 0, submitted = 0, rollbacks_detected = 0;
  uint64_t refused = 0;             // changes refused because their expected version was stale
  double max_contradiction_ms = 0;  // members acted on contradictory versions
  double max_unavailable_ms = 0;    // between two acknowledged changes while clients submit
  std::vector<double> change_latency_ms;  // submission to acknowledgement, without retries
  std::vector<double> failover_ms;        // from a leader's death to the next leader with a lease
  uint64_t digest = 0;                    // of the version history; the same for the same seed
};

WorldResult PlayWorld(const WorldOptions& options);

enum class WorldChanges {
  kMixed,  // deltas on odd seeds
  kWhole,
  kDelta
};
const char* NameOf(WorldChanges changes);

// Runs many seeds on several threads.
struct WorldsOptions {
  // For each schedule; `seed` is that of the first one, and the number of voters depends on the
  // seed.
  WorldOptions world;
  uint64_t schedules = 1000;
  size_t jobs = 1;
  WorldChanges changes = WorldChanges::kMixed;
};
struct WorldsResult {
  uint64_t schedules = 0, events = 0, acknowledged = 0, submitted = 0, rollbacks_detected = 0,
           refused = 0;
  uint64_t with_deltas = 0;  // schedules
  uint64_t broken = 0;
  std::map<std::string, uint64_t> violations_by_rule;  // number of broken schedules by rule name
  // The lowest seeds that broke each rule, with the violation.
  std::vector<std::pair<uint64_t, std::string>> first_violations;
  double max_contradiction_ms = 0, max_unavailable_ms = 0;
  std::vector<double> change_latency_ms, failover_ms;  // sorted
  uint64_t digest = 0;
};
WorldsResult PlayWorlds(const WorldsOptions& options);
std::string ToText(const WorldsResult& result, const WorldsOptions& options);

}  // namespace paddlestile::lab

#endif  // PADDLESTILE_LAB_CLUSTER_SIMULATION_H_
