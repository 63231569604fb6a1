// Measures one gateway with many hosts and tenants from outside its process: with an emulated
// discovery server, health checks, the gateway's log and the kernel's counters of the process.
#ifndef PADDLESTILE_LAB_ONE_GATEWAY_H_
#define PADDLESTILE_LAB_ONE_GATEWAY_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "lab/result.h"

namespace paddlestile::lab {

struct OneGatewayOptions {
  size_t hosts = 1000;          // in the discovery list
  size_t tenants = 0;           // each with a quota; with 0, settings are not measured
  double seconds = 15;          // of each phase: idle, with changes, and each part of a rate
  uint64_t seed = 1;            // random seed of changes and arrivals
  double changes = 0.6;         // list entries changed per second
  std::vector<double> rates;    // requests per second at which added latency is measured
  std::string command, commit;  // copied to the results
};

// Cost of a list of all hosts: known at startup, then published by discovery.
struct ListCost {
  size_t bytes = 0, full_list_requests = 0;
  bool applied = false;
  std::string reason;  // a log line, if the list was not applied
  double ready_with_known_list_ms = 0, rss_mb_with_known_list = 0;
  double applied_ms = 0, max_loop_stall_ms = 0, cpu_s = 0, rss_mb_before = 0, rss_mb = 0;
};
// Cost of single changes, with the CPU use of an idle gateway subtracted.
struct ChangesCost {
  double changes_per_s = 0, cpu_cores = 0, max_loop_stall_ms = 0, bytes_per_s = 0;
};
// Cost of settings with many tenants: at startup and on a reload with SIGHUP.
struct SettingsCost {
  size_t bytes = 0;
  bool rejected = false;
  std::string reason;
  double ready_ms = 0, rss_mb = 0, reload_ms = 0, reload_cpu_s = 0, max_loop_stall_ms = 0;
};
// Latency of requests sent to the hosts directly and via the gateway.
struct AddedLatency {
  double rate = 0;
  double direct_p50_ms = 0, direct_p99_ms = 0, via_gateway_p50_ms = 0, via_gateway_p99_ms = 0;
  size_t hosts = 0;         // that answer requests
  std::string void_reason;  // empty if the figures are valid
};

struct OneGatewayResult {
  OneGatewayOptions options;
  double load_average = 0;  // of the machine, over the minute before the measurement
  ListCost list;
  std::optional<ChangesCost> changes;  // empty if the list was not applied
  std::optional<SettingsCost> settings;
  std::vector<AddedLatency> added;
  double max_rss_mb = 0;  // of the gateway and the lab together
  size_t max_processes = 0;
  std::vector<std::string> broken_reasons, void_reasons;
  Verdict verdict = Verdict::kHeld;
};

// Runs all phases and calls `report` with a line of progress after each. Throws Interrupted, or
// std::system_error if an address or a process is not available.
OneGatewayResult MeasureOneGateway(const OneGatewayOptions& options,
                                   const std::function<void(const std::string&)>& report);

std::string ToText(const OneGatewayResult& result);
std::string ToJson(const OneGatewayResult& result);

}  // namespace paddlestile::lab

#endif  // PADDLESTILE_LAB_ONE_GATEWAY_H_
