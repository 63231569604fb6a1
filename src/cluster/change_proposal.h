// Turns a requested change into the log entry that a leader proposes. No I/O.
#ifndef PADDLESTILE_CLUSTER_CHANGE_PROPOSAL_H_
#define PADDLESTILE_CLUSTER_CHANGE_PROPOSAL_H_

#include <string>
#include <vector>

#include "cluster/change_request.h"
#include "cluster/version_history.h"
#include "raft/raft_node.h"

namespace paddlestile::cluster {

struct ChangeProposal {
  std::string entry;                // to be proposed; empty if there are errors
  std::vector<std::string> errors;  // why the change is refused, one line each
};

// Returns the entry for `change`, to be appended to the log of `raft_node` after all its entries,
// applied or not. `leader_name` appears in error messages. If `encodes_deltas` is true, the entry
// contains a delta if that is the smaller form; otherwise it contains the change as submitted, and
// submitted deltas are refused.
ChangeProposal MakeChangeProposal(const Change& change, const VersionHistory& history,
                                  const raft::RaftNode& raft_node, const std::string& leader_name,
                                  bool encodes_deltas);

}  // namespace paddlestile::cluster

#endif  // PADDLESTILE_CLUSTER_CHANGE_PROPOSAL_H_
