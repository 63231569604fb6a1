// Parses lists of endpoints in the JSON format of discovery, which the configuration file also
// uses.
#ifndef PADDLESTILE_CONFIG_ENDPOINT_LIST_H_
#define PADDLESTILE_CONFIG_ENDPOINT_LIST_H_

#include <functional>
#include <vector>

#include "balancer/load_balancer.h"
#include "base/address.h"
#include "config/json.h"
#include "config/name_table.h"

namespace paddlestile {

// Converts Unix time in milliseconds to the gateway's time.
using TimeFromUnixMillis = std::function<Time(double)>;

struct EndpointListEntry {
  EndpointInfo info;
  Address address;  // may be unset for a removed endpoint
};

struct EndpointList {
  double revision = 0;    // grows with each change of the list
  bool complete = false;  // the list has all endpoints, rather than only the changed ones
  std::vector<EndpointListEntry> endpoints;
};

// Parses one entry of a list. Zones and machine kinds are looked up in `names`; an unknown one gets
// the position after the last. Throws JsonError or ConfigError if the entry is malformed.
EndpointListEntry ParseEndpointListEntry(const Json& json, const NameTables& names,
                                         const TimeFromUnixMillis& from_unix_millis);

// Parses a list. Throws like ParseEndpointListEntry.
EndpointList ParseEndpointList(const Json& json, const NameTables& names,
                               const TimeFromUnixMillis& from_unix_millis);

}  // namespace paddlestile

#endif  // PADDLESTILE_CONFIG_ENDPOINT_LIST_H_
