// The agreed log, a message at a time: what a voter must not do whatever it is told.
#include "raft/raft_node.h"

#include <gtest/gtest.h>

#include <stdexcept>

namespace paddlestile::raft {
namespace {

constexpr Time kSecond{1'000'000};

Disk Of(uint64_t life, Term term, std::vector<Voter> voters) {
  Disk disk;
  disk.life = life;
  disk.boot = 1;
  disk.term = term;
  disk.log = {{1, Entry::Kind::kVoters, {}, std::move(voters)}};
  return disk;
}

const std::vector<Voter> kThree = {{"a", 1}, {"b", 2}, {"c", 3}};

Message AskVote(Term term, bool trial, Index index, Term index_term) {
  Message m;
  m.type = Message::Type::kAskVote;
  m.from = "b", m.to = "a", m.from_life = 2;
  m.term = term, m.trial = trial, m.index = index, m.index_term = index_term;
  return m;
}

Message Append(Term term, Index before, Term before_term, std::vector<Entry> entries) {
  Message m;
  m.from = "b", m.to = "a", m.from_life = 2;
  m.term = term, m.index = before, m.index_term = before_term;
  m.entries = std::move(entries);
  return m;
}

class Voting : public ::testing::Test {
 protected:
  Output Receive(Time at, const Message& m) {
    Output out;
    a.Receive(at, m, out);
    return out;
  }
  Agreement a{"a", {}, Of(1, 1, kThree), 7, Time(0)};
};

// A vote of the process before may have been for a leader that was heard just before it ended.
TEST_F(Voting, GivesNoVoteRightAfterAStart) {
  EXPECT_FALSE(Receive(Time(100'000), AskVote(2, true, 1, 1)).sends.at(0).message.granted);
  EXPECT_TRUE(Receive(Time(100'000), AskVote(2, false, 1, 1)).sends.empty());
  EXPECT_TRUE(Receive(kSecond, AskVote(2, true, 1, 1)).sends.at(0).message.granted);
}

// A vote that is not on the disk when it is answered could be given again after a power loss.
TEST_F(Voting, AnswersAVoteOnlyOnceItIsDurable) {
  const Output out = Receive(kSecond, AskVote(2, false, 1, 1));
  ASSERT_EQ(out.sends.size(), 1U);
  EXPECT_TRUE(out.sends[0].message.granted);
  ASSERT_FALSE(out.writes.empty());
  EXPECT_EQ(out.writes.back().vote, "b");
  EXPECT_EQ(out.sends[0].after, out.writes.back().ticket);
}

TEST_F(Voting, VotesOnceInATerm) {
  Receive(kSecond, AskVote(2, false, 1, 1));
  Message other = AskVote(2, false, 1, 1);
  other.from = "c", other.from_life = 3;
  EXPECT_FALSE(Receive(kSecond, other).sends.at(0).message.granted);
}

// The same from its disk: a restart between.
TEST_F(Voting, RemembersItsVoteOverAStart) {
  Disk disk = Of(1, 2, kThree);
  disk.vote = "c";
  a = Agreement("a", {}, disk, 7, Time(0));
  EXPECT_FALSE(Receive(kSecond, AskVote(2, false, 1, 1)).sends.at(0).message.granted);
}

TEST_F(Voting, GivesNoVoteToOneThatIsBehind) {
  Receive(kSecond, Append(2, 1, 1, {{2, Entry::Kind::kData, "x", {}}}));
  EXPECT_FALSE(Receive(3 * kSecond, AskVote(3, false, 1, 1)).sends.at(0).message.granted);
  EXPECT_TRUE(Receive(3 * kSecond, AskVote(3, false, 2, 2)).sends.at(0).message.granted);
}

// One that hears and is not heard asks again and again: it must not topple the leader, and the
// leader's lease rests on nobody voting against it meanwhile.
TEST_F(Voting, StaysWithALeaderThatItHears) {
  Receive(kSecond, Append(2, 1, 1, {}));
  EXPECT_TRUE(Receive(kSecond + Time(400'000), AskVote(9, false, 1, 1)).sends.empty());
  EXPECT_EQ(a.term(), 2U);
}

// An acknowledgement counts towards the majority: it must not go out before the entries are safe.
TEST_F(Voting, AcknowledgesOnlyWhatIsDurable) {
  const Output out = Receive(kSecond, Append(2, 1, 1, {{2, Entry::Kind::kData, "x", {}}}));
  ASSERT_EQ(out.sends.size(), 1U);
  EXPECT_EQ(out.sends[0].message.index, 2U);
  EXPECT_EQ(out.sends[0].after, out.writes.back().ticket);
}

TEST_F(Voting, TakesAwayWhatAnotherTermHadBehind) {
  Receive(kSecond,
          Append(2, 1, 1, {{2, Entry::Kind::kData, "x", {}}, {2, Entry::Kind::kData, "y", {}}}));
  const Output out = Receive(kSecond, Append(3, 1, 1, {{3, Entry::Kind::kData, "z", {}}}));
  EXPECT_EQ(a.last(), 2U);
  EXPECT_EQ(out.writes.back().from, 2U);
  // What it does not have is asked for, not taken with a gap.
  const Output gap = Receive(kSecond, Append(3, 9, 3, {{3, Entry::Kind::kData, "w", {}}}));
  EXPECT_FALSE(gap.sends.at(0).message.granted);
  EXPECT_EQ(gap.sends.at(0).message.index, 2U);
}

TEST_F(Voting, TurnsAwayTheWordOfAnOldLeader) {
  Receive(kSecond, Append(3, 1, 1, {}));
  const Output out = Receive(kSecond, Append(2, 1, 1, {{2, Entry::Kind::kData, "x", {}}}));
  EXPECT_FALSE(out.sends.at(0).message.granted);
  EXPECT_EQ(out.sends.at(0).message.term, 3U);
  EXPECT_EQ(a.last(), 1U);
}

// A lease is counted from when it was asked for: the answer may have lain in a buffer.
TEST_F(Voting, CountsItsLeaseFromWhenItAsked) {
  Message m = Append(2, 1, 1, {});
  m.asked = kSecond;
  Receive(kSecond + Time(900'000), m);
  EXPECT_EQ(a.LeaseUntil(kSecond), kSecond + HeldFor(Timing()));
  EXPECT_LT(HeldFor(Timing()), Timing().lease);
  EXPECT_GT(WaitFor(Timing()), Timing().lease);
}

// A disk that was put back from a copy has forgotten a vote or an acknowledgement.
TEST_F(Voting, FindsOutThatItsDiskHasGoneBack) {
  Message m = Append(2, 1, 1, {});
  m.of_you = {1, 1, 3, 0};  // it has told of term 3 in this life and start: its disk has 1
  const Output out = Receive(kSecond, m);
  EXPECT_TRUE(out.forgot);
  EXPECT_TRUE(out.sends.empty());
  EXPECT_FALSE(a.Votes());
  EXPECT_TRUE(Receive(3 * kSecond, AskVote(4, false, 9, 3)).sends.empty());
}

// A member of the same name with another disk is another member: it does not count as the voter.
TEST_F(Voting, DoesNotCountAnotherLifeOfAVoter) {
  Output out;
  a.Linked(Time(0), "b", 22, {}, out);
  Time now{0};
  while (a.role() != Role::kTrial) a.Tick(now = a.NextDue(), out);
  Message vote;
  vote.type = Message::Type::kVote;
  vote.from = "b", vote.to = "a", vote.from_life = 22, vote.term = 1;
  vote.trial = vote.granted = true;
  EXPECT_EQ(a.role(), Role::kTrial);
  Receive(now, vote);
  EXPECT_EQ(a.role(), Role::kTrial);
}

// Hundreds of versions applied in one event would hold up all that its process does beside; and one
// that told them as applied before they are would be taken to act on what it does not.
TEST_F(Voting, AppliesMuchInPartsAndTellsWhatItHasApplied) {
  const Entry entry{2, Entry::Kind::kData, "x", {}};
  Message m = Append(2, 1, 1, {entry, entry, entry});
  m.commit = 4;
  a.Weigh(Timing().apply_bytes);
  Output out = Receive(kSecond, m);
  EXPECT_EQ(out.applied.size(), 2U);  // the voters, and one of the users'
  EXPECT_EQ(out.sends.at(0).message.index, 4U);
  EXPECT_EQ(out.sends.at(0).message.commit, 2U);
  EXPECT_EQ(a.NextDue(), Time(0));
  out = {};
  a.Tick(kSecond, out);
  EXPECT_EQ(a.applied(), 3U);
  EXPECT_TRUE(out.sends.empty());
  a.Tick(kSecond, out);
  EXPECT_FALSE(a.Behind());
  EXPECT_GT(a.NextDue(), kSecond);
  // The leader waits for that: it is told at once, and asks for no lease by it.
  ASSERT_EQ(out.sends.size(), 1U);
  EXPECT_EQ(out.sends[0].message.type, Message::Type::kAppended);
  EXPECT_EQ(out.sends[0].message.to, "b");
  EXPECT_TRUE(out.sends[0].message.granted);
  EXPECT_EQ(out.sends[0].message.index, 4U);
  EXPECT_EQ(out.sends[0].message.commit, 4U);
  EXPECT_LT(out.sends[0].message.asked, Time(0));
  // Light ones go together.
  a.Weigh(0);
  m = Append(2, 4, 2, {entry, entry, entry});
  m.commit = 7;
  EXPECT_EQ(Receive(kSecond, m).applied.size(), 3U);
}

// Entries may be large in themselves, before anything is known of what they make.
TEST_F(Voting, AppliesLargeEntriesOneByOne) {
  const Entry whole{2, Entry::Kind::kData, std::string(Timing().apply_bytes / 2, 'x'), {}};
  const Entry small{2, Entry::Kind::kData, "x", {}};
  Message m = Append(2, 1, 1, {whole, small, small});
  m.commit = 4;
  EXPECT_EQ(Receive(kSecond, m).applied.size(), 2U);
}

class Leading : public Voting {
 protected:
  void SetUp() override {
    Output out;
    a.Linked(Time(0), "b", 2, {}, out);
    a.Linked(Time(0), "c", 3, {}, out);
    while (a.role() != Role::kTrial) a.Tick(now = a.NextDue(), out);
    Vote(true, 1);
    Vote(false, 2);
    EXPECT_EQ(a.role(), Role::kCandidate);  // its own vote is not on its disk yet
    a.Durable(now, 1, out);
    ASSERT_EQ(a.role(), Role::kLeader);
  }
  void Vote(bool trial, Term term) {
    Message vote;
    vote.type = Message::Type::kVote;
    vote.from = "b", vote.to = "a", vote.from_life = 2, vote.term = term;
    vote.trial = trial, vote.granted = true;
    Receive(now, vote);
  }
  Output Acknowledge(const std::string& from, uint64_t life, Index index, Time sent) {
    Message m;
    m.type = Message::Type::kAppended;
    m.from = from, m.to = "a", m.from_life = life, m.term = 2;
    m.granted = true, m.index = index, m.commit = index, m.sent = sent, m.asked = Time(1);
    return Receive(now, m);
  }
  Time now{0};
};

// A leader that cannot know itself leader gives no word: another may have been elected.
TEST_F(Leading, LeadsOnlyWhileAMajorityAnswers) {
  Output out;
  EXPECT_FALSE(a.Leads(now));
  EXPECT_FALSE(a.Propose(now, "x", out).has_value());
  Acknowledge("b", 2, 2, now);
  EXPECT_TRUE(a.Leads(now));
  EXPECT_FALSE(a.Leads(now + Timing().election));
  a.Tick(now + 2 * Timing().election, out);
  EXPECT_EQ(a.role(), Role::kFollower);
}

// Agreed is what a majority has on its disks, its own counted only once it is there.
TEST_F(Leading, CountsItsOwnDiskOnlyOnceItIsWritten) {
  Acknowledge("b", 2, 2, now);
  EXPECT_EQ(a.commit(), 0U);
  Output out;
  a.Durable(now, 2, out);
  EXPECT_EQ(a.commit(), 2U);
}

// Two changes of voters at once could each have a majority of its own.
TEST_F(Leading, ChangesVotersOneAtATime) {
  Output out;
  Acknowledge("b", 2, 2, now);
  EXPECT_FALSE(a.ProposeVoters(now, {{"a", 1}, {"b", 2}}, out).has_value());
  a.Durable(now, 2, out);
  EXPECT_TRUE(a.ProposeVoters(now, {{"a", 1}, {"b", 2}}, out).has_value());
  EXPECT_FALSE(a.ProposeVoters(now, {{"a", 1}}, out).has_value());
}

// What an earlier leader granted may run on: nothing that contradicts is switched on before.
TEST_F(Leading, WaitsForTheLeasesOfTheLeaderBefore) {
  Output out;
  a.Durable(now, 2, out);
  Acknowledge("b", 2, 2, now);
  Acknowledge("c", 3, 2, now);
  EXPECT_FALSE(a.AllApplied(now, 2));
  now += WaitFor(Timing());
  Acknowledge("b", 2, 2, now);
  Acknowledge("c", 3, 2, now);
  EXPECT_TRUE(a.AllApplied(now, 2));
  EXPECT_FALSE(a.AllApplied(now, 3));
}

// A new leader does not know at once what its predecessors have put in force, and whoever holds a
// lease of it acts on what it has.
TEST_F(Leading, HasAndGivesNoLeaseBeforeItKnowsWhatIsAgreed) {
  Output out;
  Acknowledge("b", 2, 2, now);
  EXPECT_TRUE(a.Leads(now));
  EXPECT_LT(a.LeaseUntil(now), Time(0));
  a.Tick(now += Timing().heartbeat, out);
  for (const Outgoing& o : out.sends) EXPECT_LT(o.message.asked, Time(0));
  a.Durable(now, 2, out);
  EXPECT_GT(a.LeaseUntil(now), now);
}

// The same where it knows, and has not applied all of it yet.
TEST_F(Leading, HasAndGivesNoLeaseWhileItCatchesUp) {
  Output out;
  a.Durable(now, 2, out);
  Acknowledge("b", 2, 2, now);
  a.Weigh(Timing().apply_bytes);
  for (int i = 0; i < 3; ++i) a.Propose(now, "x", out);
  out = {};
  a.Durable(now, 9, out);
  Acknowledge("b", 2, 5, now);
  EXPECT_TRUE(a.Behind());
  EXPECT_LT(a.LeaseUntil(now), Time(0));
  out = {};
  a.Tick(now += Timing().heartbeat, out);
  EXPECT_TRUE(a.Behind());
  for (const Outgoing& o : out.sends) EXPECT_LT(o.message.asked, Time(0));
  a.Tick(now, out);
  EXPECT_FALSE(a.Behind());
  EXPECT_GT(a.LeaseUntil(now), now);
}

// A slow one must not hold the others: without what it must know its lease is not renewed.
TEST_F(Leading, GivesNoLeaseToOneThatDoesNotKnowWhatItMust) {
  Output out;
  a.Durable(now, 2, out);
  a.Require(3);
  Acknowledge("b", 2, 2, now);
  out = {};
  a.Tick(now += Timing().heartbeat, out);
  for (const Outgoing& o : out.sends) EXPECT_LT(o.message.asked, Time(0));
  Acknowledge("b", 2, 3, now);
  out = {};
  a.Tick(now += Timing().heartbeat, out);
  bool granted = false;
  for (const Outgoing& o : out.sends) granted = granted || o.message.asked >= Time(0);
  EXPECT_TRUE(granted);
}

TEST(Timings, ThatMakeNoSenseAreRefused) {
  Timing t;
  t.lease = t.heartbeat;
  EXPECT_THROW(Agreement("a", t, {}, 1, Time(0)), std::invalid_argument);
}

}  // namespace
}  // namespace paddlestile::raft
