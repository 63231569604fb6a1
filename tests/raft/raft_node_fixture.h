// Fixtures for tests of the Raft node: member "a" of a cluster with the voters a, b and c. The
// tests send it messages on behalf of the other two.
#ifndef PADDLESTILE_TESTS_RAFT_RAFT_NODE_FIXTURE_H_
#define PADDLESTILE_TESTS_RAFT_RAFT_NODE_FIXTURE_H_

#include <gtest/gtest.h>

#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "raft/invariants.h"
#include "raft/raft_node.h"

namespace paddlestile::raft {

inline constexpr Time kSecond{1'000'000};

inline const std::vector<Voter> kThreeVoters = {{"a", 1}, {"b", 2}, {"c", 3}};

// Returns the state of storage in its first start, with one entry of term 1 that contains the
// configuration `voters`.
inline PersistentState StateWithVoters(uint64_t incarnation, Term term, std::vector<Voter> voters) {
  PersistentState state;
  state.incarnation = incarnation;
  state.restart_count = 1;
  state.current_term = term;
  state.log = {{1, LogEntry::Kind::kVoters, {}, std::move(voters)}};
  return state;
}

inline LogEntry DataEntry(Term term, std::string bytes) {
  return {term, LogEntry::Kind::kData, std::move(bytes), {}};
}

inline Message MessageFromB(Message::Type type, Term term) {
  Message message;
  message.type = type;
  message.from = "b";
  message.to = "a";
  message.from_incarnation = 2;
  message.term = term;
  return message;
}

inline Message RequestVote(Term term, bool is_pre_vote, Index last_index, Term last_term) {
  Message request = MessageFromB(Message::Type::kRequestVote, term);
  request.is_pre_vote = is_pre_vote;
  request.index = last_index;
  request.index_term = last_term;
  return request;
}

inline Message RequestVoteReply(Term term, bool is_pre_vote) {
  Message reply = MessageFromB(Message::Type::kRequestVoteReply, term);
  reply.is_pre_vote = is_pre_vote;
  reply.granted = true;
  return reply;
}

inline Message AppendEntries(Term term, Index previous_index, Term previous_term,
                             std::vector<LogEntry> entries) {
  Message request = MessageFromB(Message::Type::kAppendEntries, term);
  request.index = previous_index;
  request.index_term = previous_term;
  request.entries = std::move(entries);
  return request;
}

// Member a as a follower in term 1.
class RaftFollowerTest : public ::testing::Test {
 protected:
  RaftOutput Receive(Time at, const Message& message) {
    RaftOutput out;
    node.OnMessage(at, message, out);
    ExpectInvariants();
    return out;
  }
  void TearDown() override { ExpectInvariants(); }
  void ExpectInvariants() const { EXPECT_EQ(FindInvariantViolation(node).value_or(""), ""); }
  // Advances the time until the node becomes a pre-candidate, and returns that time.
  Time WaitUntilPreCandidate(RaftOutput& out) {
    Time now{0};
    while (node.role() != Role::kPreCandidate) {
      now = node.NextTimeout();
      node.OnTimeout(now, out);
    }
    return now;
  }
  RaftNode node{"a", {}, StateWithVoters(1, 1, kThreeVoters), 7, Time(0)};
};

// Member a as the leader of term 2, elected with the vote of b. Its log contains the configuration
// and the first entry of its term, which is not durable yet.
class RaftLeaderTest : public RaftFollowerTest {
 protected:
  void SetUp() override {
    RaftOutput out;
    node.OnPeerConnected(Time(0), "b", 2, {}, out);
    node.OnPeerConnected(Time(0), "c", 3, {}, out);
    now = WaitUntilPreCandidate(out);
    Receive(now, RequestVoteReply(1, true));
    Receive(now, RequestVoteReply(2, false));
    EXPECT_EQ(node.role(), Role::kCandidate);  // its own vote is not durable yet
    node.OnDurable(now, 1, out);
    ASSERT_EQ(node.role(), Role::kLeader);
  }
  // Delivers a reply by which member `from` acknowledges the log up to `index`, reports it as
  // applied, and requests a lease.
  RaftOutput ReceiveAcknowledgement(const std::string& from, uint64_t incarnation, Index index,
                                    Time sent_at) {
    Message reply;
    reply.type = Message::Type::kAppendEntriesReply;
    reply.from = from;
    reply.to = "a";
    reply.from_incarnation = incarnation;
    reply.term = 2;
    reply.granted = true;
    reply.index = index;
    reply.commit_index = index;
    reply.sent_at = sent_at;
    reply.asked_at = Time(1);
    return Receive(now, reply);
  }
  Time now{0};
};

}  // namespace paddlestile::raft

#endif  // PADDLESTILE_TESTS_RAFT_RAFT_NODE_FIXTURE_H_
