// The records in a cluster member's log: an identity record (cluster, member, incarnation, restart
// count) and Raft storage writes, each encoded as CBOR. The encoding is stored data and must stay
// compatible.
#ifndef PADDLESTILE_GATEWAY_CLUSTER_STORAGE_H_
#define PADDLESTILE_GATEWAY_CLUSTER_STORAGE_H_

#include <cstdint>
#include <nlohmann/json.hpp>
#include <string>
#include <string_view>

#include "config/operator_config.h"
#include "raft/raft_node.h"
#include "storage/files.h"

namespace paddlestile {

// Returns a random incarnation, which is odd and therefore not zero.
uint64_t NewIncarnation();

// Returns the path of the lock file. The process that holds the lock owns the folder.
std::string LockPathIn(const std::string& folder);

// These return one encoded record of the log.
std::string EncodeLogRecord(const nlohmann::json& value);
std::string EncodeIdentityRecord(const ClusterConfig& config, const std::string& member_name,
                                 const raft::PersistentState& state);

// Applies one record to `state`. Throws ConfigError if the record belongs to another cluster or
// member.
void ApplyLogRecord(const ClusterConfig& config, const std::string& member_name,
                    std::string_view record, raft::PersistentState& state);

// Reads the log in the folder without changing it. Throws what storage::WriteAheadLog::Read throws,
// and ConfigError if the log belongs to another cluster or member.
raft::PersistentState ReadPersistentState(storage::FileSystem& files, const ClusterConfig& config,
                                          const std::string& member_name);

// Creates the folder and the log of the cluster's first member, which is the only voter until the
// others join. Throws ConfigError if there is a log already or another process owns the folder.
void InitCluster(const ClusterConfig& config, const std::string& name);

}  // namespace paddlestile

#endif  // PADDLESTILE_GATEWAY_CLUSTER_STORAGE_H_
