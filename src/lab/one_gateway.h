// One gateway at size, measured from outside: by a stand-in of discovery with a list of any length,
// by calls of its /_health, by its log and by what the kernel counts of its process.
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
  size_t hosts = 1000;   // of the list
  size_t tenants = 0;    // with a quota each, in the settings; 0: these are not measured
  double seconds = 15;   // idle, with changes, and of each part of a rate
  uint64_t seed = 1;     // of changes and arrivals
  double changes = 0.6;  // entries of the list changed a second
  std::vector<double> rates;
  std::string command, commit;  // kept as given
};

struct ListCost {
  size_t bytes = 0, asked_whole = 0;
  bool taken = false;
  std::string reason;  // the log's, where it was not taken
  double ready_known_ms = 0, rss_mb_known = 0;
  double taken_ms = 0, stand_ms = 0, cpu_s = 0, rss_mb_before = 0, rss_mb = 0;
};
struct ChangesCost {
  double per_s = 0, cpu_core = 0, stand_ms = 0, bytes_s = 0;
};
struct SettingsCost {
  size_t bytes = 0;
  bool refused = false;
  std::string reason;
  double ready_ms = 0, rss_mb = 0, reread_ms = 0, reread_cpu_s = 0, stand_ms = 0;
};
struct AddedCost {
  double rate = 0;
  double straight_p50_ms = 0, straight_p99_ms = 0, through_p50_ms = 0, through_p99_ms = 0;
  size_t hosts = 0;  // those that answered
  std::string late;  // why it says nothing
};

struct OneGatewayResult {
  OneGatewayOptions options;
  double load = 0;  // of the machine over the minute before
  ListCost list;
  std::optional<ChangesCost> changes;  // none where the list was not taken
  std::optional<SettingsCost> settings;
  std::vector<AddedCost> added;
  double rss_mb_most = 0;  // the gateway's and the lab's
  size_t processes_most = 0;
  std::vector<std::string> broken, late;
  Verdict verdict = Verdict::kHeld;
};

// `told` hears a line after each part. Throws Interrupted, or std::system_error where the machine
// gives no address or process.
OneGatewayResult MeasureOneGateway(const OneGatewayOptions& options,
                                   const std::function<void(const std::string&)>& told);

std::string ToText(const OneGatewayResult& result);
std::string ToJson(const OneGatewayResult& result);

}  // namespace paddlestile::lab

#endif  // PADDLESTILE_LAB_ONE_GATEWAY_H_
