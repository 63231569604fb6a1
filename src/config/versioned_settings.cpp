#include "config/versioned_settings.h"

#include <fmt/format.h>

#include <algorithm>
#include <iterator>

#include "config/gateway_config.h"
#include "config/gateway_config_parser.h"
#include "config/name_retention.h"

namespace paddlestile {
namespace {

// The tenants that differ between two versions.
struct TenantDifferences {
  std::vector<TenantChange> changes;
  // The JSON of the new and changed tenants, in the order of `changes` and separated by commas.
  std::string tenants_json;
};

TenantDifferences FindTenantDifferences(const cluster::PersistentMap& previous,
                                        const cluster::PersistentMap& current) {
  TenantDifferences differences;
  const auto add = [&](const std::string& name, const std::string* /*before*/,
                       const std::string* after) {
    TenantChange change{name, std::nullopt};
    if (after != nullptr) {
      differences.tenants_json += (differences.tenants_json.empty() ? "" : ",") + *after;
      change.quota.emplace();
    }
    differences.changes.push_back(std::move(change));
  };
  cluster::PersistentMap::ForEachDifference(previous, current, add);
  return differences;
}

// Parses the JSON of the new and changed tenants into their quotas.
void ParseQuotas(TenantDifferences& differences) {
  if (differences.tenants_json.empty()) {
    return;
  }
  const Json json = Json::Parse(fmt::format("{{\"Tenants\":[{}]}}", differences.tenants_json));
  const std::vector<TenantQuota> quotas = ParseSettings(FlattenSettings(json)).tenants;
  size_t next = 0;
  for (TenantChange& change : differences.changes) {
    if (change.quota) {
      change.quota = quotas.at(next);
      ++next;
    }
  }
}

bool DiffersInTenantsAlone(const cluster::VersionContent& previous,
                           const cluster::VersionContent& version) {
  return previous.strict == version.strict && previous.settings == version.settings &&
         previous.classes == version.classes &&
         previous.tenants.has_value() == version.tenants.has_value();
}

void ApplyTenantChange(const TenantChange& change, Time now, GatewayConfig& config) {
  NameTable& names = config.names.tenants;
  std::vector<Time>& expire_at = config.names.tenants_expire_at;
  const size_t position = names.Find(change.name);
  if (position == names.size()) {
    if (!change.quota) {
      return;
    }
    names.Add(change.name);
    config.settings.tenants.emplace_back();
  }
  if (change.quota) {
    config.settings.tenants.at(position) = *change.quota;
  }
  if (IsCurrent(expire_at, position) == change.quota.has_value()) {
    return;
  }
  expire_at.resize(names.size(), Time::max());
  expire_at[position] = change.quota ? Time::max() : now + kRetiredNameAcceptedFor;
}

}  // namespace

void ValidateTenantChanges(const std::vector<TenantChange>& changes, const GatewayConfig& config) {
  const NameTable& names = config.names.tenants;
  const std::vector<Time>& expire_at = config.names.tenants_expire_at;
  bool grows = false;
  ptrdiff_t newly_retired = 0;
  for (const auto& [name, quota] : changes) {
    // The same error as that of ValidateSettings, which checks the tenants of a whole version.
    if (quota && !(quota->share >= 0)) {
      throw ConfigError(
          fmt::format("setting out of range: Tenants.{}.Share, expected 0 or more", name));
    }
    const size_t position = names.Find(name);
    const bool is_new = position == names.size();
    grows = grows || (is_new && quota);
    if (is_new || IsCurrent(expire_at, position) == quota.has_value()) {
      continue;
    }
    newly_retired += quota ? -1 : 1;
  }
  if (!grows) {
    return;
  }
  const ptrdiff_t retired = std::ssize(expire_at) - std::ranges::count(expire_at, Time::max());
  CheckRetiredNames("tenants", grows, retired + newly_retired);
}

void ApplyTenantChanges(const std::vector<TenantChange>& changes, Time now, GatewayConfig& config) {
  ValidateTenantChanges(changes, config);
  for (const TenantChange& change : changes) {
    ApplyTenantChange(change, now, config);
  }
}

void DisableRetries(Settings& settings) {
  for (RequestClass& request_class : settings.classes) {
    request_class.idempotency = Idempotency::kUnsafe;
  }
  settings.allowed.max_attempts = 1;
}

VersionedSettings::VersionedSettings(const GatewayConfig& file) : discovery_(file.discovery) {
  try {
    settings_ = nlohmann::json::parse(file.file_text).at("settings");
  } catch (const std::exception& error) {
    throw ConfigError(fmt::format("LB_CONFIG: {}: {}", file.path, error.what()));
  }
}

std::optional<std::vector<TenantChange>> VersionedSettings::TenantsChanged(
    const cluster::VersionContent& previous, const cluster::VersionContent& version) {
  if (!DiffersInTenantsAlone(previous, version)) {
    return std::nullopt;
  }
  if (!version.tenants) {
    return std::vector<TenantChange>();
  }
  TenantDifferences differences = FindTenantDifferences(*previous.tenants, *version.tenants);
  try {
    ParseQuotas(differences);
  } catch (const std::exception& error) {
    throw ConfigError(fmt::format("bank: {}", error.what()));
  }
  return std::move(differences.changes);
}

GatewayConfig VersionedSettings::ApplyWholeVersion(const cluster::VersionContent& version,
                                                   const GatewayConfig& previous, Time now) const {
  nlohmann::json settings = settings_;
  settings.merge_patch(version.ToDocument().settings);
  GatewayConfig config;
  ParseSettingsObject(Json::Parse(settings.dump()), config);
  CheckConsistency(config);
  CopyStartupFields(previous, config);
  config.discovery = discovery_;
  KeepNamePositions(previous, now, config);
  if (version.strict) {
    DisableRetries(config.settings);
  }
  return config;
}

GatewayConfig VersionedSettings::ApplyVersion(const cluster::VersionContent& version,
                                              const GatewayConfig& previous,
                                              const cluster::VersionContent* previous_version,
                                              Time now) const {
  try {
    const auto changes =
        previous_version == nullptr ? std::nullopt : TenantsChanged(*previous_version, version);
    if (!changes) {
      return ApplyWholeVersion(version, previous, now);
    }
    GatewayConfig config = previous;
    ApplyTenantChanges(*changes, now, config);
    return config;
  } catch (const std::exception& error) {
    throw ConfigError(fmt::format("bank: {}", error.what()));
  }
}

}  // namespace paddlestile
