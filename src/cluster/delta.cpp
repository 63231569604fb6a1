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

constexpr const char* kResultErrorPrefix = "the version that it makes: ";

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

// This and the following functions append the errors of the resulting items to `errors`.
void ApplyNamedList(const std::string& key, const json& patch, std::optional<PersistentMap>& list,
                    std::vector<std::string>& errors) {
  if (patch.is_null()) {
    list.reset();
    return;
  }
  // Removing items from an absent list does not create an empty one.
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
    ValidateNamedObject(path.append(key).append(".").append(name), item, errors);
    list->Set(name, DumpJson(item));
  }
}

void SetSetting(const std::string& key, const json& value, VersionContent& content,
                std::vector<std::string>& errors) {
  if (key == kAllowedKey) {
    ValidateAllowed(value, errors);
  }
  content.settings.Set(key, DumpJson(value));
}

void MergeSettings(const json& delta, VersionContent& content, std::vector<std::string>& errors) {
  const json patches = delta.value(kSettingsKey, json::object());
  for (const auto& [key, patch] : patches.items()) {
    if (IsNamedList(key)) {
      ApplyNamedList(key, patch, *content.NamedList(key), errors);
    } else if (patch.is_null()) {
      content.settings.Remove(key);
    } else {
      const MapEntry* const existing = content.settings.Find(key);
      json value = existing != nullptr ? json::parse(existing->text) : json();
      value.merge_patch(patch);
      SetSetting(key, value, content, errors);
    }
  }
}

// Throws std::invalid_argument if a named list is invalid.
void ReplaceSettings(const json& delta, VersionContent& content, std::vector<std::string>& errors) {
  const json values = delta.value(kReplaceKey, json::object());
  for (const auto& [key, value] : values.items()) {
    if (IsNamedList(key)) {
      ConfigDocument document;
      document.settings[key] = value;
      *content.NamedList(key) = *VersionContent(document).NamedList(key);
    } else {
      SetSetting(key, value, content, errors);
    }
  }
}

}  // namespace

VersionContent ApplyDelta(VersionContent base, std::string_view text) {
  std::vector<std::string> errors;
  nlohmann::json delta = ParseDelta(text, errors);
  if (!errors.empty()) {
    throw std::invalid_argument(errors.front());
  }
  VersionContent content = std::move(base);
  try {
    MergeSettings(delta, content, errors);
    ReplaceSettings(delta, content, errors);
  } catch (const std::invalid_argument& error) {
    throw std::invalid_argument(kResultErrorPrefix + std::string(error.what()));
  }
  ApplyHosts(delta, kExcludedKey, content.excluded);
  ApplyHosts(delta, kDrainingKey, content.draining);
  ApplyZones(delta, content.zone_only);
  // Parts that the delta does not contain were validated when they were set.
  if (errors.empty()) {
    errors = ValidateSize(TextBytes(content), kMaxVersionBytes);
  }
  if (!errors.empty()) {
    throw std::invalid_argument(kResultErrorPrefix + errors.front());
  }
  return content;
}

}  // namespace paddlestile::cluster
