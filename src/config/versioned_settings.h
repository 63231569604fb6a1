// Applies a version of the replicated configuration to the settings of a gateway's file.
#ifndef PADDLESTILE_CONFIG_VERSIONED_SETTINGS_H_
#define PADDLESTILE_CONFIG_VERSIONED_SETTINGS_H_

#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <vector>

#include "balancer/load_balancer.h"
#include "base/address.h"
#include "cluster/version_content.h"

namespace paddlestile {

struct GatewayConfig;

// A tenant that differs between two versions.
struct TenantChange {
  std::string name;
  std::optional<TenantQuota> quota;  // nullopt if the tenant was removed
};

// Throws ConfigError if the changes cannot be applied to `config`, because a share is below 0 or
// too many tenants have been retired since the start.
void ValidateTenantChanges(const std::vector<TenantChange>& changes, const GatewayConfig& config);

// Applies the changes to `config`. The result is the same as if all of its settings were read
// again: names keep their positions, new names get positions after them, and a removed name is
// accepted for a while. Throws ConfigError; then nothing is changed.
void ApplyTenantChanges(const std::vector<TenantChange>& changes, Time now, GatewayConfig& config);

// Disables retries, as a strict version requires.
void DisableRetries(Settings& settings);

// The parsed settings of a gateway's file, to which versions are applied. A version that differs
// from the previous one only in some tenants is applied by parsing only these tenants.
class VersionedSettings {
 public:
  // Throws ConfigError if the settings in the file's text cannot be parsed.
  explicit VersionedSettings(const GatewayConfig& file);

  // Returns the file's settings, overridden by those of `version`. A strict version disables
  // retries. `previous` is the configuration in force. `previous_version` is the version from which
  // this function created `previous`, or null if it did not. The result has no endpoints and no
  // file text. Throws ConfigError if the file and the version are not consistent.
  [[nodiscard]] GatewayConfig ApplyVersion(const cluster::VersionContent& version,
                                           const GatewayConfig& previous,
                                           const cluster::VersionContent* previous_version,
                                           Time now) const;

  // Returns the tenants that differ between two versions, or nullopt if other settings differ too.
  // Throws ConfigError if a tenant's quota is malformed.
  [[nodiscard]] static std::optional<std::vector<TenantChange>> TenantsChanged(
      const cluster::VersionContent& previous, const cluster::VersionContent& version);

 private:
  [[nodiscard]] GatewayConfig ApplyWholeVersion(const cluster::VersionContent& version,
                                                const GatewayConfig& previous, Time now) const;

  nlohmann::json settings_;
  Address discovery_;
};

}  // namespace paddlestile

#endif  // PADDLESTILE_CONFIG_VERSIONED_SETTINGS_H_
