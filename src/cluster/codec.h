// Converts the messages that members exchange in addition to Raft messages to and from JSON values,
// which are sent as CBOR. Each is an array whose positions are part of the wire protocol and must
// not change. The values come from other processes: the parsers return std::nullopt if a value is
// malformed.
#ifndef PADDLESTILE_CLUSTER_CODEC_H_
#define PADDLESTILE_CLUSTER_CODEC_H_

#include <nlohmann/json.hpp>
#include <optional>

#include "cluster/change_request.h"

namespace paddlestile::cluster {

// [from, to, request or null, result or null]
nlohmann::json ToJson(const MemberMessage& message);
// [kind, voter, id, author, reason, unix_s, expected version or null, whole version or "", delta]
// The delta is present only if the change is one.
nlohmann::json ToJson(const ChangeRequest& request);
// [kind, id, version, text]
nlohmann::json ToJson(const ChangeResult& result);

std::optional<MemberMessage> ParseMemberMessage(const nlohmann::json& value);
std::optional<ChangeRequest> ParseChangeRequest(const nlohmann::json& value);
std::optional<ChangeResult> ParseChangeResult(const nlohmann::json& value);

}  // namespace paddlestile::cluster

#endif  // PADDLESTILE_CLUSTER_CODEC_H_
