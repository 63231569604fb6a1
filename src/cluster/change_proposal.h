// How a leader turns a requested change into a log entry. No I/O.
#ifndef PADDLESTILE_CLUSTER_CHANGE_PROPOSAL_H_
#define PADDLESTILE_CLUSTER_CHANGE_PROPOSAL_H_

#include <string>
#include <vector>

#include "cluster/change_request.h"
#include "cluster/version_history.h"
#include "raft/raft_node.h"

namespace paddlestile::cluster {

struct ChangeProposal {
  std::string entry;                // to be proposed, where there are no faults
  std::vector<std::string> faults;  // why the change is refused, a line each
};

// The entry for `change` behind all that `raft_node` has in its log, applied or not. `leader_name`
// appears in faults. Where `encodes_deltas`, a change goes as a delta if that is the smaller form;
// else it goes as submitted, and submitted deltas are refused.
ChangeProposal MakeChangeProposal(const Change& change, const VersionHistory& history,
                                  const raft::RaftNode& raft_node, const std::string& leader_name,
                                  bool encodes_deltas);

}  // namespace paddlestile::cluster

#endif  // PADDLESTILE_CLUSTER_CHANGE_PROPOSAL_H_
