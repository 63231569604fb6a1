// The bank's deciders in a deterministic world: one process, simulated time, no socket. A seed
// gives one history, to the event: members with clocks that run apart, links that are cut, slow or
// doubled, disks that lose what was not durable, stops, deaths, empty and older disks, voters
// exchanged, clients that submit again. What holds is judged from what members applied, acted on
// and told, never from what they believe.
#ifndef PADDLESTILE_LAB_CLUSTER_SIMULATION_H_
#define PADDLESTILE_LAB_CLUSTER_SIMULATION_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <utility>
#include <vector>

namespace paddlestile::lab {

// A member that breaks a term on purpose, to see that the judge finds it out.
enum class Mischief {
  kNone,
  kForgetsVote,  // its vote and term are not on its disk when it starts again
  kForgetsLog,   // what it acknowledged is not on its disk when it starts again
  kActsOn,       // acts on what it had after its lease is over
  kAppliesLate,  // says that it has applied what it has not
  kVotesForAll,  // gives its vote to whoever asks, however often, whomever it hears
  kTakesTwice,   // takes a change that it was told again for another
  kMisapplies    // a follower that leaves out parts of deltas, and holds nothing against a hash
};
inline constexpr int kMischiefs = 8;
const char* NameOf(Mischief mischief);

struct WorldOptions {
  uint64_t seed = 1;
  size_t voters = 3;      // 3 or 5
  size_t followers = 2;   //
  double seconds = 8;     // with faults; then all is mended
  size_t faults = 6;      //
  bool old_disks = true;  // older copies of a disk come back
  // Cuts and outages last 6 to 60 s, beyond every wait of the deciders; set `seconds` accordingly.
  bool long_outages = false;
  bool deltas = false;  // changes go as deltas, of random parts and sizes
  Mischief mischief = Mischief::kNone;
  bool trace = false;
};

struct WorldResult {
  std::vector<std::string> broken;  // term, who, when; empty: all held
  uint64_t events = 0, told_done = 0, submitted = 0, forgot = 0;
  uint64_t refused = 0;              // as they were submitted from a stale version
  double contradiction_ms_most = 0;  // two act on contradicting versions
  double unavailable_ms_most = 0;    // between two changes told done, with clients asking
  std::vector<double> change_ms;     // from submitted to told done, at the first try
  std::vector<double> takeover_ms;   // from a leader's death to the next that can know itself so
  uint64_t digest = 0;               // of the history: the same seed gives the same
};

WorldResult PlayWorld(const WorldOptions& options);

enum class WorldChanges {
  kMixed,  // as deltas on the odd seeds
  kWhole,
  kDelta
};
const char* NameOf(WorldChanges changes);

// Many seeds, on several threads.
struct WorldsOptions {
  WorldOptions world;  // of each; `seed` is the first's, three voters and five by turns
  uint64_t schedules = 1000;
  size_t jobs = 1;
  WorldChanges changes = WorldChanges::kMixed;
};
struct WorldsResult {
  uint64_t schedules = 0, events = 0, told_done = 0, submitted = 0, forgot = 0, refused = 0;
  uint64_t with_deltas = 0;  // schedules
  uint64_t broken = 0;
  std::map<std::string, uint64_t> terms;                // broken ones by the term's name
  std::vector<std::pair<uint64_t, std::string>> first;  // seeds and what broke, the lowest ones
  double contradiction_ms_most = 0, unavailable_ms_most = 0;
  std::vector<double> change_ms, takeover_ms;  // sorted
  uint64_t digest = 0;
};
WorldsResult PlayWorlds(const WorldsOptions& options);
std::string ToText(const WorldsResult& result, const WorldsOptions& options);

}  // namespace paddlestile::lab

#endif  // PADDLESTILE_LAB_CLUSTER_SIMULATION_H_
