// Runs an experiment on real sockets. Hosts, discovery and clients are emulated in this thread;
// each gateway is a separate process.
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
  std::optional<uint64_t> seed;      // default: the file's
  std::optional<double> seconds;     // default: the file's; faults after the end are omitted
  std::vector<std::string> gateway;  // command line of a gateway; empty: this program
  std::string logs;                  // directory for the gateways' logs; empty: not kept
  bool straight = false;             // no gateways: clients connect directly to the hosts, in turn
};

// Thrown after SIGINT or SIGTERM. All child processes have been ended.
class Interrupted : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

// Throws ExperimentError, Interrupted, or std::system_error if an address or a process is not
// available.
Result RunExperiment(Experiment experiment, const RunOptions& options);

}  // namespace paddlestile::lab

#endif  // PADDLESTILE_LAB_RUNNER_H_
