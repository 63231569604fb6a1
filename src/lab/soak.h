// The soak: experiments drawn from seeds, with faults of all kinds in series on each gateway. Each
// is played and judged like any other experiment; a seed repeats it.
#ifndef PADDLESTILE_LAB_SOAK_H_
#define PADDLESTILE_LAB_SOAK_H_

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

#include "lab/experiment.h"
#include "lab/result.h"

namespace paddlestile::lab {

enum class SoakMix {
  kBase,
  // Beside that: long requests, so that a process that is replaced has some in hand for seconds;
  // hosts that drain and restart; lists that are malformed, old, late or moved; settings that
  // change; bad clients; in a cluster hot restarts, drains and full disks.
  kWide
};

struct SoakOptions {
  SoakMix mix = SoakMix::kBase;
  uint64_t first_seed = 1;
  uint64_t seeds = 1;                // one after the other
  std::vector<std::string> gateway;  // the words that start one; empty: this program
  std::string logs;                  // a folder to keep the gateways' logs in; empty: none is kept
};

struct SoakCounts {
  uint64_t held = 0, broken = 0;
  uint64_t unjudged = 0;  // the lab itself was late, at each attempt
};

// The experiment of a seed, whatever the machine. Every third seed has a cluster, every fourth of
// the others a crowd of idle clients that fills the descriptors.
Experiment DrawSoakExperiment(uint64_t seed, SoakMix mix = SoakMix::kBase);

// Plays the seeds and reports each result once. One without a verdict is played again, three times
// at most. Throws as RunExperiment does.
SoakCounts PlaySoak(const SoakOptions& options, const std::function<void(const Result&)>& report);

// A line: the seed, the verdict, what broke first, and the command that repeats it.
std::string SoakLine(const Result& result, SoakMix mix = SoakMix::kBase);

}  // namespace paddlestile::lab

#endif  // PADDLESTILE_LAB_SOAK_H_
