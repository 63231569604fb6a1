// The Raft node: settings, invariants, and storage that was rolled back.
#include <gtest/gtest.h>

#include <stdexcept>

#include "raft/raft_node_fixture.h"

namespace paddlestile::raft {
namespace {

// Storage restored from a copy has forgotten votes and acknowledgements.
TEST_F(RaftFollowerTest, DetectsThatItsStorageWasRolledBack) {
  Message request = AppendEntries(2, 1, 1, {});
  // In this start it claimed to hold term 3, and it holds term 1.
  request.claim_of_receiver = {1, 1, 3, 0};
  const RaftOutput out = Receive(kSecond, request);
  EXPECT_TRUE(out.storage_rolled_back);
  EXPECT_TRUE(out.messages.empty());
  EXPECT_FALSE(node.IsVotingMember());
  EXPECT_TRUE(Receive(3 * kSecond, RequestVote(4, false, 9, 3)).messages.empty());
}

// The invariants that the fixtures check after each message.
TEST(RaftInvariantsTest, FindsTermsThatContradictTheLog) {
  PersistentState state = StateWithVoters(1, 2, kThreeVoters);
  EXPECT_FALSE(FindBrokenInvariant(RaftNode("a", {}, state, 7, Time(0))));
  state.log.push_back(DataEntry(3, "x"));
  EXPECT_EQ(FindBrokenInvariant(RaftNode("a", {}, state, 7, Time(0))),
            "a term above the current one, at 2");
  state.current_term = 3;
  state.log.push_back(DataEntry(2, "y"));
  EXPECT_EQ(FindBrokenInvariant(RaftNode("a", {}, state, 7, Time(0))),
            "a term below that of the entry before it, at 3");
}

TEST(RaftTimingTest, RejectsInvalidSettings) {
  RaftTiming timing;
  timing.lease_duration = timing.heartbeat_interval;
  EXPECT_THROW(RaftNode("a", timing, {}, 1, Time(0)), std::invalid_argument);
}

}  // namespace
}  // namespace paddlestile::raft
