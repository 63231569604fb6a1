#include "bank/rules.h"

#include <xxhash.h>

#include <algorithm>
#include <array>
#include <stdexcept>
#include <utility>

namespace paddlestile::bank {
namespace {

using nlohmann::json;

constexpr std::array kEffects = {"safe", "keyed", "unsafe"};  // each stricter than the one before

int EffectOf(const json& c) {
  const auto at = std::ranges::find(kEffects, c.value("Effect", "safe"));
  return at == kEffects.end() ? 2 : static_cast<int>(at - kEffects.begin());
}

// The named items of a list of the settings; nothing where the version says nothing of it.
const json* ListOf(const Rules& rules, const char* name) {
  const auto at = rules.settings.find(name);
  return at == rules.settings.end() ? nullptr : &*at;
}

const json* Named(const json& list, const std::string& name) {
  const auto at =
      std::ranges::find_if(list, [&](const json& c) { return c.value("Name", "") == name; });
  return at == list.end() ? nullptr : &*at;
}

const json* Attempts(const Rules& rules) {
  const auto allowed = rules.settings.find("Allowed");
  if (allowed == rules.settings.end()) return nullptr;
  const auto at = allowed->find("SendCap");
  return at == allowed->end() ? nullptr : &*at;
}

void CheckList(const json& rules, const char* key, std::vector<std::string>& faults) {
  const auto at = rules.find(key);
  if (at == rules.end()) return;
  const bool good = at->is_array() && std::ranges::all_of(*at, [](const json& id) {
                      return id.is_string() && !id.get_ref<const std::string&>().empty();
                    });
  if (!good) faults.push_back(std::string(key) + ": expected a list of hosts' ids");
}

void CheckNamed(const json& settings, const char* key, std::vector<std::string>& faults) {
  const auto at = settings.find(key);
  if (at == settings.end()) return;
  const std::string where = std::string("settings.") + key;
  if (!at->is_array()) {
    faults.push_back(where + ": expected a list");
    return;
  }
  std::set<std::string> seen;
  for (size_t i = 0; i < at->size(); ++i) {
    const json& c = (*at)[i];
    const std::string item = where + "." + std::to_string(i);
    if (!c.is_object() || !c.contains("Name") || !c["Name"].is_string()) {
      faults.push_back(item + ": expected an object with a Name");
      continue;
    }
    if (!seen.insert(c["Name"]).second) {
      faults.push_back(item + ".Name: '" + c["Name"].get<std::string>() +
                       "' a second time, expected each once");
    }
    if (const auto e = c.find("Effect"); e != c.end()) {
      if (!e->is_string() || std::ranges::find(kEffects, e->get<std::string>()) == kEffects.end()) {
        faults.push_back(item + ".Effect: expected safe, keyed or unsafe");
      }
    }
    for (const char* const positive : {"Deadline", "Slo"}) {
      const auto d = c.find(positive);
      if (d != c.end() && (!d->is_number() || d->get<double>() <= 0)) {
        faults.push_back(item + "." + positive + ": expected milliseconds above 0");
      }
    }
    for (const char* const least : {"Window", "QuotaPerS", "Share"}) {
      const auto d = c.find(least);
      if (d != c.end() && (!d->is_number() || d->get<double>() < 0)) {
        faults.push_back(item + "." + least + ": expected a number of 0 or more");
      }
    }
  }
}

std::vector<std::string> Check(std::string_view text, json& rules) {
  if (text.size() > kRulesMost) {
    return {"a version of " + std::to_string(text.size()) + " bytes, expected " +
            std::to_string(kRulesMost) + " at most"};
  }
  rules = json::parse(text, nullptr, false);
  if (rules.is_discarded() || !rules.is_object()) return {"expected one JSON object"};
  std::vector<std::string> faults;
  for (const auto& [key, value] : rules.items()) {
    if (key != "settings" && key != "barred" && key != "drain" && key != "zone_only") {
      faults.push_back(key + ": expected settings, barred, drain or zone_only");
    }
  }
  CheckList(rules, "barred", faults);
  CheckList(rules, "drain", faults);
  if (const auto at = rules.find("zone_only"); at != rules.end()) {
    const bool good = at->is_object() &&
                      std::ranges::all_of(*at, [](const json& zone) { return zone.is_string(); });
    if (!good) faults.emplace_back("zone_only: expected an object of host to zone");
  }
  const auto settings = rules.find("settings");
  if (settings == rules.end()) return faults;
  if (!settings->is_object()) {
    faults.emplace_back("settings: expected an object");
    return faults;
  }
  CheckNamed(*settings, "Classes", faults);
  CheckNamed(*settings, "Tenants", faults);
  if (const auto allowed = settings->find("Allowed"); allowed != settings->end()) {
    const auto cap = allowed->is_object() ? allowed->find("SendCap") : allowed->end();
    if (!allowed->is_object()) {
      faults.emplace_back("settings.Allowed: expected an object");
    } else if (cap != allowed->end() && (!cap->is_number_integer() || cap->get<int64_t>() < 1)) {
      faults.emplace_back("settings.Allowed.SendCap: expected a whole number above 0");
    }
  }
  return faults;
}

// Where only one of two says something the other acts on the platform's, which nobody here knows.
bool OneSided(const json* a, const json* b) { return (a == nullptr) != (b == nullptr); }

}  // namespace

std::vector<std::string> CheckRules(std::string_view text) {
  json rules;
  return Check(text, rules);
}

Rules ParseRules(std::string_view text) {
  json all;
  const std::vector<std::string> faults = Check(text, all);
  if (!faults.empty()) throw std::invalid_argument(faults.front());
  Rules rules;
  rules.settings = all.value("settings", json::object());
  rules.barred = all.value("barred", std::set<std::string>());
  rules.drain = all.value("drain", std::set<std::string>());
  rules.zone_only = all.value("zone_only", std::map<std::string, std::string>());
  return rules;
}

std::string ToText(const Rules& rules) {
  return json{{"settings", rules.settings},
              {"barred", rules.barred},
              {"drain", rules.drain},
              {"zone_only", rules.zone_only}}
      .dump(-1, ' ', false, json::error_handler_t::replace);
}

std::string HashOf(std::string_view text) {
  const XXH128_hash_t hash = XXH3_128bits(text.data(), text.size());
  std::string out;
  for (const uint64_t half : {hash.high64, hash.low64}) {
    for (int shift = 60; shift >= 0; shift -= 4) out += "0123456789abcdef"[(half >> shift) & 15];
  }
  return out;
}

std::vector<std::string> Contradictions(const Rules& a, const Rules& b) {
  std::vector<std::string> why;
  const auto differ = [&](const auto& x, const auto& y, const char* what) {
    if (x != y) why.emplace_back(what);
  };
  differ(a.barred, b.barred, "barred: a host that one may use and the other may not");
  differ(a.drain, b.drain, "drain: a host that one may use and the other may not");
  differ(a.zone_only, b.zone_only, "zone_only: a host that one may use and the other may not");
  const json *classes_a = ListOf(a, "Classes"), *classes_b = ListOf(b, "Classes");
  if (OneSided(classes_a, classes_b)) why.emplace_back("settings.Classes: said by one alone");
  if (classes_a != nullptr && classes_b != nullptr) {
    for (const json& c : *classes_a) {
      const std::string name = c.value("Name", "");
      const json* const other = Named(*classes_b, name);
      // One that the other does not have is refused there, and nothing is done twice by that.
      if (other == nullptr) continue;
      if (EffectOf(c) != EffectOf(*other)) {
        why.push_back("settings.Classes." + name +
                      ".Effect: one may send again what the other may not");
      }
      if (c.value("Window", 0.0) != other->value("Window", 0.0)) {
        why.push_back("settings.Classes." + name + ".Window: one may send again for longer");
      }
    }
  }
  const json *cap_a = Attempts(a), *cap_b = Attempts(b);
  if (OneSided(cap_a, cap_b) || (cap_a != nullptr && *cap_a != *cap_b)) {
    why.emplace_back("settings.Allowed.SendCap: one may try more often");
  }
  const json *tenants_a = ListOf(a, "Tenants"), *tenants_b = ListOf(b, "Tenants");
  if (OneSided(tenants_a, tenants_b)) why.emplace_back("settings.Tenants: said by one alone");
  if (tenants_a != nullptr && tenants_b != nullptr) {
    for (const json& t : *tenants_a) {
      const json* const other = Named(*tenants_b, t.value("Name", ""));
      if (other != nullptr && t.value("QuotaPerS", 0.0) != other->value("QuotaPerS", 0.0)) {
        why.push_back("settings.Tenants." + t.value("Name", "") +
                      ".QuotaPerS: one lets more through");
      }
    }
  }
  return why;
}

Rules Stricter(const Rules& a, const Rules& b) {
  Rules both = b;
  both.strict = a.strict || b.strict;
  both.barred.insert(a.barred.begin(), a.barred.end());
  both.drain.insert(a.drain.begin(), a.drain.end());
  for (const auto& [host, zone] : a.zone_only) {
    const auto [at, added] = both.zone_only.emplace(host, zone);
    // Two zones that each rule the other out leave none.
    if (!added && at->second != zone) both.barred.insert(host);
  }
  const json *classes_a = ListOf(a, "Classes"), *classes_b = ListOf(b, "Classes");
  const json *cap_a = Attempts(a), *cap_b = Attempts(b);
  if (OneSided(classes_a, classes_b) || OneSided(cap_a, cap_b)) both.strict = true;
  if (classes_a != nullptr && classes_b != nullptr) {
    for (json& c : both.settings["Classes"]) {
      const json* const other = Named(*classes_a, c.value("Name", ""));
      if (other == nullptr) continue;
      c["Effect"] = kEffects[static_cast<size_t>(std::max(EffectOf(c), EffectOf(*other)))];
      if (c.contains("Window") || other->contains("Window")) {
        c["Window"] = std::min(c.value("Window", 0.0), other->value("Window", 0.0));
      }
    }
  }
  if (cap_a != nullptr && cap_b != nullptr) {
    both.settings["Allowed"]["SendCap"] = std::min(cap_a->get<int64_t>(), cap_b->get<int64_t>());
  }
  const json* const tenants_a = ListOf(a, "Tenants");
  if (tenants_a != nullptr && ListOf(b, "Tenants") != nullptr) {
    for (json& t : both.settings["Tenants"]) {
      const json* const other = Named(*tenants_a, t.value("Name", ""));
      if (other == nullptr || !other->contains("QuotaPerS")) continue;
      t["QuotaPerS"] = std::min(t.value("QuotaPerS", 0.0), other->value("QuotaPerS", 0.0));
    }
  }
  return both;
}

Rules Strictest(const Rules& rules) {
  Rules strictest = rules;
  strictest.strict = true;
  return strictest;
}

}  // namespace paddlestile::bank
