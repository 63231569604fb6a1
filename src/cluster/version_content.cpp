#include "cluster/version_content.h"

#include <algorithm>
#include <map>
#include <set>
#include <stdexcept>
#include <utility>

#include "cluster/document_json.h"

namespace paddlestile::cluster {
namespace {

using nlohmann::json;

// ---- Conversion from and to documents ---------------------------------------------------------

PersistentMap ReadNamedList(const std::string& key, const json& list) {
  std::vector<std::string> errors;
  ValidateNamedList("settings." + key, list, errors);
  if (!errors.empty()) {
    throw std::invalid_argument(errors.front());
  }
  std::vector<MapEntry> entries;
  entries.reserve(list.size());
  for (const json& item : list) {
    entries.push_back({item["Name"], DumpJson(item)});
  }
  return PersistentMap(std::move(entries));
}

PersistentMap ReadHosts(const std::set<std::string>& ids) {
  std::vector<MapEntry> entries;
  entries.reserve(ids.size());
  for (const std::string& id : ids) {
    entries.push_back({id, DumpJson(id)});
  }
  return PersistentMap(std::move(entries));
}

std::set<std::string> HostIds(const PersistentMap& hosts) {
  std::set<std::string> ids;
  hosts.ForEach([&](const MapEntry& entry) { ids.insert(ids.end(), entry.name); });
  return ids;
}

// ---- Text -------------------------------------------------------------------------------------

void WriteList(const PersistentMap& entries, bool in_order, std::string& text) {
  text += '[';
  bool is_first = true;
  const auto write = [&](const MapEntry& entry) {
    if (!std::exchange(is_first, false)) {
      text += ',';
    }
    text += entry.text;
  };
  if (in_order) {
    for (const MapEntry* const entry : entries.EntriesInOrder()) {
      write(*entry);
    }
  } else {
    entries.ForEach(write);
  }
  text += ']';
}

// Writes the fields of one JSON object.
class ObjectWriter {
 public:
  explicit ObjectWriter(std::string& text) : text_(text) { text_ += '{'; }
  void Write(std::string_view key, const std::string& value) {
    if (!std::exchange(is_first_, false)) {
      text_ += ',';
    }
    text_ += DumpJson(key);
    text_ += ':';
    text_ += value;
  }
  void End() { text_ += '}'; }

 private:
  std::string& text_;
  bool is_first_ = true;
};

// Writes the settings, including the named lists, in the order of their keys.
void WriteSettings(const VersionContent& content, std::string& text) {
  std::map<std::string_view, std::string> lists;
  for (const char* const key : kNamedListKeys) {
    if (const auto& list = *content.NamedList(key)) {
      WriteList(*list, true, lists[key]);
    }
  }
  ObjectWriter object(text);
  content.settings.ForEach([&](const MapEntry& entry) {
    while (!lists.empty() && lists.begin()->first < entry.name) {
      object.Write(lists.begin()->first, lists.begin()->second);
      lists.erase(lists.begin());
    }
    object.Write(entry.name, entry.text);
  });
  for (const auto& [key, list] : lists) {
    object.Write(key, list);
  }
  object.End();
}

// Returns the size of `count` values with commas between them and brackets around them.
size_t BracketedBytes(size_t count, size_t value_bytes) {
  const size_t commas = count > 0 ? count - 1 : 0;
  return value_bytes + commas + 2;
}

size_t ListBytes(const PersistentMap& entries) {
  return BracketedBytes(entries.size(), entries.text_bytes());
}

// Returns the total size of the names, colons and values.
size_t FieldBytes(const PersistentMap& entries) {
  return entries.size() + entries.name_bytes() + entries.text_bytes();
}

}  // namespace

VersionContent::VersionContent(const ConfigDocument& document)
    : excluded(ReadHosts(document.excluded)),
      draining(ReadHosts(document.draining)),
      strict(document.strict) {
  std::vector<MapEntry> other_settings;
  for (const auto& [key, value] : document.settings.items()) {
    if (std::optional<PersistentMap>* const list = NamedList(key); list != nullptr) {
      *list = ReadNamedList(key, value);
    } else {
      other_settings.push_back({key, DumpJson(value)});
    }
  }
  settings = PersistentMap(std::move(other_settings));
  std::vector<MapEntry> zones;
  for (const auto& [host, zone] : document.zone_only) {
    zones.push_back({host, DumpJson(zone)});
  }
  zone_only = PersistentMap(std::move(zones));
}

ConfigDocument VersionContent::ToDocument() const {
  ConfigDocument document;
  settings.ForEach(
      [&](const MapEntry& entry) { document.settings[entry.name] = json::parse(entry.text); });
  for (const char* const key : kNamedListKeys) {
    const std::optional<PersistentMap>& list = *NamedList(key);
    if (!list) {
      continue;
    }
    json items = json::array();
    for (const MapEntry* const entry : list->EntriesInOrder()) {
      items.push_back(json::parse(entry->text));
    }
    document.settings[key] = std::move(items);
  }
  document.excluded = HostIds(excluded);
  document.draining = HostIds(draining);
  zone_only.ForEach(
      [&](const MapEntry& entry) { document.zone_only[entry.name] = json::parse(entry.text); });
  document.strict = strict;
  return document;
}

std::optional<PersistentMap>* VersionContent::NamedList(std::string_view settings_key) {
  return settings_key == kClassesKey ? &classes : settings_key == kTenantsKey ? &tenants : nullptr;
}

const std::optional<PersistentMap>* VersionContent::NamedList(std::string_view settings_key) const {
  return settings_key == kClassesKey ? &classes : settings_key == kTenantsKey ? &tenants : nullptr;
}

std::string ToText(const VersionContent& content) {
  std::string text;
  text.reserve(TextBytes(content));
  text += R"({"barred":)";
  WriteList(content.excluded, false, text);
  text += R"(,"drain":)";
  WriteList(content.draining, false, text);
  text += R"(,"settings":)";
  WriteSettings(content, text);
  text += R"(,"zone_only":)";
  ObjectWriter zones(text);
  content.zone_only.ForEach([&](const MapEntry& entry) { zones.Write(entry.name, entry.text); });
  zones.End();
  text += '}';
  return text;
}

size_t TextBytes(const VersionContent& content) {
  size_t settings_count = content.settings.size();
  size_t settings_bytes = FieldBytes(content.settings);
  for (const char* const key : kNamedListKeys) {
    const std::optional<PersistentMap>& list = *content.NamedList(key);
    if (!list) {
      continue;
    }
    constexpr size_t kQuotesAndColonBytes = 3;
    ++settings_count;
    settings_bytes += std::string_view(key).size() + kQuotesAndColonBytes + ListBytes(*list);
  }
  constexpr std::string_view kKeysOnly = R"({"barred":,"drain":,"settings":,"zone_only":})";
  return kKeysOnly.size() + ListBytes(content.excluded) + ListBytes(content.draining) +
         BracketedBytes(settings_count, settings_bytes) +
         BracketedBytes(content.zone_only.size(), FieldBytes(content.zone_only));
}

std::string HashOf(const VersionContent& content) {
  // All members must hash the parts in the same order, so it must not change.
  std::vector<uint64_t> values;
  const auto add = [&](const PersistentMap& entries) {
    values.insert(values.end(), {1, entries.size(), entries.hash().high, entries.hash().low});
  };
  for (const char* const key : kNamedListKeys) {
    if (const std::optional<PersistentMap>& list = *content.NamedList(key)) {
      add(*list);
    } else {
      values.push_back(0);
    }
  }
  add(content.settings);
  add(content.excluded);
  add(content.draining);
  add(content.zone_only);
  std::string hash = "p";
  hash += HashOf(std::string_view(reinterpret_cast<const char*>(values.data()),
                                  values.size() * sizeof(uint64_t)));
  return hash;
}

}  // namespace paddlestile::cluster
