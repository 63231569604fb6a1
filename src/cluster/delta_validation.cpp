#include "cluster/delta_validation.h"

#include <algorithm>
#include <array>
#include <set>
#include <utility>

#include "cluster/delta.h"
#include "cluster/document_json.h"

namespace paddlestile::cluster {
namespace {

using nlohmann::json;

void ValidateKeys(const json& delta, std::vector<std::string>& errors) {
  constexpr std::array kKeys = {kSettingsKey, kReplaceKey, kExcludedKey, kDrainingKey,
                                kZoneOnlyKey};
  for (const auto& [key, value] : delta.items()) {
    if (std::ranges::find(kKeys, std::string_view(key)) == kKeys.end()) {
      errors.push_back(key + ": expected settings, replace, barred, drain or zone_only");
    }
  }
}

void ValidateHosts(const json& delta, const char* key, std::vector<std::string>& errors) {
  const auto hosts = delta.find(key);
  if (hosts == delta.end()) {
    return;
  }
  if (!hosts->is_object()) {
    errors.push_back(std::string(key) + ": expected an object of add and remove");
    return;
  }
  std::set<std::string> seen_ids;
  for (const auto& [action, ids] : hosts->items()) {
    const std::string path = std::string(key) + "." + action;
    if (action != "add" && action != "remove") {
      errors.push_back(path + ": expected add or remove");
      continue;
    }
    if (!IsHostIdList(ids)) {
      errors.push_back(path + ": expected a list of hosts' ids");
      continue;
    }
    for (const json& id : ids) {
      if (!seen_ids.insert(id).second) {
        errors.push_back(path + ": '" + id.get<std::string>() +
                         "' a second time, expected each once");
      }
    }
  }
}

void ValidateZones(const json& delta, std::vector<std::string>& errors) {
  const auto zones = delta.find(kZoneOnlyKey);
  if (zones == delta.end()) {
    return;
  }
  const bool is_valid = zones->is_object() && std::ranges::all_of(*zones, [](const json& zone) {
                          return zone.is_string() || zone.is_null();
                        });
  if (!is_valid) {
    errors.emplace_back("zone_only: expected an object of host to zone, or to null");
  }
}

void ValidateNamedListPatch(const std::string& key, const json& patch,
                            std::vector<std::string>& errors) {
  if (patch.is_null()) {
    return;
  }
  const std::string list_path = "settings." + key;
  if (!patch.is_object()) {
    errors.push_back(list_path + ": expected an object of name to what it changes");
    return;
  }
  for (const auto& [name, item] : patch.items()) {
    std::string path = list_path;
    path.append(".").append(name);
    if (!item.is_object() && !item.is_null()) {
      errors.push_back(path + ": expected an object, or null to remove it");
    } else if (item.is_object() && item.contains("Name")) {
      errors.push_back(path + ".Name: expected none, the key is the name");
    }
  }
}

void ValidateSettings(const json& delta, std::vector<std::string>& errors) {
  const auto settings = delta.find(kSettingsKey);
  if (settings == delta.end()) {
    return;
  }
  if (!settings->is_object()) {
    errors.emplace_back("settings: expected an object");
    return;
  }
  for (const auto& [key, patch] : settings->items()) {
    if (IsNamedList(key)) {
      ValidateNamedListPatch(key, patch, errors);
    }
  }
}

void ValidateReplace(const json& delta, std::vector<std::string>& errors) {
  const auto replace = delta.find(kReplaceKey);
  if (replace == delta.end()) {
    return;
  }
  if (!replace->is_object()) {
    errors.emplace_back("replace: expected an object of keys of the settings");
    return;
  }
  const auto settings = delta.find(kSettingsKey);
  for (const auto& [key, value] : replace->items()) {
    if (settings != delta.end() && settings->is_object() && settings->contains(key)) {
      errors.push_back("replace." + key + ": in settings too, expected in one of them");
    }
  }
}

}  // namespace

json ParseDelta(std::string_view text, std::vector<std::string>& errors) {
  if (text.size() > kMaxDeltaBytes) {
    errors = {"a delta of " + std::to_string(text.size()) + " bytes, expected " +
              std::to_string(kMaxDeltaBytes) + " at most"};
    return {};
  }
  // Checked before parsing: the parser's callback for each depth would iterate over all siblings.
  errors = ValidateNesting(text);
  if (!errors.empty()) {
    return {};
  }
  json delta = json::parse(text, nullptr, false);
  if (delta.is_discarded() || !delta.is_object()) {
    errors = {"expected one JSON object"};
    return {};
  }
  ValidateKeys(delta, errors);
  ValidateHosts(delta, kExcludedKey, errors);
  ValidateHosts(delta, kDrainingKey, errors);
  ValidateZones(delta, errors);
  ValidateSettings(delta, errors);
  ValidateReplace(delta, errors);
  return delta;
}

std::vector<std::string> ValidateDelta(std::string_view text) {
  std::vector<std::string> errors;
  ParseDelta(text, errors);
  return errors;
}

}  // namespace paddlestile::cluster
