// The records of a cluster member's log folder: an identity record (cluster, member, incarnation,
// restart count) and Raft storage writes, each in CBOR. The layout is stored data and must stay.
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

// A random, odd and thus nonzero, incarnation.
uint64_t NewIncarnation();

// The path of the file whose lock makes one process the owner of the folder.
std::string LockPathIn(const std::string& folder);

// One record of the log.
std::string EncodeLogRecord(const nlohmann::json& value);
std::string EncodeIdentityRecord(const ClusterConfig& config, const std::string& member_name,
                                 const raft::PersistentState& state);

// Applies one record to `state`. Throws ConfigError for the log of another cluster or member.
void ApplyLogRecord(const ClusterConfig& config, const std::string& member_name,
                    std::string_view record, raft::PersistentState& state);

// What the folder holds, read without a change to it. Throws what storage::WriteAheadLog::Read
// throws, and ConfigError for the log of another cluster or member.
raft::PersistentState ReadPersistentState(storage::FileSystem& files, const ClusterConfig& config,
                                          const std::string& member_name);

// Makes the folder of the cluster's first member, the only voter until the others join. Throws
// ConfigError where there is a log already or another process owns the folder.
void InitCluster(const ClusterConfig& config, const std::string& name);

}  // namespace paddlestile

#endif  // PADDLESTILE_GATEWAY_CLUSTER_STORAGE_H_
