// After a restart: whom a voter votes for whose storage may have been rolled back unseen.
#include "raft/restart_guard.h"

#include <gtest/gtest.h>

#include "raft/raft_node_fixture.h"

namespace paddlestile::raft {
namespace {

constexpr Time kEnd = 5 * kSecond;
constexpr LogPosition kCommitted{2, 8};
constexpr LogPosition kOlder{2, 5};

TEST(RestartGuardTest, NeverRestrictsStorageInItsFirstStart) {
  const RestartGuard guard;
  EXPECT_TRUE(guard.MayVote(Time(0), 1, {}, kThreeVoters));
}

TEST(RestartGuardTest, WaitsForBothOtherVotersOfThree) {
  RestartGuard guard("a", kEnd);
  guard.OnHeard(kSecond, "b", kOlder, 2, kThreeVoters);
  guard.OnHeard(kSecond, "b", kOlder, 2, kThreeVoters);
  guard.OnHeard(kSecond, "x", kCommitted, 2, kThreeVoters);  // no voter
  EXPECT_FALSE(guard.MayVote(kSecond, 3, kOlder, kThreeVoters));
  guard.OnHeard(kSecond, "c", kCommitted, 2, kThreeVoters);
  // Not for one that lacks what c holds, and not in a term in which it may have voted.
  EXPECT_FALSE(guard.MayVote(kSecond, 3, kOlder, kThreeVoters));
  EXPECT_FALSE(guard.MayVote(kSecond, 2, kCommitted, kThreeVoters));
  EXPECT_TRUE(guard.MayVote(kSecond, 3, kCommitted, kThreeVoters));
}

TEST(RestartGuardTest, WaitsForThreeOthersOfFiveVoters) {
  const std::vector<Voter> voters = {{"a", 1}, {"b", 2}, {"c", 3}, {"d", 4}, {"e", 5}};
  RestartGuard guard("a", kEnd);
  guard.OnHeard(kSecond, "b", kOlder, 2, voters);
  guard.OnHeard(kSecond, "c", kOlder, 2, voters);
  EXPECT_FALSE(guard.MayVote(kSecond, 3, kOlder, voters));
  guard.OnHeard(kSecond, "d", kOlder, 2, voters);
  EXPECT_TRUE(guard.MayVote(kSecond, 3, kOlder, voters));
}

TEST(RestartGuardTest, EndsAtItsTime) {
  const RestartGuard guard("a", kEnd);
  EXPECT_FALSE(guard.MayVote(kEnd - Time(1), 3, kOlder, kThreeVoters));
  EXPECT_TRUE(guard.MayVote(kEnd, 3, kOlder, kThreeVoters));
}

// Candidates raise their terms again and again: what is heard after enough was heard must not
// keep them from ever getting this vote.
TEST(RestartGuardTest, LearnsNothingOnceEnoughWereHeard) {
  RestartGuard guard("a", kEnd);
  guard.OnHeard(kSecond, "b", kOlder, 2, kThreeVoters);
  guard.OnHeard(kSecond, "c", kOlder, 2, kThreeVoters);
  guard.OnHeard(kSecond, "b", kCommitted, 9, kThreeVoters);
  EXPECT_TRUE(guard.MayVote(kSecond, 3, kOlder, kThreeVoters));
}

// What a voter held that came back with other storage is lost, and cannot be waited for.
TEST(RestartGuardTest, CountsAVoterWhoseStorageWasReplacedAfterAWhile) {
  RestartGuard guard("a", kEnd);
  guard.OnHeard(kSecond, "b", kOlder, 2, kThreeVoters);
  guard.OnStorageReplaced("c", 2 * kSecond);
  EXPECT_FALSE(guard.MayVote(kSecond, 3, kOlder, kThreeVoters));
  EXPECT_TRUE(guard.MayVote(2 * kSecond, 3, kOlder, kThreeVoters));
}

TEST(RestartGuardTest, WaitsWhereItsLogKnowsNoVoters) {
  const RestartGuard guard("a", kEnd);
  EXPECT_FALSE(guard.MayVote(kSecond, 3, kCommitted, {}));
}

// Member a after a restart, in term 1, with the configuration alone in its log.
class RestartedVoterTest : public RaftFollowerTest {
 protected:
  void SetUp() override {
    PersistentState state = StateWithVoters(1, 1, kThreeVoters);
    state.restart_count = 2;
    node = RaftNode("a", {}, state, 7, Time(0));
    RaftOutput out;
    node.OnPeerConnected(Time(0), "b", 2, {}, out);
    node.OnPeerConnected(Time(0), "c", 3, {}, out);
  }
  static Message ClaimOf(const std::string& from, uint64_t incarnation, LogPosition log_end) {
    Message claim = MessageFromB(Message::Type::kStorageClaim, 1);
    claim.from = from;
    claim.from_incarnation = incarnation;
    claim.index = log_end.index;
    claim.index_term = log_end.term;
    return claim;
  }
};

// b lags; c, which is cut off, has what a acknowledged before its storage was rolled back.
TEST_F(RestartedVoterTest, GivesNoMajorityToACandidateThatLacksWhatTheThirdHolds) {
  EXPECT_FALSE(Receive(kSecond, RequestVote(2, true, 1, 1)).messages.at(0).message.granted);
  EXPECT_FALSE(Receive(kSecond, RequestVote(2, false, 1, 1)).messages.at(0).message.granted);
  Receive(2 * kSecond, ClaimOf("c", 3, {1, 4}));
  EXPECT_FALSE(Receive(2 * kSecond, RequestVote(3, false, 1, 1)).messages.at(0).message.granted);
  EXPECT_TRUE(Receive(2 * kSecond, RequestVote(4, false, 4, 1)).messages.at(0).message.granted);
}

TEST_F(RestartedVoterTest, StartsNoElectionBeforeItHasHeardTheOthers) {
  RaftOutput out;
  node.OnTimeout(2 * kSecond, out);
  EXPECT_EQ(node.role(), Role::kFollower);
  Receive(2 * kSecond, ClaimOf("b", 2, {1, 1}));
  Receive(2 * kSecond, ClaimOf("c", 3, {1, 1}));
  node.OnTimeout(4 * kSecond, out);
  EXPECT_EQ(node.role(), Role::kPreCandidate);
}

// A voter whose log was rolled back to before it had any voters does not know that it votes, and is
// waited for.
TEST_F(RaftFollowerTest, AMemberThatKnowsNoVotersAnswersAClaimWithItsOwn) {
  PersistentState state;
  state.incarnation = 1;
  state.restart_count = 2;
  node = RaftNode("a", {}, state, 7, Time(0));
  const RaftOutput out = Receive(kSecond, MessageFromB(Message::Type::kStorageClaim, 2));
  ASSERT_EQ(out.messages.size(), 1U);
  EXPECT_EQ(out.messages[0].message.type, Message::Type::kStorageClaim);
  EXPECT_EQ(out.messages[0].message.to, "b");
}

}  // namespace
}  // namespace paddlestile::raft
