// The entries that cluster members append to the Raft log, and their encoding in CBOR. The layout
// is stored and sent and must not change; its keys, which differ from the names used in the code,
// appear only in this codec. No I/O.
#ifndef PADDLESTILE_CLUSTER_CLUSTER_ENTRY_H_
#define PADDLESTILE_CLUSTER_CLUSTER_ENTRY_H_

#include <cstdint>
#include <optional>
#include <string>

#include "cluster/change_request.h"

namespace paddlestile::cluster {

// The result of applying a delta on the leader that proposed it. A member with a different result
// has content that differs from the cluster's.
struct DeltaResult {
  uint64_t base_version = 0;  // the version that the delta was applied to
  std::string hash;           // of the resulting version; empty: not stated
};

struct ClusterEntry {
  enum class Kind : uint8_t {
    kUnknown,  // a kind that this build does not support; has no effect
    kChange,   // a whole version or a delta; creates the next version unless it is refused
    kInForce,  // a version comes into force
    kFormed    // all initial voters have joined
  };
  Kind kind = Kind::kUnknown;

  Change change;                         // kChange
  std::optional<uint64_t> base_version;  // kChange with a delta: DeltaResult::base_version
  uint64_t version = 0;                  // kInForce
  std::string hash;  // kChange, kInForce: hash of the version on the leader; empty: not stated
};

// `result` is encoded only for deltas.
std::string EncodeChangeEntry(const Change& change, const DeltaResult& result = {});
// `hash` is the hash of that version; empty: not stated.
std::string EncodeInForceEntry(uint64_t version, const std::string& hash = "");
std::string EncodeFormedEntry();

// Missing fields get their default values. Throws nlohmann::json::exception if a field has the
// wrong type.
ClusterEntry DecodeClusterEntry(const std::string& bytes);

}  // namespace paddlestile::cluster

#endif  // PADDLESTILE_CLUSTER_CLUSTER_ENTRY_H_
