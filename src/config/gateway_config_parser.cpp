#include "config/gateway_config_parser.h"

#include <fmt/format.h>

#include <charconv>
#include <cmath>
#include <fstream>
#include <iterator>
#include <map>
#include <system_error>

#include "balancer/learned_state.h"

namespace paddlestile {
namespace {

constexpr double kMinSockets = 64;
constexpr double kMaxSockets = 1e6;
constexpr double kMinMemoryMegabytes = 1;
constexpr double kMaxMemoryMegabytes = 1e6;
constexpr double kBytesPerMegabyte = 1U << 20;
constexpr double kMaxIdleTimeoutMillis = 1e9;
constexpr int kSeedBase = 16;

void CollectKeys(const std::string& path, const Json& value, std::set<std::string>& keys);

// Collects the keys that all items of a list of objects have, as PATH.*.KEY.
void CollectItemKeys(const std::string& path, const std::vector<Json>& items,
                     std::set<std::string>& keys) {
  std::map<std::string, size_t> counts;
  for (const Json& item : items) {
    std::set<std::string> item_keys;
    CollectKeys(path + ".*", item, item_keys);
    for (const std::string& key : item_keys) {
      ++counts[key];
    }
  }
  for (const auto& [key, count] : counts) {
    if (count == items.size()) {
      keys.insert(key);
    }
  }
}

// Collects the paths of all keys whose value is not null. A path has its keys joined by dots.
void CollectKeys(const std::string& path, const Json& value, std::set<std::string>& keys) {
  if (value.type() == Json::Type::kNull) {
    return;
  }
  if (!path.empty()) {
    keys.insert(path);
  }
  for (const auto& [name, field] : value.fields()) {
    // The keys within the endpoint list may change, since discovery provides it once the gateway
    // runs.
    if (path.empty() && name == "known") {
      keys.insert(name);
      continue;
    }
    CollectKeys(path.empty() ? name : fmt::format("{}.{}", path, name), field, keys);
  }
  const std::vector<Json>& items = value.items();
  if (!items.empty() && items[0].type() == Json::Type::kObject) {
    CollectItemKeys(path, items, keys);
  }
}

uint64_t ParseSeed(const std::string& text) {
  uint64_t seed = 0;
  const char* const text_end = text.data() + text.size();
  const auto [end, error] = std::from_chars(text.data(), text_end, seed, kSeedBase);
  if (error != std::errc() || end != text_end) {
    throw ConfigError(fmt::format("'seed' is '{}', expected a hexadecimal number", text));
  }
  return seed;
}

void ParseMaxMemory(const Json& limits, GatewayConfig& config) {
  const Json* const memory = limits.Find("memory_mb");
  if (memory == nullptr) {
    return;
  }
  if (!(memory->number() >= kMinMemoryMegabytes && memory->number() <= kMaxMemoryMegabytes)) {
    throw ConfigError(
        fmt::format("'limits.memory_mb' is {}, expected 1 to 1000000", memory->text()));
  }
  config.max_memory_bytes = static_cast<size_t>(memory->number() * kBytesPerMegabyte);
}

void ParseLimits(const Json& json, GatewayConfig& config) {
  const Json* const limits = json.Find("limits");
  if (limits == nullptr) {
    return;
  }
  ParseMaxMemory(*limits, config);
  const Json* const sockets = limits->Find("sockets");
  if (sockets == nullptr) {
    return;
  }
  if (!(sockets->number() >= kMinSockets && sockets->number() <= kMaxSockets)) {
    throw ConfigError(
        fmt::format("'limits.sockets' is {}, expected 64 to 1000000", sockets->text()));
  }
  config.max_sockets = static_cast<size_t>(sockets->number());
}

void ParseReportFields(const Json& settings, GatewayConfig& config) {
  const Json* const stats = settings.Find("Stats");
  const Json* const fields = stats != nullptr ? stats->Find("Fields") : nullptr;
  if (fields == nullptr) {
    return;
  }
  for (const Json& field : fields->items()) {
    config.names.report_fields.push_back(field.text());
  }
}

void ParseIdleTimeout(const Json& settings, GatewayConfig& config) {
  const Json* const allowed = settings.Find("Allowed");
  const Json* const idle_close = allowed != nullptr ? allowed->Find("IdleClose") : nullptr;
  if (idle_close == nullptr || !(idle_close->number() > 0)) {
    return;
  }
  const double millis = std::fmin(idle_close->number(), kMaxIdleTimeoutMillis);
  config.endpoint_idle_timeout = Duration(std::llround(millis * 1000));
}

}  // namespace

std::string ReadConfigFile(const std::string& path) {
  std::ifstream file(path, std::ios::binary);
  std::string text((std::istreambuf_iterator<char>(file)), std::istreambuf_iterator<char>());
  if (!file && text.empty()) {
    throw ConfigError(fmt::format("LB_CONFIG: cannot read {}, expected a file", path));
  }
  return text;
}

void AddNames(const Json& settings, std::string_view key, NameTable& table) {
  const Json* const list = settings.Find(key);
  if (list == nullptr) {
    return;
  }
  for (const Json& item : list->items()) {
    const bool is_name = item.type() == Json::Type::kString;
    table.Add(is_name ? item.text() : item.Require("Name", Json::Type::kString).text());
  }
}

void ParseSettingsObject(const Json& settings, GatewayConfig& config) {
  config.settings = ParseSettings(FlattenSettings(settings));
  AddNames(settings, "Classes", config.names.classes);
  AddNames(settings, "Tenants", config.names.tenants);
  AddNames(settings, "FailureDomains", config.names.zones);
  AddNames(settings, "Kinds", config.names.kinds);
  ParseReportFields(settings, config);
  ParseIdleTimeout(settings, config);
}

GatewayConfig ParseGatewayConfig(const Json& json, const TimeFromUnixMillis& from_unix_millis) {
  GatewayConfig config;
  config.seed = ParseSeed(json.Require("seed", Json::Type::kString).text());
  ParseLimits(json, config);
  ParseSettingsObject(json.Require("settings", Json::Type::kObject), config);
  CollectKeys("", json, config.file_keys);
  config.initial_endpoints =
      ParseEndpointList(json.Require("known", Json::Type::kObject), config.names, from_unix_millis);
  return config;
}

void CheckConsistency(const GatewayConfig& config) {
  ValidateSettings(config.settings);
  if (config.names.classes.positions().size() != config.settings.classes.size()) {
    throw ConfigError("'settings.Classes' names one twice, expected each once");
  }
  if (config.names.tenants.positions().size() != config.settings.tenants.size()) {
    throw ConfigError("'settings.Tenants' names one twice, expected each once");
  }
}

void CopyStartupFields(const GatewayConfig& previous, GatewayConfig& config) {
  config.path = previous.path;
  config.name = previous.name;
  config.listen = previous.listen;
  config.admin = previous.admin;
  config.seed = previous.seed;
  config.max_sockets = previous.max_sockets;
  config.max_memory_bytes = previous.max_memory_bytes;
}

}  // namespace paddlestile
