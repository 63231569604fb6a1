// Invariants of a Raft node that hold between any two events, for tests.
#ifndef PADDLESTILE_RAFT_INVARIANTS_H_
#define PADDLESTILE_RAFT_INVARIANTS_H_

#include <optional>
#include <string>

#include "raft/raft_node.h"

namespace paddlestile::raft {

// The first invariant that `node` breaks, in words; nothing if it holds all:
//
//   indexes  last applied <= commit index <= last log index, and commit index >= snapshot's index
//   terms    never decrease along the log, and none is above the current term
//   voters   at most kMaxVoters
//   role     a candidate or pre-candidate knows no leader; a leader is known to itself
//   storage  a node whose storage was rolled back is a follower and no voting member
std::optional<std::string> FindBrokenInvariant(const RaftNode& node);

}  // namespace paddlestile::raft

#endif  // PADDLESTILE_RAFT_INVARIANTS_H_
