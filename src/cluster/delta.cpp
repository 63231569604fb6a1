#include "cluster/delta.h"

#include <algorithm>
#include <array>
#include <optional>
#include <set>
#include <stdexcept>
#include <utility>

namespace paddlestile::cluster {
namespace {

using nlohmann::json;

constexpr int kDepthMost = 32;
constexpr std::array kNamedLists = {"Classes", "Tenants"};
constexpr std::array kHosts = {"barred", "drain"};

bool IsNamedList(std::string_view key) {
  return std::ranges::find(kNamedLists, key) != kNamedLists.end();
}

std::string Dumped(const json& value) {
  return value.dump(-1, ' ', false, json::error_handler_t::replace);
}

// Equal as a version's text is: 5 and 5.0 are one number, and two texts.
bool Same(const json& a, const json& b) {
  return a == b && Dumped(a) == Dumped(b);
}

// ---- What is wrong ----------------------------------------------------------------------------

void CheckHosts(const json& delta, const char* key, std::vector<std::string>& faults) {
  const auto at = delta.find(key);
  if (at == delta.end()) {
    return;
  }
  if (!at->is_object()) {
    faults.push_back(std::string(key) + ": expected an object of add and remove");
    return;
  }
  std::set<std::string> seen;
  for (const auto& [what, list] : at->items()) {
    const std::string where = std::string(key) + "." + what;
    if (what != "add" && what != "remove") {
      faults.push_back(where + ": expected add or remove");
    } else if (!list.is_array() || !std::ranges::all_of(list, [](const json& id) {
                 return id.is_string() && !id.get_ref<const std::string&>().empty();
               })) {
      faults.push_back(where + ": expected a list of hosts' ids");
    } else {
      for (const json& id : list) {
        if (seen.insert(id).second) {
          continue;
        }
        faults.push_back(where + ": '" + id.get<std::string>() +
                         "' a second time, expected each once");
      }
    }
  }
}

void CheckNamedParts(const std::string& key, const json& list, std::vector<std::string>& faults) {
  if (list.is_null()) {
    return;
  }
  const std::string where = "settings." + key;
  if (!list.is_object()) {
    faults.push_back(where + ": expected an object of name to what it changes");
    return;
  }
  for (const auto& [name, item] : list.items()) {
    std::string one = where;
    one.append(".").append(name);
    if (!item.is_object() && !item.is_null()) {
      faults.push_back(one + ": expected an object, or null to remove it");
    } else if (item.is_object() && item.contains("Name")) {
      faults.push_back(one + ".Name: expected none, the key is the name");
    }
  }
}

// How deep the text's brackets are nested, outside of strings.
int DepthOf(std::string_view text) {
  int depth = 0, most = 0;
  bool string = false;
  for (size_t i = 0; i < text.size(); ++i) {
    const char c = text[i];
    if (string) {
      if (c == '\\') {
        ++i;
      }
      if (c == '"') {
        string = false;
      }
    } else if (c == '"') {
      string = true;
    } else if (c == '{' || c == '[') {
      most = std::max(most, ++depth);
    } else if (c == '}' || c == ']') {
      --depth;
    }
  }
  return most;
}

std::vector<std::string> Check(std::string_view text, json& delta) {
  if (text.size() > kMaxDeltaBytes) {
    return {"a delta of " + std::to_string(text.size()) + " bytes, expected " +
            std::to_string(kMaxDeltaBytes) + " at most"};
  }
  // Looked at ahead: a parser that is asked at each depth looks through all siblings each time.
  if (DepthOf(text) > kDepthMost) {
    return {"nested more than " + std::to_string(kDepthMost) + " deep, expected less"};
  }
  delta = json::parse(text, nullptr, false);
  if (delta.is_discarded() || !delta.is_object()) {
    return {"expected one JSON object"};
  }
  std::vector<std::string> faults;
  const std::set<std::string> keys = {"settings", "replace", "barred", "drain", "zone_only"};
  for (const auto& [key, value] : delta.items()) {
    if (!keys.contains(key)) {
      faults.push_back(key + ": expected settings, replace, barred, drain or zone_only");
    }
  }
  CheckHosts(delta, "barred", faults);
  CheckHosts(delta, "drain", faults);
  if (const auto at = delta.find("zone_only"); at != delta.end()) {
    const bool good = at->is_object() && std::ranges::all_of(*at, [](const json& zone) {
                        return zone.is_string() || zone.is_null();
                      });
    if (!good) {
      faults.emplace_back("zone_only: expected an object of host to zone, or to null");
    }
  }
  const auto settings = delta.find("settings");
  if (settings != delta.end() && !settings->is_object()) {
    faults.emplace_back("settings: expected an object");
  } else if (settings != delta.end()) {
    for (const auto& [key, value] : settings->items()) {
      if (IsNamedList(key)) {
        CheckNamedParts(key, value, faults);
      }
    }
  }
  const auto replace = delta.find("replace");
  if (replace == delta.end()) {
    return faults;
  }
  if (!replace->is_object()) {
    faults.emplace_back("replace: expected an object of keys of the settings");
    return faults;
  }
  for (const auto& [key, value] : replace->items()) {
    if (settings != delta.end() && settings->is_object() && settings->contains(key)) {
      faults.push_back("replace." + key + ": in settings too, expected in one of them");
    }
  }
  return faults;
}

// ---- What it does -----------------------------------------------------------------------------

void ApplyHosts(const json& delta, const char* key, PersistentMap& hosts) {
  const auto at = delta.find(key);
  if (at == delta.end()) {
    return;
  }
  for (const json& id : at->value("remove", json::array())) {
    hosts.Remove(id.get_ref<const std::string&>());
  }
  for (const json& id : at->value("add", json::array())) {
    hosts.Set(id.get_ref<const std::string&>(), Dumped(id));
  }
}

// `faults` are those of the parts that come of it.
void ApplyNamedList(const std::string& key, const json& patch, std::optional<PersistentMap>& list,
                    std::vector<std::string>& faults) {
  if (patch.is_null()) {
    list.reset();
    return;
  }
  // One that is not there comes to be by what it holds, not by what is removed from it.
  if (!list && !patch.empty() &&
      std::ranges::all_of(patch, [](const json& item) { return item.is_null(); })) {
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
    const MapEntry* const there = list->Find(name);
    json item = there != nullptr ? json::parse(there->text) : json{{"Name", name}};
    item.merge_patch(change);
    std::string where = "settings.";
    ValidateNamedObject(where.append(key).append(".").append(name), item, faults);
    list->Set(name, Dumped(item));
  }
}

void ApplySettings(const json& delta, VersionContent& content, std::vector<std::string>& faults) {
  const json patches = delta.value("settings", json::object());
  for (const auto& [key, patch] : patches.items()) {
    if (IsNamedList(key)) {
      ApplyNamedList(key, patch, *content.NamedList(key), faults);
    } else if (patch.is_null()) {
      content.settings.Remove(key);
    } else {
      const MapEntry* const there = content.settings.Find(key);
      json value = there != nullptr ? json::parse(there->text) : json();
      value.merge_patch(patch);
      if (key == "Allowed") {
        ValidateAllowed(value, faults);
      }
      content.settings.Set(key, Dumped(value));
    }
  }
  const json replace = delta.value("replace", json::object());
  for (const auto& [key, value] : replace.items()) {
    if (IsNamedList(key)) {
      ConfigDocument whole;
      whole.settings[key] = value;
      *content.NamedList(key) = *VersionContent(whole).NamedList(key);
    } else {
      if (key == "Allowed") {
        ValidateAllowed(value, faults);
      }
      content.settings.Set(key, Dumped(value));
    }
  }
}

// ---- What differs -----------------------------------------------------------------------------

// Whether a merge patch sets this value as it is.
bool CanSet(const json& value) {
  if (value.is_null()) {
    return false;
  }
  return !value.is_object() ||
         std::ranges::all_of(value, [](const json& inner) { return CanSet(inner); });
}

// The merge patch that makes `b` of `a`; nothing where none does.
std::optional<json> Patch(const json& a, const json& b) {
  if (!a.is_object() || !b.is_object()) {
    return CanSet(b) ? std::optional(b) : std::nullopt;
  }
  json patch = json::object();
  for (const auto& [key, value] : a.items()) {
    if (!b.contains(key)) {
      patch[key] = nullptr;
    }
  }
  for (const auto& [key, value] : b.items()) {
    const auto at = a.find(key);
    if (at == a.end()) {
      if (!CanSet(value)) {
        return std::nullopt;
      }
      patch[key] = value;
    } else if (!Same(*at, value)) {
      auto inner = Patch(*at, value);
      if (!inner) {
        return std::nullopt;
      }
      patch[key] = std::move(*inner);
    }
  }
  return patch;
}

// The names of a list in its order.
std::vector<std::string_view> Names(const PersistentMap& list) {
  std::vector<std::string_view> names;
  for (const MapEntry* const part : list.EntriesInOrder()) {
    names.push_back(part->name);
  }
  return names;
}

// The same for a list that is kept by names; nothing where it stands in another order than that
// which applying makes.
std::optional<json> NamedPatch(const PersistentMap& a, const PersistentMap& b) {
  json patch = json::object();
  bool can = true;
  std::vector<std::string_view> fresh;  // by name
  PersistentMap::ForEachDifference(
      a, b, [&](const std::string& name, const std::string* in_a, const std::string* in_b) {
        if (in_b == nullptr) {
          patch[name] = nullptr;
          return;
        }
        json item = json::parse(*in_b);
        std::optional<json> inner;
        if (in_a != nullptr) {
          inner = Patch(json::parse(*in_a), item);
        } else {
          item.erase("Name");
          if (CanSet(item)) {
            inner = std::move(item);
          }
          fresh.push_back(b.Find(name)->name);
        }
        can = can && inner.has_value();
        if (inner) {
          patch[name] = std::move(*inner);
        }
      });
  if (!can) {
    return std::nullopt;
  }
  std::vector<std::string_view> made;
  for (const std::string_view name : Names(a)) {
    if (b.Find(name) != nullptr) {
      made.push_back(name);
    }
  }
  made.insert(made.end(), fresh.begin(), fresh.end());
  return made == Names(b) ? std::optional(std::move(patch)) : std::nullopt;
}

json HostsDifference(const PersistentMap& a, const PersistentMap& b) {
  json add = json::array(), remove = json::array(), both = json::object();
  PersistentMap::ForEachDifference(
      a, b, [&](const std::string& id, const std::string* in_a, const std::string*) {
        (in_a == nullptr ? add : remove).push_back(id);
      });
  if (!add.empty()) {
    both["add"] = std::move(add);
  }
  if (!remove.empty()) {
    both["remove"] = std::move(remove);
  }
  return both;
}

}  // namespace

std::vector<std::string> ValidateDelta(std::string_view text) {
  json delta;
  return Check(text, delta);
}

VersionContent ApplyDelta(VersionContent base, std::string_view text) {
  json delta;
  std::vector<std::string> faults = Check(text, delta);
  if (!faults.empty()) {
    throw std::invalid_argument(faults.front());
  }
  VersionContent content = std::move(base);
  constexpr const char* kMade = "the version that it makes: ";
  try {
    ApplySettings(delta, content, faults);
  } catch (const std::invalid_argument& fault) {
    throw std::invalid_argument(kMade + std::string(fault.what()));
  }
  for (const char* const key : kHosts) {
    ApplyHosts(delta, key, key == kHosts[0] ? content.excluded : content.draining);
  }
  const json zones = delta.value("zone_only", json::object());
  for (const auto& [host, zone] : zones.items()) {
    if (zone.is_null()) {
      content.zone_only.Remove(host);
    } else {
      content.zone_only.Set(host, Dumped(zone));
    }
  }
  // Of what the delta does not name each part was looked at before.
  if (faults.empty()) {
    faults = ValidateSize(TextBytes(content), kMaxVersionBytes);
  }
  if (!faults.empty()) {
    throw std::invalid_argument(kMade + faults.front());
  }
  return content;
}

std::string ComputeDelta(const VersionContent& a, const VersionContent& b) {
  json settings = json::object(), replace = json::object(), zones = json::object();
  PersistentMap::ForEachDifference(
      a.settings, b.settings,
      [&](const std::string& key, const std::string* in_a, const std::string* in_b) {
        if (in_b == nullptr) {
          settings[key] = nullptr;
          return;
        }
        const json before = in_a != nullptr ? json::parse(*in_a) : json();
        json value = json::parse(*in_b);
        if (auto patch = Patch(before, value)) {
          settings[key] = std::move(*patch);
        } else {
          replace[key] = std::move(value);
        }
      });
  for (const char* const key : kNamedLists) {
    const std::optional<PersistentMap>&was = *a.NamedList(key), &is = *b.NamedList(key);
    if (was && !is) {
      settings[key] = nullptr;
    }
    if (!is || (was && *was == *is && Names(*was) == Names(*is))) {
      continue;
    }
    std::optional<json> patch = NamedPatch(was.value_or(PersistentMap()), *is);
    if (patch) {
      settings[key] = std::move(*patch);
    } else {
      json& list = replace[key] = json::array();
      for (const MapEntry* const part : is->EntriesInOrder()) {
        list.push_back(json::parse(part->text));
      }
    }
  }
  PersistentMap::ForEachDifference(
      a.zone_only, b.zone_only,
      [&](const std::string& host, const std::string*, const std::string* in_b) {
        zones[host] = in_b == nullptr ? json() : json::parse(*in_b);
      });
  json delta = json::object();
  const auto put = [&](const char* key, json value) {
    if (!value.empty()) {
      delta[key] = std::move(value);
    }
  };
  put("settings", std::move(settings));
  put("replace", std::move(replace));
  put("barred", HostsDifference(a.excluded, b.excluded));
  put("drain", HostsDifference(a.draining, b.draining));
  put("zone_only", std::move(zones));
  return Dumped(delta);
}

}  // namespace paddlestile::cluster
