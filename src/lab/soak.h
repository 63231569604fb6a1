// Soak tests: experiments generated from seeds, with a series of faults of all kinds on each
// gateway. Each is run and judged like any other experiment; the same seed generates the same
// experiment.
#ifndef PADDLESTILE_LAB_SOAK_H_
#define PADDLESTILE_LAB_SOAK_H_

#include <cstdint>
#include <functional>
#include <string>
#include <string_view>
#include <vector>

#include "lab/experiment.h"
#include "lab/result.h"

namespace paddlestile::lab {

enum class SoakMix {
  kBase,
  // In addition: long requests, so that a process that is replaced has requests in progress for
  // seconds; hosts that drain and restart; discovery that is malformed, stale, late or moved;
  // reloads; misbehaving clients; in a cluster also hot restarts, drains and full disks.
  kWide,
  // In addition to kBase: hosts that write responses in pieces with pauses or end them midway, long
  // messages, and clients that write and read slowly.
  kSlowPeers
};

// The name of a mix on the command line.
std::string_view NameOf(SoakMix mix);

struct SoakOptions {
  SoakMix mix = SoakMix::kBase;
  uint64_t first_seed = 1;
  uint64_t seeds = 1;                // run one after the other
  std::vector<std::string> gateway;  // command line of a gateway; empty: this program
  std::string logs;                  // directory for the gateways' logs; empty: not kept
};

struct SoakCounts {
  uint64_t held = 0, broken = 0;
  uint64_t unjudged = 0;  // no verdict at any attempt, because the lab itself was late
};

// The experiment of a seed; independent of the machine. Every third seed has a cluster. Of the
// other seeds, every fourth has enough idle clients to exhaust the descriptors.
Experiment DrawSoakExperiment(uint64_t seed, SoakMix mix = SoakMix::kBase);

// Runs the seeds and reports each result once. A run without a verdict is repeated, up to three
// runs in total. Throws the exceptions of RunExperiment.
SoakCounts PlaySoak(const SoakOptions& options, const std::function<void(const Result&)>& report);

// One line: the seed, the verdict, the first failure, and the command that repeats the run.
std::string SoakLine(const Result& result, SoakMix mix = SoakMix::kBase);

}  // namespace paddlestile::lab

#endif  // PADDLESTILE_LAB_SOAK_H_
