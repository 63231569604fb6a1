// Elections of the Raft node: election timer, pre-vote, voting and role changes.
#include <algorithm>
#include <utility>

#include "raft/raft_node.h"

namespace paddlestile::raft {

void RaftNode::ResetElectionTimer(Time now) {
  std::uniform_int_distribution<int64_t> jitter_us(0, timing_.election_timeout.count());
  election_timer_due_at_ = now + timing_.election_timeout + Duration(jitter_us(random_));
}

// Also true right after a start, because an earlier process of this member may have heard from the
// leader just before it ended.
bool RaftNode::HeardFromLeaderRecently(Time now) const {
  return now - leader_heard_at_ < timing_.election_timeout;
}

void RaftNode::EnterTerm(Term term, const std::string& voted_for, RaftOutput& out) {
  current_term_ = term;
  voted_for_ = voted_for;
  acknowledged_index_ = 0;
  WriteToStorage(out, 0, {});
}

void RaftNode::StepDown() {
  role_ = Role::kFollower;
  leader_.clear();
}

void RaftNode::BecomeFollower(Time now, Term term, const std::string& leader, RaftOutput& out) {
  const bool was_leader = role_ == Role::kLeader;
  if (term > current_term_) {
    EnterTerm(term, "", out);
  }
  // The lease that it has as leader remains valid: no other leader can be elected before it
  // expires.
  if (was_leader) {
    lease_until_ = LeaseUntil(now);
  }
  role_ = Role::kFollower;
  leader_ = leader;
  if (!leader.empty()) {
    leader_heard_at_ = now;
  }
  if (was_leader || !leader.empty()) {
    ResetElectionTimer(now);
  }
}

void RaftNode::StartNewElection(Time now, bool is_pre_vote, RaftOutput& out) {
  leader_.clear();
  ResetElectionTimer(now);
  for (auto& [name, peer] : peers_) {
    peer.vote_granted = false;
  }
  if (is_pre_vote) {
    role_ = Role::kPreCandidate;
    own_vote_granted_ = true;
  } else {
    role_ = Role::kCandidate;
    own_vote_granted_ = false;
    EnterTerm(std::max(current_term_, restart_guard_.greatest_term_heard()) + 1, name_, out);
    vote_sequence_number_ = durable_.last_sequence_number();
  }
  RequestVotes(is_pre_vote, out);
  CountVotes(now, out);
}

void RaftNode::RequestVotes(bool is_pre_vote, RaftOutput& out) {
  Message request;
  request.type = Message::Type::kRequestVote;
  request.is_pre_vote = is_pre_vote;
  request.index = log_.last_index();
  request.index_term = log_.last_term();
  for (const Voter& voter : voters()) {
    if (!IsSelf(voter)) {
      SendWhenDurable(out, request, voter.name);
    }
  }
}

void RaftNode::CountVotes(Time now, RaftOutput& out) {
  const auto has_granted = [this](const Voter& voter) {
    if (IsSelf(voter)) {
      return voter.incarnation == incarnation() && own_vote_granted_;
    }
    const Peer* const peer = FindPeer(voter);
    return peer != nullptr && peer->vote_granted;
  };
  const auto granted = static_cast<size_t>(std::ranges::count_if(voters(), has_granted));
  if (granted <= voters().size() / 2) {
    return;
  }
  if (role_ == Role::kPreCandidate) {
    StartNewElection(now, false, out);
  } else {
    BecomeLeader(now, out);
  }
}

void RaftNode::BecomeLeader(Time now, RaftOutput& out) {
  role_ = Role::kLeader;
  leader_ = name_;
  leader_since_ = now;
  election_timer_due_at_ = now + timing_.election_timeout;
  for (auto& [name, peer] : peers_) {
    peer.next_index = log_.last_index() + 1;
    peer.match_index = 0;
    peer.last_applied = 0;
    peer.append_in_flight = false;
    peer.acknowledged_sent_at = Time(-1);
    peer.lease_asked_at = Time(-1);
  }
  AppendToOwnLog(now, {current_term_, LogEntry::Kind::kNone, {}, {}}, out);
}

void RaftNode::OnRequestVote(Time now, const Message& request, RaftOutput& out) {
  Message reply;
  reply.type = Message::Type::kRequestVoteReply;
  reply.is_pre_vote = request.is_pre_vote;
  const LogPosition candidate_log_end{request.index_term, request.index};
  const bool is_up_to_date = candidate_log_end >= LogEnd() &&
                             restart_guard_.MayVote(now, request.term, candidate_log_end, voters());
  // A member that is in contact with its leader neither votes nor enters the candidate's term.
  // Otherwise, a voter that cannot receive the leader's messages could depose the leader, and the
  // leader's lease would not be safe.
  const bool has_leader =
      (role_ == Role::kLeader && IsLeaderWithLease(now)) || HeardFromLeaderRecently(now);
  if (request.is_pre_vote) {
    // Granted even if this member is not a voter according to its own log: the candidate counts
    // only the voters of its configuration, and may need one that has not received that
    // configuration yet.
    reply.granted = !has_leader && is_up_to_date && request.term > current_term_;
    return SendWhenDurable(out, reply, request.from);
  }
  if (has_leader) {
    return;
  }
  if (request.term > current_term_) {
    BecomeFollower(now, request.term, "", out);
  }
  reply.granted = request.term == current_term_ && is_up_to_date && role_ == Role::kFollower &&
                  (voted_for_.empty() || voted_for_ == request.from);
  if (reply.granted && voted_for_.empty()) {
    voted_for_ = request.from;
    WriteToStorage(out, 0, {});
  }
  if (reply.granted) {
    ResetElectionTimer(now);
  }
  SendWhenDurable(out, reply, request.from);
}

void RaftNode::OnRequestVoteReply(Time now, const Message& reply, RaftOutput& out) {
  if (reply.term > current_term_) {
    return BecomeFollower(now, reply.term, "", out);
  }
  const Role campaigning_as = reply.is_pre_vote ? Role::kPreCandidate : Role::kCandidate;
  const bool is_of_this_election =
      role_ == campaigning_as && (reply.is_pre_vote || reply.term == current_term_);
  Peer* const voter = FindSender(reply);
  if (!is_of_this_election || !reply.granted || voter == nullptr) {
    return;
  }
  voter->vote_granted = true;
  CountVotes(now, out);
}

}  // namespace paddlestile::raft
