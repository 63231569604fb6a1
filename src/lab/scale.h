// `lab scale`: one bank of a size that no machine holds as real processes. Hollow members beside
// real gateways, changes at ten times the mean pace of the target, restarts, cuts and stops.
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
  std::optional<size_t> real;  // of them, processes of their own; all voters are
  size_t tenants = 0;          // quotas that each version holds
  double seconds = 20;
  uint64_t seed = 1;
  double rate = 300;            // requests a second, over the real ones
  bool leader_dies = false;     // while others restart
  bool deltas = false;          // changes go as deltas of the version before
  bool calm = false;            // nobody restarts, is cut off or stops
  size_t hosts = 12;            // emulated, that the real ones send to
  double stall_ms = 400;        // how long a tenth of the hollow ones stands still at a time
  size_t read_bytes_per_s = 0;  // what a tenth of the hollow ones reads of each voter; 0: all
  bool bank = true;             // without: the same gateways and requests, and no bank
  std::string commit;           // kept in the JSON
};

inline constexpr size_t kScaleVoters = 5;
inline constexpr double kScaleLeastSeconds = 14;
inline constexpr double kScaleStallMost = 2000;  // ms

// As an experiment. Throws ExperimentError with one line where that makes no sense or the machine
// does not bear it: half of its memory and 200 processes at most.
Experiment ScaleExperiment(const ScaleOptions& options);

// The words for people, and the JSON of `--json`. `load`: the machine's, before.
std::string ScaleText(const Result& result);
std::string ScaleJson(const ScaleOptions& options, const Result& result, double load);

// The machine's load over the last minute; 0 where it does not tell.
double MachineLoad();

}  // namespace paddlestile::lab

#endif  // PADDLESTILE_LAB_SCALE_H_
