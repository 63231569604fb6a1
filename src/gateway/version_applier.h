// Applies a version's content to the gateway: settings laid over the platform's file, and the hosts
// that get no requests. On the event loop's thread; owns neither loop nor gateway.
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

  // The platform's file was read again: what was applied is to be applied over it anew.
  void set_file(const GatewayConfig& file);

  // What the gateway acts on; null: nothing was applied since the file was read.
  [[nodiscard]] const cluster::VersionContent* applied_content() const {
    return applied_content_ ? &*applied_content_ : nullptr;
  }
  // How often something was applied.
  [[nodiscard]] uint64_t applied_count() const { return applied_count_; }

  // In force before the gateway's next event; changes nothing where the gateway acts on it already.
  // `exclude_all_hosts`: no host gets a request, whatever the content says. Where the gateway
  // cannot take the content, logs why with `version` and applies the file's settings with nothing
  // retried and the content's excluded hosts.
  void Apply(cluster::VersionContent content, uint64_t version, bool exclude_all_hosts);

  // Why the gateway cannot take this content; empty: it can.
  [[nodiscard]] std::string WhyNotApplicable(const cluster::VersionContent& content) const;

 private:
  // How the settings in force differ from those of `content`, where they do by tenants alone.
  [[nodiscard]] std::optional<std::vector<TenantChange>> TenantChangesTo(
      const cluster::VersionContent& content) const;
  void ApplyContent(const cluster::VersionContent& content, bool exclude_all_hosts);
  void ApplyFallback(const cluster::VersionContent& content, bool exclude_all_hosts);
  [[nodiscard]] bool ExcludedHostsMayDiffer(const cluster::VersionContent& content) const;
  // The hosts that get no request from this gateway: excluded, draining or of another zone.
  [[nodiscard]] std::set<std::string> ExcludedHosts(const cluster::VersionContent& content) const;

  EventLoop& loop_;
  Gateway& gateway_;
  VersionedSettings file_settings_;
  std::optional<cluster::VersionContent> applied_content_;
  // The gateway's settings are those of applied_content_; false: none is, or a fallback was
  // applied.
  bool settings_match_content_ = false;
  bool all_hosts_excluded_ = false;
  uint64_t applied_count_ = 0;
};

}  // namespace paddlestile

#endif  // PADDLESTILE_GATEWAY_VERSION_APPLIER_H_
