#include "cluster/delta.h"

#include <algorithm>
#include <optional>
#include <stdexcept>
#include <utility>

#include "cluster/delta_validation.h"
#include "cluster/document_json.h"

namespace paddlestile::cluster {
namespace {

using nlohmann::json;

constexpr const char* kResultFaultPrefix = "the version that it makes: ";

void ApplyHosts(const json& delta, const char* key, PersistentMap& hosts) {
  const auto change = delta.find(key);
  if (change == delta.end()) {
    return;
  }
  for (const json& id : change->value("remove", json::array())) {
    hosts.Remove(id.get_ref<const std::string&>());
  }
  for (const json& id : change->value("add", json::array())) {
    hosts.Set(id.get_ref<const std::string&>(), DumpJson(id));
  }
}

void ApplyZones(const json& delta, PersistentMap& zone_only) {
  const json zones = delta.value(kZoneOnlyKey, json::object());
  for (const auto& [host, zone] : zones.items()) {
    if (zone.is_null()) {
      zone_only.Remove(host);
    } else {
      zone_only.Set(host, DumpJson(zone));
    }
  }
}

// Adds the faults of the items that it makes to `faults`, here and below.
void ApplyNamedList(const std::string& key, const json& patch, std::optional<PersistentMap>& list,
                    std::vector<std::string>& faults) {
  if (patch.is_null()) {
    list.reset();
    return;
  }
  // To remove items from a list that is not there does not make an empty one.
  const bool only_removes =
      !patch.empty() && std::ranges::all_of(patch, [](const json& item) { return item.is_null(); });
  if (!list && only_removes) {
    return;
  }
  if (!list) {
    list.emplace();
  }
  for (const auto& [name, change] : patch.items()) {
    if (change.is_null()) {
      list->Remove(name);
      continue;
    }
    const MapEntry* const existing = list->Find(name);
    json item = existing != nullptr ? json::parse(existing->text) : json{{"Name", name}};
    item.merge_patch(change);
    std::string path = "settings.";
    ValidateNamedObject(path.append(key).append(".").append(name), item, faults);
    list->Set(name, DumpJson(item));
  }
}

void SetSetting(const std::string& key, const json& value, VersionContent& content,
                std::vector<std::string>& faults) {
  if (key == kAllowedKey) {
    ValidateAllowed(value, faults);
  }
  content.settings.Set(key, DumpJson(value));
}

void MergeSettings(const json& delta, VersionContent& content, std::vector<std::string>& faults) {
  const json patches = delta.value(kSettingsKey, json::object());
  for (const auto& [key, patch] : patches.items()) {
    if (IsNamedList(key)) {
      ApplyNamedList(key, patch, *content.NamedList(key), faults);
    } else if (patch.is_null()) {
      content.settings.Remove(key);
    } else {
      const MapEntry* const existing = content.settings.Find(key);
      json value = existing != nullptr ? json::parse(existing->text) : json();
      value.merge_patch(patch);
      SetSetting(key, value, content, faults);
    }
  }
}

// Throws std::invalid_argument for a named list with faults.
void ReplaceSettings(const json& delta, VersionContent& content, std::vector<std::string>& faults) {
  const json values = delta.value(kReplaceKey, json::object());
  for (const auto& [key, value] : values.items()) {
    if (IsNamedList(key)) {
      ConfigDocument document;
      document.settings[key] = value;
      *content.NamedList(key) = *VersionContent(document).NamedList(key);
    } else {
      SetSetting(key, value, content, faults);
    }
  }
}

}  // namespace

VersionContent ApplyDelta(VersionContent base, std::string_view text) {
  std::vector<std::string> faults;
  nlohmann::json delta = ParseDelta(text, faults);
  if (!faults.empty()) {
    throw std::invalid_argument(faults.front());
  }
  VersionContent content = std::move(base);
  try {
    MergeSettings(delta, content, faults);
    ReplaceSettings(delta, content, faults);
  } catch (const std::invalid_argument& fault) {
    throw std::invalid_argument(kResultFaultPrefix + std::string(fault.what()));
  }
  ApplyHosts(delta, kExcludedKey, content.excluded);
  ApplyHosts(delta, kDrainingKey, content.draining);
  ApplyZones(delta, content.zone_only);
  // Parts that the delta does not name were validated in the version that made them.
  if (faults.empty()) {
    faults = ValidateSize(TextBytes(content), kMaxVersionBytes);
  }
  if (!faults.empty()) {
    throw std::invalid_argument(kResultFaultPrefix + faults.front());
  }
  return content;
}

}  // namespace paddlestile::cluster
