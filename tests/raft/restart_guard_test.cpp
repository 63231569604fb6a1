// Tests how a restarted voter votes, given that its storage may have been rolled back undetected.
#include "raft/restart_guard.h"

#include <gtest/gtest.h>

#include "raft/raft_node_fixture.h"

namespace paddlestile::raft {
namespace {

constexpr Time kGuardEnd = 5 * kSecond;
constexpr LogPosition kNewerLogEnd{2, 8};
constexpr LogPosition kOlderLogEnd{2, 5};

TEST(RestartGuardTest, NeverRestrictsStorageInItsFirstStart) {
  const RestartGuard guard;
  EXPECT_TRUE(guard.MayVote(Time(0), 1, {}, kThreeVoters));
}

TEST(RestartGuardTest, WaitsForBothOtherVotersOfThree) {
  RestartGuard guard("a", kGuardEnd);
  guard.OnHeardFrom(kSecond, "b", kOlderLogEnd, 2, kThreeVoters);
  guard.OnHeardFrom(kSecond, "b", kOlderLogEnd, 2, kThreeVoters);
  guard.OnHeardFrom(kSecond, "x", kNewerLogEnd, 2, kThreeVoters);  // not a voter
  EXPECT_FALSE(guard.MayVote(kSecond, 3, kOlderLogEnd, kThreeVoters));
  guard.OnHeardFrom(kSecond, "c", kNewerLogEnd, 2, kThreeVoters);
  // No vote for a candidate that lacks entries of c, or in a term in which "a" may have voted.
  EXPECT_FALSE(guard.MayVote(kSecond, 3, kOlderLogEnd, kThreeVoters));
  EXPECT_FALSE(guard.MayVote(kSecond, 2, kNewerLogEnd, kThreeVoters));
  EXPECT_TRUE(guard.MayVote(kSecond, 3, kNewerLogEnd, kThreeVoters));
}

TEST(RestartGuardTest, WaitsForThreeOthersOfFiveVoters) {
  const std::vector<Voter> voters = {{"a", 1}, {"b", 2}, {"c", 3}, {"d", 4}, {"e", 5}};
  RestartGuard guard("a", kGuardEnd);
  guard.OnHeardFrom(kSecond, "b", kOlderLogEnd, 2, voters);
  guard.OnHeardFrom(kSecond, "c", kOlderLogEnd, 2, voters);
  EXPECT_FALSE(guard.MayVote(kSecond, 3, kOlderLogEnd, voters));
  guard.OnHeardFrom(kSecond, "d", kOlderLogEnd, 2, voters);
  EXPECT_TRUE(guard.MayVote(kSecond, 3, kOlderLogEnd, voters));
}

TEST(RestartGuardTest, EndsAtTheGivenTime) {
  const RestartGuard guard("a", kGuardEnd);
  EXPECT_FALSE(guard.MayVote(kGuardEnd - Time(1), 3, kOlderLogEnd, kThreeVoters));
  EXPECT_TRUE(guard.MayVote(kGuardEnd, 3, kOlderLogEnd, kThreeVoters));
}

// Candidates keep raising their terms. Messages that arrive after a quorum was heard must not
// tighten the restriction, or no candidate would ever get this vote.
TEST(RestartGuardTest, IgnoresMessagesOnceAQuorumWasHeard) {
  RestartGuard guard("a", kGuardEnd);
  guard.OnHeardFrom(kSecond, "b", kOlderLogEnd, 2, kThreeVoters);
  guard.OnHeardFrom(kSecond, "c", kOlderLogEnd, 2, kThreeVoters);
  guard.OnHeardFrom(kSecond, "b", kNewerLogEnd, 9, kThreeVoters);
  EXPECT_TRUE(guard.MayVote(kSecond, 3, kOlderLogEnd, kThreeVoters));
}

// A voter that came back with new storage has lost its data, so there is nothing to wait for.
TEST(RestartGuardTest, CountsAVoterWithReplacedStorageAfterADelay) {
  RestartGuard guard("a", kGuardEnd);
  guard.OnHeardFrom(kSecond, "b", kOlderLogEnd, 2, kThreeVoters);
  guard.OnStorageReplaced("c", 2 * kSecond);
  EXPECT_FALSE(guard.MayVote(kSecond, 3, kOlderLogEnd, kThreeVoters));
  EXPECT_TRUE(guard.MayVote(2 * kSecond, 3, kOlderLogEnd, kThreeVoters));
}

TEST(RestartGuardTest, WaitsIfTheLogHasNoVoters) {
  const RestartGuard guard("a", kGuardEnd);
  EXPECT_FALSE(guard.MayVote(kSecond, 3, kNewerLogEnd, {}));
}

// Member a after a restart, in term 1, with only the configuration in its log.
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

// b lags behind. c, which is partitioned, has entries that a acknowledged before its storage was
// rolled back. If a voted for b, the two would elect a leader without these committed entries.
TEST_F(RestartedVoterTest, DoesNotVoteForACandidateThatLacksEntriesOfAnotherVoter) {
  EXPECT_FALSE(Receive(kSecond, RequestVote(2, true, 1, 1)).messages.at(0).message.granted);
  EXPECT_FALSE(Receive(kSecond, RequestVote(2, false, 1, 1)).messages.at(0).message.granted);
  Receive(2 * kSecond, ClaimOf("c", 3, {1, 4}));
  EXPECT_FALSE(Receive(2 * kSecond, RequestVote(3, false, 1, 1)).messages.at(0).message.granted);
  EXPECT_TRUE(Receive(2 * kSecond, RequestVote(4, false, 4, 1)).messages.at(0).message.granted);
}

TEST_F(RestartedVoterTest, StartsNoElectionBeforeHearingFromTheOthers) {
  RaftOutput out;
  node.OnTimeout(2 * kSecond, out);
  EXPECT_EQ(node.role(), Role::kFollower);
  Receive(2 * kSecond, ClaimOf("b", 2, {1, 1}));
  Receive(2 * kSecond, ClaimOf("c", 3, {1, 1}));
  node.OnTimeout(4 * kSecond, out);
  EXPECT_EQ(node.role(), Role::kPreCandidate);
}

// If a voter's log was rolled back to before its first configuration, the member does not know that
// it is a voter, but other restarted voters wait for its claim.
TEST_F(RaftFollowerTest, MemberWithoutVotersAnswersAClaimWithItsOwn) {
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
