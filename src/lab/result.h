// What an experiment came to: figures, verdict and why; as JSON, which other programs read.
#ifndef PADDLESTILE_LAB_RESULT_H_
#define PADDLESTILE_LAB_RESULT_H_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "lab/cluster_invariants.h"
#include "lab/experiment.h"
#include "lab/ledger.h"
#include "lab/scale_figures.h"

namespace paddlestile::lab {

// One second of an experiment.
struct WindowResult {
  double at_s = 0;
  Ledger::Window counts;
  uint32_t p50_us = 0, p99_us = 0;
  std::vector<std::pair<std::string, size_t>> inflight;  // of each host that ran
  double cpu_share = 0;                                  // of a core, all gateways
  uint64_t rss_kb = 0, descriptors = 0;                  // all gateways
};

struct MarkedFault {
  double from_s = 0, to_s = 0;
  std::string name;
  std::vector<std::string> hosts;
};

enum class Verdict {
  kHeld,
  kBroken,
  kVoid
};

struct Result {
  std::string experiment, about, path;
  uint64_t seed = 0;
  double seconds = 0;
  size_t hosts = 0, gateways = 0;
  Verdict verdict = Verdict::kHeld;
  std::vector<std::string> broken;  // what did not hold, the rules first
  std::vector<std::string> late;    // why this is no verdict: the lab itself was late
  // What did not hold in earlier attempts at this verdict, in which the lab was late (lab soak).
  std::vector<std::string> broken_without_verdict;
  uint64_t broken_count_without_verdict = 0;  // each breach of a rule counted; 0: not counted
  Ledger::Counts counts;
  ClusterResult bank;
  ScaleFigures scale;
  uint64_t arrivals_digest = 0;
  double worst_10s = 1;  // the least share of the worth over ten seconds in a row
  uint32_t p50_us = 0, p99_us = 0, p999_us = 0;
  double cpu_us_per_request = 0;
  uint64_t rss_kb_max = 0, rss_kb_growth = 0, descriptors_max = 0;
  uint64_t client_connections = 0, client_connections_most = 0, no_gateway = 0;
  uint64_t bad_sent = 0, bad_unanswered = 0, bad_served = 0;
  double lab_cpu_share = 0, lab_lag_ms_max = 0, lab_lag_ms_p99 = 0;
  std::vector<WindowResult> windows;
  std::vector<MarkedFault> faults;
  std::vector<std::string> logs;  // the last lines of each gateway's, where something broke

  // Each breach of a rule counted, also those that `broken` only sums up.
  [[nodiscard]] uint64_t broken_count() const;
  [[nodiscard]] double worth_share() const {
    return counts.worth_asked > 0 ? counts.worth_served / counts.worth_asked : 0;
  }
};

// The word for a verdict in results, and the verdict of a word; nullopt for another word.
std::string_view NameOf(Verdict verdict);
std::optional<Verdict> ParseVerdict(std::string_view name);

// The exact quantile of values; 0 where there are none. Moves the values.
uint32_t Quantile(std::vector<uint32_t>& values, double part);

// Works out what did not hold and the verdict from the figures.
void Judge(const Experiment& experiment, const std::vector<Breach>& breaches, Result& result);

std::string ToJson(const Result& result);
// Reads what ToJson wrote, as far as a report needs it; throws std::runtime_error with one line.
Result ResultFromJson(const std::string& path);

// What was excused, by reason, as "3 process killed, 1 crossed a close"; "none".
std::string DescribeExcused(const Ledger::Counts& counts);

// A few lines for people.
std::string Summary(const Result& result);

}  // namespace paddlestile::lab

#endif  // PADDLESTILE_LAB_RESULT_H_
