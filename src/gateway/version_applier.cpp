#include "gateway/version_applier.h"

#include <exception>
#include <nlohmann/json.hpp>
#include <utility>

#include "base/log.h"

namespace paddlestile {

using cluster::MapEntry;
using cluster::VersionContent;

VersionApplier::VersionApplier(EventLoop& loop, Gateway& gateway, const GatewayConfig& file)
    : loop_(loop), gateway_(gateway), file_settings_(file) {}

void VersionApplier::set_file(const GatewayConfig& file) {
  VersionedSettings settings(file);
  static_cast<void>(FileSettings(settings));
  file_settings_ = std::move(settings);
  applied_content_.reset();
  settings_match_content_ = false;
}

void VersionApplier::Apply(VersionContent content, uint64_t version, bool exclude_all_hosts) {
  if (applied_content_ && *applied_content_ == content &&
      all_hosts_excluded_ == exclude_all_hosts) {
    return;
  }
  try {
    ApplyContent(content, exclude_all_hosts);
    ++applied_count_;
    settings_match_content_ = true;
  } catch (const std::exception& error) {
    Log(LogLevel::kError, "bank: cannot apply version {}: {}", version, error.what());
    ApplyFallback(content, exclude_all_hosts);
    settings_match_content_ = false;
  }
  applied_content_ = std::move(content);
  all_hosts_excluded_ = exclude_all_hosts;
}

void VersionApplier::ApplyContent(const VersionContent& content, bool exclude_all_hosts) {
  const auto tenant_changes = TenantChangesTo(content);
  if (tenant_changes) {
    gateway_.ApplyTenantChanges(*tenant_changes);
  } else {
    gateway_.ApplyConfig(
        file_settings_.ApplyVersion(content, gateway_.config(), nullptr, loop_.Now()));
  }
  // Without tenant_changes all settings are new, which may change this gateway's zone.
  if (!tenant_changes || exclude_all_hosts != all_hosts_excluded_ ||
      ExcludedHostsMayDiffer(content)) {
    gateway_.ExcludeHosts(ExcludedHosts(content), exclude_all_hosts);
  }
}

GatewayConfig VersionApplier::FileSettings(const VersionedSettings& settings) const {
  const VersionContent without_settings = cluster::StrictestFor({});
  return settings.ApplyVersion(without_settings, gateway_.config(), nullptr, loop_.Now());
}

void VersionApplier::ApplyFallback(const VersionContent& content, bool exclude_all_hosts) {
  try {
    gateway_.ApplyConfig(FileSettings(file_settings_));
  } catch (const std::exception& error) {
    Log(LogLevel::kError, "bank: settings in force kept, without retries: {}", error.what());
    GatewayConfig config = gateway_.config();
    DisableRetries(config.settings);
    gateway_.ApplyConfig(std::move(config));
  }
  gateway_.ExcludeHosts(ExcludedHosts(content), exclude_all_hosts);
}

std::string VersionApplier::WhyNotApplicable(const VersionContent& content) const {
  try {
    if (const auto tenant_changes = TenantChangesTo(content)) {
      ValidateTenantChanges(*tenant_changes, gateway_.config());
    } else {
      static_cast<void>(
          file_settings_.ApplyVersion(content, gateway_.config(), nullptr, loop_.Now()));
    }
    return {};
  } catch (const std::exception& error) {
    return error.what();
  }
}

std::optional<std::vector<TenantChange>> VersionApplier::TenantChangesTo(
    const VersionContent& content) const {
  if (!settings_match_content_) {
    return std::nullopt;
  }
  return VersionedSettings::TenantsChanged(*applied_content_, content);
}

bool VersionApplier::ExcludedHostsMayDiffer(const VersionContent& content) const {
  return content.excluded != applied_content_->excluded ||
         content.draining != applied_content_->draining ||
         content.zone_only != applied_content_->zone_only;
}

std::set<std::string> VersionApplier::ExcludedHosts(const VersionContent& content) const {
  std::set<std::string> excluded;
  const auto exclude = [&](const MapEntry& entry) {
    excluded.insert(entry.name);
  };
  content.excluded.ForEach(exclude);
  content.draining.ForEach(exclude);
  const GatewayConfig& config = gateway_.config();
  const auto own_zone = static_cast<size_t>(config.settings.zone);
  content.zone_only.ForEach([&](const MapEntry& entry) {
    const auto allowed_zone = nlohmann::json::parse(entry.text).get<std::string>();
    if (config.names.zones.Find(allowed_zone) != own_zone) {
      exclude(entry);
    }
  });
  return excluded;
}

}  // namespace paddlestile
