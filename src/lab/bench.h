// What the gateway costs, beside the same load sent straight to the hosts in the same run.
#ifndef PADDLESTILE_LAB_BENCH_H_
#define PADDLESTILE_LAB_BENCH_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <string>
#include <vector>

#include "lab/result.h"

namespace paddlestile::lab {

struct BenchOptions {
  double seconds = 4;         // of each part
  int rounds = 3;             // straight and through the gateway by turns
  double rate = 1500;         // requests a second of the rounds
  size_t connections = 2000;  // idle ones, to weigh a connection
  uint64_t seed = 1;
  size_t hosts = 40;
  std::vector<std::string> gateway;  // the words that start one; empty: this program
};

struct BenchRound {
  uint32_t straight_us[3] = {}, through_us[3] = {};  // p50, p99, p99.9
  double cpu_us = 0;                                 // of the gateway, a request
};
struct BenchStep {
  double rate = 0, cpu_us = 0, cpu_share = 0, served_share = 0, lab_share = 0;
  uint32_t p99_us = 0;
  bool held = false;  // all but a hundredth served in a second, the lab not late
};
struct BenchResult {
  std::vector<BenchRound> rounds;
  std::vector<BenchStep> ladder;  // growing rates, to the first that did not hold
  double kb_per_connection = 0;
  size_t connections = 0;
};

// One part: the same load straight to the hosts, or through a gateway, which is measured.
Result PlayPart(const BenchOptions& options, double rate, size_t idle, bool straight);

// Plays all parts, one after another; `told` hears a line after each.
BenchResult RunBench(const BenchOptions& options,
                     const std::function<void(const std::string&)>& told);

std::string ToText(const BenchResult& result);
std::string ToJson(const BenchResult& result);

}  // namespace paddlestile::lab

#endif  // PADDLESTILE_LAB_BENCH_H_
