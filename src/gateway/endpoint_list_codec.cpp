#include "gateway/endpoint_list_codec.h"

#include <exception>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "base/address.h"
#include "config/json.h"

namespace paddlestile {
namespace {

using nlohmann::json;

// Returns the names of a table by position; a position without a name of its own has an empty one.
std::vector<std::string> NamesByPosition(const NameTable& table) {
  std::vector<std::string> names(table.size());
  for (const auto& [name, position] : table.positions()) {
    names[position] = name;
  }
  return names;
}

json EncodePosition(size_t position, const std::vector<std::string>& names) {
  if (position < names.size() && !names[position].empty()) {
    return names[position];
  }
  return position;
}

const char* PhaseOf(EndpointState state) {
  return state == EndpointState::kUp ? "active" : "leaving";
}

}  // namespace

json EncodeEndpointList(const EndpointList& list, const NameTables& names,
                        const UnixMillisFromTime& to_unix_millis) {
  const std::vector<std::string> zones = NamesByPosition(names.zones);
  const std::vector<std::string> kinds = NamesByPosition(names.kinds);
  json members = json::array();
  for (const EndpointListEntry& entry : list.endpoints) {
    json member = {{"id", entry.info.id},
                   {"host_port", ToText(entry.address)},
                   {"phase", PhaseOf(entry.info.state)},
                   {"locality", EncodePosition(static_cast<size_t>(entry.info.zone), zones)},
                   {"flavor", EncodePosition(entry.info.machine_kind, kinds)},
                   {"cell", entry.info.cell},
                   {"size", entry.info.weight}};
    if (entry.info.started_at > Time(0)) {
      member["up_since_ms"] = to_unix_millis(entry.info.started_at);
    }
    members.push_back(std::move(member));
  }
  return {{"revision", list.revision}, {"complete", true}, {"members", std::move(members)}};
}

std::optional<EndpointList> DecodeEndpointList(const json& list, const NameTables& names,
                                               const TimeFromUnixMillis& from_unix_millis) try {
  return ParseEndpointList(Json::Parse(list.dump()), names, from_unix_millis);
} catch (const std::exception&) {
  return std::nullopt;
}

}  // namespace paddlestile
