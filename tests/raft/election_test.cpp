// Tests when a voter grants its vote, and to which candidates.
#include <gtest/gtest.h>

#include "raft/raft_node_fixture.h"

namespace paddlestile::raft {
namespace {

// An earlier process of the member may have heard from a leader just before it ended.
TEST_F(RaftFollowerTest, GrantsNoVoteRightAfterAStart) {
  EXPECT_FALSE(Receive(Time(100'000), RequestVote(2, true, 1, 1)).messages.at(0).message.granted);
  EXPECT_TRUE(Receive(Time(100'000), RequestVote(2, false, 1, 1)).messages.empty());
  EXPECT_TRUE(Receive(kSecond, RequestVote(2, true, 1, 1)).messages.at(0).message.granted);
}

// If a vote were sent before it is durable, a power loss could make the member vote twice in a
// term.
TEST_F(RaftFollowerTest, GrantsAVoteOnlyOnceItIsDurable) {
  const RaftOutput out = Receive(kSecond, RequestVote(2, false, 1, 1));
  ASSERT_EQ(out.messages.size(), 1U);
  EXPECT_TRUE(out.messages[0].message.granted);
  ASSERT_FALSE(out.writes.empty());
  EXPECT_EQ(out.writes.back().voted_for, "b");
  EXPECT_EQ(out.messages[0].after_sequence_number, out.writes.back().sequence_number);
}

TEST_F(RaftFollowerTest, VotesOnceInATerm) {
  Receive(kSecond, RequestVote(2, false, 1, 1));
  Message request_of_c = RequestVote(2, false, 1, 1);
  request_of_c.from = "c";
  request_of_c.from_incarnation = 3;
  EXPECT_FALSE(Receive(kSecond, request_of_c).messages.at(0).message.granted);
}

TEST_F(RaftFollowerTest, RemembersItsVoteAcrossARestart) {
  PersistentState state = StateWithVoters(1, 2, kThreeVoters);
  state.voted_for = "c";
  node = RaftNode("a", {}, state, 7, Time(0));
  EXPECT_FALSE(Receive(kSecond, RequestVote(2, false, 1, 1)).messages.at(0).message.granted);
}

TEST_F(RaftFollowerTest, GrantsNoVoteToACandidateWithAnOlderLog) {
  Receive(kSecond, AppendEntries(2, 1, 1, {DataEntry(2, "x")}));
  EXPECT_FALSE(Receive(3 * kSecond, RequestVote(3, false, 1, 1)).messages.at(0).message.granted);
  EXPECT_TRUE(Receive(3 * kSecond, RequestVote(3, false, 2, 2)).messages.at(0).message.granted);
}

// Guards against a lost leader that is still reported, and to which changes are forwarded: a member
// that may not start an election kept it for ever.
TEST_F(RaftFollowerTest, ForgetsALostLeaderIfItMayNotCampaign) {
  node.set_may_campaign(false);
  Receive(kSecond, AppendEntries(1, 1, 1, {}));
  RaftOutput out;
  node.OnTimeout(kSecond + RaftTiming{}.election_timeout - Duration(1), out);
  EXPECT_EQ(node.leader(), "b");
  node.OnTimeout(kSecond + 2 * RaftTiming{}.election_timeout, out);
  EXPECT_EQ(node.leader(), "");
  EXPECT_EQ(node.role(), Role::kFollower);
  Receive(3 * kSecond, AppendEntries(1, 1, 1, {}));
  EXPECT_EQ(node.leader(), "b");
}

// A member that does not receive the leader's messages but can send its own keeps starting
// elections. It must not depose the leader, whose lease relies on its voters.
TEST_F(RaftFollowerTest, IgnoresCandidatesWhileInContactWithTheLeader) {
  Receive(kSecond, AppendEntries(2, 1, 1, {}));
  EXPECT_TRUE(Receive(kSecond + Time(400'000), RequestVote(9, false, 1, 1)).messages.empty());
  EXPECT_EQ(node.current_term(), 2U);
}

// A member with the same name but replaced storage is a different voter.
TEST_F(RaftFollowerTest, DoesNotCountTheVoteOfAnotherIncarnation) {
  RaftOutput out;
  node.OnPeerConnected(Time(0), "b", 22, {}, out);
  const Time now = WaitUntilPreCandidate(out);
  Message vote = RequestVoteReply(1, true);
  vote.from_incarnation = 22;
  EXPECT_EQ(node.role(), Role::kPreCandidate);
  Receive(now, vote);
  EXPECT_EQ(node.role(), Role::kPreCandidate);
}

}  // namespace
}  // namespace paddlestile::raft
