#include "config/gateway_config.h"

#include <fmt/format.h>

#include <algorithm>
#include <charconv>
#include <cmath>
#include <fstream>
#include <iterator>
#include <utility>

#include "balancer/learned_state.h"
#include "http/http_parser.h"
#include "simulator/protocol.h"

namespace paddlestile {
namespace {

// What separates values on the wire stands as '_' within one there.
std::string Plain(std::string_view text) {
  std::string out(text);
  for (char& c : out) {
    if (c == ' ' || c == ',') {
      c = '_';
    }
  }
  return out;
}

std::string Scalar(const Json& value) {
  switch (value.type()) {
    case Json::Type::kBool:
      return value.boolean() ? "true" : "false";
    case Json::Type::kNumber:
      return value.text();
    case Json::Type::kString:
      return Plain(value.text());
    default:
      return "-";
  }
}

void Flatten(const std::string& path, const Json& value, std::string& out) {
  const auto add = [&](std::string_view name, std::string_view text) {
    if (!out.empty()) {
      out += ' ';
    }
    out += fmt::format("{}={}", name, text);
  };
  if (value.type() == Json::Type::kObject) {
    for (const auto& [name, field] : value.fields()) {
      // A name that would read as something else on the wire is none that the settings know.
      if (name.empty() || name.find_first_of(" =.") != std::string::npos) {
        continue;
      }
      Flatten(path.empty() ? name : fmt::format("{}.{}", path, name), field, out);
    }
    return;
  }
  if (value.type() != Json::Type::kArray) {
    return add(path, Scalar(value));
  }
  const auto& items = value.items();
  const bool objects = !items.empty() && items[0].type() == Json::Type::kObject;
  if (!objects) {
    std::string list;
    for (const Json& item : items) {
      if (!list.empty()) {
        list += ',';
      }
      list += Scalar(item);
    }
    return add(path, list);
  }
  add(path + ".count", std::to_string(items.size()));
  for (size_t i = 0; i < items.size(); ++i) {
    Flatten(fmt::format("{}.{}", path, i), items[i], out);
  }
}

// The names in a list of words or of objects with a Name.
void AddNames(const Json& settings, std::string_view list, NameTable& table) {
  const Json* const found = settings.Find(list);
  if (found == nullptr) {
    return;
  }
  for (const Json& item : found->items()) {
    const bool word = item.type() == Json::Type::kString;
    table.Add(word ? item.text() : item.Require("Name", Json::Type::kString).text());
  }
}

const char* NeedVariable(const std::function<const char*(const char*)>& env, const char* name) {
  const char* const value = env(name);
  if (value == nullptr || *value == '\0') {
    throw ConfigError(fmt::format("{} is not set", name));
  }
  return value;
}

Address AddressVariable(const std::function<const char*(const char*)>& env, const char* name) {
  const char* const text = NeedVariable(env, name);
  try {
    return ParseAddress(text);
  } catch (const ConfigError& error) {
    throw ConfigError(fmt::format("{}: {}", name, error.what()));
  }
}

std::optional<Address> AdminOf(const Json& json) {
  const Json* const admin = json.Find("admin");
  if (admin == nullptr || admin->type() == Json::Type::kNull) {
    return std::nullopt;
  }
  try {
    return ParseAddress(json.Require("admin", Json::Type::kString).text());
  } catch (const ConfigError& error) {
    throw ConfigError(fmt::format("'admin': {}", error.what()));
  }
}

std::string ReadFile(const std::string& path) {
  std::ifstream file(path, std::ios::binary);
  std::string text((std::istreambuf_iterator<char>(file)), std::istreambuf_iterator<char>());
  if (!file && text.empty()) {
    throw ConfigError(fmt::format("LB_CONFIG: cannot read {}, expected a file", path));
  }
  return text;
}

// A name or, on some platforms, a place.
size_t PlaceOf(const Json* value, const NameTable& names) {
  if (value == nullptr || value->type() == Json::Type::kNull) {
    return 0;
  }
  if (value->type() == Json::Type::kString) {
    return names.Find(value->text());
  }
  const double place = value->number();
  return place >= 0 && place < static_cast<double>(names.size()) ? static_cast<size_t>(place)
                                                                 : names.size();
}

EndpointListEntry ParseHost(const Json& json, const NameTables& names,
                            const std::function<Time(double)>& from_wall) {
  EndpointListEntry entry;
  entry.info.id = json.Require("id", Json::Type::kString).text();
  if (entry.info.id.empty()) {
    throw JsonError("an empty 'id'");
  }
  const std::string& phase = json.Require("phase", Json::Type::kString).text();
  // A phase that is not known is none that asks for work.
  entry.info.state = phase == "active" ? EndpointState::kUp
                     : phase == "left" ? EndpointState::kRemoved
                                       : EndpointState::kDraining;
  const Json* const address = json.Find("host_port");
  if (address != nullptr && address->type() == Json::Type::kString) {
    entry.address = ParseAddress(address->text());
  } else if (entry.info.state != EndpointState::kRemoved) {
    throw JsonError(fmt::format("no 'host_port' for {}", entry.info.id));
  }
  entry.info.zone = static_cast<int>(PlaceOf(json.Find("locality"), names.zones));
  entry.info.machine_kind = PlaceOf(json.Find("flavor"), names.kinds);
  if (const Json* const cell = json.Find("cell")) {
    // NOLINTNEXTLINE(bugprone-narrowing-conversions): bounded here
    entry.info.cell = static_cast<int>(std::fmin(std::fmax(cell->number(), 0), 1e9));
  }
  if (const Json* const size = json.Find("size"); size && size->type() == Json::Type::kNumber) {
    entry.info.weight = size->number();
  }
  if (const Json* const since = json.Find("up_since_ms")) {
    entry.info.started_at = from_wall(since->number());
  }
  return entry;
}

// The paths of what is there, by a dot between names; of lists of objects what all items have.
void CollectKeys(const std::string& path, const Json& value, std::set<std::string>& keys) {
  if (value.type() == Json::Type::kNull) {
    return;
  }
  if (!path.empty()) {
    keys.insert(path);
  }
  for (const auto& [name, field] : value.fields()) {
    // Of hosts and their list nothing is asked twice.
    CollectKeys(path.empty() ? name : fmt::format("{}.{}", path, name),
                path.empty() && name == "known" ? Json::Parse("true") : field, keys);
  }
  const auto& items = value.items();
  if (items.empty() || items[0].type() != Json::Type::kObject) {
    return;
  }
  std::map<std::string, size_t> found;
  for (const Json& item : items) {
    std::set<std::string> own;
    CollectKeys(path + ".*", item, own);
    for (const std::string& key : own) {
      ++found[key];
    }
  }
  for (const auto& [key, times] : found) {
    if (times == items.size()) {
      keys.insert(key);
    }
  }
}

void TakeSettings(const Json& settings, GatewayConfig& config) {
  config.settings = simulator::ParseSettings(FlattenSettings(settings));
  AddNames(settings, "Classes", config.names.classes);
  AddNames(settings, "Tenants", config.names.tenants);
  AddNames(settings, "FailureDomains", config.names.zones);
  AddNames(settings, "Kinds", config.names.kinds);
  if (const Json* const stats = settings.Find("Stats")) {
    if (const Json* const fields = stats->Find("Fields")) {
      for (const Json& field : fields->items()) {
        config.names.report_fields.push_back(field.text());
      }
    }
  }
  if (const Json* const allowed = settings.Find("Allowed")) {
    if (const Json* const idle = allowed->Find("IdleClose"); idle && idle->number() > 0) {
      config.endpoint_idle_timeout = Duration(std::llround(std::fmin(idle->number(), 1e9) * 1000));
    }
  }
}

GatewayConfig ParseConfig(const Json& json, const std::function<Time(double)>& from_wall) {
  GatewayConfig config;
  const std::string& seed = json.Require("seed", Json::Type::kString).text();
  const auto read = std::from_chars(seed.data(), seed.data() + seed.size(), config.seed, 16);
  if (read.ec != std::errc() || read.ptr != seed.data() + seed.size()) {
    throw ConfigError(fmt::format("'seed' is '{}', expected a hexadecimal number", seed));
  }
  if (const Json* const limits = json.Find("limits")) {
    if (const Json* const sockets = limits->Find("sockets")) {
      constexpr double kLeast = 64, kMost = 1e6;
      if (!(sockets->number() >= kLeast && sockets->number() <= kMost)) {
        throw ConfigError(
            fmt::format("'limits.sockets' is {}, expected 64 to 1000000", sockets->text()));
      }
      config.max_sockets = static_cast<size_t>(sockets->number());
    }
  }
  TakeSettings(json.Require("settings", Json::Type::kObject), config);
  CollectKeys("", json, config.file_keys);
  config.initial_endpoints =
      ParseEndpointList(json.Require("known", Json::Type::kObject), config.names, from_wall);
  return config;
}

// The new settings with the places of those that run. What has vanished keeps its last words.
constexpr Duration kTakenOn{1'000'000};  // us; for what was on its way
constexpr ptrdiff_t kGoneMost = 1024;    // names whose places stay, as requests may have them

// What goes takes no more room; what is new takes some beside those that are gone.
void CheckGone(std::string_view what, bool grows, ptrdiff_t gone) {
  if (!grows || gone <= kGoneMost) {
    return;
  }
  throw ConfigError(
      fmt::format("over {} {} gone since the start, expected a restart", kGoneMost, what));
}

void KeepPlaces(const GatewayConfig& was, Time now, GatewayConfig& config) {
  const auto keep = [&](std::string_view what, const NameTable& old, NameTable& table, auto& values,
                        const auto& old_values, std::vector<Time>& until,
                        const std::vector<Time>& old_until) {
    NameTable merged = old;
    auto kept = old_values;
    std::vector<Time> over(old.size(), now + kTakenOn);
    for (size_t i = 0; i < over.size() && i < old_until.size(); ++i) {
      if (old_until[i] != Time::max()) {
        over[i] = old_until[i];  // gone before
      }
    }
    for (const auto& [name, place] : table.positions()) {
      if (place >= values.size()) {
        continue;
      }
      if (merged.Find(name) == merged.size()) {
        merged.Add(name);
      }
      const size_t at = merged.Find(name);
      kept.resize(std::max(kept.size(), at + 1));
      over.resize(std::max(over.size(), at + 1));
      kept[at] = values[place];
      over[at] = Time::max();
    }
    CheckGone(what, merged.size() > old.size(),
              std::ssize(over) - std::ranges::count(over, Time::max()));
    table = std::move(merged);
    values = std::move(kept);
    until = std::move(over);
  };
  NameTables& names = config.names;
  keep("classes", was.names.classes, names.classes, config.settings.classes, was.settings.classes,
       names.classes_expire_at, was.names.classes_expire_at);
  keep("tenants", was.names.tenants, names.tenants, config.settings.tenants, was.settings.tenants,
       names.tenants_expire_at, was.names.tenants_expire_at);
  // The own zone is told by its place.
  const auto own = static_cast<size_t>(config.settings.zone);
  for (const auto& [name, place] : names.zones.positions()) {
    const size_t before = was.names.zones.Find(name);
    if (place == own && before < was.names.zones.size()) {
      config.settings.zone = static_cast<int>(before);
    }
  }
  for (const bool zones : {true, false}) {
    NameTable& table = zones ? names.zones : names.kinds;
    NameTable merged = zones ? was.names.zones : was.names.kinds;
    for (const auto& [name, place] : table.positions()) {
      if (merged.Find(name) == merged.size()) {
        merged.Add(name);
      }
    }
    table = std::move(merged);
  }
}

// The settings' faults: each one that is found is taken out and the rest looked at again.
void CheckAllSettings(const Json& json, std::vector<std::string>& faults) {
  std::string text = FlattenSettings(json);
  while (faults.size() < kMaxReportedFaults) {
    try {
      ValidateSettings(simulator::ParseSettings(text));
      return;
    } catch (const std::exception& error) {
      const std::string what = error.what();
      faults.push_back(fmt::format("settings: {}", what));
      constexpr std::string_view kBad = "bad ";
      if (!what.starts_with(kBad)) {
        return;
      }
      const std::string name = what.substr(kBad.size(), what.find(' ', kBad.size()) - kBad.size());
      size_t at = text.starts_with(name + "=") ? 0 : text.find(" " + name + "=");
      if (at == std::string::npos) {
        return;
      }
      const size_t end = text.find(' ', at + 1);
      text.erase(at, end == std::string::npos ? end : end - at);
      if (text.starts_with(' ')) {
        text.erase(0, 1);
      }
    }
  }
}

}  // namespace

void NameTable::Add(std::string name) {
  if (positions_.use_count() > 1) {
    positions_ = std::make_shared<Positions>(*positions_);
  }
  positions_->emplace(std::move(name), size_++);
}

size_t NameTable::Find(std::string_view name) const {
  const auto at = positions_->find(name);
  return at == positions_->end() ? size_ : at->second;
}

EndpointList ParseEndpointList(const Json& json, const NameTables& names,
                               const std::function<Time(double)>& from_wall) {
  EndpointList list;
  list.revision = json.Require("revision", Json::Type::kNumber).number();
  const Json* const complete = json.Find("complete");
  list.complete = complete != nullptr && complete->boolean();
  for (const Json& member : json.Require("members", Json::Type::kArray).items()) {
    list.endpoints.push_back(ParseHost(member, names, from_wall));
  }
  return list;
}

std::vector<std::string> UnsupportedSettings(const Settings& settings) {
  std::vector<std::string> lines;
  if (settings.allowed.peer_messages) {
    lines.emplace_back("Allowed.PeerMessages is true: gateways on sockets send one another none");
  }
  if (settings.allowed.max_streams > 1) {
    lines.push_back(
        fmt::format("Allowed.MaxStreams is {}: a connection carries one request at a time",
                    settings.allowed.max_streams));
  }
  return lines;
}

std::string FlattenSettings(const Json& settings) {
  std::string out;
  Flatten("", settings, out);
  return out;
}

namespace {

// What makes sense alone and not together; throws what is wrong.
void CheckWhole(const GatewayConfig& config) {
  ValidateSettings(config.settings);
  if (config.names.classes.positions().size() != config.settings.classes.size()) {
    throw ConfigError("'settings.Classes' names one twice, expected each once");
  }
  if (config.names.tenants.positions().size() != config.settings.tenants.size()) {
    throw ConfigError("'settings.Tenants' names one twice, expected each once");
  }
}

// What `text` says after `was`, and with all of these keys; throws what is wrong.
GatewayConfig ParseAgain(const std::string& text, const GatewayConfig& was,
                         const std::set<std::string>& keys, Time now,
                         const std::function<Time(double)>& from_wall) {
  const Json json = Json::Parse(text);
  GatewayConfig config = ParseConfig(json, from_wall);
  for (const std::string& key : keys) {
    // The fields of a list's items are only those of items that are there.
    const size_t item = key.find(".*");
    const bool none =
        item != std::string::npos && !config.file_keys.contains(key.substr(0, item + 2));
    if (!none && !config.file_keys.contains(key)) {
      throw ConfigError(fmt::format("no '{}', expected as before", key));
    }
  }
  CheckWhole(config);
  if (json.Find("discovery") != nullptr) {
    config.discovery = ParseAddress(json.Require("discovery", Json::Type::kString).text());
  } else {
    config.discovery = was.discovery;
  }
  config.path = was.path;
  config.name = was.name;
  config.listen = was.listen;
  config.admin = was.admin;
  config.seed = was.seed;
  config.max_sockets = was.max_sockets;
  config.file_text = text;
  KeepPlaces(was, now, config);
  return config;
}

}  // namespace

GatewayConfig ReloadGatewayConfig(const GatewayConfig& was, Time now,
                                  const std::function<Time(double)>& from_wall) {
  const std::string text = ReadFile(was.path);
  try {
    return ParseAgain(text, was, was.file_keys, now, from_wall);
  } catch (const std::exception& error) {
    throw ConfigError(fmt::format("LB_CONFIG: {}: {}", was.path, error.what()));
  }
}

namespace {

bool IsThere(const std::vector<Time>& until, size_t place) {
  return place >= until.size() || until[place] == Time::max();
}

}  // namespace

void ValidateTenantChanges(const std::vector<TenantChange>& changes, const GatewayConfig& config) {
  const NameTable& table = config.names.tenants;
  const std::vector<Time>& until = config.names.tenants_expire_at;
  bool grows = false;
  ptrdiff_t gone = 0;  // more of them
  for (const auto& [name, figures] : changes) {
    // What the settings would be refused for.
    if (figures && !(figures->share >= 0)) {
      throw ConfigError(
          fmt::format("setting out of range: Tenants.{}.Share, expected 0 or more", name));
    }
    const size_t place = table.Find(name);
    grows = grows || (place == table.size() && figures);
    if (place == table.size() || IsThere(until, place) == figures.has_value()) {
      continue;
    }
    gone += figures ? -1 : 1;
  }
  if (!grows) {
    return;
  }
  CheckGone("tenants", grows, std::ssize(until) - std::ranges::count(until, Time::max()) + gone);
}

void ApplyTenantChanges(const std::vector<TenantChange>& changes, Time now, GatewayConfig& config) {
  ValidateTenantChanges(changes, config);
  NameTable& table = config.names.tenants;
  std::vector<Time>& until = config.names.tenants_expire_at;
  for (const auto& [name, figures] : changes) {
    const size_t place = table.Find(name);
    if (place == table.size()) {
      if (!figures) {
        continue;
      }
      table.Add(name);
      config.settings.tenants.emplace_back();
    }
    if (figures) {
      config.settings.tenants.at(place) = *figures;
    }
    if (IsThere(until, place) == figures.has_value()) {
      continue;
    }
    until.resize(table.size(), Time::max());
    until[place] = figures ? Time::max() : now + kTakenOn;
  }
}

std::optional<std::vector<TenantChange>> VersionedSettings::TenantsChanged(
    const cluster::VersionContent& was, const cluster::VersionContent& rules) {
  if (was.strict != rules.strict || was.settings != rules.settings ||
      was.classes != rules.classes || was.tenants.has_value() != rules.tenants.has_value()) {
    return std::nullopt;
  }
  std::vector<TenantChange> changes;
  if (!rules.tenants) {
    return changes;
  }
  std::string list;
  cluster::PersistentMap::ForEachDifference(
      *was.tenants, *rules.tenants,
      [&](const std::string& name, const std::string*, const std::string* now) {
        changes.push_back({name, std::nullopt});
        if (now != nullptr) {
          list += (list.empty() ? "" : ",") + *now;
          changes.back().quota.emplace();
        }
      });
  try {
    if (list.empty()) {
      return changes;
    }
    const Json json = Json::Parse(fmt::format("{{\"Tenants\":[{}]}}", list));
    const std::vector<TenantQuota> figures =
        simulator::ParseSettings(FlattenSettings(json)).tenants;
    size_t next = 0;
    for (TenantChange& change : changes) {
      if (change.quota) {
        change.quota = figures.at(next++);
      }
    }
  } catch (const std::exception& error) {
    throw ConfigError(fmt::format("bank: {}", error.what()));
  }
  return changes;
}

VersionedSettings::VersionedSettings(const GatewayConfig& file) : discovery_(file.discovery) {
  try {
    settings_ = nlohmann::json::parse(file.file_text).at("settings");
  } catch (const std::exception& error) {
    throw ConfigError(fmt::format("LB_CONFIG: {}: {}", file.path, error.what()));
  }
}

GatewayConfig VersionedSettings::ApplyWholeVersion(const cluster::VersionContent& rules,
                                                   const GatewayConfig& was, Time now) const {
  nlohmann::json settings = settings_;
  settings.merge_patch(rules.ToDocument().settings);
  GatewayConfig config;
  TakeSettings(Json::Parse(settings.dump()), config);
  CheckWhole(config);
  config.path = was.path;
  config.name = was.name;
  config.listen = was.listen;
  config.discovery = discovery_;
  config.admin = was.admin;
  config.seed = was.seed;
  config.max_sockets = was.max_sockets;
  KeepPlaces(was, now, config);
  if (!rules.strict) {
    return config;
  }
  for (RequestClass& c : config.settings.classes) {
    c.idempotency = Idempotency::kUnsafe;
  }
  config.settings.allowed.max_attempts = 1;
  return config;
}

GatewayConfig VersionedSettings::ApplyVersion(const cluster::VersionContent& rules,
                                              const GatewayConfig& was,
                                              const cluster::VersionContent* was_rules,
                                              Time now) const {
  try {
    const auto changes = was_rules == nullptr ? std::nullopt : TenantsChanged(*was_rules, rules);
    if (!changes) {
      return ApplyWholeVersion(rules, was, now);
    }
    GatewayConfig config = was;
    ApplyTenantChanges(*changes, now, config);
    return config;
  } catch (const std::exception& error) {
    throw ConfigError(fmt::format("bank: {}", error.what()));
  }
}

std::string DescribeChanges(const GatewayConfig& was, const GatewayConfig& now) {
  std::string words;
  const auto add = [&](std::string_view what) {
    words += fmt::format("{}{}", words.empty() ? "" : ", ", what);
  };
  if (was.discovery != now.discovery) {
    add("discovery at " + ToText(now.discovery));
  }
  const auto gone = [](const GatewayConfig& config, size_t place) {
    const auto& until = config.names.classes_expire_at;
    return place < until.size() && until[place] != Time::max();
  };
  for (const auto& [name, place] : now.names.classes.positions()) {
    const bool there = place < was.settings.classes.size() && !gone(was, place);
    if (there == gone(now, place)) {
      add(fmt::format("class {} {}", name, there ? "gone" : "new"));
    } else if (there && was.settings.classes[place] != now.settings.classes[place]) {
      add(fmt::format("class {} changed", name));
    }
  }
  const int before = was.settings.allowed.max_attempts, after = now.settings.allowed.max_attempts;
  if (before != after) {
    add(fmt::format("attempts {} to {}", before, after));
  }
  return words;
}

std::vector<std::string> ValidateGatewayConfig(const std::string& path) {
  std::vector<std::string> faults;
  std::string text;
  try {
    text = ReadFile(path);
  } catch (const ConfigError&) {
    return {"cannot read it, expected a file"};
  }
  Json json;
  JsonParser parser;
  try {
    parser.Feed(text);
    json = parser.End();
  } catch (const JsonError& error) {
    const auto read = text.begin() + static_cast<long>(std::min(parser.size(), text.size()));
    return {fmt::format("line {}: {}, expected JSON", 1 + std::count(text.begin(), read, '\n'),
                        error.what())};
  }
  const auto look = [&](std::string_view where, const auto& at) {
    if (faults.size() >= kMaxReportedFaults) {
      return;
    }
    try {
      at();
    } catch (const std::exception& error) {
      faults.push_back(fmt::format("{}{}{}", where, where.empty() ? "" : ": ", error.what()));
    }
  };
  for (const char* const name : {"listen", "discovery", "admin"}) {
    // A gateway takes them from the environment at its start; a new discovery from here.
    const Json* const address = json.Find(name);
    if (address == nullptr) {
      continue;
    }
    look(name, [&] { ParseAddress(json.Require(name, Json::Type::kString).text()); });
  }
  NameTables names;
  look("", [&] {
    const Json& settings = json.Require("settings", Json::Type::kObject);
    CheckAllSettings(settings, faults);
    AddNames(settings, "FailureDomains", names.zones);
    AddNames(settings, "Kinds", names.kinds);
    AddNames(settings, "Classes", names.classes);
    AddNames(settings, "Tenants", names.tenants);
    for (const auto& [list, table] :
         {std::pair("Classes", &names.classes), std::pair("Tenants", &names.tenants)}) {
      if (table->positions().size() == table->size()) {
        continue;
      }
      faults.push_back(fmt::format("settings.{}: a name twice, expected each once", list));
    }
  });
  look("", [&] {
    for (const Json& member : json.Require("known", Json::Type::kObject)
                                  .Require("members", Json::Type::kArray)
                                  .items()) {
      const auto place = &member - json.Find("known")->Find("members")->items().data();
      look(fmt::format("known.members.{}", place),
           [&] { ParseHost(member, names, [](double) { return Time(0); }); });
    }
  });
  // The whole as a gateway reads it: what is still unsaid.
  const size_t said = faults.size();
  if (said == 0) {
    look("", [&] { ParseConfig(json, [](double) { return Time(0); }); });
  }
  return faults;
}

GatewayConfig ReadGatewayConfig(const std::function<const char*(const char*)>& env,
                                const std::function<Time(double)>& from_wall) {
  const std::string name = NeedVariable(env, "LB_NAME");
  const Address listen = AddressVariable(env, "LB_LISTEN");
  const Address discovery = AddressVariable(env, "LB_DISCOVERY");
  const std::string path = NeedVariable(env, "LB_CONFIG");
  std::optional<Address> admin;
  const char* const told = env("LB_ADMIN");
  if (told != nullptr && *told != '\0') {
    admin = AddressVariable(env, "LB_ADMIN");
  }
  const std::string text = ReadFile(path);
  try {
    const Json json = Json::Parse(text);
    GatewayConfig config = ParseConfig(json, from_wall);
    CheckWhole(config);
    config.admin = admin ? admin : AdminOf(json);
    config.path = path;
    config.name = name;
    config.listen = listen;
    config.discovery = discovery;
    config.file_text = text;
    return config;
  } catch (const std::exception& error) {
    throw ConfigError(fmt::format("LB_CONFIG: {}: {}", path, error.what()));
  }
}

}  // namespace paddlestile
