#include "raft/raft_node.h"

#include <algorithm>
#include <utility>

namespace paddlestile::raft {
namespace {

// A member whose replaced storage is already a voter again sends its storage claim within this
// number of heartbeat intervals.
constexpr int kReplacedStorageDelayHeartbeats = 3;

RestartGuard MakeRestartGuard(const std::string& name, const RaftTiming& timing,
                              const PersistentState& state, Time now) {
  return state.restart_count > 1 ? RestartGuard(name, now + timing.restart_guard_duration)
                                 : RestartGuard();
}

}  // namespace

RaftNode::RaftNode(std::string name, const RaftTiming& timing, PersistentState state, uint64_t seed,
                   Time now)
    : name_(std::move(name)),
      timing_(timing),
      own_storage_{state.incarnation, state.restart_count, state.current_term,
                   state.snapshot.index + state.log.size()},
      random_(seed),
      current_term_(state.current_term),
      voted_for_(std::move(state.voted_for)),
      log_(std::move(state.snapshot), state.log),
      commit_index_(
          std::max(log_.snapshot().index, std::min(state.commit_index, log_.last_index()))),
      durable_(log_.last_index()),
      leader_heard_at_(now),
      claims_due_at_(now),
      restart_guard_(MakeRestartGuard(name_, timing, state, now)) {
  ValidateTiming(timing_);
  ResetElectionTimer(now);
}

// ---- State ------------------------------------------------------------------------------------

bool RaftNode::IsVoter(const std::string& name, uint64_t incarnation) const {
  return std::ranges::find(voters(), Voter{name, incarnation}) != voters().end();
}

bool RaftNode::IsVotingMember() const {
  return !storage_rolled_back_ && IsVoter(name_, incarnation());
}

Index RaftNode::MatchIndexOf(const std::string& name) const {
  const auto found = peers_.find(name);
  return found == peers_.end() ? 0 : found->second.match_index;
}

const RaftNode::Peer* RaftNode::FindPeer(const Voter& voter) const {
  const auto found = peers_.find(voter.name);
  const bool matches = found != peers_.end() && found->second.incarnation == voter.incarnation;
  return matches ? &found->second : nullptr;
}

RaftNode::Peer* RaftNode::FindSender(const Message& message) {
  const auto found = peers_.find(message.from);
  const bool matches =
      found != peers_.end() && found->second.incarnation == message.from_incarnation;
  return matches ? &found->second : nullptr;
}

// ---- Writes and messages ----------------------------------------------------------------------

void RaftNode::WriteToStorage(RaftOutput& out, Index first_index, std::vector<LogEntry> entries,
                              std::optional<Snapshot> snapshot) {
  const uint64_t sequence_number = durable_.AddWrite(log_.last_index());
  out.writes.push_back({sequence_number, current_term_, voted_for_, first_index, std::move(entries),
                        std::move(snapshot), commit_index_, false});
}

void RaftNode::WriteSnapshotAndLog(RaftOutput& out) {
  std::vector<LogEntry> entries = log_.EntriesAfterSnapshot();
  const Index first_index = entries.empty() ? 0 : log_.first_index();
  WriteToStorage(out, first_index, std::move(entries), log_.snapshot());
}

void RaftNode::SendMessage(RaftOutput& out, Message message, const std::string& to,
                           uint64_t after_sequence_number) {
  const bool is_pre_vote_request =
      message.is_pre_vote && message.type == Message::Type::kRequestVote;
  message.from = name_;
  message.from_incarnation = incarnation();
  message.to = to;
  message.term = is_pre_vote_request ? current_term_ + 1 : current_term_;
  // A claim must be durable by the time it is sent.
  StorageClaim claim{incarnation(), own_storage_.restart_count, current_term_, acknowledged_index_};
  if (role_ == Role::kLeader) {
    claim.match_index = std::max(acknowledged_index_, durable_.last_index());
    message.own_claim = claim;
  } else if (after_sequence_number == durable_.last_sequence_number()) {
    message.own_claim = claim;
  }
  message.claim_of_receiver = known_claims_.Of(to);
  out.messages.push_back({std::move(message), after_sequence_number});
}

void RaftNode::SendWhenDurable(RaftOutput& out, Message message, const std::string& to) {
  SendMessage(out, std::move(message), to, durable_.last_sequence_number());
}

// The leader gets this member's claims with its replies. They are also sent to the other voters:
// otherwise, while the leader is unreachable, possibly no member could detect a rollback.
void RaftNode::SendStorageClaims(Time now, RaftOutput& out) {
  if (now < claims_due_at_) {
    return;
  }
  claims_due_at_ = now + timing_.heartbeat_interval;
  for (const Voter& voter : voters()) {
    const auto found = peers_.find(voter.name);
    if (voter.name == leader_ || found == peers_.end() || !found->second.connected) {
      continue;
    }
    SendStorageClaim(voter.name, out);
  }
}

void RaftNode::SendStorageClaim(const std::string& to, RaftOutput& out) {
  Message message;
  message.type = Message::Type::kStorageClaim;
  message.index = log_.last_index();
  message.index_term = log_.last_term();
  SendWhenDurable(out, std::move(message), to);
}

// ---- Events -----------------------------------------------------------------------------------

void RaftNode::OnPeerConnected(Time now, const std::string& name, uint64_t incarnation,
                               const StorageClaim& claim_of_this, RaftOutput& out) {
  if (!CheckOwnClaim(claim_of_this, out)) {
    return;
  }
  Peer& peer = peers_[name];
  // The state of an earlier incarnation or connection is void, except for a lease that may still
  // be valid.
  const Time lease_ends_at = peer.lease_ends_at;
  peer = {};
  peer.incarnation = incarnation;
  peer.connected = true;
  peer.next_index = log_.last_index() + 1;
  peer.lease_ends_at = lease_ends_at;
  if (!IsVoter(name, incarnation)) {
    restart_guard_.OnStorageReplaced(
        name, now + kReplacedStorageDelayHeartbeats * timing_.heartbeat_interval);
  }
  if (role_ == Role::kLeader) {
    SendAppendEntries(now, name, peer, out);
  }
}

void RaftNode::OnPeerDisconnected(const std::string& name) {
  const auto found = peers_.find(name);
  if (found == peers_.end()) {
    return;
  }
  Peer& peer = found->second;
  peer.connected = false;
  peer.append_in_flight = false;
  peer.lease_asked_at = Time(-1);
}

bool RaftNode::CheckOwnClaim(const StorageClaim& claim, RaftOutput& out) {
  if (storage_rolled_back_) {
    return false;
  }
  if (!IsRolledBack(own_storage_, current_term_, claim)) {
    return true;
  }
  storage_rolled_back_ = true;
  out.storage_rolled_back = true;
  StepDown();
  return false;
}

void RaftNode::UpdateRestartGuard(Time now, const Message& message) {
  LogPosition log_end{message.index_term, message.index};
  Term current_term = message.term;
  switch (message.type) {
    case Message::Type::kRequestVote:
      current_term -= message.is_pre_vote ? 1 : 0;
      break;
    case Message::Type::kAppendEntries:
      if (!message.entries.empty()) {
        log_end = {message.entries.back().term, message.index + message.entries.size()};
      }
      break;
    case Message::Type::kStorageClaim:
      break;
    default:
      return;  // reveals nothing about the sender's log
  }
  restart_guard_.OnHeardFrom(now, message.from, log_end, current_term, voters());
}

void RaftNode::OnMessage(Time now, const Message& message, RaftOutput& out) {
  if (message.to != name_) {
    return;
  }
  known_claims_.Remember(message.from, message.own_claim);
  if (!CheckOwnClaim(message.claim_of_receiver, out)) {
    return;
  }
  UpdateRestartGuard(now, message);
  switch (message.type) {
    case Message::Type::kRequestVote:
      return OnRequestVote(now, message, out);
    case Message::Type::kRequestVoteReply:
      return OnRequestVoteReply(now, message, out);
    case Message::Type::kAppendEntries:
      return OnAppendEntries(now, message, out);
    case Message::Type::kAppendEntriesReply:
      return OnAppendEntriesReply(now, message, out);
    case Message::Type::kInstallSnapshot:
      return OnInstallSnapshot(now, message, out);
    case Message::Type::kStorageClaim:
      return OnStorageClaim(message, out);
  }
}

// OnMessage() has already processed the claims. A member that is not a voter according to its own
// log sends no claims unprompted. It may nevertheless be a voter whose log was rolled back, and the
// sender may be waiting for its claim, so it replies with one.
void RaftNode::OnStorageClaim(const Message& message, RaftOutput& out) {
  if (!IsVotingMember()) {
    SendStorageClaim(message.from, out);
  }
}

void RaftNode::OnDurable(Time now, uint64_t sequence_number, RaftOutput& out) {
  durable_.OnDurable(sequence_number, log_.last_index());
  if (role_ == Role::kCandidate && sequence_number >= vote_sequence_number_ && !own_vote_granted_) {
    own_vote_granted_ = true;
    CountVotes(now, out);
  }
  if (role_ == Role::kLeader) {
    AdvanceCommitIndex(now, out);
  }
}

void RaftNode::OnTimeout(Time now, RaftOutput& out) {
  if (storage_rolled_back_) {
    return;
  }
  if (HasEntriesToApply()) {
    ApplyCommittedEntries(out);
    NotifyApplied(out);
  }
  if (role_ == Role::kLeader) {
    return OnLeaderTimeout(now, out);
  }
  if (!IsVotingMember()) {
    return;
  }
  SendStorageClaims(now, out);
  if (now < election_timer_due_at_) {
    return;
  }
  // Also forgotten by a member that may not campaign, so that it does not report a lost leader.
  leader_.clear();
  // The new term must be greater than all terms heard of.
  const Term next_term = std::max(current_term_, restart_guard_.greatest_term_heard()) + 1;
  if (may_campaign_ && restart_guard_.MayVote(now, next_term, LogEnd(), voters())) {
    return StartNewElection(now, true, out);
  }
  ResetElectionTimer(now);
}

void RaftNode::OnLeaderTimeout(Time now, RaftOutput& out) {
  if (now >= election_timer_due_at_) {
    const Duration since_quorum_contact = now - QuorumAcknowledgedSentAt(now);
    if (since_quorum_contact >= timing_.election_timeout) {
      return BecomeFollower(now, current_term_, "", out);
    }
    election_timer_due_at_ = now + timing_.heartbeat_interval;
  }
  for (auto& [name, peer] : peers_) {
    const Duration interval = HeartbeatInterval(timing_, IsVoter(name, peer.incarnation));
    if (now - peer.last_append_sent_at >= interval) {
      SendAppendEntries(now, name, peer, out);
    }
  }
}

Time RaftNode::NextTimeout() const {
  if (HasEntriesToApply()) {
    return Time(0);
  }
  if (role_ == Role::kLeader) {
    return NextLeaderTimeout();
  }
  return IsVotingMember() ? std::min(election_timer_due_at_, claims_due_at_) : Time::max();
}

Time RaftNode::NextLeaderTimeout() const {
  Time due = election_timer_due_at_;
  for (const auto& [name, peer] : peers_) {
    if (peer.connected) {
      const Duration interval = HeartbeatInterval(timing_, IsVoter(name, peer.incarnation));
      due = std::min(due, peer.last_append_sent_at + interval);
    }
  }
  return due;
}

}  // namespace paddlestile::raft
