// The keys and JSON forms that whole versions and deltas share. The keys are the operators' and
// stay; the code's terms for them stand beside them here alone.
#ifndef PADDLESTILE_CLUSTER_DOCUMENT_JSON_H_
#define PADDLESTILE_CLUSTER_DOCUMENT_JSON_H_

#include <array>
#include <nlohmann/json.hpp>
#include <string>
#include <string_view>

namespace paddlestile::cluster {

// Of a version, and of a delta.
inline constexpr const char* kSettingsKey = "settings";
inline constexpr const char* kExcludedKey = "barred";
inline constexpr const char* kDrainingKey = "drain";
inline constexpr const char* kZoneOnlyKey = "zone_only";
// Of a delta alone: settings that are set as they are, not merged.
inline constexpr const char* kReplaceKey = "replace";

// Of the settings: lists of objects that are kept by their `Name`, in the order of their keys.
inline constexpr const char* kClassesKey = "Classes";
inline constexpr const char* kTenantsKey = "Tenants";
inline constexpr std::array kNamedListKeys = {kClassesKey, kTenantsKey};
inline constexpr const char* kAllowedKey = "Allowed";

bool IsNamedList(std::string_view settings_key);

// A list of host ids, none of them empty.
bool IsHostIdList(const nlohmann::json& value);

// The text of a value in versions and deltas: without spaces, invalid UTF-8 replaced.
std::string DumpJson(const nlohmann::json& value);

}  // namespace paddlestile::cluster

#endif  // PADDLESTILE_CLUSTER_DOCUMENT_JSON_H_
