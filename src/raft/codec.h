// What goes between Raft nodes and into their logs on disk, as JSON values (CBOR on the way).
// Reading gives nothing where a value makes no sense: it comes from others. The layout is that of
// stored logs and of running peers: fields are told by their place, and neither places nor the
// numbers of enumerators may change.
#ifndef PADDLESTILE_RAFT_CODEC_H_
#define PADDLESTILE_RAFT_CODEC_H_

#include <nlohmann/json.hpp>
#include <optional>

#include "raft/raft_node.h"

namespace paddlestile::raft {

nlohmann::json ToJson(const StorageClaim& claim);
nlohmann::json ToJson(const StorageWrite& write);
nlohmann::json ToJson(const Message& message);

std::optional<StorageClaim> ReadClaim(const nlohmann::json& value);
std::optional<StorageWrite> ReadWrite(const nlohmann::json& value);
std::optional<Message> ReadMessage(const nlohmann::json& value);

}  // namespace paddlestile::raft

#endif  // PADDLESTILE_RAFT_CODEC_H_
