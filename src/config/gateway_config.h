// The configuration of a gateway: the LB_* variables and the JSON file that LB_CONFIG names.
// Reading it at the start, reloading it while the gateway runs, and validating a file.
#ifndef PADDLESTILE_CONFIG_GATEWAY_CONFIG_H_
#define PADDLESTILE_CONFIG_GATEWAY_CONFIG_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "balancer/load_balancer.h"
#include "base/address.h"
#include "base/config_error.h"
#include "config/balancer_settings.h"
#include "config/endpoint_list.h"
#include "config/json.h"
#include "config/name_table.h"
#include "config/versioned_settings.h"

namespace paddlestile {

struct GatewayConfig {
  std::string path;  // of the file; from LB_CONFIG
  std::string name;  // of this gateway; from LB_NAME
  Address listen;
  Address discovery;
  std::optional<Address> admin;  // where operators call; from LB_ADMIN, else the file's `admin`
  uint64_t seed = 0;             // of the decision module's random numbers
  size_t max_sockets = 1024;     // descriptors that the gateway may have open
  Settings settings;
  Duration endpoint_idle_timeout{0};  // endpoints close idle connections after it; 0: not known
  NameTables names;                   // the positions of names in `settings`
  EndpointList initial_endpoints;
  std::set<std::string> file_keys;  // paths of the file's keys; a reloaded file must have them too
  std::string file_text;            // the file as it was read
};

// Reads a variable of the environment; null where it is not set.
using EnvironmentReader = std::function<const char*(const char*)>;

// Reads the variables and the file. Throws ConfigError with one line that names what is wrong.
GatewayConfig ReadGatewayConfig(const EnvironmentReader& env, const TimeFromUnixMillis& from_wall);

// Reads the file of `previous` again. Throws ConfigError with one line, and nothing changes, where
// the file is cut short, lacks a key that it had or is invalid. Names keep their positions in the
// settings; a name that the file no longer has is accepted a while longer. The addresses but
// discovery's, the seed and the limits stay those of `previous`: they need a restart.
GatewayConfig ReloadGatewayConfig(const GatewayConfig& previous, Time now,
                                  const TimeFromUnixMillis& from_wall);

inline constexpr size_t kMaxReportedFaults = 100;

// All faults of the file at `path`, a line each: where (line or field), what is wrong, and what was
// expected; about kMaxReportedFaults at most. Empty: a gateway can start from it.
std::vector<std::string> ValidateGatewayConfig(const std::string& path);

// What the settings allow or ask for that the gateway does not support, a line each.
std::vector<std::string> UnsupportedSettings(const Settings& settings);

// The differences between two configurations, for the log; empty where there is none.
std::string DescribeChanges(const GatewayConfig& previous, const GatewayConfig& current);

}  // namespace paddlestile

#endif  // PADDLESTILE_CONFIG_GATEWAY_CONFIG_H_
