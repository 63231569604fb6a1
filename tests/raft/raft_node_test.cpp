// Tests the Raft node's settings, its invariants, and the handling of storage that was rolled back.
#include <gtest/gtest.h>

#include <stdexcept>

#include "raft/raft_node_fixture.h"

namespace paddlestile::raft {
namespace {

// Storage restored from a backup lacks votes and acknowledgements that the member already gave.
TEST_F(RaftFollowerTest, DetectsThatItsStorageWasRolledBack) {
  Message request = AppendEntries(2, 1, 1, {});
  // The leader remembers a claim of this start with term 3, but storage holds term 1.
  request.claim_of_receiver = {1, 1, 3, 0};
  const RaftOutput out = Receive(kSecond, request);
  EXPECT_TRUE(out.storage_rolled_back);
  EXPECT_TRUE(out.messages.empty());
  EXPECT_FALSE(node.IsVotingMember());
  EXPECT_TRUE(Receive(3 * kSecond, RequestVote(4, false, 9, 3)).messages.empty());
}

// The test fixtures check these invariants after each message.
TEST(RaftInvariantsTest, FindsInvalidTerms) {
  PersistentState state = StateWithVoters(1, 2, kThreeVoters);
  EXPECT_FALSE(FindInvariantViolation(RaftNode("a", {}, state, 7, Time(0))));
  state.log.push_back(DataEntry(3, "x"));
  EXPECT_EQ(FindInvariantViolation(RaftNode("a", {}, state, 7, Time(0))),
            "term is above the current term, at index 2");
  state.current_term = 3;
  state.log.push_back(DataEntry(2, "y"));
  EXPECT_EQ(FindInvariantViolation(RaftNode("a", {}, state, 7, Time(0))),
            "term is below that of the previous entry, at index 3");
}

TEST(RaftTimingTest, RejectsInvalidSettings) {
  RaftTiming timing;
  timing.lease_duration = timing.heartbeat_interval;
  EXPECT_THROW(RaftNode("a", timing, {}, 1, Time(0)), std::invalid_argument);
}

}  // namespace
}  // namespace paddlestile::raft
