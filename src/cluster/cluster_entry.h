// The entries that a cluster's members put into the Raft log, and their encoding in CBOR. The
// layout is stored and on the wire and must stay; its keys are mapped here alone. No I/O.
#ifndef PADDLESTILE_CLUSTER_CLUSTER_ENTRY_H_
#define PADDLESTILE_CLUSTER_CLUSTER_ENTRY_H_

#include <cstdint>
#include <optional>
#include <string>

#include "cluster/change_request.h"

namespace paddlestile::cluster {

// What the leader that proposed a delta made of it. A member that makes something else of it has
// other content than the cluster.
struct DeltaResult {
  uint64_t base_version = 0;  // that the delta was applied to
  std::string hash;           // of the version that it makes; empty: not stated
};

struct ClusterEntry {
  enum class Kind : uint8_t {
    kOther,    // of no kind that this program knows; changes nothing
    kChange,   // a version or a delta, to be the next version unless it is refused
    kInForce,  // a version comes into force
    kFormed    // all initial voters have joined
  };
  Kind kind = Kind::kOther;

  Change change;                         // kChange
  std::optional<uint64_t> base_version;  // kChange, of a delta: DeltaResult::base_version
  uint64_t version = 0;                  // kInForce
  std::string hash;  // kChange, kInForce: of the version, as the leader has it; empty: not stated
};

// `result` is encoded for deltas alone.
std::string EncodeChangeEntry(const Change& change, const DeltaResult& result = {});
// `hash`: of that version; empty: not stated.
std::string EncodeInForceEntry(uint64_t version, const std::string& hash = "");
std::string EncodeFormedEntry();

// Fields that are missing have their defaults. Throws nlohmann::json::exception for one of a wrong
// type.
ClusterEntry DecodeClusterEntry(const std::string& bytes);

}  // namespace paddlestile::cluster

#endif  // PADDLESTILE_CLUSTER_CLUSTER_ENTRY_H_
