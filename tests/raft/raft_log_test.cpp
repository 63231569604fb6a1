// Tests the in-memory log and the tracking of its last durable index.
#include "raft/raft_log.h"

#include <gtest/gtest.h>

#include "raft/durable_index.h"

namespace paddlestile::raft {
namespace {

const std::vector<Voter> kOneVoter = {{"a", 1}};
const std::vector<Voter> kTwoVoters = {{"a", 1}, {"b", 2}};

// A snapshot at index 3 with one voter, followed by data at index 4, a configuration of two voters
// at index 5 and data at index 6.
RaftLog ExampleLog() {
  return RaftLog({3, 1, kOneVoter, "state"}, {{1, LogEntry::Kind::kData, "x", {}},
                                              {2, LogEntry::Kind::kVoters, {}, kTwoVoters},
                                              {2, LogEntry::Kind::kData, "y", {}}});
}

TEST(RaftLogTest, ReturnsTermsOfEntriesAndSnapshot) {
  const RaftLog log = ExampleLog();
  EXPECT_EQ(log.first_index(), 4U);
  EXPECT_EQ(log.last_index(), 6U);
  EXPECT_EQ(log.TermAt(2), 0U);
  EXPECT_EQ(log.TermAt(3), 1U);
  EXPECT_EQ(log.TermAt(5), 2U);
  EXPECT_EQ(log.TermAt(7), 0U);
}

TEST(RaftLogTest, TruncationRestoresPreviousConfiguration) {
  RaftLog log = ExampleLog();
  EXPECT_EQ(log.voters(), kTwoVoters);
  EXPECT_EQ(log.voters_index(), 5U);
  log.TruncateFrom(5);
  EXPECT_EQ(log.last_index(), 4U);
  EXPECT_EQ(log.voters(), kOneVoter);
  EXPECT_EQ(log.voters_index(), 3U);
  log.Append({3, LogEntry::Kind::kVoters, {}, kTwoVoters});
  EXPECT_EQ(log.voters_index(), 5U);
}

TEST(RaftLogTest, CompactionKeepsEntriesAfterSnapshot) {
  RaftLog log = ExampleLog();
  log.CompactTo(5, "later state");
  EXPECT_EQ(log.snapshot(), (Snapshot{5, 2, kTwoVoters, "later state"}));
  EXPECT_EQ(log.last_index(), 6U);
  EXPECT_EQ(log.EntryAt(6).bytes, "y");
  EXPECT_EQ(log.voters_index(), 5U);
}

TEST(RaftLogTest, InstalledSnapshotKeepsOnlyMatchingEntries) {
  RaftLog log = ExampleLog();
  log.InstallSnapshot({4, 1, kOneVoter, "other state"});
  EXPECT_EQ(log.EntriesAfterSnapshot().size(), 2U);
  EXPECT_EQ(log.voters(), kTwoVoters);
  log.InstallSnapshot({5, 9, kOneVoter, "of another term"});
  EXPECT_TRUE(log.EntriesAfterSnapshot().empty());
  EXPECT_EQ(log.last_index(), 5U);
  EXPECT_EQ(log.voters(), kOneVoter);
}

TEST(DurableIndexTest, AdvancesWithDurableWrites) {
  DurableIndex durable(3);
  EXPECT_EQ(durable.AddWrite(4), 1U);
  EXPECT_EQ(durable.AddWrite(6), 2U);
  EXPECT_EQ(durable.last_index(), 3U);
  durable.OnDurable(1, 6);
  EXPECT_EQ(durable.last_index(), 4U);
  durable.OnDurable(2, 6);
  EXPECT_EQ(durable.last_index(), 6U);
}

// If a write's entries are replaced before it is durable, its completion must not count for the
// entries that replaced them.
TEST(DurableIndexTest, PendingWritesDoNotCountForReplacedEntries) {
  DurableIndex durable(3);
  durable.AddWrite(6);
  durable.LimitTo(4);
  durable.AddWrite(5);
  durable.OnDurable(1, 5);
  EXPECT_EQ(durable.last_index(), 4U);
  durable.OnDurable(2, 5);
  EXPECT_EQ(durable.last_index(), 5U);
}

}  // namespace
}  // namespace paddlestile::raft
