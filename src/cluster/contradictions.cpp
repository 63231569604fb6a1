// Determines which versions two gateways must not act on at the same time, and what a gateway may
// do while it does not know which version the others act on. All of these rules are in this file;
// docs/bank.md has them as a table.
#include <algorithm>
#include <optional>

#include "cluster/document_json.h"
#include "cluster/version_content.h"

namespace paddlestile::cluster {
namespace {

using nlohmann::json;

// Keys of a class, a tenant and `Allowed`.
constexpr const char* kEffectKey = "Effect";
constexpr const char* kWindowKey = "Window";
constexpr const char* kQuotaKey = "QuotaPerS";
constexpr const char* kSendCapKey = "SendCap";

// Returns the index in kIdempotencyLevels; higher is stricter. An unknown value counts as the
// strictest one.
size_t IdempotencyLevelOf(const json& traffic_class) {
  const auto level = std::ranges::find(kIdempotencyLevels, traffic_class.value(kEffectKey, "safe"));
  const auto index = static_cast<size_t>(level - kIdempotencyLevels.begin());
  return std::min(index, kIdempotencyLevels.size() - 1);
}

// Returns the deduplication window in milliseconds; 0 for a class without one.
double DeduplicationWindowOf(const json& traffic_class) {
  return traffic_class.value(kWindowKey, 0.0);
}

double QuotaOf(const json& tenant) {
  return tenant.value(kQuotaKey, 0.0);
}

// Returns the maximum number of attempts per request, or std::nullopt if the platform's file
// decides.
std::optional<json> AttemptLimitOf(const VersionContent& content) {
  const MapEntry* const allowed = content.settings.Find(kAllowedKey);
  if (allowed == nullptr) {
    return std::nullopt;
  }
  const json value = json::parse(allowed->text);
  const auto limit = value.is_object() ? value.find(kSendCapKey) : value.end();
  return limit == value.end() ? std::nullopt : std::optional<json>(*limit);
}

// Calls each(name, item of a, item of b) for the items that are in both lists and differ. An item
// that is in only one list causes no contradiction, because a gateway without it rejects its
// requests.
template <typename Each>
void ForEachChangedItem(const std::optional<PersistentMap>& a,
                        const std::optional<PersistentMap>& b, Each&& each) {
  if (!a || !b) {
    return;
  }
  PersistentMap::ForEachDifference(
      *a, *b,
      [&](const std::string& name, const std::string* text_in_a, const std::string* text_in_b) {
        if (text_in_a != nullptr && text_in_b != nullptr) {
          each(name, json::parse(*text_in_a), json::parse(*text_in_b));
        }
      });
}

// ---- Contradictions ---------------------------------------------------------------------------

void CompareHosts(const PersistentMap& a, const PersistentMap& b, const char* key,
                  std::vector<std::string>& reasons) {
  if (a != b) {
    reasons.push_back(std::string(key) + ": a host that one may use and the other may not");
  }
}

// If only one version has the list, the other one relies on the platform's, which is not known
// here.
void CompareListPresence(const std::optional<PersistentMap>& a,
                         const std::optional<PersistentMap>& b, const char* key,
                         std::vector<std::string>& reasons) {
  if (a.has_value() != b.has_value()) {
    reasons.push_back("settings." + std::string(key) + ": said by one alone");
  }
}

void CompareClasses(const VersionContent& a, const VersionContent& b,
                    std::vector<std::string>& reasons) {
  CompareListPresence(a.classes, b.classes, kClassesKey, reasons);
  ForEachChangedItem(
      a.classes, b.classes,
      [&](const std::string& name, const json& class_in_a, const json& class_in_b) {
        const std::string path = "settings.Classes." + name;
        if (IdempotencyLevelOf(class_in_a) != IdempotencyLevelOf(class_in_b)) {
          reasons.push_back(path + ".Effect: one may send again what the other may not");
        }
        if (DeduplicationWindowOf(class_in_a) != DeduplicationWindowOf(class_in_b)) {
          reasons.push_back(path + ".Window: one may send again for longer");
        }
      });
}

void CompareTenants(const VersionContent& a, const VersionContent& b,
                    std::vector<std::string>& reasons) {
  CompareListPresence(a.tenants, b.tenants, kTenantsKey, reasons);
  ForEachChangedItem(
      a.tenants, b.tenants,
      [&](const std::string& name, const json& tenant_in_a, const json& tenant_in_b) {
        if (QuotaOf(tenant_in_a) != QuotaOf(tenant_in_b)) {
          reasons.push_back("settings.Tenants." + name + ".QuotaPerS: one lets more through");
        }
      });
}

// ---- Stricter version -------------------------------------------------------------------------

void AddHosts(const PersistentMap& added, PersistentMap& hosts) {
  const PersistentMap before = hosts;
  PersistentMap::ForEachDifference(
      added, before,
      [&](const std::string& id, const std::string* text_in_added, const std::string*) {
        if (text_in_added != nullptr) {
          hosts.Set(id, *text_in_added);
        }
      });
}

// In this and the following functions, `stricter` is initially a copy of `b`.
void RestrictZones(const VersionContent& a, const VersionContent& b, VersionContent& stricter) {
  PersistentMap::ForEachDifference(
      a.zone_only, b.zone_only,
      [&](const std::string& host, const std::string* zone_in_a, const std::string* zone_in_b) {
        // If the versions reserve a host for different zones, no zone may use it.
        if (zone_in_a != nullptr && zone_in_b != nullptr) {
          stricter.excluded.Set(host, DumpJson(host));
        }
        if (zone_in_a != nullptr && zone_in_b == nullptr) {
          stricter.zone_only.Set(host, *zone_in_a);
        }
      });
}

void RestrictClasses(const VersionContent& a, const VersionContent& b, VersionContent& stricter) {
  ForEachChangedItem(
      a.classes, b.classes, [&](const std::string& name, const json& class_in_a, json result) {
        const size_t level = std::max(IdempotencyLevelOf(result), IdempotencyLevelOf(class_in_a));
        result[kEffectKey] = kIdempotencyLevels[level];
        if (result.contains(kWindowKey) || class_in_a.contains(kWindowKey)) {
          result[kWindowKey] =
              std::min(DeduplicationWindowOf(result), DeduplicationWindowOf(class_in_a));
        }
        stricter.classes->Set(name, DumpJson(result));
      });
}

void RestrictTenants(const VersionContent& a, const VersionContent& b, VersionContent& stricter) {
  ForEachChangedItem(a.tenants, b.tenants,
                     [&](const std::string& name, const json& tenant_in_a, json result) {
                       if (!tenant_in_a.contains(kQuotaKey)) {
                         return;
                       }
                       result[kQuotaKey] = std::min(QuotaOf(result), QuotaOf(tenant_in_a));
                       stricter.tenants->Set(name, DumpJson(result));
                     });
}

void RestrictAttempts(const std::optional<json>& limit_in_a, const std::optional<json>& limit_in_b,
                      VersionContent& stricter) {
  if (!limit_in_a || !limit_in_b || *limit_in_a == *limit_in_b) {
    return;
  }
  json allowed = json::parse(stricter.settings.Find(kAllowedKey)->text);
  allowed[kSendCapKey] = std::min(limit_in_a->get<int64_t>(), limit_in_b->get<int64_t>());
  stricter.settings.Set(kAllowedKey, DumpJson(allowed));
}

}  // namespace

std::vector<std::string> Contradictions(const VersionContent& a, const VersionContent& b) {
  std::vector<std::string> reasons;
  CompareHosts(a.excluded, b.excluded, kExcludedKey, reasons);
  CompareHosts(a.draining, b.draining, kDrainingKey, reasons);
  CompareHosts(a.zone_only, b.zone_only, kZoneOnlyKey, reasons);
  CompareClasses(a, b, reasons);
  if (AttemptLimitOf(a) != AttemptLimitOf(b)) {
    reasons.emplace_back("settings.Allowed.SendCap: one may try more often");
  }
  CompareTenants(a, b, reasons);
  return reasons;
}

VersionContent StricterOf(const VersionContent& a, const VersionContent& b) {
  const std::optional<json> limit_in_a = AttemptLimitOf(a);
  const std::optional<json> limit_in_b = AttemptLimitOf(b);
  VersionContent stricter = b;
  // If the platform's file decides for only one of them, requests are not retried until one version
  // is in force.
  stricter.strict = a.strict || b.strict || a.classes.has_value() != b.classes.has_value() ||
                    limit_in_a.has_value() != limit_in_b.has_value();
  AddHosts(a.excluded, stricter.excluded);
  AddHosts(a.draining, stricter.draining);
  RestrictZones(a, b, stricter);
  RestrictClasses(a, b, stricter);
  RestrictAttempts(limit_in_a, limit_in_b, stricter);
  RestrictTenants(a, b, stricter);
  return stricter;
}

VersionContent StrictestFor(const VersionContent& content) {
  VersionContent strictest = content;
  strictest.strict = true;
  return strictest;
}

}  // namespace paddlestile::cluster
