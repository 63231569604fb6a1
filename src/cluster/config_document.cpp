#include "cluster/config_document.h"

#include <xxhash.h>

#include <algorithm>
#include <array>
#include <stdexcept>
#include <utility>

namespace paddlestile::cluster {
namespace {

using nlohmann::json;

void CheckList(const json& rules, const char* key, std::vector<std::string>& faults) {
  const auto at = rules.find(key);
  if (at == rules.end()) {
    return;
  }
  const bool good = at->is_array() && std::ranges::all_of(*at, [](const json& id) {
                      return id.is_string() && !id.get_ref<const std::string&>().empty();
                    });
  if (!good) {
    faults.push_back(std::string(key) + ": expected a list of hosts' ids");
  }
}

void CheckSettings(const json& settings, std::vector<std::string>& faults) {
  for (const char* const key : {"Classes", "Tenants"}) {
    if (const auto at = settings.find(key); at != settings.end()) {
      std::string where = "settings.";
      ValidateNamedList(where.append(key), *at, faults);
    }
  }
  const auto allowed = settings.find("Allowed");
  if (allowed != settings.end()) {
    ValidateAllowed(*allowed, faults);
  }
}

std::vector<std::string> Check(std::string_view text, size_t most, json& rules) {
  std::vector<std::string> faults = ValidateSize(text.size(), most);
  if (!faults.empty()) {
    return faults;
  }
  rules = json::parse(text, nullptr, false);
  if (rules.is_discarded() || !rules.is_object()) {
    return {"expected one JSON object"};
  }
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
    if (!good) {
      faults.emplace_back("zone_only: expected an object of host to zone");
    }
  }
  const auto settings = rules.find("settings");
  if (settings == rules.end()) {
    return faults;
  }
  if (!settings->is_object()) {
    faults.emplace_back("settings: expected an object");
    return faults;
  }
  CheckSettings(*settings, faults);
  return faults;
}

}  // namespace

std::vector<std::string> ValidateDocument(std::string_view text) {
  json rules;
  return Check(text, kMaxDocumentBytes, rules);
}

std::vector<std::string> ValidateSize(size_t bytes, size_t most) {
  if (bytes <= most) {
    return {};
  }
  return {"a version of " + std::to_string(bytes) + " bytes, expected " + std::to_string(most) +
          " at most"};
}

void ValidateNamedObject(const std::string& where, const json& item,
                         std::vector<std::string>& faults) {
  const auto fault = [&](const char* what, const char* expected) {
    std::string line = where;
    faults.push_back(line.append(what).append(": expected ").append(expected));
  };
  const auto name = item.is_object() ? item.find("Name") : item.end();
  if (!item.is_object() || name == item.end() || !name->is_string()) {
    return fault("", "an object with a Name");
  }
  if (const auto e = item.find("Effect"); e != item.end()) {
    if (!e->is_string() ||
        std::ranges::find(kIdempotencyLevels, e->get<std::string>()) == kIdempotencyLevels.end()) {
      fault(".Effect", "safe, keyed or unsafe");
    }
  }
  const auto numbers = [&](const auto& keys, bool zero, const char* expected) {
    for (const char* const key : keys) {
      const auto d = item.find(key);
      if (d == item.end()) {
        continue;
      }
      if (d->is_number() && (d->get<double>() > 0 || (zero && d->get<double>() == 0))) {
        continue;
      }
      fault(std::string(".").append(key).c_str(), expected);
    }
  };
  numbers(std::array{"Deadline", "Slo"}, false, "milliseconds above 0");
  numbers(std::array{"Window", "QuotaPerS", "Share"}, true, "a number of 0 or more");
}

void ValidateNamedList(const std::string& where, const json& list,
                       std::vector<std::string>& faults) {
  if (!list.is_array()) {
    faults.push_back(where + ": expected a list");
    return;
  }
  std::set<std::string_view> seen;
  for (size_t i = 0; i < list.size(); ++i) {
    const json& item = list[i];
    std::string at = where;
    at.append(".").append(std::to_string(i));
    ValidateNamedObject(at, item, faults);
    const auto name = item.is_object() ? item.find("Name") : item.end();
    if (name == item.end() || !name->is_string()) {
      continue;
    }
    if (!seen.insert(name->get_ref<const std::string&>()).second) {
      faults.push_back(at + ".Name: '" + name->get<std::string>() +
                       "' a second time, expected each once");
    }
  }
}

void ValidateAllowed(const json& allowed, std::vector<std::string>& faults) {
  const auto cap = allowed.is_object() ? allowed.find("SendCap") : allowed.end();
  if (!allowed.is_object()) {
    faults.emplace_back("settings.Allowed: expected an object");
  } else if (cap != allowed.end() && (!cap->is_number_integer() || cap->get<int64_t>() < 1)) {
    faults.emplace_back("settings.Allowed.SendCap: expected a whole number above 0");
  }
}

namespace {

ConfigDocument Parse(std::string_view text, size_t most) {
  json all;
  const std::vector<std::string> faults = Check(text, most, all);
  if (!faults.empty()) {
    throw std::invalid_argument(faults.front());
  }
  ConfigDocument rules;
  rules.settings = all.value("settings", json::object());
  rules.excluded = all.value("barred", std::set<std::string>());
  rules.draining = all.value("drain", std::set<std::string>());
  rules.zone_only = all.value("zone_only", std::map<std::string, std::string>());
  return rules;
}

}  // namespace

ConfigDocument ParseDocument(std::string_view text) {
  return Parse(text, kMaxDocumentBytes);
}

ConfigDocument ParseVersion(std::string_view text) {
  return Parse(text, kMaxVersionBytes);
}

std::string ToText(const ConfigDocument& rules) {
  const auto dumped = [](const json& value) {
    return value.dump(-1, ' ', false, json::error_handler_t::replace);
  };
  // The keys in their order, one by one: put together as one object the settings would be copied.
  return R"({"barred":)" + dumped(rules.excluded) + R"(,"drain":)" + dumped(rules.draining) +
         R"(,"settings":)" + dumped(rules.settings) + R"(,"zone_only":)" + dumped(rules.zone_only) +
         "}";
}

std::string HashOf(std::string_view text) {
  const XXH128_hash_t hash = XXH3_128bits(text.data(), text.size());
  std::string out;
  for (const uint64_t half : {hash.high64, hash.low64}) {
    for (int shift = 60; shift >= 0; shift -= 4) {
      out += "0123456789abcdef"[(half >> shift) & 15];
    }
  }
  return out;
}

}  // namespace paddlestile::cluster
