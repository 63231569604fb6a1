// Leases of the Raft node: the leader lease, during which no other leader can be elected, and the
// leases that the leader grants to members with AppendEntries, during which they may act on their
// applied state.
#include <algorithm>

#include "raft/quorum.h"
#include "raft/raft_node.h"

namespace paddlestile::raft {

Time RaftNode::QuorumAcknowledgedSentAt(Time now) const {
  const Time none(-1);
  return QuorumValue<Time>(voters(), none, [&](const Voter& voter) {
    if (IsSelf(voter)) {
      return voter.incarnation == incarnation() ? now : none;
    }
    const Peer* const peer = FindPeer(voter);
    return peer != nullptr ? peer->acknowledged_sent_at : none;
  });
}

Time RaftNode::LeaderLeaseUntil(Time now) const {
  if (role_ != Role::kLeader || storage_rolled_back_) {
    return Time(-1);
  }
  const Time sent_at = QuorumAcknowledgedSentAt(now);
  return sent_at < Time(0) ? sent_at : sent_at + LeaderLeaseDuration(timing_);
}

// Required for leases: a new leader does not know at first which entries of earlier terms are
// committed. It could otherwise act, and let others act, on state that such an entry has replaced.
bool RaftNode::HasAppliedAllOfEarlierTerms() const {
  return !HasEntriesToApply() && log_.TermAt(commit_index_) == current_term_;
}

Time RaftNode::LeaseUntil(Time now) const {
  if (storage_rolled_back_) {
    return Time(-1);
  }
  const Time leader_lease_until = LeaderLeaseUntil(now);
  if (leader_lease_until < Time(0) || !HasAppliedAllOfEarlierTerms()) {
    return lease_until_;
  }
  // Ends no later than the next leader waits for; see AllLeaseHoldersApplied().
  return std::max(lease_until_, std::min(leader_lease_until, QuorumAcknowledgedSentAt(now) +
                                                                 LeaseHolderDuration(timing_)));
}

bool RaftNode::MayGrantLease(Time now, const Peer& peer) const {
  return peer.lease_asked_at >= Time(0) && peer.last_applied >= required_for_lease_ &&
         HasAppliedAllOfEarlierTerms() && IsLeaderWithLease(now);
}

bool RaftNode::AllLeaseHoldersApplied(Time now, Index index) const {
  // Leases granted by an earlier leader may still be valid.
  if (!IsLeaderWithLease(now) || last_applied_ < index ||
      now < leader_since_ + LeaseWaitDuration(timing_)) {
    return false;
  }
  return std::ranges::all_of(peers_, [&](const auto& item) {
    const Peer& peer = item.second;
    return peer.lease_ends_at <= now || peer.last_applied >= index;
  });
}

}  // namespace paddlestile::raft
