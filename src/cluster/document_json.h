// JSON keys and helpers shared by whole versions and deltas. Operators write and read the keys,
// which must not change. They differ from the names used in the code and appear only here.
#ifndef PADDLESTILE_CLUSTER_DOCUMENT_JSON_H_
#define PADDLESTILE_CLUSTER_DOCUMENT_JSON_H_

#include <array>
#include <nlohmann/json.hpp>
#include <string>
#include <string_view>
#include <vector>

namespace paddlestile::cluster {

// Keys of a version and of a delta.
inline constexpr const char* kSettingsKey = "settings";
inline constexpr const char* kExcludedKey = "barred";
inline constexpr const char* kDrainingKey = "drain";
inline constexpr const char* kZoneOnlyKey = "zone_only";
// Key of a delta only: settings that are replaced rather than merged.
inline constexpr const char* kReplaceKey = "replace";

// Keys of the settings. kNamedListKeys are those of lists whose objects are identified by their
// `Name`, in alphabetical order.
inline constexpr const char* kClassesKey = "Classes";
inline constexpr const char* kTenantsKey = "Tenants";
inline constexpr std::array kNamedListKeys = {kClassesKey, kTenantsKey};
inline constexpr const char* kAllowedKey = "Allowed";

bool IsNamedList(std::string_view settings_key);

// Returns an error if `text`, which need not be valid JSON, is nested too deep. Must be called
// before a text of an operator is parsed: the functions that visit a value call themselves.
std::vector<std::string> ValidateNesting(std::string_view text);

// Whether `value` is a list of non-empty host IDs.
bool IsHostIdList(const nlohmann::json& value);

// Returns the text of a value as used in versions and deltas: without spaces and with invalid UTF-8
// replaced.
std::string DumpJson(const nlohmann::json& value);

}  // namespace paddlestile::cluster

#endif  // PADDLESTILE_CLUSTER_DOCUMENT_JSON_H_
