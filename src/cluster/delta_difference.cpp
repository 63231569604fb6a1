// ComputeDelta(): computes the difference between two versions as a delta.
#include <algorithm>
#include <optional>
#include <utility>

#include "cluster/delta.h"
#include "cluster/document_json.h"

namespace paddlestile::cluster {
namespace {

using nlohmann::json;

// Whether two values have the same text in a version. 5 and 5.0 are equal as JSON values, but have
// different texts.
bool HasSameText(const json& a, const json& b) {
  return a == b && DumpJson(a) == DumpJson(b);
}

// Whether a merge patch (RFC 7396) can set this value. It cannot set null, which means removal.
bool CanSetByPatch(const json& value) {
  if (value.is_null()) {
    return false;
  }
  return !value.is_object() ||
         std::ranges::all_of(value, [](const json& inner) { return CanSetByPatch(inner); });
}

// Returns the merge patch from one value to another, or std::nullopt if no merge patch can make
// that change.
std::optional<json> MergePatch(const json& from, const json& to) {
  if (!from.is_object() || !to.is_object()) {
    return CanSetByPatch(to) ? std::optional(to) : std::nullopt;
  }
  json patch = json::object();
  for (const auto& [key, value] : from.items()) {
    if (!to.contains(key)) {
      patch[key] = nullptr;
    }
  }
  for (const auto& [key, value] : to.items()) {
    const auto existing = from.find(key);
    if (existing == from.end()) {
      if (!CanSetByPatch(value)) {
        return std::nullopt;
      }
      patch[key] = value;
    } else if (!HasSameText(*existing, value)) {
      auto inner = MergePatch(*existing, value);
      if (!inner) {
        return std::nullopt;
      }
      patch[key] = std::move(*inner);
    }
  }
  return patch;
}

std::vector<std::string_view> NamesInOrder(const PersistentMap& list) {
  std::vector<std::string_view> names;
  for (const MapEntry* const entry : list.EntriesInOrder()) {
    names.push_back(entry->name);
  }
  return names;
}

// Returns the patch of one item of a named list, or std::nullopt if no patch can make the change.
// `before` is null for a new item; its name is omitted, because it is the patch's key.
std::optional<json> NamedItemPatch(const std::string* before, const std::string& after) {
  json item = json::parse(after);
  if (before != nullptr) {
    return MergePatch(json::parse(*before), item);
  }
  item.erase("Name");
  return CanSetByPatch(item) ? std::optional(std::move(item)) : std::nullopt;
}

// Returns the patch of a named list, or std::nullopt if no patch can make the change or if applying
// it would result in another order of the items.
std::optional<json> NamedListPatch(const PersistentMap& from, const PersistentMap& to) {
  json patch = json::object();
  bool has_patch = true;
  std::vector<std::string_view> new_names;  // in the order of names
  PersistentMap::ForEachDifference(
      from, to, [&](const std::string& name, const std::string* before, const std::string* after) {
        if (after == nullptr) {
          patch[name] = nullptr;
          return;
        }
        if (before == nullptr) {
          new_names.push_back(to.Find(name)->name);
        }
        std::optional<json> item_patch = NamedItemPatch(before, *after);
        has_patch = has_patch && item_patch.has_value();
        if (item_patch) {
          patch[name] = std::move(*item_patch);
        }
      });
  if (!has_patch) {
    return std::nullopt;
  }
  std::vector<std::string_view> resulting_names;
  for (const std::string_view name : NamesInOrder(from)) {
    if (to.Find(name) != nullptr) {
      resulting_names.push_back(name);
    }
  }
  resulting_names.insert(resulting_names.end(), new_names.begin(), new_names.end());
  return resulting_names == NamesInOrder(to) ? std::optional(std::move(patch)) : std::nullopt;
}

// The two objects of a delta that change settings.
struct SettingsDifference {
  json patches = json::object();   // under kSettingsKey
  json replaced = json::object();  // under kReplaceKey: values that no merge patch can produce
};

void AddSettingsDifference(const VersionContent& from, const VersionContent& to,
                           SettingsDifference& difference) {
  PersistentMap::ForEachDifference(
      from.settings, to.settings,
      [&](const std::string& key, const std::string* before, const std::string* after) {
        if (after == nullptr) {
          difference.patches[key] = nullptr;
          return;
        }
        json value = json::parse(*after);
        if (auto patch = MergePatch(before != nullptr ? json::parse(*before) : json(), value)) {
          difference.patches[key] = std::move(*patch);
        } else {
          difference.replaced[key] = std::move(value);
        }
      });
}

void AddNamedListDifference(const char* key, const std::optional<PersistentMap>& from,
                            const std::optional<PersistentMap>& to,
                            SettingsDifference& difference) {
  if (from && !to) {
    difference.patches[key] = nullptr;
  }
  if (!to || (from && *from == *to && NamesInOrder(*from) == NamesInOrder(*to))) {
    return;
  }
  if (auto patch = NamedListPatch(from.value_or(PersistentMap()), *to)) {
    difference.patches[key] = std::move(*patch);
    return;
  }
  json& list = difference.replaced[key] = json::array();
  for (const MapEntry* const entry : to->EntriesInOrder()) {
    list.push_back(json::parse(entry->text));
  }
}

json HostsDifference(const PersistentMap& from, const PersistentMap& to) {
  json added = json::array();
  json removed = json::array();
  PersistentMap::ForEachDifference(
      from, to, [&](const std::string& id, const std::string* before, const std::string*) {
        (before == nullptr ? added : removed).push_back(id);
      });
  json difference = json::object();
  if (!added.empty()) {
    difference["add"] = std::move(added);
  }
  if (!removed.empty()) {
    difference["remove"] = std::move(removed);
  }
  return difference;
}

json ZonesDifference(const PersistentMap& from, const PersistentMap& to) {
  json zones = json::object();
  PersistentMap::ForEachDifference(
      from, to, [&](const std::string& host, const std::string*, const std::string* after) {
        zones[host] = after == nullptr ? json() : json::parse(*after);
      });
  return zones;
}

}  // namespace

std::string ComputeDelta(const VersionContent& from, const VersionContent& to) {
  SettingsDifference settings;
  AddSettingsDifference(from, to, settings);
  for (const char* const key : kNamedListKeys) {
    AddNamedListDifference(key, *from.NamedList(key), *to.NamedList(key), settings);
  }
  json delta = json::object();
  const auto add_unless_empty = [&](const char* key, json value) {
    if (!value.empty()) {
      delta[key] = std::move(value);
    }
  };
  add_unless_empty(kSettingsKey, std::move(settings.patches));
  add_unless_empty(kReplaceKey, std::move(settings.replaced));
  add_unless_empty(kExcludedKey, HostsDifference(from.excluded, to.excluded));
  add_unless_empty(kDrainingKey, HostsDifference(from.draining, to.draining));
  add_unless_empty(kZoneOnlyKey, ZonesDifference(from.zone_only, to.zone_only));
  return DumpJson(delta);
}

}  // namespace paddlestile::cluster
