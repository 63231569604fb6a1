#include "config/endpoint_list.h"

#include <fmt/format.h>

#include <cmath>
#include <string>

namespace paddlestile {
namespace {

constexpr double kMaxCell = 1e9;

// Parses a zone or machine kind, which some platforms give as a name and others as a position.
size_t ParsePosition(const Json* value, const NameTable& names) {
  if (value == nullptr || value->type() == Json::Type::kNull) {
    return 0;
  }
  if (value->type() == Json::Type::kString) {
    return names.Find(value->text());
  }
  const double position = value->number();
  const bool is_known = position >= 0 && position < static_cast<double>(names.size());
  return is_known ? static_cast<size_t>(position) : names.size();
}

// An endpoint in an unknown phase counts as draining, because only active endpoints ask for
// requests.
EndpointState ParsePhase(const std::string& phase) {
  if (phase == "active") {
    return EndpointState::kUp;
  }
  if (phase == "left") {
    return EndpointState::kRemoved;
  }
  return EndpointState::kDraining;
}

void ParseOptionalFields(const Json& json, const TimeFromUnixMillis& from_unix_millis,
                         EndpointInfo& info) {
  if (const Json* const cell = json.Find("cell")) {
    // NOLINTNEXTLINE(bugprone-narrowing-conversions): the value is limited to kMaxCell
    info.cell = static_cast<int>(std::fmin(std::fmax(cell->number(), 0), kMaxCell));
  }
  const Json* const size = json.Find("size");
  if (size != nullptr && size->type() == Json::Type::kNumber) {
    info.weight = size->number();
  }
  if (const Json* const up_since = json.Find("up_since_ms")) {
    info.started_at = from_unix_millis(up_since->number());
  }
}

}  // namespace

EndpointListEntry ParseEndpointListEntry(const Json& json, const NameTables& names,
                                         const TimeFromUnixMillis& from_unix_millis) {
  EndpointListEntry entry;
  entry.info.id = json.Require("id", Json::Type::kString).text();
  if (entry.info.id.empty()) {
    throw JsonError("'id' is empty");
  }
  entry.info.state = ParsePhase(json.Require("phase", Json::Type::kString).text());
  const Json* const address = json.Find("host_port");
  if (address != nullptr && address->type() == Json::Type::kString) {
    entry.address = ParseAddress(address->text());
  } else if (entry.info.state != EndpointState::kRemoved) {
    throw JsonError(fmt::format("no 'host_port' for {}", entry.info.id));
  }
  entry.info.zone = static_cast<int>(ParsePosition(json.Find("locality"), names.zones));
  entry.info.machine_kind = ParsePosition(json.Find("flavor"), names.kinds);
  ParseOptionalFields(json, from_unix_millis, entry.info);
  return entry;
}

EndpointList ParseEndpointList(const Json& json, const NameTables& names,
                               const TimeFromUnixMillis& from_unix_millis) {
  EndpointList list;
  list.revision = json.Require("revision", Json::Type::kNumber).number();
  const Json* const complete = json.Find("complete");
  list.complete = complete != nullptr && complete->boolean();
  for (const Json& member : json.Require("members", Json::Type::kArray).items()) {
    list.endpoints.push_back(ParseEndpointListEntry(member, names, from_unix_millis));
  }
  return list;
}

}  // namespace paddlestile
