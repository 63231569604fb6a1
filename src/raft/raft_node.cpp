#include "raft/raft_node.h"

#include <algorithm>
#include <stdexcept>
#include <tuple>

namespace paddlestile::raft {
namespace {

constexpr size_t kEntryBytes = 32;  // of an entry beside its own bytes

size_t SizeOf(const LogEntry& e) {
  return kEntryBytes + e.bytes.size() + 32 * e.voters.size();
}

}  // namespace

void ApplyStorageWrite(PersistentState& disk, const StorageWrite& write) {
  disk.commit_index = std::max(disk.commit_index, write.commit_index);
  if (write.commit_only) {
    return;
  }
  disk.current_term = write.current_term;
  disk.voted_for = write.voted_for;
  if (write.snapshot) {
    disk.snapshot = *write.snapshot;
    disk.log.clear();
  }
  if (write.first_index == 0) {
    return;
  }
  disk.log.resize(std::min<size_t>(disk.log.size(), write.first_index - disk.snapshot.index - 1));
  disk.log.insert(disk.log.end(), write.entries.begin(), write.entries.end());
}

RaftNode::RaftNode(std::string name, const RaftTiming& timing, PersistentState disk, uint64_t seed,
                   Time now)
    : name_(std::move(name)),
      timing_(timing),
      incarnation_(disk.incarnation),
      restart_count_(disk.restart_count),
      random_(seed),
      current_term_(disk.current_term),
      voted_for_(std::move(disk.voted_for)),
      snapshot_(std::move(disk.snapshot)),
      log_(disk.log.begin(), disk.log.end()),
      commit_index_(
          std::max(snapshot_.index, std::min(disk.commit_index, snapshot_.index + log_.size()))),
      last_applied_(0),
      term_at_start_(current_term_),
      last_index_at_start_(snapshot_.index + log_.size()),
      claims_due_at_(now),
      // A vote of an earlier process may have been for a leader heard just before it ended.
      leader_heard_at_(now),
      election_timer_started_at_(now),
      durable_last_index_(last_index_at_start_) {
  if (timing_.heartbeat_interval <= Duration(0) ||
      timing_.election_timeout < 3 * timing_.heartbeat_interval ||
      timing_.lease_duration < 3 * timing_.heartbeat_interval || timing_.clock_rate_error < 0 ||
      timing_.clock_rate_error > 0.2) {
    throw std::invalid_argument(
        "timing: expected a heartbeat above 0, an election and a lease of three at least, "
        "and a clock rate of 0 to 0.2");
  }
  RebuildVoterIndex();
  ResetElectionTimer(now);
}

// ---- What is known ----------------------------------------------------------------------------

Duration RaftNode::Scaled(Duration d, double factor) const {
  return Duration(static_cast<int64_t>(static_cast<double>(d.count()) * factor));
}

Term RaftNode::TermAt(Index index) const {
  if (index == snapshot_.index) {
    return snapshot_.term;
  }
  if (index < snapshot_.index || index > last_log_index()) {
    return 0;
  }
  return At(index).term;
}

const std::vector<Voter>& RaftNode::voters() const {
  return voter_configurations_.back().second;
}

bool RaftNode::IsVoter(const std::string& name, uint64_t life) const {
  return std::ranges::find(voters(), Voter{name, life}) != voters().end();
}

bool RaftNode::IsVotingMember() const {
  return !storage_rolled_back_ && IsVoter(name_, incarnation_);
}

StorageClaim RaftNode::ClaimKnownOf(const std::string& name) const {
  const auto at = known_claims_.find(name);
  return at == known_claims_.end() ? StorageClaim{} : at->second;
}

Index RaftNode::MatchIndexOf(const std::string& name) const {
  const auto at = peers_.find(name);
  return at == peers_.end() ? 0 : at->second.match_index;
}

// The voters of each entry that has some; the last is in force, agreed or not.
void RaftNode::RebuildVoterIndex() {
  voter_configurations_.assign(1, {snapshot_.index, snapshot_.voters});
  for (size_t i = 0; i < log_.size(); ++i) {
    if (log_[i].kind != LogEntry::Kind::kVoters) {
      continue;
    }
    voter_configurations_.emplace_back(snapshot_.index + i + 1, log_[i].voters);
  }
}

// Whether a leader was heard so lately that its lease may still hold: no vote goes to another.
bool RaftNode::HeardFromLeaderRecently(Time now) const {
  return now - leader_heard_at_ < timing_.election_timeout;
}

void RaftNode::ResetElectionTimer(Time now) {
  election_timer_started_at_ = now;
  std::uniform_int_distribution<int64_t> more(0, timing_.election_timeout.count());
  election_timer_due_at_ = now + timing_.election_timeout + Duration(more(random_));
}

// The latest time at which a quorum, itself included, is known to have heard this leader.
Time RaftNode::QuorumAcknowledgedSentAt(Time now) const {
  return Majority<Time>(Time(-1), [&](const Voter& v) {
    if (v.name == name_) {
      return v.incarnation == incarnation_ ? now : Time(-1);
    }
    const auto at = peers_.find(v.name);
    const bool known = at != peers_.end() && at->second.incarnation == v.incarnation;
    return known ? at->second.acknowledged_sent_at : Time(-1);
  });
}

Time RaftNode::LeaderLeaseUntil(Time now) const {
  if (role_ != Role::kLeader || storage_rolled_back_) {
    return Time(-1);
  }
  const Time sent = QuorumAcknowledgedSentAt(now);
  return sent < Time(0) ? sent
                        : sent + Scaled(timing_.election_timeout, 1 - 2 * timing_.clock_rate_error);
}

// Whether this leader has applied all that its predecessors may have agreed on: without that it
// could act, and have others act, on what a word that it does not know yet has put out of force.
bool RaftNode::Current() const {
  return !HasEntriesToApply() && TermAt(commit_index_) == current_term_;
}

Time RaftNode::LeaseUntil(Time now) const {
  if (storage_rolled_back_) {
    return Time(-1);
  }
  const Time leads = LeaderLeaseUntil(now);
  if (leads < Time(0) || !Current()) {
    return lease_until_;
  }
  // Its own is over with its word, and no later than what the next leader waits for.
  return std::max(lease_until_,
                  std::min(leads, QuorumAcknowledgedSentAt(now) + LeaseHolderDuration(timing_)));
}

bool RaftNode::AllLeaseHoldersApplied(Time now, Index index) const {
  // What an earlier leader granted may still run.
  if (!IsLeaderWithLease(now) || last_applied_ < index ||
      now < leader_since_ + LeaseWaitDuration(timing_)) {
    return false;
  }
  return std::ranges::all_of(peers_, [&](const auto& at) {
    return at.second.lease_ends_at <= now || at.second.last_applied >= index;
  });
}

Time RaftNode::NextTimeout() const {
  if (HasEntriesToApply()) {
    return Time(0);
  }
  if (role_ == Role::kLeader) {
    Time due = Time::max();
    for (const auto& [name, peer] : peers_) {
      if (!peer.connected) {
        continue;
      }
      const bool votes = IsVoter(name, peer.incarnation);
      due = std::min(due, peer.last_append_sent_at + (votes ? timing_.heartbeat_interval
                                                            : timing_.heartbeat_interval * 5 / 2));
    }
    return std::min(due, election_timer_due_at_);
  }
  return IsVotingMember() ? std::min(election_timer_due_at_, claims_due_at_) : Time::max();
}

// ---- What goes out ----------------------------------------------------------------------------

void RaftNode::WriteToStorage(RaftOutput& out, Index from, std::vector<LogEntry> entries,
                              std::optional<Snapshot> snapshot) {
  out.writes.push_back({++last_sequence_number_, current_term_, voted_for_, from,
                        std::move(entries), std::move(snapshot), commit_index_, false});
  pending_writes_.emplace_back(last_sequence_number_, last_log_index());
}

void RaftNode::SendMessage(RaftOutput& out, Message message, const std::string& to,
                           uint64_t after) {
  message.from = name_;
  message.from_incarnation = incarnation_;
  message.to = to;
  message.term = message.is_pre_vote && message.type == Message::Type::kRequestVote
                     ? current_term_ + 1
                     : current_term_;
  // What it claims must be on its disk when it is said.
  if (role_ == Role::kLeader) {
    message.own_claim = {incarnation_, restart_count_, current_term_,
                         std::max(acknowledged_index_, durable_last_index_)};
  } else if (after == last_sequence_number_) {
    message.own_claim = {incarnation_, restart_count_, current_term_, acknowledged_index_};
  }
  if (const auto at = known_claims_.find(to); at != known_claims_.end()) {
    message.claim_of_receiver = at->second;
  }
  out.messages.push_back({std::move(message), after});
}

void RaftNode::SendAppendEntries(Time now, const std::string& name, Peer& peer, RaftOutput& out) {
  if (!peer.connected) {
    return;
  }
  Message m;
  m.sent_at = now;
  m.commit_index = commit_index_;
  // A lease goes only with a word that is good, and only to one that knows what it must.
  if (peer.lease_asked_at >= Time(0) && peer.last_applied >= required_for_lease_ && Current() &&
      IsLeaderWithLease(now)) {
    m.asked_at = peer.lease_asked_at;
    peer.lease_ends_at =
        std::max(peer.lease_ends_at, peer.lease_asked_received_at + timing_.lease_duration);
  }
  peer.last_append_sent_at = now;
  peer.notified_commit_index = commit_index_;
  if (peer.next_index <= snapshot_.index) {
    m.type = Message::Type::kInstallSnapshot;
    m.snapshot = snapshot_;
    peer.append_in_flight = true;
    return SendMessage(out, std::move(m), name, 0);
  }
  m.index = peer.next_index - 1;
  m.index_term = TermAt(m.index);
  size_t bytes = 0;
  for (Index i = peer.next_index; i <= last_log_index(); ++i) {
    bytes += SizeOf(At(i));
    if (!m.entries.empty() && bytes > timing_.max_append_bytes) {
      break;
    }
    m.entries.push_back(At(i));
  }
  peer.append_in_flight = !m.entries.empty();
  // A leader may send before it has written: it counts itself only once it has.
  SendMessage(out, std::move(m), name, 0);
}

void RaftNode::SendAppendEntriesToAll(Time now, RaftOutput& out) {
  for (auto& [name, peer] : peers_) {
    if (!peer.append_in_flight) {
      SendAppendEntries(now, name, peer, out);
    }
  }
}

// ---- Members ----------------------------------------------------------------------------------

void RaftNode::OnPeerConnected(Time now, const std::string& name, uint64_t life,
                               const StorageClaim& of_you, RaftOutput& out) {
  if (!CheckOwnClaim(of_you, out)) {
    return;
  }
  Peer& peer = peers_[name];
  const Time lease_end = peer.lease_ends_at;
  // What an old life or an old link was told does not count; a lease that runs does.
  peer = {};
  peer.incarnation = life;
  peer.connected = true;
  peer.next_index = last_log_index() + 1;
  peer.lease_ends_at = lease_end;
  if (role_ == Role::kLeader) {
    SendAppendEntries(now, name, peer, out);
  }
}

void RaftNode::OnPeerDisconnected(const std::string& name) {
  const auto at = peers_.find(name);
  if (at == peers_.end()) {
    return;
  }
  at->second.connected = at->second.append_in_flight = false;
  at->second.lease_asked_at = Time(-1);
}

// Notes what the sender's disk holds, and sees whether it knows more of this one than is here.
bool RaftNode::RememberClaim(const Message& m, RaftOutput& out) {
  if (m.own_claim.incarnation != 0) {
    StorageClaim& claim = known_claims_[m.from];
    const auto age = [](const StorageClaim& c) {
      return std::tuple(c.restart_count, c.term, c.match_index);
    };
    if (claim.incarnation != m.own_claim.incarnation) {
      claim = m.own_claim;
    } else if (age(claim) < age(m.own_claim)) {
      // What was acknowledged in a term stays so when its member starts again.
      const Index match = claim.term == m.own_claim.term ? claim.match_index : 0;
      claim = m.own_claim;
      claim.match_index = std::max(claim.match_index, match);
    }
  }
  return CheckOwnClaim(m.claim_of_receiver, out);
}

bool RaftNode::CheckOwnClaim(const StorageClaim& told, RaftOutput& out) {
  if (told.incarnation != incarnation_ || storage_rolled_back_) {
    return !storage_rolled_back_;
  }
  const bool older = told.restart_count > restart_count_ ||
                     (told.restart_count == restart_count_ && told.term > current_term_) ||
                     (told.restart_count < restart_count_ &&
                      (told.term > term_at_start_ ||
                       (told.term == term_at_start_ && told.match_index > last_index_at_start_)));
  if (!older) {
    return true;
  }
  storage_rolled_back_ = out.storage_rolled_back = true;
  StepDown();
  return false;
}

void RaftNode::OnMessage(Time now, const Message& m, RaftOutput& out) {
  if (m.to != name_ || !RememberClaim(m, out)) {
    return;
  }
  switch (m.type) {
    case Message::Type::kRequestVote:
      return OnRequestVote(now, m, out);
    case Message::Type::kRequestVoteReply:
      return OnRequestVoteReply(now, m, out);
    case Message::Type::kAppendEntries:
      return OnAppendEntries(now, m, out);
    case Message::Type::kAppendEntriesReply:
      return OnAppendEntriesReply(now, m, out);
    case Message::Type::kInstallSnapshot:
      return OnInstallSnapshot(now, m, out);
    case Message::Type::kStorageClaim:
      return;  // remembered already
  }
}

// ---- Elections --------------------------------------------------------------------------------

void RaftNode::StepDown() {
  role_ = Role::kFollower;
  leader_.clear();
}

void RaftNode::BecomeFollower(Time now, Term term, const std::string& leader, RaftOutput& out) {
  const bool led = role_ == Role::kLeader;
  if (term > current_term_) {
    current_term_ = term;
    voted_for_.clear();
    acknowledged_index_ = 0;
    WriteToStorage(out, 0, {});
  }
  // What it had as leader goes on as its lease: nobody else can lead before that is over.
  if (led) {
    lease_until_ = LeaseUntil(now);
  }
  role_ = Role::kFollower;
  leader_ = leader;
  if (!leader.empty()) {
    leader_heard_at_ = now;
  }
  if (led || !leader.empty()) {
    ResetElectionTimer(now);
  }
}

void RaftNode::StartNewElection(Time now, bool trial, RaftOutput& out) {
  leader_.clear();
  ResetElectionTimer(now);
  for (auto& [name, peer] : peers_) {
    peer.vote_granted = false;
  }
  if (trial) {
    role_ = Role::kPreCandidate;
    own_vote_granted_ = true;
  } else {
    role_ = Role::kCandidate;
    ++current_term_;
    voted_for_ = name_;
    acknowledged_index_ = 0;
    own_vote_granted_ = false;
    WriteToStorage(out, 0, {});
    vote_sequence_number_ = last_sequence_number_;
  }
  Message m;
  m.type = Message::Type::kRequestVote;
  m.is_pre_vote = trial;
  m.index = last_log_index();
  m.index_term = TermAt(last_log_index());
  for (const Voter& v : voters()) {
    if (v.name != name_) {
      SendMessage(out, m, v.name, last_sequence_number_);
    }
  }
  CountVotes(now, out);
}

void RaftNode::CountVotes(Time now, RaftOutput& out) {
  size_t granted = 0;
  for (const Voter& v : voters()) {
    if (v.name == name_) {
      granted += v.incarnation == incarnation_ && own_vote_granted_ ? 1 : 0;
    } else if (const auto at = peers_.find(v.name); at != peers_.end()) {
      granted += at->second.vote_granted && at->second.incarnation == v.incarnation ? 1 : 0;
    }
  }
  if (granted <= voters().size() / 2) {
    return;
  }
  if (role_ == Role::kPreCandidate) {
    return StartNewElection(now, false, out);
  }
  BecomeLeader(now, out);
}

void RaftNode::BecomeLeader(Time now, RaftOutput& out) {
  role_ = Role::kLeader;
  leader_ = name_;
  leader_since_ = now;
  election_timer_due_at_ = now + timing_.election_timeout;
  for (auto& [name, peer] : peers_) {
    peer.next_index = last_log_index() + 1;
    peer.match_index = peer.last_applied = 0;
    peer.append_in_flight = false;
    peer.acknowledged_sent_at = peer.lease_asked_at = Time(-1);
  }
  AppendToOwnLog(now, {current_term_, LogEntry::Kind::kNone, {}, {}}, out);
}

void RaftNode::OnRequestVote(Time now, const Message& m, RaftOutput& out) {
  Message answer;
  answer.type = Message::Type::kRequestVoteReply;
  answer.is_pre_vote = m.is_pre_vote;
  const bool current =
      std::pair(m.index_term, m.index) >= std::pair(TermAt(last_log_index()), last_log_index());
  // One that hears its leader neither votes nor is moved to another term: a voter that hears and is
  // not heard cannot topple anybody, and a leader's lease is safe.
  const bool bound =
      (role_ == Role::kLeader && IsLeaderWithLease(now)) || HeardFromLeaderRecently(now);
  if (m.is_pre_vote) {
    // One that has not heard yet that it votes gives its vote all the same: who counts votes counts
    // only those of its own voters, and a new one may be needed before the entry has reached it.
    answer.granted = !bound && current && m.term > current_term_;
    return SendMessage(out, answer, m.from, last_sequence_number_);
  }
  if (bound) {
    return;
  }
  if (m.term > current_term_) {
    BecomeFollower(now, m.term, "", out);
  }
  answer.granted = m.term == current_term_ && current && role_ == Role::kFollower &&
                   (voted_for_.empty() || voted_for_ == m.from);
  if (answer.granted && voted_for_.empty()) {
    voted_for_ = m.from;
    WriteToStorage(out, 0, {});
  }
  if (answer.granted) {
    ResetElectionTimer(now);
  }
  SendMessage(out, answer, m.from, last_sequence_number_);
}

void RaftNode::OnRequestVoteReply(Time now, const Message& m, RaftOutput& out) {
  if (m.term > current_term_) {
    return BecomeFollower(now, m.term, "", out);
  }
  const Role asked = m.is_pre_vote ? Role::kPreCandidate : Role::kCandidate;
  if (role_ != asked || !m.granted || (!m.is_pre_vote && m.term != current_term_)) {
    return;
  }
  const auto at = peers_.find(m.from);
  if (at == peers_.end() || at->second.incarnation != m.from_incarnation) {
    return;
  }
  at->second.vote_granted = true;
  CountVotes(now, out);
}

// ---- The log ----------------------------------------------------------------------------------

Index RaftNode::AppendToOwnLog(Time now, LogEntry entry, RaftOutput& out) {
  const bool voters = entry.kind == LogEntry::Kind::kVoters;
  log_.push_back(entry);
  WriteToStorage(out, last_log_index(), {std::move(entry)});
  if (voters) {
    RebuildVoterIndex();
  }
  SendAppendEntriesToAll(now, out);
  return last_log_index();
}

std::optional<Index> RaftNode::Propose(Time now, std::string bytes, RaftOutput& out) {
  if (!IsLeaderWithLease(now)) {
    return std::nullopt;
  }
  return AppendToOwnLog(now, {current_term_, LogEntry::Kind::kData, std::move(bytes), {}}, out);
}

std::optional<Index> RaftNode::ProposeVoters(Time now, std::vector<Voter> voters, RaftOutput& out) {
  // One change at a time, and only behind an entry of this term that is agreed: without that two
  // leaders could each have a majority of voters of their own.
  if (!IsLeaderWithLease(now) || TermAt(commit_index_) != current_term_ ||
      voter_configurations_.back().first > commit_index_ || voters.empty()) {
    return std::nullopt;
  }
  return AppendToOwnLog(now, {current_term_, LogEntry::Kind::kVoters, {}, std::move(voters)}, out);
}

void RaftNode::OnAppendEntries(Time now, const Message& m, RaftOutput& out) {
  Message answer;
  answer.type = Message::Type::kAppendEntriesReply;
  answer.sent_at = m.sent_at;
  if (m.term < current_term_) {
    return SendMessage(out, answer, m.from, last_sequence_number_);
  }
  BecomeFollower(now, m.term, m.from, out);
  if (m.asked_at >= Time(0)) {
    lease_until_ = std::max(lease_until_, m.asked_at + LeaseHolderDuration(timing_));
  }
  answer.asked_at = now;
  Index before = m.index;
  size_t known = 0;
  // What the snapshot holds is agreed: it cannot differ.
  if (before < snapshot_.index) {
    known = std::min<size_t>(snapshot_.index - before, m.entries.size());
    before += known;
  }
  if (before < snapshot_.index) {
    answer.granted = true;
    answer.index = snapshot_.index;
    answer.commit_index = last_applied_;
    return SendMessage(out, answer, m.from, last_sequence_number_);
  }
  if (before > last_log_index() || (known == 0 && TermAt(before) != m.index_term)) {
    // The first entry that may be another's: all of that term goes.
    Index hint = std::min(before, last_log_index() + 1);
    while (hint > commit_index_ + 1 && hint <= last_log_index() &&
           TermAt(hint - 1) == TermAt(before)) {
      --hint;
    }
    answer.index = std::max<Index>(hint, 1) - 1;
    answer.commit_index = last_applied_;
    return SendMessage(out, answer, m.from, last_sequence_number_);
  }
  Index at = before + 1;
  while (known < m.entries.size() && at <= last_log_index() &&
         TermAt(at) == m.entries[known].term) {
    ++at;
    ++known;
  }
  if (known < m.entries.size()) {
    const bool cut = at <= last_log_index();
    log_.resize(at - snapshot_.index - 1);
    std::vector<LogEntry> entries(m.entries.begin() + static_cast<long>(known), m.entries.end());
    const bool voters = std::ranges::any_of(
        entries, [](const LogEntry& e) { return e.kind == LogEntry::Kind::kVoters; });
    log_.insert(log_.end(), entries.begin(), entries.end());
    durable_last_index_ = std::min(durable_last_index_, at - 1);
    for (auto& [ticket, upto] : pending_writes_) {
      upto = std::min(upto, at - 1);
    }
    WriteToStorage(out, at, std::move(entries));
    if (cut || voters) {
      RebuildVoterIndex();
    }
  }
  answer.granted = true;
  answer.index = m.index + m.entries.size();
  acknowledged_index_ = std::max(acknowledged_index_, answer.index);
  commit_index_ = std::max(commit_index_, std::min(m.commit_index, answer.index));
  ApplyCommittedEntries(out);
  answer.commit_index = last_applied_;
  SendMessage(out, answer, m.from, last_sequence_number_);
}

void RaftNode::OnInstallSnapshot(Time now, const Message& m, RaftOutput& out) {
  Message answer;
  answer.type = Message::Type::kAppendEntriesReply;
  answer.sent_at = m.sent_at;
  if (m.term < current_term_) {
    return SendMessage(out, answer, m.from, last_sequence_number_);
  }
  BecomeFollower(now, m.term, m.from, out);
  if (m.asked_at >= Time(0)) {
    lease_until_ = std::max(lease_until_, m.asked_at + LeaseHolderDuration(timing_));
  }
  answer.asked_at = now;
  if (m.snapshot.index > commit_index_) {
    // What is behind it may stay where it goes on from it.
    if (TermAt(m.snapshot.index) == m.snapshot.term && m.snapshot.index <= last_log_index()) {
      log_.erase(log_.begin(),
                 log_.begin() + static_cast<long>(m.snapshot.index - snapshot_.index));
    } else {
      log_.clear();
    }
    snapshot_ = m.snapshot;
    commit_index_ = last_applied_ = snapshot_.index;
    durable_last_index_ = std::min(durable_last_index_, snapshot_.index);
    for (auto& [ticket, upto] : pending_writes_) {
      upto = std::min(upto, snapshot_.index);
    }
    RebuildVoterIndex();
    std::vector<LogEntry> rest(log_.begin(), log_.end());
    const Index from = rest.empty() ? 0 : snapshot_.index + 1;
    WriteToStorage(out, from, std::move(rest), snapshot_);
    out.applied.push_back({snapshot_.index, {}, snapshot_});
  }
  answer.granted = true;
  answer.index = std::min(m.snapshot.index, last_log_index());
  acknowledged_index_ = std::max(acknowledged_index_, answer.index);
  answer.commit_index = last_applied_;
  SendMessage(out, answer, m.from, last_sequence_number_);
}

void RaftNode::OnAppendEntriesReply(Time now, const Message& m, RaftOutput& out) {
  if (m.term > current_term_) {
    return BecomeFollower(now, m.term, "", out);
  }
  if (role_ != Role::kLeader || m.term != current_term_) {
    return;
  }
  const auto at = peers_.find(m.from);
  if (at == peers_.end() || at->second.incarnation != m.from_incarnation || !at->second.connected) {
    return;
  }
  Peer& peer = at->second;
  peer.acknowledged_sent_at = std::max(peer.acknowledged_sent_at, m.sent_at);
  if (m.asked_at >= Time(0)) {
    peer.lease_asked_at = m.asked_at;
    peer.lease_asked_received_at = now;
  }
  peer.last_applied = std::max(peer.last_applied, m.commit_index);
  peer.append_in_flight = false;
  if (m.granted) {
    peer.match_index = std::max(peer.match_index, m.index);
    peer.next_index = std::max(peer.next_index, peer.match_index + 1);
    AdvanceCommitIndex(now, out);
  } else {
    peer.next_index =
        std::max<Index>(peer.match_index + 1, std::min(m.index + 1, last_log_index() + 1));
  }
  if (peer.next_index <= last_log_index() || peer.notified_commit_index < commit_index_) {
    SendAppendEntries(now, m.from, peer, out);
  }
}

void RaftNode::OnDurable(Time now, uint64_t ticket, RaftOutput& out) {
  durable_sequence_number_ = std::max(durable_sequence_number_, ticket);
  while (!pending_writes_.empty() && pending_writes_.front().first <= ticket) {
    durable_last_index_ = pending_writes_.front().second;
    pending_writes_.pop_front();
  }
  durable_last_index_ = std::min(durable_last_index_, last_log_index());
  if (role_ == Role::kCandidate && ticket >= vote_sequence_number_ && !own_vote_granted_) {
    own_vote_granted_ = true;
    CountVotes(now, out);
  }
  if (role_ == Role::kLeader) {
    AdvanceCommitIndex(now, out);
  }
}

void RaftNode::AdvanceCommitIndex(Time now, RaftOutput& out) {
  const auto agreed = Majority<Index>(0, [&](const Voter& v) {
    if (v.name == name_) {
      return v.incarnation == incarnation_ ? durable_last_index_ : 0;
    }
    const auto at = peers_.find(v.name);
    return at != peers_.end() && at->second.incarnation == v.incarnation ? at->second.match_index
                                                                         : 0;
  });
  // An entry of an earlier term is agreed only with one of this term behind it.
  if (agreed <= commit_index_ || TermAt(agreed) != current_term_) {
    return;
  }
  commit_index_ = agreed;
  ApplyCommittedEntries(out);
  SendAppendEntriesToAll(now, out);
  // Voted out, by an entry that is agreed now.
  if (voter_configurations_.back().first <= commit_index_ && !IsVotingMember()) {
    BecomeFollower(now, current_term_, "", out);
  }
}

void RaftNode::ApplyCommittedEntries(RaftOutput& out) {
  if (last_applied_ < snapshot_.index) {
    last_applied_ = snapshot_.index;
    out.applied.push_back({last_applied_, {}, snapshot_});
  }
  if (!HasEntriesToApply()) {
    return;
  }
  size_t work = 0, weight = apply_cost_bytes_;
  while (HasEntriesToApply()) {
    const LogEntry& next = At(last_applied_ + 1);
    if (next.kind == LogEntry::Kind::kData) {
      // One that came whole in this event weighs on those behind it.
      weight = std::max(weight, next.bytes.size());
      const size_t takes = weight + SizeOf(next);
      if (work > 0 && work + takes > timing_.max_apply_bytes) {
        break;
      }
      work += takes;
    }
    out.applied.push_back({++last_applied_, next, std::nullopt});
  }
  out.writes.push_back(
      {last_sequence_number_, current_term_, voted_for_, 0, {}, std::nullopt, commit_index_, true});
}

// What took more than one event is told once it is done: the leader would hear of it only with its
// next heartbeat, and may wait for it.
void RaftNode::NotifyApplied(RaftOutput& out) {
  if (HasEntriesToApply() || role_ != Role::kFollower || leader_.empty()) {
    return;
  }
  Message m;
  m.type = Message::Type::kAppendEntriesReply;
  m.granted = true;
  m.index = acknowledged_index_;
  m.commit_index = last_applied_;
  m.sent_at = Time(-1);
  SendMessage(out, std::move(m), leader_, last_sequence_number_);
}

void RaftNode::TakeSnapshot(Index index, std::string bytes, RaftOutput& out) {
  if (index <= snapshot_.index || index > last_applied_) {
    return;
  }
  const Term term = TermAt(index);
  std::vector<Voter> voters;
  for (const auto& [at, who] : voter_configurations_) {
    if (at <= index) {
      voters = who;
    }
  }
  log_.erase(log_.begin(), log_.begin() + static_cast<long>(index - snapshot_.index));
  snapshot_ = {index, term, std::move(voters), std::move(bytes)};
  RebuildVoterIndex();
  std::vector<LogEntry> rest(log_.begin(), log_.end());
  const Index from = rest.empty() ? 0 : index + 1;
  WriteToStorage(out, from, std::move(rest), snapshot_);
}

// ---- Time -------------------------------------------------------------------------------------

void RaftNode::OnTimeout(Time now, RaftOutput& out) {
  if (storage_rolled_back_) {
    return;
  }
  if (HasEntriesToApply()) {
    ApplyCommittedEntries(out);
    NotifyApplied(out);
  }
  if (role_ == Role::kLeader) {
    if (now >= election_timer_due_at_) {
      // A leader that a quorum no longer answers is none.
      if (now - QuorumAcknowledgedSentAt(now) >= timing_.election_timeout) {
        BecomeFollower(now, current_term_, "", out);
        return;
      }
      election_timer_due_at_ = now + timing_.heartbeat_interval;
    }
    for (auto& [name, peer] : peers_) {
      const bool votes = IsVoter(name, peer.incarnation);
      if (now - peer.last_append_sent_at >=
          (votes ? timing_.heartbeat_interval : timing_.heartbeat_interval * 5 / 2)) {
        SendAppendEntries(now, name, peer, out);
      }
    }
    return;
  }
  if (!IsVotingMember()) {
    return;
  }
  SendStorageClaims(now, out);
  if (now < election_timer_due_at_) {
    return;
  }
  if (may_campaign_) {
    return StartNewElection(now, true, out);
  }
  ResetElectionTimer(now);
}

// The leader knows by what it is answered; the others have to be told, or a disk that has gone back
// while the leader is away would find nobody who knows.
void RaftNode::SendStorageClaims(Time now, RaftOutput& out) {
  if (now < claims_due_at_) {
    return;
  }
  claims_due_at_ = now + timing_.heartbeat_interval;
  for (const Voter& v : voters()) {
    const auto at = peers_.find(v.name);
    if (v.name == leader_ || at == peers_.end() || !at->second.connected) {
      continue;
    }
    Message m;
    m.type = Message::Type::kStorageClaim;
    SendMessage(out, std::move(m), v.name, last_sequence_number_);
  }
}

}  // namespace paddlestile::raft
