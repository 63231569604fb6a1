// Checks the invariants of a Raft node that hold between any two events. Used by tests.
#ifndef PADDLESTILE_RAFT_INVARIANTS_H_
#define PADDLESTILE_RAFT_INVARIANTS_H_

#include <optional>
#include <string>

#include "raft/raft_node.h"

namespace paddlestile::raft {

// Returns a description of the first invariant that `node` violates, or std::nullopt if it
// satisfies all of them:
//
//   indexes  last applied <= commit index <= last log index, and commit index >= snapshot's index
//   terms    never decrease along the log, and none is above the current term
//   voters   at most kMaxVoters
//   role     a candidate or pre-candidate has no known leader; a leader has one, itself
//   storage  a node whose storage was rolled back is a follower and not a voting member
std::optional<std::string> FindInvariantViolation(const RaftNode& node);

}  // namespace paddlestile::raft

#endif  // PADDLESTILE_RAFT_INVARIANTS_H_
