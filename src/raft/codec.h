// Converts Raft messages and storage writes to and from JSON values, which are sent and stored as
// CBOR. No I/O.
//
// The layout is positional: each struct is an array of its fields in the order of the encoder.
// Stored logs and running peers use this layout, so neither the positions nor the numeric values
// of enumerators may change.
#ifndef PADDLESTILE_RAFT_CODEC_H_
#define PADDLESTILE_RAFT_CODEC_H_

#include <nlohmann/json.hpp>
#include <optional>

#include "raft/messages.h"
#include "raft/persistent_state.h"
#include "raft/raft_node.h"
#include "raft/storage_claim.h"

namespace paddlestile::raft {

nlohmann::json ToJson(const StorageClaim& claim);
// Omits the sequence number, which is meaningful only within one process.
nlohmann::json ToJson(const StorageWrite& write);
nlohmann::json ToJson(const Message& message);

// Decoders for values from other processes. They return std::nullopt if the value is malformed.
std::optional<StorageClaim> ParseStorageClaim(const nlohmann::json& value);
std::optional<StorageWrite> ParseStorageWrite(const nlohmann::json& value);
std::optional<Message> ParseMessage(const nlohmann::json& value);

}  // namespace paddlestile::raft

#endif  // PADDLESTILE_RAFT_CODEC_H_
