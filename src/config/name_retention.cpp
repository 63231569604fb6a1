#include "config/name_retention.h"

#include <fmt/format.h>

#include <algorithm>
#include <iterator>
#include <utility>

namespace paddlestile {
namespace {

constexpr ptrdiff_t kMaxRetiredNames = 1024;

// A list in the settings together with the names of its items. Refers to its parts.
template <typename Value>
struct NamedListView {
  const NameTable& names;
  const std::vector<Value>& values;
  const std::vector<Time>& expire_at;
};

template <typename Value>
struct NamedList {
  NameTable names;
  std::vector<Value> values;
  std::vector<Time> expire_at;
};

// Returns when each name of `previous` expires if it is not in the new settings.
template <typename Value>
std::vector<Time> RetireAll(const NamedListView<Value>& previous, Time now) {
  std::vector<Time> expire_at(previous.names.size(), now + kRetiredNameAcceptedFor);
  const size_t known = std::min(expire_at.size(), previous.expire_at.size());
  for (size_t position = 0; position < known; ++position) {
    if (!IsCurrent(previous.expire_at, position)) {
      expire_at[position] = previous.expire_at[position];  // retired earlier
    }
  }
  return expire_at;
}

template <typename Value>
NamedList<Value> MergeNamedLists(std::string_view list_name, const NamedListView<Value>& previous,
                                 const NamedListView<Value>& parsed, Time now) {
  NamedList<Value> merged{previous.names, previous.values, RetireAll(previous, now)};
  for (const auto& [name, parsed_position] : parsed.names.positions()) {
    if (parsed_position >= parsed.values.size()) {
      continue;
    }
    if (merged.names.Find(name) == merged.names.size()) {
      merged.names.Add(name);
    }
    const size_t position = merged.names.Find(name);
    merged.values.resize(std::max(merged.values.size(), position + 1));
    merged.expire_at.resize(std::max(merged.expire_at.size(), position + 1));
    merged.values[position] = parsed.values[parsed_position];
    merged.expire_at[position] = Time::max();
  }
  const bool grows = merged.names.size() > previous.names.size();
  const ptrdiff_t retired =
      std::ssize(merged.expire_at) - std::ranges::count(merged.expire_at, Time::max());
  CheckRetiredNames(list_name, grows, retired);
  return merged;
}

NameTable MergeNames(const NameTable& previous, const NameTable& parsed) {
  NameTable merged = previous;
  for (const auto& [name, position] : parsed.positions()) {
    if (merged.Find(name) == merged.size()) {
      merged.Add(name);
    }
  }
  return merged;
}

// The settings identify the gateway's own zone by position. Converts a position in `parsed` to that
// of the same name in `previous`.
void KeepOwnZone(const NameTable& previous, const NameTable& parsed, Settings& settings) {
  const auto own_position = static_cast<size_t>(settings.zone);
  for (const auto& [name, position] : parsed.positions()) {
    const size_t previous_position = previous.Find(name);
    if (position == own_position && previous_position < previous.size()) {
      settings.zone = static_cast<int>(previous_position);
    }
  }
}

}  // namespace

void CheckRetiredNames(std::string_view list_name, bool grows, ptrdiff_t retired) {
  if (!grows || retired <= kMaxRetiredNames) {
    return;
  }
  throw ConfigError(fmt::format("over {} {} gone since the start, expected a restart",
                                kMaxRetiredNames, list_name));
}

void KeepNamePositions(const GatewayConfig& previous, Time now, GatewayConfig& config) {
  const NameTables& old_names = previous.names;
  NameTables& names = config.names;
  auto classes = MergeNamedLists<RequestClass>(
      "classes", {old_names.classes, previous.settings.classes, old_names.classes_expire_at},
      {names.classes, config.settings.classes, names.classes_expire_at}, now);
  names.classes = std::move(classes.names);
  names.classes_expire_at = std::move(classes.expire_at);
  config.settings.classes = std::move(classes.values);

  auto tenants = MergeNamedLists<TenantQuota>(
      "tenants", {old_names.tenants, previous.settings.tenants, old_names.tenants_expire_at},
      {names.tenants, config.settings.tenants, names.tenants_expire_at}, now);
  names.tenants = std::move(tenants.names);
  names.tenants_expire_at = std::move(tenants.expire_at);
  config.settings.tenants = std::move(tenants.values);

  KeepOwnZone(old_names.zones, names.zones, config.settings);
  names.zones = MergeNames(old_names.zones, names.zones);
  names.kinds = MergeNames(old_names.kinds, names.kinds);
}

}  // namespace paddlestile
