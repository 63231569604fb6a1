// Plays one experiment on sockets: the stand-ins in this thread, each gateway a process of its own.
#ifndef PADDLESTILE_LAB_RUNNER_H_
#define PADDLESTILE_LAB_RUNNER_H_

#include <cstdint>
#include <optional>
#include <stdexcept>
#include <string>
#include <vector>

#include "lab/experiment.h"
#include "lab/result.h"

namespace paddlestile::lab {

struct RunOptions {
  std::optional<uint64_t> seed;      // else the file's
  std::optional<double> seconds;     // else the file's; what the script has later is left out
  std::vector<std::string> gateway;  // the words that start one; empty: this program
  std::string logs;                  // a folder to keep the gateways' logs in; empty: none is kept
  bool straight = false;             // no gateway: each client goes to hosts by turns
};

// Ctrl-C, or SIGTERM: nothing is left running.
class Interrupted : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

// Throws ExperimentError, Interrupted, or std::system_error where the machine gives no address or
// process.
Result RunExperiment(Experiment experiment, const RunOptions& options);

}  // namespace paddlestile::lab

#endif  // PADDLESTILE_LAB_RUNNER_H_
