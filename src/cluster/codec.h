// What goes between members beside the log's messages, as JSON values (CBOR on the way). Reading
// gives nothing where a value makes no sense: it comes from others.
#ifndef PADDLESTILE_CLUSTER_CODEC_H_
#define PADDLESTILE_CLUSTER_CODEC_H_

#include <nlohmann/json.hpp>
#include <optional>

#include "cluster/cluster_member.h"

namespace paddlestile::cluster {

nlohmann::json ToJson(const MemberMessage& note);
nlohmann::json ToJson(const ChangeRequest& wish);
nlohmann::json ToJson(const ChangeResult& answer);

std::optional<MemberMessage> ReadNote(const nlohmann::json& value);
std::optional<ChangeRequest> ReadWish(const nlohmann::json& value);
std::optional<ChangeResult> ReadAnswer(const nlohmann::json& value);

}  // namespace paddlestile::cluster

#endif  // PADDLESTILE_CLUSTER_CODEC_H_
