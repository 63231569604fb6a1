// What goes between members and onto disks, as JSON values (CBOR on the way). Reading gives nothing
// where a value makes no sense: it comes from others.
#ifndef PADDLESTILE_CLUSTER_CODEC_H_
#define PADDLESTILE_CLUSTER_CODEC_H_

#include <nlohmann/json.hpp>
#include <optional>

#include "cluster/cluster_member.h"
#include "raft/raft_node.h"

namespace paddlestile::bank {

nlohmann::json ToJson(const Claim& claim);
nlohmann::json ToJson(const Write& write);
nlohmann::json ToJson(const Message& message);
nlohmann::json ToJson(const Note& note);
nlohmann::json ToJson(const Wish& wish);
nlohmann::json ToJson(const Answer& answer);

std::optional<Claim> ReadClaim(const nlohmann::json& value);
std::optional<Write> ReadWrite(const nlohmann::json& value);
std::optional<Message> ReadMessage(const nlohmann::json& value);
std::optional<Note> ReadNote(const nlohmann::json& value);
std::optional<Wish> ReadWish(const nlohmann::json& value);
std::optional<Answer> ReadAnswer(const nlohmann::json& value);

}  // namespace paddlestile::bank

#endif  // PADDLESTILE_CLUSTER_CODEC_H_
