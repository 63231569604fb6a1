// The list of endpoints in the JSON form of discovery, which the configuration file uses too.
#ifndef PADDLESTILE_CONFIG_ENDPOINT_LIST_H_
#define PADDLESTILE_CONFIG_ENDPOINT_LIST_H_

#include <functional>
#include <vector>

#include "balancer/load_balancer.h"
#include "base/address.h"
#include "config/json.h"
#include "config/name_table.h"

namespace paddlestile {

// Turns Unix time in milliseconds into the gateway's time.
using TimeFromUnixMillis = std::function<Time(double)>;

struct EndpointListEntry {
  EndpointInfo info;
  Address address;  // unset for an endpoint that was removed
};

struct EndpointList {
  double revision = 0;    // grows with each change of the list
  bool complete = false;  // all endpoints, rather than those that changed
  std::vector<EndpointListEntry> endpoints;
};

// Parses one entry of a list. Zones and machine kinds are looked up in `names`; an unknown one gets
// the position behind the last. Throws JsonError or ConfigError where the entry is malformed.
EndpointListEntry ParseEndpointListEntry(const Json& json, const NameTables& names,
                                         const TimeFromUnixMillis& from_wall);

// Parses a list. Throws as ParseEndpointListEntry does.
EndpointList ParseEndpointList(const Json& json, const NameTables& names,
                               const TimeFromUnixMillis& from_wall);

}  // namespace paddlestile

#endif  // PADDLESTILE_CONFIG_ENDPOINT_LIST_H_
