// What members exchange beside Raft messages, as JSON values (CBOR on the wire). Each is an array
// whose positions are the protocol and must stay. Values come from other processes: reading one
// that makes no sense gives nothing.
#ifndef PADDLESTILE_CLUSTER_CODEC_H_
#define PADDLESTILE_CLUSTER_CODEC_H_

#include <nlohmann/json.hpp>
#include <optional>

#include "cluster/change_request.h"

namespace paddlestile::cluster {

// [from, to, request or null, result or null]
nlohmann::json ToJson(const MemberMessage& message);
// [kind, voter, id, author, reason, unix_s, expected version or null, whole version or "", delta]
// The last only where the change is one.
nlohmann::json ToJson(const ChangeRequest& request);
// [kind, id, version, text]
nlohmann::json ToJson(const ChangeResult& result);

std::optional<MemberMessage> ParseMemberMessage(const nlohmann::json& value);
std::optional<ChangeRequest> ParseChangeRequest(const nlohmann::json& value);
std::optional<ChangeResult> ParseChangeResult(const nlohmann::json& value);

}  // namespace paddlestile::cluster

#endif  // PADDLESTILE_CLUSTER_CODEC_H_
