// Tests log replication: which entries a follower stores, acknowledges and applies, and which ones
// a leader commits.
#include <gtest/gtest.h>

#include "raft/raft_node_fixture.h"

namespace paddlestile::raft {
namespace {

// An acknowledgement counts towards the majority, so it must wait until the entry is durable.
TEST_F(RaftFollowerTest, AcknowledgesOnlyWhatIsDurable) {
  const RaftOutput out = Receive(kSecond, AppendEntries(2, 1, 1, {DataEntry(2, "x")}));
  ASSERT_EQ(out.messages.size(), 1U);
  EXPECT_EQ(out.messages[0].message.index, 2U);
  EXPECT_EQ(out.messages[0].after_sequence_number, out.writes.back().sequence_number);
}

TEST_F(RaftFollowerTest, ReplacesConflictingEntries) {
  Receive(kSecond, AppendEntries(2, 1, 1, {DataEntry(2, "x"), DataEntry(2, "y")}));
  const RaftOutput out = Receive(kSecond, AppendEntries(3, 1, 1, {DataEntry(3, "z")}));
  EXPECT_EQ(node.last_log_index(), 2U);
  EXPECT_EQ(out.writes.back().first_index, 2U);
  // Entries after a gap are rejected, and the reply contains the follower's last index as a hint.
  const RaftOutput gap = Receive(kSecond, AppendEntries(3, 9, 3, {DataEntry(3, "w")}));
  EXPECT_FALSE(gap.messages.at(0).message.granted);
  EXPECT_EQ(gap.messages.at(0).message.index, 2U);
}

TEST_F(RaftFollowerTest, RejectsTheLeaderOfAnEarlierTerm) {
  Receive(kSecond, AppendEntries(3, 1, 1, {}));
  const RaftOutput out = Receive(kSecond, AppendEntries(2, 1, 1, {DataEntry(2, "x")}));
  EXPECT_FALSE(out.messages.at(0).message.granted);
  EXPECT_EQ(out.messages.at(0).message.term, 3U);
  EXPECT_EQ(node.last_log_index(), 1U);
}

// Applying hundreds of entries in one event would delay other work of the process. Entries must not
// be reported as applied too early, because the leader relies on the member acting on them.
TEST_F(RaftFollowerTest, AppliesManyEntriesInSeveralEventsAndReportsCompletion) {
  const LogEntry entry = DataEntry(2, "x");
  Message request = AppendEntries(2, 1, 1, {entry, entry, entry});
  request.commit_index = 4;
  node.set_apply_cost_bytes(RaftTiming().max_apply_bytes);
  RaftOutput out = Receive(kSecond, request);
  EXPECT_EQ(out.applied.size(), 2U);  // the configuration and one data entry
  EXPECT_EQ(out.messages.at(0).message.index, 4U);
  EXPECT_EQ(out.messages.at(0).message.commit_index, 2U);
  EXPECT_EQ(node.NextTimeout(), Time(0));
  out = {};
  node.OnTimeout(kSecond, out);
  EXPECT_EQ(node.last_applied(), 3U);
  EXPECT_TRUE(out.messages.empty());
  node.OnTimeout(kSecond, out);
  EXPECT_FALSE(node.HasEntriesToApply());
  EXPECT_GT(node.NextTimeout(), kSecond);
  // The leader may be waiting for the completion: it is notified immediately, in a reply that does
  // not request a lease.
  ASSERT_EQ(out.messages.size(), 1U);
  EXPECT_EQ(out.messages[0].message.type, Message::Type::kAppendEntriesReply);
  EXPECT_EQ(out.messages[0].message.to, "b");
  EXPECT_TRUE(out.messages[0].message.granted);
  EXPECT_EQ(out.messages[0].message.index, 4U);
  EXPECT_EQ(out.messages[0].message.commit_index, 4U);
  EXPECT_LT(out.messages[0].message.asked_at, Time(0));
  // Cheap entries are applied together.
  node.set_apply_cost_bytes(0);
  request = AppendEntries(2, 4, 2, {entry, entry, entry});
  request.commit_index = 7;
  EXPECT_EQ(Receive(kSecond, request).applied.size(), 3U);
}

// Large entries count by their own size, even if no additional cost per entry is set.
TEST_F(RaftFollowerTest, AppliesLargeEntriesOneByOne) {
  const LogEntry large = DataEntry(2, std::string(RaftTiming().max_apply_bytes / 2, 'x'));
  const LogEntry small = DataEntry(2, "x");
  Message request = AppendEntries(2, 1, 1, {large, small, small});
  request.commit_index = 4;
  EXPECT_EQ(Receive(kSecond, request).applied.size(), 2U);
}

TEST_F(RaftLeaderTest, CountsItselfOnlyOnceItsEntryIsDurable) {
  ReceiveAcknowledgement("b", 2, 2, now);
  EXPECT_EQ(node.commit_index(), 0U);
  RaftOutput out;
  node.OnDurable(now, 2, out);
  EXPECT_EQ(node.commit_index(), 2U);
}

// With two concurrent changes, two disjoint majorities could exist.
TEST_F(RaftLeaderTest, ChangesVotersOneAtATime) {
  RaftOutput out;
  ReceiveAcknowledgement("b", 2, 2, now);
  EXPECT_FALSE(node.ProposeVoters(now, {{"a", 1}, {"b", 2}}, out).has_value());
  node.OnDurable(now, 2, out);
  EXPECT_TRUE(node.ProposeVoters(now, {{"a", 1}, {"b", 2}}, out).has_value());
  EXPECT_FALSE(node.ProposeVoters(now, {{"a", 1}}, out).has_value());
}

}  // namespace
}  // namespace paddlestile::raft
