#include "config/gateway_config.h"

#include <fmt/format.h>

#include <string_view>

#include "config/gateway_config_parser.h"
#include "config/name_retention.h"

namespace paddlestile {
namespace {

const char* RequireVariable(const EnvironmentReader& env, const char* name) {
  const char* const value = env(name);
  if (value == nullptr || *value == '\0') {
    throw ConfigError(fmt::format("{} is not set", name));
  }
  return value;
}

Address RequireAddressVariable(const EnvironmentReader& env, const char* name) {
  const char* const text = RequireVariable(env, name);
  try {
    return ParseAddress(text);
  } catch (const ConfigError& error) {
    throw ConfigError(fmt::format("{}: {}", name, error.what()));
  }
}

std::optional<Address> AdminFromEnvironment(const EnvironmentReader& env) {
  const char* const text = env("LB_ADMIN");
  if (text == nullptr || *text == '\0') {
    return std::nullopt;
  }
  return RequireAddressVariable(env, "LB_ADMIN");
}

std::optional<Address> AdminFromFile(const Json& json) {
  const Json* const admin = json.Find("admin");
  if (admin == nullptr || admin->type() == Json::Type::kNull) {
    return std::nullopt;
  }
  try {
    return ParseAddress(json.Require("admin", Json::Type::kString).text());
  } catch (const ConfigError& error) {
    throw ConfigError(fmt::format("'admin': {}", error.what()));
  }
}

// Throws ConfigError if a key is missing that the file had before: it was probably truncated.
void CheckKeysRemain(const std::set<std::string>& previous, const std::set<std::string>& current) {
  for (const std::string& key : previous) {
    // The keys of the items of a list are absent if the list is empty, which is allowed.
    const size_t item = key.find(".*");
    const bool list_is_empty =
        item != std::string::npos && !current.contains(key.substr(0, item + 2));
    if (!list_is_empty && !current.contains(key)) {
      throw ConfigError(fmt::format("no '{}', expected all keys of the previous file", key));
    }
  }
}

GatewayConfig ParseReloaded(const std::string& text, const GatewayConfig& previous, Time now,
                            const TimeFromUnixMillis& from_unix_millis) {
  const Json json = Json::Parse(text);
  GatewayConfig config = ParseGatewayConfig(json, from_unix_millis);
  CheckKeysRemain(previous.file_keys, config.file_keys);
  CheckConsistency(config);
  config.discovery = previous.discovery;
  if (json.Find("discovery") != nullptr) {
    config.discovery = ParseAddress(json.Require("discovery", Json::Type::kString).text());
  }
  CopyStartupFields(previous, config);
  config.file_text = text;
  KeepNamePositions(previous, now, config);
  return config;
}

// Returns "class NAME added", "removed" or "changed", or an empty string if the class at `position`
// is unchanged.
std::string DescribeClass(const std::string& name, size_t position, const GatewayConfig& previous,
                          const GatewayConfig& current) {
  const std::vector<RequestClass>& previous_classes = previous.settings.classes;
  const bool was_present =
      position < previous_classes.size() && IsCurrent(previous.names.classes_expire_at, position);
  const bool is_present = IsCurrent(current.names.classes_expire_at, position);
  if (was_present != is_present) {
    return fmt::format("class {} {}", name, was_present ? "removed" : "added");
  }
  if (was_present && previous_classes[position] != current.settings.classes[position]) {
    return fmt::format("class {} changed", name);
  }
  return {};
}

}  // namespace

GatewayConfig ReadGatewayConfig(const EnvironmentReader& env,
                                const TimeFromUnixMillis& from_unix_millis) {
  const std::string name = RequireVariable(env, "LB_NAME");
  const Address listen = RequireAddressVariable(env, "LB_LISTEN");
  const Address discovery = RequireAddressVariable(env, "LB_DISCOVERY");
  const std::string path = RequireVariable(env, "LB_CONFIG");
  const std::optional<Address> admin = AdminFromEnvironment(env);
  const std::string text = ReadConfigFile(path);
  try {
    const Json json = Json::Parse(text);
    GatewayConfig config = ParseGatewayConfig(json, from_unix_millis);
    CheckConsistency(config);
    config.admin = admin ? admin : AdminFromFile(json);
    config.path = path;
    config.name = name;
    config.listen = listen;
    config.discovery = discovery;
    config.file_text = text;
    return config;
  } catch (const std::exception& error) {
    throw ConfigError(fmt::format("LB_CONFIG: {}: {}", path, error.what()));
  }
}

GatewayConfig ReloadGatewayConfig(const GatewayConfig& previous, Time now,
                                  const TimeFromUnixMillis& from_unix_millis) {
  const std::string text = ReadConfigFile(previous.path);
  try {
    return ParseReloaded(text, previous, now, from_unix_millis);
  } catch (const std::exception& error) {
    throw ConfigError(fmt::format("LB_CONFIG: {}: {}", previous.path, error.what()));
  }
}

std::vector<std::string> UnsupportedSettings(const Settings& settings) {
  std::vector<std::string> lines;
  if (settings.allowed.peer_messages) {
    lines.emplace_back("Allowed.PeerMessages is true: gateways do not send messages to each other");
  }
  if (settings.allowed.max_streams > 1) {
    lines.push_back(
        fmt::format("Allowed.MaxStreams is {}: a connection carries one request at a time",
                    settings.allowed.max_streams));
  }
  return lines;
}

std::string DescribeChanges(const GatewayConfig& previous, const GatewayConfig& current) {
  std::string changes;
  const auto add = [&](std::string_view change) {
    if (!change.empty()) {
      changes += fmt::format("{}{}", changes.empty() ? "" : ", ", change);
    }
  };
  if (previous.discovery != current.discovery) {
    add("discovery at " + ToText(current.discovery));
  }
  for (const auto& [name, position] : current.names.classes.positions()) {
    add(DescribeClass(name, position, previous, current));
  }
  const int previous_attempts = previous.settings.allowed.max_attempts;
  const int attempts = current.settings.allowed.max_attempts;
  if (previous_attempts != attempts) {
    add(fmt::format("attempts {} to {}", previous_attempts, attempts));
  }
  return changes;
}

}  // namespace paddlestile
