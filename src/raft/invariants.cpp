#include "raft/invariants.h"

namespace paddlestile::raft {
namespace {

std::optional<std::string> FindIndexViolation(const RaftNode& node) {
  if (node.last_applied() > node.commit_index()) {
    return "last applied index is above the commit index";
  }
  if (node.commit_index() > node.last_log_index()) {
    return "commit index is above the last log index";
  }
  if (node.commit_index() + 1 < node.first_log_index()) {
    return "commit index is below the snapshot's index";
  }
  return std::nullopt;
}

std::optional<std::string> FindTermViolation(const RaftNode& node) {
  Term previous_term = 0;
  for (Index index = node.first_log_index(); index <= node.last_log_index(); ++index) {
    const Term term = node.EntryAt(index).term;
    if (term < previous_term) {
      return "term is below that of the previous entry, at index " + std::to_string(index);
    }
    if (term > node.current_term()) {
      return "term is above the current term, at index " + std::to_string(index);
    }
    previous_term = term;
  }
  return std::nullopt;
}

std::optional<std::string> FindRoleViolation(const RaftNode& node) {
  const bool is_campaigning = node.role() == Role::kPreCandidate || node.role() == Role::kCandidate;
  if (is_campaigning && !node.leader().empty()) {
    return "candidate has a known leader";
  }
  if (node.role() == Role::kLeader && node.leader().empty()) {
    return "leader has no known leader";
  }
  if (node.storage_rolled_back() && (node.role() != Role::kFollower || node.IsVotingMember())) {
    return "node participates although its storage was rolled back";
  }
  return std::nullopt;
}

}  // namespace

std::optional<std::string> FindInvariantViolation(const RaftNode& node) {
  if (node.voters().size() > kMaxVoters) {
    return "too many voters";
  }
  if (auto violation = FindIndexViolation(node)) {
    return violation;
  }
  if (auto violation = FindTermViolation(node)) {
    return violation;
  }
  return FindRoleViolation(node);
}

}  // namespace paddlestile::raft
