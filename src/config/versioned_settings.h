// A version of the replicated configuration laid over the settings of a gateway's file.
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

// One tenant that differs between two versions.
struct TenantChange {
  std::string name;
  std::optional<TenantQuota> quota;  // none: the tenant was removed
};

// Throws ConfigError where `config` cannot take the changes: a share below 0, or too many tenants
// retired since the start.
void ValidateTenantChanges(const std::vector<TenantChange>& changes, const GatewayConfig& config);

// Applies the changes to `config` with the result that reading all of its settings again would
// have: names keep their positions, new ones come behind them, and a removed one is accepted a
// while longer. Throws ConfigError, and then changes nothing.
void ApplyTenantChanges(const std::vector<TenantChange>& changes, Time now, GatewayConfig& config);

// The settings of a gateway's file, parsed once, to lay versions over. A version that differs from
// the one before in tenants alone costs only what those tenants cost.
class VersionedSettings {
 public:
  // Throws ConfigError where the settings of the file's text cannot be parsed.
  explicit VersionedSettings(const GatewayConfig& file);

  // The file's settings with those of `version` laid over them; where the version is strict, no
  // request is sent twice. `previous` is the configuration in force, and `previous_version` the
  // version that this function made it from; null where it was not made so. The result has no
  // endpoints and no text of the file. Throws ConfigError where file and version do not fit
  // together.
  [[nodiscard]] GatewayConfig ApplyVersion(const cluster::VersionContent& version,
                                           const GatewayConfig& previous,
                                           const cluster::VersionContent* previous_version,
                                           Time now) const;

  // The tenants that differ between two versions; nullopt where the versions differ in more than
  // tenants. Throws ConfigError where a tenant's quota is malformed.
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
