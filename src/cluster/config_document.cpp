#include "cluster/config_document.h"

#include <xxhash.h>

#include <algorithm>
#include <stdexcept>
#include <utility>

#include "cluster/document_json.h"

namespace paddlestile::cluster {
namespace {

using nlohmann::json;

// ---- Parts of a document ----------------------------------------------------------------------

void ValidateKeys(const json& document, std::vector<std::string>& errors) {
  constexpr std::array kKeys = {kSettingsKey, kExcludedKey, kDrainingKey, kZoneOnlyKey};
  for (const auto& [key, value] : document.items()) {
    if (std::ranges::find(kKeys, std::string_view(key)) == kKeys.end()) {
      errors.push_back(key + ": expected settings, barred, drain or zone_only");
    }
  }
}

void ValidateHosts(const json& document, const char* key, std::vector<std::string>& errors) {
  const auto hosts = document.find(key);
  if (hosts != document.end() && !IsHostIdList(*hosts)) {
    errors.push_back(std::string(key) + ": expected a list of hosts' ids");
  }
}

void ValidateZones(const json& document, std::vector<std::string>& errors) {
  const auto zones = document.find(kZoneOnlyKey);
  if (zones == document.end()) {
    return;
  }
  const bool is_valid = zones->is_object() && std::ranges::all_of(*zones, [](const json& zone) {
                          return zone.is_string();
                        });
  if (!is_valid) {
    errors.emplace_back("zone_only: expected an object of host to zone");
  }
}

void ValidateSettings(const json& document, std::vector<std::string>& errors) {
  const auto settings = document.find(kSettingsKey);
  if (settings == document.end()) {
    return;
  }
  if (!settings->is_object()) {
    errors.emplace_back("settings: expected an object");
    return;
  }
  for (const char* const key : kNamedListKeys) {
    if (const auto list = settings->find(key); list != settings->end()) {
      std::string path = "settings.";
      ValidateNamedList(path.append(key), *list, errors);
    }
  }
  if (const auto allowed = settings->find(kAllowedKey); allowed != settings->end()) {
    ValidateAllowed(*allowed, errors);
  }
}

// ---- A document -------------------------------------------------------------------------------

// Parses and validates a version's text. Returns a JSON object if `errors` is empty afterwards.
json ParseText(std::string_view text, size_t max_bytes, std::vector<std::string>& errors) {
  errors = ValidateSize(text.size(), max_bytes);
  if (!errors.empty()) {
    return {};
  }
  errors = ValidateNesting(text);
  if (!errors.empty()) {
    return {};
  }
  json value = json::parse(text, nullptr, false);
  if (value.is_discarded() || !value.is_object()) {
    errors = {"expected one JSON object"};
    return {};
  }
  ValidateKeys(value, errors);
  ValidateHosts(value, kExcludedKey, errors);
  ValidateHosts(value, kDrainingKey, errors);
  ValidateZones(value, errors);
  ValidateSettings(value, errors);
  return value;
}

ConfigDocument Parse(std::string_view text, size_t max_bytes) {
  std::vector<std::string> errors;
  const json value = ParseText(text, max_bytes, errors);
  if (!errors.empty()) {
    throw std::invalid_argument(errors.front());
  }
  ConfigDocument document;
  document.settings = value.value(kSettingsKey, json::object());
  document.excluded = value.value(kExcludedKey, std::set<std::string>());
  document.draining = value.value(kDrainingKey, std::set<std::string>());
  document.zone_only = value.value(kZoneOnlyKey, std::map<std::string, std::string>());
  return document;
}

// ---- One object of a named list ---------------------------------------------------------------

// Returns the object's `Name`, or null if it has none.
const std::string* NameOf(const json& item) {
  if (!item.is_object()) {
    return nullptr;
  }
  const auto name = item.find("Name");
  if (name == item.end() || !name->is_string()) {
    return nullptr;
  }
  return &name->get_ref<const std::string&>();
}

void ValidateEffect(const std::string& path, const json& item, std::vector<std::string>& errors) {
  const auto effect = item.find("Effect");
  if (effect == item.end()) {
    return;
  }
  const bool is_valid =
      effect->is_string() &&
      std::ranges::find(kIdempotencyLevels, effect->get<std::string>()) != kIdempotencyLevels.end();
  if (!is_valid) {
    errors.push_back(path + ".Effect: expected safe, keyed or unsafe");
  }
}

void ValidateNumber(const std::string& path, const json& item, const char* key, bool allows_zero,
                    const char* expected, std::vector<std::string>& errors) {
  const auto number = item.find(key);
  if (number == item.end()) {
    return;
  }
  const bool is_valid = number->is_number() &&
                        (number->get<double>() > 0 || (allows_zero && number->get<double>() == 0));
  if (!is_valid) {
    std::string error = path;
    errors.push_back(error.append(".").append(key).append(": expected ").append(expected));
  }
}

}  // namespace

std::vector<std::string> ValidateDocument(std::string_view text) {
  std::vector<std::string> errors;
  ParseText(text, kMaxDocumentBytes, errors);
  return errors;
}

std::vector<std::string> ValidateSize(size_t bytes, size_t max_bytes) {
  if (bytes <= max_bytes) {
    return {};
  }
  return {"a version of " + std::to_string(bytes) + " bytes, expected " +
          std::to_string(max_bytes) + " at most"};
}

void ValidateNamedObject(const std::string& path, const json& item,
                         std::vector<std::string>& errors) {
  if (NameOf(item) == nullptr) {
    errors.push_back(path + ": expected an object with a Name");
    return;
  }
  ValidateEffect(path, item, errors);
  for (const char* const key : {"Deadline", "Slo"}) {
    ValidateNumber(path, item, key, false, "milliseconds above 0", errors);
  }
  for (const char* const key : {"Window", "QuotaPerS", "Share"}) {
    ValidateNumber(path, item, key, true, "a number of 0 or more", errors);
  }
}

void ValidateNamedList(const std::string& path, const json& list,
                       std::vector<std::string>& errors) {
  if (!list.is_array()) {
    errors.push_back(path + ": expected a list");
    return;
  }
  std::set<std::string_view> seen_names;
  for (size_t i = 0; i < list.size(); ++i) {
    std::string item_path = path;
    item_path.append(".").append(std::to_string(i));
    ValidateNamedObject(item_path, list[i], errors);
    const std::string* const name = NameOf(list[i]);
    if (name != nullptr && !seen_names.insert(*name).second) {
      errors.push_back(item_path + ".Name: '" + *name + "' a second time, expected each once");
    }
  }
}

void ValidateAllowed(const json& allowed, std::vector<std::string>& errors) {
  if (!allowed.is_object()) {
    errors.emplace_back("settings.Allowed: expected an object");
    return;
  }
  const auto cap = allowed.find("SendCap");
  if (cap != allowed.end() && (!cap->is_number_integer() || cap->get<int64_t>() < 1)) {
    errors.emplace_back("settings.Allowed.SendCap: expected a whole number above 0");
  }
}

ConfigDocument ParseDocument(std::string_view text) {
  return Parse(text, kMaxDocumentBytes);
}

ConfigDocument ParseVersion(std::string_view text) {
  return Parse(text, kMaxVersionBytes);
}

std::string ToText(const ConfigDocument& document) {
  // Written key by key in alphabetical order: building one JSON object would copy the settings.
  return R"({"barred":)" + DumpJson(document.excluded) + R"(,"drain":)" +
         DumpJson(document.draining) + R"(,"settings":)" + DumpJson(document.settings) +
         R"(,"zone_only":)" + DumpJson(document.zone_only) + "}";
}

std::string HashOf(std::string_view text) {
  const XXH128_hash_t hash = XXH3_128bits(text.data(), text.size());
  std::string digits;
  for (const uint64_t half : {hash.high64, hash.low64}) {
    for (int shift = 60; shift >= 0; shift -= 4) {
      digits += "0123456789abcdef"[(half >> shift) & 15];
    }
  }
  return digits;
}

}  // namespace paddlestile::cluster
