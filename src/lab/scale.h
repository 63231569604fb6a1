// `lab scale`: one cluster that is too large for one machine to run as real processes. It has
// hollow members (simulated_member.h) beside real gateways, changes at ten times the mean rate of
// the target, restarts, link cuts and stopped processes.
#ifndef PADDLESTILE_LAB_SCALE_H_
#define PADDLESTILE_LAB_SCALE_H_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>

#include "lab/experiment.h"
#include "lab/result.h"

namespace paddlestile::lab {

struct ScaleOptions {
  size_t members = 0;
  std::optional<size_t> real;  // members that are gateway processes; includes all voters
  size_t tenants = 0;          // number of tenants with a quota in each version
  double seconds = 20;
  uint64_t seed = 1;
  double rate = 300;            // requests per second, over the real members
  bool leader_dies = false;     // the leader is killed while others restart
  bool deltas = false;          // changes are sent as deltas of the previous version
  bool calm = false;            // no member restarts, is disconnected or stops
  size_t hosts = 12;            // emulated hosts to which the real members send
  double stall_ms = 400;        // how long a tenth of the hollow members is stopped at a time
  size_t read_bytes_per_s = 0;  // read rate of a tenth of them from each voter; 0: no limit
  bool bank = true;             // false: the same gateways and requests without a cluster
  std::string commit;           // commit of the tested build, copied to the JSON
};

inline constexpr size_t kScaleVoters = 5;
inline constexpr double kScaleLeastSeconds = 14;
inline constexpr double kScaleStallMost = 2000;  // ms

// Returns the experiment for the options. Throws ExperimentError with a message of one line if they
// are inconsistent or need more than half of the machine's memory, 200 processes or the limit of
// descriptors.
Experiment ScaleExperiment(const ScaleOptions& options);

// The result as text for people, and as the JSON of `--json`. `machine_load` is the load of the
// machine before the run.
std::string ScaleText(const Result& result);
std::string ScaleJson(const ScaleOptions& options, const Result& result, double machine_load);

// The load average of the machine over the last minute; 0 if it is unknown.
double MachineLoad();

}  // namespace paddlestile::lab

#endif  // PADDLESTILE_LAB_SCALE_H_
