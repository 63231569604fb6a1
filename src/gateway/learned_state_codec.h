// Encodes the learned state of the load balancer and the endpoint list in force as text (JSON) that
// the old process of a hot restart sends to the new one. Classes, machine kinds and endpoints are
// identified by name or id, and points in time are written as ages. Processes of other versions
// read the text, so its keys must not change. Does no I/O.
#ifndef PADDLESTILE_GATEWAY_LEARNED_STATE_CODEC_H_
#define PADDLESTILE_GATEWAY_LEARNED_STATE_CODEC_H_

#include <cstddef>
#include <optional>
#include <string>

#include "balancer/learned_state.h"
#include "config/gateway_config.h"
#include "gateway/endpoint_list_codec.h"

namespace paddlestile {

constexpr size_t kMaxLearnedStateBytes = 8U << 20;  // enough for some ten thousand endpoints

// If the text would be longer than kMaxLearnedStateBytes, omits what was learned of endpoints. If
// it is too long even so, returns an empty string.
std::string EncodeLearnedState(const LearnedState& learned, const EndpointList& endpoint_list,
                               const NameTables& names, Time now,
                               const UnixMillisFromTime& to_unix_millis);

// Returns nullopt if the text is malformed or of another format version. Classes and kinds that are
// not in `names` are ignored; classes and kinds that the text lacks have default values.
std::optional<LearnedState> DecodeLearnedState(const std::string& text, const NameTables& names,
                                               Time now);

// Returns the endpoint list in the text. Returns nullopt if the text is malformed, or has no list
// because an earlier version of the program wrote it.
std::optional<EndpointList> DecodeHandedOverList(const std::string& text, const NameTables& names,
                                                 const TimeFromUnixMillis& from_unix_millis);

}  // namespace paddlestile

#endif  // PADDLESTILE_GATEWAY_LEARNED_STATE_CODEC_H_
