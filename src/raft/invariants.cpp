#include "raft/invariants.h"

namespace paddlestile::raft {
namespace {

std::optional<std::string> FindBrokenIndex(const RaftNode& node) {
  if (node.last_applied() > node.commit_index()) {
    return "last applied above the commit index";
  }
  if (node.commit_index() > node.last_log_index()) {
    return "commit index above the last log index";
  }
  if (node.commit_index() + 1 < node.first_log_index()) {
    return "commit index below the snapshot's";
  }
  return std::nullopt;
}

std::optional<std::string> FindBrokenTerm(const RaftNode& node) {
  Term earlier = 0;
  for (Index index = node.first_log_index(); index <= node.last_log_index(); ++index) {
    const Term term = node.EntryAt(index).term;
    if (term < earlier) {
      return "a term below that of the entry before it, at " + std::to_string(index);
    }
    if (term > node.current_term()) {
      return "a term above the current one, at " + std::to_string(index);
    }
    earlier = term;
  }
  return std::nullopt;
}

std::optional<std::string> FindBrokenRole(const RaftNode& node) {
  const bool campaigns = node.role() == Role::kPreCandidate || node.role() == Role::kCandidate;
  if (campaigns && !node.leader().empty()) {
    return "a candidate that knows a leader";
  }
  if (node.role() == Role::kLeader && node.leader().empty()) {
    return "a leader that does not know itself";
  }
  if (node.storage_rolled_back() && (node.role() != Role::kFollower || node.IsVotingMember())) {
    return "a node that takes part although its storage was rolled back";
  }
  return std::nullopt;
}

}  // namespace

std::optional<std::string> FindBrokenInvariant(const RaftNode& node) {
  if (node.voters().size() > kMaxVoters) {
    return "too many voters";
  }
  if (auto broken = FindBrokenIndex(node)) {
    return broken;
  }
  if (auto broken = FindBrokenTerm(node)) {
    return broken;
  }
  return FindBrokenRole(node);
}

}  // namespace paddlestile::raft
