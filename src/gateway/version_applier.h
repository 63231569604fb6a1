// Applies the content of a version to the gateway: the settings, which override those of the
// platform's configuration file, and the hosts that get no requests. Runs on the event loop's
// thread. The loop and the gateway must outlive it.
#ifndef PADDLESTILE_GATEWAY_VERSION_APPLIER_H_
#define PADDLESTILE_GATEWAY_VERSION_APPLIER_H_

#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "cluster/version_content.h"
#include "config/gateway_config.h"
#include "event/event_loop.h"
#include "gateway/gateway.h"

namespace paddlestile {

class VersionApplier {
 public:
  VersionApplier(EventLoop& loop, Gateway& gateway, const GatewayConfig& file);

  // Must be called when the platform's configuration file has been reloaded. The content must then
  // be applied again. Throws ConfigError, without effect, if not even the file's own settings can
  // be applied.
  void set_file(const GatewayConfig& file);

  // Returns the content that was last applied, or null if none was applied since the file was set.
  [[nodiscard]] const cluster::VersionContent* applied_content() const {
    return applied_content_ ? &*applied_content_ : nullptr;
  }
  // Returns how many times content was applied successfully.
  [[nodiscard]] uint64_t applied_count() const { return applied_count_; }

  // Applies `content` before the gateway's next event. Does nothing if it is applied already. If
  // `exclude_all_hosts` is true, no host gets a request, whatever the content says. If the content
  // cannot be applied, logs the reason with the number `version`, and applies the file's settings
  // (or if they cannot be applied either, those in force) with retries disabled, and the excluded
  // hosts of the content.
  void Apply(cluster::VersionContent content, uint64_t version, bool exclude_all_hosts);

  // Returns why the gateway cannot apply this content, or an empty string if it can.
  [[nodiscard]] std::string WhyNotApplicable(const cluster::VersionContent& content) const;

 private:
  // Returns the tenants whose settings differ between the applied content and `content`. Returns
  // nullopt if other settings differ too, or if the applied content is not known to be in force.
  [[nodiscard]] std::optional<std::vector<TenantChange>> TenantChangesTo(
      const cluster::VersionContent& content) const;
  void ApplyContent(const cluster::VersionContent& content, bool exclude_all_hosts);
  // Returns the settings of a file without those of a version, with retries disabled. Throws
  // ConfigError if this gateway cannot apply them.
  [[nodiscard]] GatewayConfig FileSettings(const VersionedSettings& settings) const;
  // Never throws for reasons of the configuration.
  void ApplyFallback(const cluster::VersionContent& content, bool exclude_all_hosts);
  [[nodiscard]] bool ExcludedHostsMayDiffer(const cluster::VersionContent& content) const;
  // Returns the hosts that get no requests from this gateway: those that are excluded or draining,
  // and those that only gateways of another zone may use.
  [[nodiscard]] std::set<std::string> ExcludedHosts(const cluster::VersionContent& content) const;

  EventLoop& loop_;
  Gateway& gateway_;
  VersionedSettings file_settings_;
  std::optional<cluster::VersionContent> applied_content_;
  // Whether the gateway's settings are those of applied_content_. False if no content is applied,
  // or if the fallback was applied.
  bool settings_match_content_ = false;
  bool all_hosts_excluded_ = false;
  uint64_t applied_count_ = 0;
};

}  // namespace paddlestile

#endif  // PADDLESTILE_GATEWAY_VERSION_APPLIER_H_
