// Encodes the endpoint list in force in discovery's JSON format, as a part of the learned state
// that the old process of a hot restart sends to the new one. Does no I/O.
#ifndef PADDLESTILE_GATEWAY_ENDPOINT_LIST_CODEC_H_
#define PADDLESTILE_GATEWAY_ENDPOINT_LIST_CODEC_H_

#include <functional>
#include <nlohmann/json_fwd.hpp>
#include <optional>

#include "base/time.h"
#include "config/endpoint_list.h"
#include "config/name_table.h"

namespace paddlestile {

// Converts the gateway's time to Unix time in milliseconds.
using UnixMillisFromTime = std::function<double(Time)>;

// Zones and machine kinds are written by name, as the positions of the new process may differ.
nlohmann::json EncodeEndpointList(const EndpointList& list, const NameTables& names,
                                  const UnixMillisFromTime& to_unix_millis);

// Returns nullopt if `list` is not a valid list.
std::optional<EndpointList> DecodeEndpointList(const nlohmann::json& list, const NameTables& names,
                                               const TimeFromUnixMillis& from_unix_millis);

}  // namespace paddlestile

#endif  // PADDLESTILE_GATEWAY_ENDPOINT_LIST_CODEC_H_
