// Parses a gateway's configuration file. Shared by the code that reads, reloads and validates the
// file, and by the code that applies versions to its settings.
#ifndef PADDLESTILE_CONFIG_GATEWAY_CONFIG_PARSER_H_
#define PADDLESTILE_CONFIG_GATEWAY_CONFIG_PARSER_H_

#include <string>
#include <string_view>

#include "config/gateway_config.h"

namespace paddlestile {

// Returns the text of the file at `path`. Throws ConfigError if it cannot be read.
std::string ReadConfigFile(const std::string& path);

// Parses the fields that come from the file: seed, limits, settings, endpoints and the keys that
// are present. Throws ConfigError, JsonError or std::invalid_argument at the first fault.
GatewayConfig ParseGatewayConfig(const Json& json, const TimeFromUnixMillis& from_unix_millis);

// Parses the file's `settings` object into the corresponding fields of `config`. Throws like
// ParseGatewayConfig.
void ParseSettingsObject(const Json& settings, GatewayConfig& config);

// Adds the names in the list `key` of `settings`, which has either names or objects with a `Name`.
// Throws JsonError if an object has no `Name`.
void AddNames(const Json& settings, std::string_view key, NameTable& table);

// Checks the ranges and the consistency of parsed values. Throws ConfigError or
// std::invalid_argument.
void CheckConsistency(const GatewayConfig& config);

// Copies the fields that are read only at the start: name, path, own addresses, seed and limits.
void CopyStartupFields(const GatewayConfig& previous, GatewayConfig& config);

}  // namespace paddlestile

#endif  // PADDLESTILE_CONFIG_GATEWAY_CONFIG_PARSER_H_
