#include <fmt/format.h>

#include <algorithm>
#include <utility>

#include "balancer/learned_state.h"
#include "config/gateway_config.h"
#include "config/gateway_config_parser.h"
#include "config/wire_values.h"

namespace paddlestile {
namespace {

using Faults = std::vector<std::string>;

// Runs `check` and adds an exception from it as a fault at `where`. Does nothing if
// kMaxReportedFaults have been found.
template <typename Check>
void CollectFault(std::string_view where, const Check& check, Faults& faults) {
  if (faults.size() >= kMaxReportedFaults) {
    return;
  }
  try {
    check();
  } catch (const std::exception& error) {
    faults.push_back(fmt::format("{}{}{}", where, where.empty() ? "" : ": ", error.what()));
  }
}

// Removes the pair of a setting. Returns false if there is none.
bool RemovePair(const std::string& name, std::string& pairs) {
  const size_t begin = pairs.starts_with(name + "=") ? 0 : pairs.find(" " + name + "=");
  if (begin == std::string::npos) {
    return false;
  }
  const size_t end = pairs.find(' ', begin + 1);
  pairs.erase(begin, end == std::string::npos ? end : end - begin);
  if (pairs.starts_with(' ')) {
    pairs.erase(0, 1);
  }
  return true;
}

// Parsing stops at the first invalid setting. To find all of them, this removes the invalid setting
// and parses the rest again.
void CheckSettingValues(const Json& settings, Faults& faults) {
  std::string pairs = FlattenSettings(settings);
  while (faults.size() < kMaxReportedFaults) {
    try {
      ValidateSettings(ParseSettings(pairs));
      return;
    } catch (const wire::InvalidValue& error) {
      faults.push_back(fmt::format("settings: {}", error.what()));
      if (!RemovePair(error.name(), pairs)) {
        return;
      }
    } catch (const std::exception& error) {
      faults.push_back(fmt::format("settings: {}", error.what()));
      return;
    }
  }
}

void CheckNamesAreUnique(std::string_view list, const NameTable& names, Faults& faults) {
  if (names.positions().size() != names.size()) {
    faults.push_back(fmt::format("settings.{}: duplicate name, expected unique names", list));
  }
}

// Checks the settings, and fills `names` for the check of the endpoints.
void CheckSettings(const Json& json, NameTables& names, Faults& faults) {
  const Json& settings = json.Require("settings", Json::Type::kObject);
  CheckSettingValues(settings, faults);
  AddNames(settings, "FailureDomains", names.zones);
  AddNames(settings, "Kinds", names.kinds);
  AddNames(settings, "Classes", names.classes);
  AddNames(settings, "Tenants", names.tenants);
  CheckNamesAreUnique("Classes", names.classes, faults);
  CheckNamesAreUnique("Tenants", names.tenants, faults);
}

// Checks the addresses in the file. A gateway uses those of the environment when it starts, but
// uses the file's discovery address when it reloads the file.
void CheckAddresses(const Json& json, Faults& faults) {
  for (const char* const name : {"listen", "discovery", "admin"}) {
    if (json.Find(name) == nullptr) {
      continue;
    }
    const auto check = [&] {
      ParseAddress(json.Require(name, Json::Type::kString).text());
    };
    CollectFault(name, check, faults);
  }
}

void CheckEndpoints(const Json& json, const NameTables& names, Faults& faults) {
  const auto any_time = [](double) {
    return Time(0);
  };
  const std::vector<Json>& members =
      json.Require("known", Json::Type::kObject).Require("members", Json::Type::kArray).items();
  for (size_t i = 0; i < members.size(); ++i) {
    const auto check = [&] {
      ParseEndpointListEntry(members[i], names, any_time);
    };
    CollectFault(fmt::format("known.members.{}", i), check, faults);
  }
}

// Returns the line in which the parser stopped. The first line is 1.
ptrdiff_t LineOf(const JsonParser& parser, const std::string& text) {
  const auto stopped_at = static_cast<ptrdiff_t>(std::min(parser.size(), text.size()));
  return 1 + std::count(text.begin(), text.begin() + stopped_at, '\n');
}

}  // namespace

std::vector<std::string> ValidateGatewayConfig(const std::string& path) {
  std::string text;
  try {
    text = ReadConfigFile(path);
  } catch (const ConfigError&) {
    return {"cannot read it, expected a file"};
  }
  Json json;
  JsonParser parser;
  try {
    parser.Feed(text);
    json = parser.End();
  } catch (const JsonError& error) {
    return {fmt::format("line {}: {}, expected JSON", LineOf(parser, text), error.what())};
  }
  Faults faults;
  NameTables names;
  CheckAddresses(json, faults);
  CollectFault(
      "", [&] { CheckSettings(json, names, faults); }, faults);
  CollectFault(
      "", [&] { CheckEndpoints(json, names, faults); }, faults);
  if (faults.empty()) {
    // Finds faults that the checks of the parts do not cover.
    CollectFault(
        "", [&] { ParseGatewayConfig(json, [](double) { return Time(0); }); }, faults);
  }
  return faults;
}

}  // namespace paddlestile
