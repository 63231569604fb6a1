// Measures the cost of the gateway compared with the same load sent directly to the hosts in the
// same run.
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
  double seconds = 4;         // duration of each part
  int rounds = 3;             // each sent directly and then through the gateway
  double rate = 1500;         // requests per second in the rounds
  size_t connections = 2000;  // idle connections, to measure the memory of one
  uint64_t seed = 1;
  size_t hosts = 40;
  std::vector<std::string> gateway;  // command line that starts one; empty: this program
};

struct BenchRound {
  uint32_t direct_us[3] = {}, gateway_us[3] = {};  // p50, p99, p99.9
  double cpu_us = 0;                               // CPU time of the gateway per request
};
struct BenchStep {
  double rate = 0, cpu_us = 0, cpu_share = 0, served_share = 0, lab_share = 0;
  uint32_t p99_us = 0;
  bool held = false;  // verdict held, and more than 99% served within the latency objective
};
struct BenchResult {
  std::vector<BenchRound> rounds;
  std::vector<BenchStep> ladder;  // increasing rates, up to the first that did not hold
  double kb_per_connection = 0;
  size_t connections = 0;
};

// Runs one part: `rate` requests per second, directly to the hosts or through a gateway, which is
// measured, with the given number of idle connections.
Result PlayPart(const BenchOptions& options, double rate, size_t idle_connections, bool direct);

// Runs all parts, one after another, and calls `report_progress` with a line after each step.
BenchResult RunBench(const BenchOptions& options,
                     const std::function<void(const std::string&)>& report_progress);

std::string ToText(const BenchResult& result);
std::string ToJson(const BenchResult& result);

}  // namespace paddlestile::lab

#endif  // PADDLESTILE_LAB_BENCH_H_
