// The agreed log, a message at a time: what a voter must not do whatever it is told.
#include "raft/raft_node.h"

#include <gtest/gtest.h>

#include <stdexcept>

namespace paddlestile::raft {
namespace {

constexpr Time kSecond{1'000'000};

PersistentState Of(uint64_t life, Term term, std::vector<Voter> voters) {
  PersistentState disk;
  disk.incarnation = life;
  disk.restart_count = 1;
  disk.current_term = term;
  disk.log = {{1, LogEntry::Kind::kVoters, {}, std::move(voters)}};
  return disk;
}

const std::vector<Voter> kThree = {{"a", 1}, {"b", 2}, {"c", 3}};

Message AskVote(Term term, bool trial, Index index, Term index_term) {
  Message m;
  m.type = Message::Type::kRequestVote;
  m.from = "b";
  m.to = "a";
  m.from_incarnation = 2;
  m.term = term;
  m.is_pre_vote = trial;
  m.index = index;
  m.index_term = index_term;
  return m;
}

Message Append(Term term, Index before, Term before_term, std::vector<LogEntry> entries) {
  Message m;
  m.from = "b";
  m.to = "a";
  m.from_incarnation = 2;
  m.term = term;
  m.index = before;
  m.index_term = before_term;
  m.entries = std::move(entries);
  return m;
}

class Voting : public ::testing::Test {
 protected:
  RaftOutput Receive(Time at, const Message& m) {
    RaftOutput out;
    a.OnMessage(at, m, out);
    return out;
  }
  RaftNode a{"a", {}, Of(1, 1, kThree), 7, Time(0)};
};

// A vote of the process before may have been for a leader that was heard just before it ended.
TEST_F(Voting, GivesNoVoteRightAfterAStart) {
  EXPECT_FALSE(Receive(Time(100'000), AskVote(2, true, 1, 1)).messages.at(0).message.granted);
  EXPECT_TRUE(Receive(Time(100'000), AskVote(2, false, 1, 1)).messages.empty());
  EXPECT_TRUE(Receive(kSecond, AskVote(2, true, 1, 1)).messages.at(0).message.granted);
}

// A vote that is not on the disk when it is answered could be given again after a power loss.
TEST_F(Voting, AnswersAVoteOnlyOnceItIsDurable) {
  const RaftOutput out = Receive(kSecond, AskVote(2, false, 1, 1));
  ASSERT_EQ(out.messages.size(), 1U);
  EXPECT_TRUE(out.messages[0].message.granted);
  ASSERT_FALSE(out.writes.empty());
  EXPECT_EQ(out.writes.back().voted_for, "b");
  EXPECT_EQ(out.messages[0].after_sequence_number, out.writes.back().sequence_number);
}

TEST_F(Voting, VotesOnceInATerm) {
  Receive(kSecond, AskVote(2, false, 1, 1));
  Message other = AskVote(2, false, 1, 1);
  other.from = "c";
  other.from_incarnation = 3;
  EXPECT_FALSE(Receive(kSecond, other).messages.at(0).message.granted);
}

// The same from its disk: a restart between.
TEST_F(Voting, RemembersItsVoteOverAStart) {
  PersistentState disk = Of(1, 2, kThree);
  disk.voted_for = "c";
  a = RaftNode("a", {}, disk, 7, Time(0));
  EXPECT_FALSE(Receive(kSecond, AskVote(2, false, 1, 1)).messages.at(0).message.granted);
}

TEST_F(Voting, GivesNoVoteToOneThatIsBehind) {
  Receive(kSecond, Append(2, 1, 1, {{2, LogEntry::Kind::kData, "x", {}}}));
  EXPECT_FALSE(Receive(3 * kSecond, AskVote(3, false, 1, 1)).messages.at(0).message.granted);
  EXPECT_TRUE(Receive(3 * kSecond, AskVote(3, false, 2, 2)).messages.at(0).message.granted);
}

// One that hears and is not heard asks again and again: it must not topple the leader, and the
// leader's lease rests on nobody voting against it meanwhile.
TEST_F(Voting, StaysWithALeaderThatItHears) {
  Receive(kSecond, Append(2, 1, 1, {}));
  EXPECT_TRUE(Receive(kSecond + Time(400'000), AskVote(9, false, 1, 1)).messages.empty());
  EXPECT_EQ(a.current_term(), 2U);
}

// An acknowledgement counts towards the majority: it must not go out before the entries are safe.
TEST_F(Voting, AcknowledgesOnlyWhatIsDurable) {
  const RaftOutput out = Receive(kSecond, Append(2, 1, 1, {{2, LogEntry::Kind::kData, "x", {}}}));
  ASSERT_EQ(out.messages.size(), 1U);
  EXPECT_EQ(out.messages[0].message.index, 2U);
  EXPECT_EQ(out.messages[0].after_sequence_number, out.writes.back().sequence_number);
}

TEST_F(Voting, TakesAwayWhatAnotherTermHadBehind) {
  Receive(
      kSecond,
      Append(2, 1, 1, {{2, LogEntry::Kind::kData, "x", {}}, {2, LogEntry::Kind::kData, "y", {}}}));
  const RaftOutput out = Receive(kSecond, Append(3, 1, 1, {{3, LogEntry::Kind::kData, "z", {}}}));
  EXPECT_EQ(a.last_log_index(), 2U);
  EXPECT_EQ(out.writes.back().first_index, 2U);
  // What it does not have is asked for, not taken with a gap.
  const RaftOutput gap = Receive(kSecond, Append(3, 9, 3, {{3, LogEntry::Kind::kData, "w", {}}}));
  EXPECT_FALSE(gap.messages.at(0).message.granted);
  EXPECT_EQ(gap.messages.at(0).message.index, 2U);
}

TEST_F(Voting, TurnsAwayTheWordOfAnOldLeader) {
  Receive(kSecond, Append(3, 1, 1, {}));
  const RaftOutput out = Receive(kSecond, Append(2, 1, 1, {{2, LogEntry::Kind::kData, "x", {}}}));
  EXPECT_FALSE(out.messages.at(0).message.granted);
  EXPECT_EQ(out.messages.at(0).message.term, 3U);
  EXPECT_EQ(a.last_log_index(), 1U);
}

// A lease is counted from when it was asked for: the answer may have lain in a buffer.
TEST_F(Voting, CountsItsLeaseFromWhenItAsked) {
  Message m = Append(2, 1, 1, {});
  m.asked_at = kSecond;
  Receive(kSecond + Time(900'000), m);
  EXPECT_EQ(a.LeaseUntil(kSecond), kSecond + LeaseHolderDuration(RaftTiming()));
  EXPECT_LT(LeaseHolderDuration(RaftTiming()), RaftTiming().lease_duration);
  EXPECT_GT(LeaseWaitDuration(RaftTiming()), RaftTiming().lease_duration);
}

// A disk that was put back from a copy has forgotten a vote or an acknowledgement.
TEST_F(Voting, FindsOutThatItsDiskHasGoneBack) {
  Message m = Append(2, 1, 1, {});
  m.claim_of_receiver = {1, 1, 3,
                         0};  // it has told of term 3 in this life and start: its disk has 1
  const RaftOutput out = Receive(kSecond, m);
  EXPECT_TRUE(out.storage_rolled_back);
  EXPECT_TRUE(out.messages.empty());
  EXPECT_FALSE(a.IsVotingMember());
  EXPECT_TRUE(Receive(3 * kSecond, AskVote(4, false, 9, 3)).messages.empty());
}

// A member of the same name with another disk is another member: it does not count as the voter.
TEST_F(Voting, DoesNotCountAnotherLifeOfAVoter) {
  RaftOutput out;
  a.OnPeerConnected(Time(0), "b", 22, {}, out);
  Time now{0};
  while (a.role() != Role::kPreCandidate)
    a.OnTimeout(now = a.NextTimeout(), out);
  Message vote;
  vote.type = Message::Type::kRequestVoteReply;
  vote.from = "b";
  vote.to = "a";
  vote.from_incarnation = 22;
  vote.term = 1;
  vote.is_pre_vote = vote.granted = true;
  EXPECT_EQ(a.role(), Role::kPreCandidate);
  Receive(now, vote);
  EXPECT_EQ(a.role(), Role::kPreCandidate);
}

// Hundreds of versions applied in one event would hold up all that its process does beside; and one
// that told them as applied before they are would be taken to act on what it does not.
TEST_F(Voting, AppliesMuchInPartsAndTellsWhatItHasApplied) {
  const LogEntry entry{2, LogEntry::Kind::kData, "x", {}};
  Message m = Append(2, 1, 1, {entry, entry, entry});
  m.commit_index = 4;
  a.set_apply_cost_bytes(RaftTiming().max_apply_bytes);
  RaftOutput out = Receive(kSecond, m);
  EXPECT_EQ(out.applied.size(), 2U);  // the voters, and one of the users'
  EXPECT_EQ(out.messages.at(0).message.index, 4U);
  EXPECT_EQ(out.messages.at(0).message.commit_index, 2U);
  EXPECT_EQ(a.NextTimeout(), Time(0));
  out = {};
  a.OnTimeout(kSecond, out);
  EXPECT_EQ(a.last_applied(), 3U);
  EXPECT_TRUE(out.messages.empty());
  a.OnTimeout(kSecond, out);
  EXPECT_FALSE(a.HasEntriesToApply());
  EXPECT_GT(a.NextTimeout(), kSecond);
  // The leader waits for that: it is told at once, and asks for no lease by it.
  ASSERT_EQ(out.messages.size(), 1U);
  EXPECT_EQ(out.messages[0].message.type, Message::Type::kAppendEntriesReply);
  EXPECT_EQ(out.messages[0].message.to, "b");
  EXPECT_TRUE(out.messages[0].message.granted);
  EXPECT_EQ(out.messages[0].message.index, 4U);
  EXPECT_EQ(out.messages[0].message.commit_index, 4U);
  EXPECT_LT(out.messages[0].message.asked_at, Time(0));
  // Light ones go together.
  a.set_apply_cost_bytes(0);
  m = Append(2, 4, 2, {entry, entry, entry});
  m.commit_index = 7;
  EXPECT_EQ(Receive(kSecond, m).applied.size(), 3U);
}

// Entries may be large in themselves, before anything is known of what they make.
TEST_F(Voting, AppliesLargeEntriesOneByOne) {
  const LogEntry whole{
      2, LogEntry::Kind::kData, std::string(RaftTiming().max_apply_bytes / 2, 'x'), {}};
  const LogEntry small{2, LogEntry::Kind::kData, "x", {}};
  Message m = Append(2, 1, 1, {whole, small, small});
  m.commit_index = 4;
  EXPECT_EQ(Receive(kSecond, m).applied.size(), 2U);
}

class Leading : public Voting {
 protected:
  void SetUp() override {
    RaftOutput out;
    a.OnPeerConnected(Time(0), "b", 2, {}, out);
    a.OnPeerConnected(Time(0), "c", 3, {}, out);
    while (a.role() != Role::kPreCandidate)
      a.OnTimeout(now = a.NextTimeout(), out);
    Vote(true, 1);
    Vote(false, 2);
    EXPECT_EQ(a.role(), Role::kCandidate);  // its own vote is not on its disk yet
    a.OnDurable(now, 1, out);
    ASSERT_EQ(a.role(), Role::kLeader);
  }
  void Vote(bool trial, Term term) {
    Message vote;
    vote.type = Message::Type::kRequestVoteReply;
    vote.from = "b";
    vote.to = "a";
    vote.from_incarnation = 2;
    vote.term = term;
    vote.is_pre_vote = trial;
    vote.granted = true;
    Receive(now, vote);
  }
  RaftOutput Acknowledge(const std::string& from, uint64_t life, Index index, Time sent) {
    Message m;
    m.type = Message::Type::kAppendEntriesReply;
    m.from = from;
    m.to = "a";
    m.from_incarnation = life;
    m.term = 2;
    m.granted = true;
    m.index = index;
    m.commit_index = index;
    m.sent_at = sent;
    m.asked_at = Time(1);
    return Receive(now, m);
  }
  Time now{0};
};

// A leader that cannot know itself leader gives no word: another may have been elected.
TEST_F(Leading, LeadsOnlyWhileAMajorityAnswers) {
  RaftOutput out;
  EXPECT_FALSE(a.IsLeaderWithLease(now));
  EXPECT_FALSE(a.Propose(now, "x", out).has_value());
  Acknowledge("b", 2, 2, now);
  EXPECT_TRUE(a.IsLeaderWithLease(now));
  EXPECT_FALSE(a.IsLeaderWithLease(now + RaftTiming().election_timeout));
  a.OnTimeout(now + 2 * RaftTiming().election_timeout, out);
  EXPECT_EQ(a.role(), Role::kFollower);
}

// Agreed is what a majority has on its disks, its own counted only once it is there.
TEST_F(Leading, CountsItsOwnDiskOnlyOnceItIsWritten) {
  Acknowledge("b", 2, 2, now);
  EXPECT_EQ(a.commit_index(), 0U);
  RaftOutput out;
  a.OnDurable(now, 2, out);
  EXPECT_EQ(a.commit_index(), 2U);
}

// Two changes of voters at once could each have a majority of its own.
TEST_F(Leading, ChangesVotersOneAtATime) {
  RaftOutput out;
  Acknowledge("b", 2, 2, now);
  EXPECT_FALSE(a.ProposeVoters(now, {{"a", 1}, {"b", 2}}, out).has_value());
  a.OnDurable(now, 2, out);
  EXPECT_TRUE(a.ProposeVoters(now, {{"a", 1}, {"b", 2}}, out).has_value());
  EXPECT_FALSE(a.ProposeVoters(now, {{"a", 1}}, out).has_value());
}

// What an earlier leader granted may run on: nothing that contradicts is switched on before.
TEST_F(Leading, WaitsForTheLeasesOfTheLeaderBefore) {
  RaftOutput out;
  a.OnDurable(now, 2, out);
  Acknowledge("b", 2, 2, now);
  Acknowledge("c", 3, 2, now);
  EXPECT_FALSE(a.AllLeaseHoldersApplied(now, 2));
  now += LeaseWaitDuration(RaftTiming());
  Acknowledge("b", 2, 2, now);
  Acknowledge("c", 3, 2, now);
  EXPECT_TRUE(a.AllLeaseHoldersApplied(now, 2));
  EXPECT_FALSE(a.AllLeaseHoldersApplied(now, 3));
}

// A new leader does not know at once what its predecessors have put in force, and whoever holds a
// lease of it acts on what it has.
TEST_F(Leading, HasAndGivesNoLeaseBeforeItKnowsWhatIsAgreed) {
  RaftOutput out;
  Acknowledge("b", 2, 2, now);
  EXPECT_TRUE(a.IsLeaderWithLease(now));
  EXPECT_LT(a.LeaseUntil(now), Time(0));
  a.OnTimeout(now += RaftTiming().heartbeat_interval, out);
  for (const OutgoingMessage& o : out.messages)
    EXPECT_LT(o.message.asked_at, Time(0));
  a.OnDurable(now, 2, out);
  EXPECT_GT(a.LeaseUntil(now), now);
}

// The same where it knows, and has not applied all of it yet.
TEST_F(Leading, HasAndGivesNoLeaseWhileItCatchesUp) {
  RaftOutput out;
  a.OnDurable(now, 2, out);
  Acknowledge("b", 2, 2, now);
  a.set_apply_cost_bytes(RaftTiming().max_apply_bytes);
  for (int i = 0; i < 3; ++i)
    a.Propose(now, "x", out);
  out = {};
  a.OnDurable(now, 9, out);
  Acknowledge("b", 2, 5, now);
  EXPECT_TRUE(a.HasEntriesToApply());
  EXPECT_LT(a.LeaseUntil(now), Time(0));
  out = {};
  a.OnTimeout(now += RaftTiming().heartbeat_interval, out);
  EXPECT_TRUE(a.HasEntriesToApply());
  for (const OutgoingMessage& o : out.messages)
    EXPECT_LT(o.message.asked_at, Time(0));
  a.OnTimeout(now, out);
  EXPECT_FALSE(a.HasEntriesToApply());
  EXPECT_GT(a.LeaseUntil(now), now);
}

// A slow one must not hold the others: without what it must know its lease is not renewed.
TEST_F(Leading, GivesNoLeaseToOneThatDoesNotKnowWhatItMust) {
  RaftOutput out;
  a.OnDurable(now, 2, out);
  a.RequireAppliedForLease(3);
  Acknowledge("b", 2, 2, now);
  out = {};
  a.OnTimeout(now += RaftTiming().heartbeat_interval, out);
  for (const OutgoingMessage& o : out.messages)
    EXPECT_LT(o.message.asked_at, Time(0));
  Acknowledge("b", 2, 3, now);
  out = {};
  a.OnTimeout(now += RaftTiming().heartbeat_interval, out);
  bool granted = false;
  for (const OutgoingMessage& o : out.messages)
    granted = granted || o.message.asked_at >= Time(0);
  EXPECT_TRUE(granted);
}

TEST(Timings, ThatMakeNoSenseAreRefused) {
  RaftTiming t;
  t.lease_duration = t.heartbeat_interval;
  EXPECT_THROW(RaftNode("a", t, {}, 1, Time(0)), std::invalid_argument);
}

}  // namespace
}  // namespace paddlestile::raft
