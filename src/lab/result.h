// The result of an experiment: its measurements, its verdict and the reasons for it. Also its JSON
// form, which other programs read.
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

// Measurements of one second of an experiment.
struct WindowResult {
  double at_s = 0;
  Ledger::Window counts;
  uint32_t p50_us = 0, p99_us = 0;
  std::vector<std::pair<std::string, size_t>> inflight;  // by host that ran
  double cpu_share = 0;                                  // in cores, all gateways
  uint64_t rss_kb = 0, descriptors = 0;                  // all gateways
};

// A fault of the experiment, as marked in plots and reports.
struct MarkedFault {
  double from_s = 0, to_s = 0;
  std::string name;
  std::vector<std::string> hosts;
};

enum class Verdict {
  kHeld,    // all rules and requirements were met
  kBroken,  // at least one was not
  kVoid     // the lab itself ran late, so its measurements say nothing about the gateway
};

struct Result {
  std::string experiment, about, path;
  uint64_t seed = 0;
  double seconds = 0;
  size_t hosts = 0, gateways = 0;
  Verdict verdict = Verdict::kHeld;
  std::vector<std::string> broken;  // unmet rules and requirements, rules first
  std::vector<std::string> late;    // why the verdict is void: how late the lab was
  // What was broken in earlier runs of this experiment that were void (lab soak).
  std::vector<std::string> broken_without_verdict;
  uint64_t broken_count_without_verdict = 0;  // counted like broken_count(); 0: not counted
  Ledger::Counts counts;
  ClusterResult bank;
  ScaleFigures scale;
  uint64_t arrivals_digest = 0;
  double worst_10s = 1;  // minimum share of worth served over ten consecutive seconds
  uint32_t p50_us = 0, p99_us = 0, p999_us = 0;
  double cpu_us_per_request = 0;
  uint64_t rss_kb_max = 0, rss_kb_growth = 0, descriptors_max = 0;
  uint64_t client_connections = 0, client_connections_most = 0, no_gateway = 0;
  uint64_t bad_sent = 0, bad_unanswered = 0, bad_served = 0;
  double lab_cpu_share = 0, lab_lag_ms_max = 0, lab_lag_ms_p99 = 0;
  std::vector<WindowResult> windows;
  std::vector<MarkedFault> faults;
  std::vector<std::string> logs;  // the last lines of each gateway's log, if something broke

  // The number of unmet requirements and rule breaches. Counts each breach, including those that
  // `broken` only summarizes.
  [[nodiscard]] uint64_t broken_count() const;
  [[nodiscard]] double worth_share() const {
    return counts.worth_asked > 0 ? counts.worth_served / counts.worth_asked : 0;
  }
};

// The name of a verdict in results, and the verdict of a name; nullopt for an unknown name.
std::string_view NameOf(Verdict verdict);
std::optional<Verdict> ParseVerdict(std::string_view name);

// Returns the exact quantile, or 0 if there are no values. `fraction` is from 0 to 1. Reorders the
// values.
uint32_t Quantile(std::vector<uint32_t>& values, double fraction);

// Sets `broken`, `late` and `verdict` of the result from its measurements, the breaches and the
// requirements of the experiment.
void Judge(const Experiment& experiment, const std::vector<Breach>& breaches, Result& result);

std::string ToJson(const Result& result);
// Reads the fields that a report needs from a file that ToJson wrote. Throws std::runtime_error
// with a message of one line.
Result ResultFromJson(const std::string& path);

// The number of excused attempts by reason, such as "3 process killed, 1 crossed a close", or
// "none".
std::string DescribeExcused(const Ledger::Counts& counts);

// A summary of a few lines for people.
std::string Summary(const Result& result);

}  // namespace paddlestile::lab

#endif  // PADDLESTILE_LAB_RESULT_H_
