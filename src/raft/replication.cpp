// Log replication of the Raft node: the leader's and the follower's side of AppendEntries and
// InstallSnapshot, the commit index, and the application of committed entries.
#include <algorithm>
#include <utility>

#include "raft/quorum.h"
#include "raft/raft_node.h"

namespace paddlestile::raft {

// ---- Leader -----------------------------------------------------------------------------------

Index RaftNode::AppendToOwnLog(Time now, LogEntry entry, RaftOutput& out) {
  log_.Append(entry);
  WriteToStorage(out, log_.last_index(), {std::move(entry)});
  SendAppendEntriesToAll(now, out);
  return log_.last_index();
}

std::optional<Index> RaftNode::Propose(Time now, std::string bytes, RaftOutput& out) {
  if (!IsLeaderWithLease(now)) {
    return std::nullopt;
  }
  return AppendToOwnLog(now, {current_term_, LogEntry::Kind::kData, std::move(bytes), {}}, out);
}

std::optional<Index> RaftNode::ProposeVoters(Time now, std::vector<Voter> voters, RaftOutput& out) {
  // Without a committed entry of this term, or with two concurrent changes, two leaders could each
  // have a majority of different voter configurations.
  if (!IsLeaderWithLease(now) || log_.TermAt(commit_index_) != current_term_ ||
      log_.voters_index() > commit_index_ || voters.empty()) {
    return std::nullopt;
  }
  return AppendToOwnLog(now, {current_term_, LogEntry::Kind::kVoters, {}, std::move(voters)}, out);
}

void RaftNode::SendAppendEntriesToAll(Time now, RaftOutput& out) {
  for (auto& [name, peer] : peers_) {
    if (!peer.append_in_flight) {
      SendAppendEntries(now, name, peer, out);
    }
  }
}

void RaftNode::SendAppendEntries(Time now, const std::string& name, Peer& peer, RaftOutput& out) {
  if (!peer.connected) {
    return;
  }
  Message request;
  request.sent_at = now;
  request.commit_index = commit_index_;
  if (MayGrantLease(now, peer)) {
    request.asked_at = peer.lease_asked_at;
    peer.lease_ends_at =
        std::max(peer.lease_ends_at, peer.lease_asked_received_at + timing_.lease_duration);
  }
  peer.last_append_sent_at = now;
  peer.notified_commit_index = commit_index_;
  if (peer.next_index <= log_.snapshot().index) {
    request.type = Message::Type::kInstallSnapshot;
    request.snapshot = log_.snapshot();
    peer.append_in_flight = true;
  } else {
    AddEntries(peer, request);
    peer.append_in_flight = !request.entries.empty();
  }
  // The leader may send entries before it has written them: it counts itself towards the majority
  // only once they are durable.
  SendMessage(out, std::move(request), name, 0);
}

void RaftNode::AddEntries(const Peer& peer, Message& request) const {
  request.index = peer.next_index - 1;
  request.index_term = log_.TermAt(request.index);
  size_t bytes = 0;
  for (Index index = peer.next_index; index <= log_.last_index(); ++index) {
    const LogEntry& entry = log_.EntryAt(index);
    bytes += SizeInBytes(entry);
    if (!request.entries.empty() && bytes > timing_.max_append_bytes) {
      break;
    }
    request.entries.push_back(entry);
  }
}

void RaftNode::OnAppendEntriesReply(Time now, const Message& reply, RaftOutput& out) {
  if (reply.term > current_term_) {
    return BecomeFollower(now, reply.term, "", out);
  }
  Peer* const peer = FindSender(reply);
  if (role_ != Role::kLeader || reply.term != current_term_ || peer == nullptr ||
      !peer->connected) {
    return;
  }
  peer->acknowledged_sent_at = std::max(peer->acknowledged_sent_at, reply.sent_at);
  if (reply.asked_at >= Time(0)) {
    peer->lease_asked_at = reply.asked_at;
    peer->lease_asked_received_at = now;
  }
  peer->last_applied = std::max(peer->last_applied, reply.commit_index);
  peer->append_in_flight = false;
  if (reply.granted) {
    peer->match_index = std::max(peer->match_index, reply.index);
    peer->next_index = std::max(peer->next_index, peer->match_index + 1);
    AdvanceCommitIndex(now, out);
  } else {
    const Index hinted_next_index = std::min(reply.index, log_.last_index()) + 1;
    peer->next_index = std::max(peer->match_index + 1, hinted_next_index);
  }
  if (peer->next_index <= log_.last_index() || peer->notified_commit_index < commit_index_) {
    SendAppendEntries(now, reply.from, *peer, out);
  }
}

void RaftNode::AdvanceCommitIndex(Time now, RaftOutput& out) {
  const auto majority_index = QuorumValue<Index>(voters(), 0, [&](const Voter& voter) -> Index {
    if (IsSelf(voter)) {
      return voter.incarnation == incarnation() ? durable_.last_index() : 0;
    }
    const Peer* const peer = FindPeer(voter);
    return peer != nullptr ? peer->match_index : 0;
  });
  // Entries of earlier terms are committed only indirectly, by a later entry of the current term
  // (section 5.4.2 of the Raft paper).
  if (majority_index <= commit_index_ || log_.TermAt(majority_index) != current_term_) {
    return;
  }
  commit_index_ = majority_index;
  ApplyCommittedEntries(out);
  SendAppendEntriesToAll(now, out);
  const bool configuration_committed = log_.voters_index() <= commit_index_;
  if (configuration_committed && !IsVotingMember()) {
    BecomeFollower(now, current_term_, "", out);
  }
}

// ---- Follower ---------------------------------------------------------------------------------

bool RaftNode::AcceptLeader(Time now, const Message& request, Message& reply, RaftOutput& out) {
  reply.type = Message::Type::kAppendEntriesReply;
  reply.sent_at = request.sent_at;
  if (request.term < current_term_) {
    SendWhenDurable(out, reply, request.from);
    return false;
  }
  BecomeFollower(now, request.term, request.from, out);
  if (request.asked_at >= Time(0)) {
    lease_until_ = std::max(lease_until_, request.asked_at + LeaseHolderDuration(timing_));
  }
  reply.asked_at = now;
  return true;
}

void RaftNode::Acknowledge(Message& reply, Index index) {
  reply.granted = true;
  reply.index = index;
  acknowledged_index_ = std::max(acknowledged_index_, index);
}

void RaftNode::ReplyToLeader(Message reply, const std::string& to, RaftOutput& out) {
  reply.commit_index = last_applied_;
  SendWhenDurable(out, std::move(reply), to);
}

void RaftNode::OnAppendEntries(Time now, const Message& request, RaftOutput& out) {
  Message reply;
  if (!AcceptLeader(now, request, reply, out)) {
    return;
  }
  const Index snapshot_index = log_.snapshot().index;
  Index previous = request.index;  // of the entry before the first unknown one
  size_t known_count = 0;          // number of entries of the request that the log already contains
  // Entries covered by the snapshot are committed and therefore equal to the leader's.
  if (previous < snapshot_index) {
    known_count = std::min<size_t>(snapshot_index - previous, request.entries.size());
    previous += known_count;
  }
  if (previous < snapshot_index) {
    reply.granted = true;
    reply.index = snapshot_index;
    return ReplyToLeader(std::move(reply), request.from, out);
  }
  const bool has_previous = previous <= log_.last_index() &&
                            (known_count > 0 || log_.TermAt(previous) == request.index_term);
  if (!has_previous) {
    reply.index = LastPossibleMatch(previous);
    return ReplyToLeader(std::move(reply), request.from, out);
  }
  while (known_count < request.entries.size() && previous < log_.last_index() &&
         log_.TermAt(previous + 1) == request.entries[known_count].term) {
    ++previous;
    ++known_count;
  }
  if (known_count < request.entries.size()) {
    StoreEntries(request, known_count, previous, out);
  }
  Acknowledge(reply, request.index + request.entries.size());
  commit_index_ = std::max(commit_index_, std::min(request.commit_index, reply.index));
  ApplyCommittedEntries(out);
  ReplyToLeader(std::move(reply), request.from, out);
}

Index RaftNode::LastPossibleMatch(Index previous) const {
  const Term term = log_.TermAt(previous);
  Index next = std::min(previous, log_.last_index() + 1);
  while (next > commit_index_ + 1 && next <= log_.last_index() && log_.TermAt(next - 1) == term) {
    --next;
  }
  return std::max<Index>(next, 1) - 1;
}

void RaftNode::StoreEntries(const Message& request, size_t known_count, Index previous,
                            RaftOutput& out) {
  std::vector<LogEntry> entries(request.entries.begin() + static_cast<long>(known_count),
                                request.entries.end());
  log_.TruncateFrom(previous + 1);
  for (const LogEntry& entry : entries) {
    log_.Append(entry);
  }
  durable_.LimitTo(previous);
  WriteToStorage(out, previous + 1, std::move(entries));
}

void RaftNode::OnInstallSnapshot(Time now, const Message& request, RaftOutput& out) {
  Message reply;
  if (!AcceptLeader(now, request, reply, out)) {
    return;
  }
  const Index index = request.snapshot.index;
  if (index > commit_index_) {
    log_.InstallSnapshot(request.snapshot);
    commit_index_ = index;
    last_applied_ = index;
    durable_.LimitTo(index);
    WriteSnapshotAndLog(out);
    out.applied.push_back({index, {}, log_.snapshot()});
  }
  Acknowledge(reply, std::min(index, log_.last_index()));
  ReplyToLeader(std::move(reply), request.from, out);
}

// ---- Applying ---------------------------------------------------------------------------------

void RaftNode::ApplyCommittedEntries(RaftOutput& out) {
  if (last_applied_ < log_.snapshot().index) {
    last_applied_ = log_.snapshot().index;
    out.applied.push_back({last_applied_, {}, log_.snapshot()});
  }
  if (!HasEntriesToApply()) {
    return;
  }
  size_t work_bytes = 0;
  size_t apply_cost_bytes = apply_cost_bytes_;
  while (HasEntriesToApply()) {
    const LogEntry& entry = log_.EntryAt(last_applied_ + 1);
    if (entry.kind == LogEntry::Kind::kData) {
      // Entries applied after a large one in the same event are counted as equally expensive.
      apply_cost_bytes = std::max(apply_cost_bytes, entry.bytes.size());
      const size_t cost_bytes = apply_cost_bytes + SizeInBytes(entry);
      if (work_bytes > 0 && work_bytes + cost_bytes > timing_.max_apply_bytes) {
        break;
      }
      work_bytes += cost_bytes;
    }
    out.applied.push_back({++last_applied_, entry, std::nullopt});
  }
  StorageWrite write;
  write.sequence_number = durable_.last_sequence_number();
  write.current_term = current_term_;
  write.voted_for = voted_for_;
  write.commit_index = commit_index_;
  write.commit_only = true;
  out.writes.push_back(std::move(write));
}

// If applying takes more than one event, the leader would otherwise learn of the completion only
// with the reply to its next heartbeat, and it may be waiting for it.
void RaftNode::NotifyApplied(RaftOutput& out) {
  if (HasEntriesToApply() || role_ != Role::kFollower || leader_.empty()) {
    return;
  }
  Message reply;
  reply.type = Message::Type::kAppendEntriesReply;
  reply.granted = true;
  reply.index = acknowledged_index_;
  reply.sent_at = Time(-1);
  ReplyToLeader(std::move(reply), leader_, out);
}

void RaftNode::TakeSnapshot(Index index, std::string bytes, RaftOutput& out) {
  if (index <= log_.snapshot().index || index > last_applied_) {
    return;
  }
  log_.CompactTo(index, std::move(bytes));
  WriteSnapshotAndLog(out);
}

}  // namespace paddlestile::raft
