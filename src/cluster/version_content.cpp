#include "cluster/version_content.h"

#include <xxhash.h>

#include <algorithm>
#include <array>
#include <set>
#include <stdexcept>
#include <utility>

namespace paddlestile::cluster {
namespace {

using nlohmann::json;

constexpr std::array kNamedLists = {"Classes", "Tenants"};

std::string Dumped(const json& value) {
  return value.dump(-1, ' ', false, json::error_handler_t::replace);
}

PersistentMap ParseNamedList(const std::string& key, const json& list) {
  std::vector<std::string> faults;
  ValidateNamedList("settings." + key, list, faults);
  if (!faults.empty()) {
    throw std::invalid_argument(faults.front());
  }
  std::vector<MapEntry> parts;
  parts.reserve(list.size());
  for (const json& item : list) {
    parts.push_back({item["Name"], Dumped(item)});
  }
  return PersistentMap(std::move(parts));
}

PersistentMap Hosts(const std::set<std::string>& ids) {
  std::vector<MapEntry> parts;
  parts.reserve(ids.size());
  for (const std::string& id : ids) {
    parts.push_back({id, Dumped(id)});
  }
  return PersistentMap(std::move(parts));
}

std::set<std::string> Ids(const PersistentMap& parts) {
  std::set<std::string> ids;
  parts.ForEach([&](const MapEntry& part) { ids.insert(ids.end(), part.name); });
  return ids;
}

// ---- Text and size ----------------------------------------------------------------------------

// Of `count` values with commas between them, in brackets.
size_t Bracketed(size_t count, size_t bytes) {
  return bytes + (count > 0 ? count - 1 : 0) + 2;
}
size_t ListBytes(const PersistentMap& parts) {
  return Bracketed(parts.size(), parts.text_bytes());
}

void WriteList(const PersistentMap& parts, bool ordered, std::string& out) {
  out += '[';
  bool first = true;
  const auto write = [&](const MapEntry& part) {
    if (!std::exchange(first, false)) {
      out += ',';
    }
    out += part.text;
  };
  if (ordered) {
    for (const MapEntry* const part : parts.EntriesInOrder()) {
      write(*part);
    }
  } else {
    parts.ForEach(write);
  }
  out += ']';
}

// ---- What contradicts -------------------------------------------------------------------------

int EffectOf(const json& c) {
  const auto at = std::ranges::find(kIdempotencyLevels, c.value("Effect", "safe"));
  return at == kIdempotencyLevels.end() ? 2 : static_cast<int>(at - kIdempotencyLevels.begin());
}

std::optional<json> SendCap(const VersionContent& content) {
  const MapEntry* const allowed = content.settings.Find("Allowed");
  if (allowed == nullptr) {
    return std::nullopt;
  }
  const json value = json::parse(allowed->text);
  const auto at = value.is_object() ? value.find("SendCap") : value.end();
  return at == value.end() ? std::nullopt : std::optional<json>(*at);
}

// each(name, item of a, item of b) for those that both have and that differ.
template <typename Each>
void ForBoth(const std::optional<PersistentMap>& a, const std::optional<PersistentMap>& b,
             Each&& each) {
  if (!a || !b) {
    return;
  }
  PersistentMap::ForEachDifference(
      *a, *b, [&](const std::string& name, const std::string* in_a, const std::string* in_b) {
        // One that the other does not have is refused there, and nothing is done twice by that.
        if (in_a != nullptr && in_b != nullptr) {
          each(name, json::parse(*in_a), json::parse(*in_b));
        }
      });
}

}  // namespace

VersionContent::VersionContent(const ConfigDocument& rules)
    : excluded(Hosts(rules.excluded)), draining(Hosts(rules.draining)), strict(rules.strict) {
  std::vector<MapEntry> keys, zones;
  for (const auto& [key, value] : rules.settings.items()) {
    if (std::optional<PersistentMap>* const list = NamedList(key); list != nullptr) {
      *list = ParseNamedList(key, value);
    } else {
      keys.push_back({key, Dumped(value)});
    }
  }
  settings = PersistentMap(std::move(keys));
  for (const auto& [host, zone] : rules.zone_only) {
    zones.push_back({host, Dumped(zone)});
  }
  zone_only = PersistentMap(std::move(zones));
}

ConfigDocument VersionContent::ToDocument() const {
  ConfigDocument rules;
  settings.ForEach([&](const MapEntry& p) { rules.settings[p.name] = json::parse(p.text); });
  for (const char* const key : kNamedLists) {
    const std::optional<PersistentMap>& list = *NamedList(key);
    if (!list) {
      continue;
    }
    json items = json::array();
    for (const MapEntry* const p : list->EntriesInOrder()) {
      items.push_back(json::parse(p->text));
    }
    rules.settings[key] = std::move(items);
  }
  rules.excluded = Ids(excluded);
  rules.draining = Ids(draining);
  zone_only.ForEach([&](const MapEntry& p) { rules.zone_only[p.name] = json::parse(p.text); });
  rules.strict = strict;
  return rules;
}

std::optional<PersistentMap>* VersionContent::NamedList(std::string_view key) {
  return key == kNamedLists[0] ? &classes : key == kNamedLists[1] ? &tenants : nullptr;
}
const std::optional<PersistentMap>* VersionContent::NamedList(std::string_view key) const {
  return key == kNamedLists[0] ? &classes : key == kNamedLists[1] ? &tenants : nullptr;
}

std::string ToText(const VersionContent& content) {
  // The keys in their order, among them those of the lists.
  std::map<std::string_view, std::string> lists;
  for (const char* const key : kNamedLists) {
    if (const auto& list = *content.NamedList(key)) {
      WriteList(*list, true, lists[key]);
    }
  }
  std::string out = R"({"barred":)";
  out.reserve(TextBytes(content));
  WriteList(content.excluded, false, out);
  out += R"(,"drain":)";
  WriteList(content.draining, false, out);
  out += R"(,"settings":{)";
  bool first = true;
  const auto field = [&](std::string_view key, const std::string& text) {
    if (!std::exchange(first, false)) {
      out += ',';
    }
    out += Dumped(key);
    out += ':';
    out += text;
  };
  content.settings.ForEach([&](const MapEntry& part) {
    while (!lists.empty() && lists.begin()->first < part.name) {
      field(lists.begin()->first, lists.begin()->second);
      lists.erase(lists.begin());
    }
    field(part.name, part.text);
  });
  for (const auto& [key, text] : lists) {
    field(key, text);
  }
  out += R"(},"zone_only":{)";
  first = true;
  content.zone_only.ForEach([&](const MapEntry& part) { field(part.name, part.text); });
  out += "}}";
  return out;
}

size_t TextBytes(const VersionContent& content) {
  // Each key of an object has a colon behind it.
  const auto fields = [](const PersistentMap& parts) {
    return parts.size() + parts.name_bytes() + parts.text_bytes();
  };
  size_t keys = content.settings.size(), settings = fields(content.settings);
  for (const char* const key : kNamedLists) {
    const auto& list = *content.NamedList(key);
    if (!list) {
      continue;
    }
    ++keys;
    settings += std::string_view(key).size() + 3 + ListBytes(*list);
  }
  constexpr std::string_view kFrame = R"({"barred":,"drain":,"settings":,"zone_only":})";
  return kFrame.size() + ListBytes(content.excluded) + ListBytes(content.draining) +
         Bracketed(keys, settings) + Bracketed(content.zone_only.size(), fields(content.zone_only));
}

std::string HashOf(const VersionContent& content) {
  std::vector<uint64_t> all;
  const auto add = [&](const PersistentMap& parts) {
    all.insert(all.end(), {1, parts.size(), parts.hash().high, parts.hash().low});
  };
  for (const char* const key : kNamedLists) {
    const auto& list = *content.NamedList(key);
    list ? add(*list) : all.push_back(0);
  }
  for (const PersistentMap* const parts :
       {&content.settings, &content.excluded, &content.draining, &content.zone_only}) {
    add(*parts);
  }
  return "p" + HashOf(std::string_view(reinterpret_cast<const char*>(all.data()),
                                       all.size() * sizeof(uint64_t)));
}

std::vector<std::string> Contradictions(const VersionContent& a, const VersionContent& b) {
  std::vector<std::string> why;
  const auto differ = [&](const PersistentMap& x, const PersistentMap& y, const char* what) {
    if (x != y) {
      why.emplace_back(what);
    }
  };
  differ(a.excluded, b.excluded, "barred: a host that one may use and the other may not");
  differ(a.draining, b.draining, "drain: a host that one may use and the other may not");
  differ(a.zone_only, b.zone_only, "zone_only: a host that one may use and the other may not");
  // Where only one of two says something the other acts on the platform's, which nobody here knows.
  if (a.classes.has_value() != b.classes.has_value()) {
    why.emplace_back("settings.Classes: said by one alone");
  }
  ForBoth(a.classes, b.classes, [&](const std::string& name, const json& x, const json& y) {
    if (EffectOf(x) != EffectOf(y)) {
      why.push_back("settings.Classes." + name +
                    ".Effect: one may send again what the other may not");
    }
    if (x.value("Window", 0.0) != y.value("Window", 0.0)) {
      why.push_back("settings.Classes." + name + ".Window: one may send again for longer");
    }
  });
  if (SendCap(a) != SendCap(b)) {
    why.emplace_back("settings.Allowed.SendCap: one may try more often");
  }
  if (a.tenants.has_value() != b.tenants.has_value()) {
    why.emplace_back("settings.Tenants: said by one alone");
  }
  ForBoth(a.tenants, b.tenants, [&](const std::string& name, const json& x, const json& y) {
    if (x.value("QuotaPerS", 0.0) == y.value("QuotaPerS", 0.0)) {
      return;
    }
    why.push_back("settings.Tenants." + name + ".QuotaPerS: one lets more through");
  });
  return why;
}

VersionContent StricterOf(const VersionContent& a, const VersionContent& b) {
  VersionContent both = b;
  both.strict = a.strict || b.strict;
  const auto bar = [](const PersistentMap& more, PersistentMap& hosts) {
    const PersistentMap there = hosts;
    PersistentMap::ForEachDifference(
        more, there, [&](const std::string& id, const std::string* in_more, const std::string*) {
          if (in_more != nullptr) {
            hosts.Set(id, *in_more);
          }
        });
  };
  bar(a.excluded, both.excluded);
  bar(a.draining, both.draining);
  PersistentMap::ForEachDifference(
      a.zone_only, b.zone_only,
      [&](const std::string& host, const std::string* in_a, const std::string* in_b) {
        // Two zones that each rule the other out leave none.
        if (in_a != nullptr && in_b != nullptr) {
          both.excluded.Set(host, Dumped(host));
        }
        if (in_a != nullptr && in_b == nullptr) {
          both.zone_only.Set(host, *in_a);
        }
      });
  const std::optional<json> cap_a = SendCap(a), cap_b = SendCap(b);
  if (a.classes.has_value() != b.classes.has_value() || cap_a.has_value() != cap_b.has_value()) {
    both.strict = true;
  }
  ForBoth(a.classes, b.classes, [&](const std::string& name, const json& x, json c) {
    c["Effect"] = kIdempotencyLevels[static_cast<size_t>(std::max(EffectOf(c), EffectOf(x)))];
    if (c.contains("Window") || x.contains("Window")) {
      c["Window"] = std::min(c.value("Window", 0.0), x.value("Window", 0.0));
    }
    both.classes->Set(name, Dumped(c));
  });
  if (cap_a && cap_b && *cap_a != *cap_b) {
    json allowed = json::parse(both.settings.Find("Allowed")->text);
    allowed["SendCap"] = std::min(cap_a->get<int64_t>(), cap_b->get<int64_t>());
    both.settings.Set("Allowed", Dumped(allowed));
  }
  ForBoth(a.tenants, b.tenants, [&](const std::string& name, const json& x, json t) {
    if (!x.contains("QuotaPerS")) {
      return;
    }
    t["QuotaPerS"] = std::min(t.value("QuotaPerS", 0.0), x.value("QuotaPerS", 0.0));
    both.tenants->Set(name, Dumped(t));
  });
  return both;
}

VersionContent StrictestFor(const VersionContent& content) {
  VersionContent strictest = content;
  strictest.strict = true;
  return strictest;
}

}  // namespace paddlestile::cluster
