// Parsing of a gateway's configuration file, shared by reading, reloading and validating it and by
// laying versions over its settings.
#ifndef PADDLESTILE_CONFIG_GATEWAY_CONFIG_PARSER_H_
#define PADDLESTILE_CONFIG_GATEWAY_CONFIG_PARSER_H_

#include <string>
#include <string_view>

#include "config/gateway_config.h"

namespace paddlestile {

// The text of the file at `path`. Throws ConfigError where it cannot be read.
std::string ReadConfigFile(const std::string& path);

// What the file alone says: seed, limits, settings, endpoints and the keys that are there. Throws
// ConfigError, JsonError or std::invalid_argument at the first fault.
GatewayConfig ParseGatewayConfig(const Json& json, const TimeFromUnixMillis& from_wall);

// Parses the file's `settings` object into the fields of `config` that stem from it. Throws as
// ParseGatewayConfig does.
void ParseSettingsObject(const Json& settings, GatewayConfig& config);

// Adds the names in the list `key` of `settings`, a list of names or of objects with a `Name`.
// Throws JsonError where an object has none.
void AddNames(const Json& settings, std::string_view key, NameTable& table);

// Checks values that are valid by themselves and may not fit together. Throws ConfigError or
// std::invalid_argument.
void CheckConsistency(const GatewayConfig& config);

// Copies into `config` what only a start reads: name, path, own addresses, seed and limits.
void CopyStartupFields(const GatewayConfig& previous, GatewayConfig& config);

}  // namespace paddlestile

#endif  // PADDLESTILE_CONFIG_GATEWAY_CONFIG_PARSER_H_
