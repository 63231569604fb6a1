// The configuration of a gateway, from the LB_* environment variables and the JSON file that
// LB_CONFIG names. Functions to read it at the start, to reload it while the gateway runs, and to
// validate a file.
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
  std::string path;  // of the file, from LB_CONFIG
  std::string name;  // of this gateway, from LB_NAME
  Address listen;
  Address discovery;
  std::optional<Address> admin;  // admin interface, from LB_ADMIN or else the file's `admin`
  uint64_t seed = 0;             // for the decision module's random numbers
  size_t max_sockets = 1024;     // limit of the gateway's open descriptors
  // Limit of the memory of all processes of the gateway.
  size_t max_memory_bytes = 192U << 20;
  Settings settings;
  Duration endpoint_idle_timeout{0};  // after which endpoints close idle connections; 0: unknown
  NameTables names;                   // the positions of names in `settings`
  EndpointList initial_endpoints;
  std::set<std::string> file_keys;  // paths of the file's keys, which a reloaded file must have too
  std::string file_text;            // the text of the file
};

// Returns the value of an environment variable, or null if it is not set.
using EnvironmentReader = std::function<const char*(const char*)>;

// Reads the variables and the file. Throws ConfigError with one line that describes the fault.
GatewayConfig ReadGatewayConfig(const EnvironmentReader& env,
                                const TimeFromUnixMillis& from_unix_millis);

// Reads the file of `previous` again. Throws ConfigError with one line if the file is truncated,
// lacks a key that it had before or is invalid. Names keep their positions in the settings, and a
// name that the file no longer has is accepted for a while. The addresses other than discovery's,
// the seed and the limits are those of `previous`, since changing them requires a restart.
GatewayConfig ReloadGatewayConfig(const GatewayConfig& previous, Time now,
                                  const TimeFromUnixMillis& from_unix_millis);

inline constexpr size_t kMaxReportedFaults = 100;

// Returns the faults of the file at `path`, one line each: where (line or field), what is wrong,
// and what was expected. Returns about kMaxReportedFaults at most. If the result is empty, a
// gateway can start with the file.
std::vector<std::string> ValidateGatewayConfig(const std::string& path);

// Returns the settings that the gateway does not support, one line each.
std::vector<std::string> UnsupportedSettings(const Settings& settings);

// Describes the differences between two configurations for the log. Empty if there are none.
std::string DescribeChanges(const GatewayConfig& previous, const GatewayConfig& current);

}  // namespace paddlestile

#endif  // PADDLESTILE_CONFIG_GATEWAY_CONFIG_H_
