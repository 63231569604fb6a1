#include "balancer/settings.h"

#include <algorithm>
#include <stdexcept>
#include <string>

namespace paddlestile {
namespace {

constexpr Duration kMaxDuration = std::chrono::hours(1);
constexpr int kMaxAttempts = 1000;
constexpr const char* kDurationRange = "over 0 and an hour at most";
constexpr const char* kNotNegative = "0 or more";

[[noreturn]] void Fail(const std::string& name, const char* expected) {
  throw std::invalid_argument("setting out of range: " + name + ", expected " + expected);
}

void Require(bool valid, const char* name, const char* expected) {
  if (!valid) {
    Fail(name, expected);
  }
}

// Builds the name of an item only if the check fails, because the list can be long.
void RequireItem(bool valid, const char* list, size_t index, const char* name,
                 const char* expected) {
  if (!valid) {
    Fail(std::string(list) + '.' + std::to_string(index) + '.' + name, expected);
  }
}

bool IsDurationInRange(Duration duration) {
  return duration > Duration(0) && duration <= kMaxDuration;
}

void ValidateClass(const RequestClass& request_class, size_t index) {
  RequireItem(IsDurationInRange(request_class.latency_objective), "Classes", index, "Slo",
              kDurationRange);
  RequireItem(IsDurationInRange(request_class.deadline), "Classes", index, "Deadline",
              kDurationRange);
  RequireItem(request_class.priority_weight >= 0, "Classes", index, "Worth", kNotNegative);
  RequireItem(request_class.deduplication_window >= Duration(0), "Classes", index, "Window",
              kNotNegative);
}

void ValidateTenant(const TenantQuota& tenant, size_t index) {
  RequireItem(tenant.share >= 0, "Tenants", index, "Share", kNotNegative);
}

}  // namespace

// Error messages use the operators' names of the settings.
void ValidateSettings(const Settings& settings) {
  Require(settings.instance_count >= 1, "NInstances", "1 or more");
  Require(!settings.classes.empty(), "Classes", "one at the least");
  for (size_t i = 0; i < settings.classes.size(); ++i) {
    ValidateClass(settings.classes[i], i);
  }
  for (size_t i = 0; i < settings.tenants.size(); ++i) {
    ValidateTenant(settings.tenants[i], i);
  }
  const int max_attempts = settings.allowed.max_attempts;
  Require(max_attempts >= 1 && max_attempts <= kMaxAttempts, "Allowed.SendCap", "1 to 1000");
  Require(settings.allowed.connect_timeout >= Duration(0), "Allowed.ConnectTimeout", kNotNegative);
  const double initial_capacity = settings.rules.slow_start_initial_capacity;
  Require(initial_capacity >= 0 && initial_capacity <= 1, "Obligations.ColdFrom", "0 to 1");
}

void ApplyTenantQuotas(const TenantQuotaUpdate& update, Settings& settings) {
  for (const auto& [index, tenant] : update.entries) {
    ValidateTenant(tenant, index);
  }
  for (const auto& [index, tenant] : update.entries) {
    settings.tenants.resize(std::max(settings.tenants.size(), index + 1));
    settings.tenants[index] = tenant;
  }
}

}  // namespace paddlestile
