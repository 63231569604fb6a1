// Tests the leader lease and the leases that the leader grants to members.
#include <gtest/gtest.h>

#include "raft/raft_node_fixture.h"

namespace paddlestile::raft {
namespace {

// The message that grants the lease may have been delayed, so the lease starts with its request.
TEST_F(RaftFollowerTest, LeaseStartsWhenItWasRequested) {
  Message request = AppendEntries(2, 1, 1, {});
  request.asked_at = kSecond;
  Receive(kSecond + Time(900'000), request);
  EXPECT_EQ(node.LeaseUntil(kSecond), kSecond + LeaseHolderDuration(RaftTiming()));
  EXPECT_LT(LeaseHolderDuration(RaftTiming()), RaftTiming().lease_duration);
  EXPECT_GT(LeaseWaitDuration(RaftTiming()), RaftTiming().lease_duration);
}

// A leader without a leader lease must not accept proposals: another may have been elected.
TEST_F(RaftLeaderTest, LeadsOnlyWhileAMajorityResponds) {
  RaftOutput out;
  EXPECT_FALSE(node.IsLeaderWithLease(now));
  EXPECT_FALSE(node.Propose(now, "x", out).has_value());
  ReceiveAcknowledgement("b", 2, 2, now);
  EXPECT_TRUE(node.IsLeaderWithLease(now));
  EXPECT_FALSE(node.IsLeaderWithLease(now + RaftTiming().election_timeout));
  node.OnTimeout(now + 2 * RaftTiming().election_timeout, out);
  EXPECT_EQ(node.role(), Role::kFollower);
}

// Leases granted by an earlier leader may still be valid.
TEST_F(RaftLeaderTest, WaitsForLeasesOfTheEarlierLeader) {
  RaftOutput out;
  node.OnDurable(now, 2, out);
  ReceiveAcknowledgement("b", 2, 2, now);
  ReceiveAcknowledgement("c", 3, 2, now);
  EXPECT_FALSE(node.AllLeaseHoldersApplied(now, 2));
  now += LeaseWaitDuration(RaftTiming());
  ReceiveAcknowledgement("b", 2, 2, now);
  ReceiveAcknowledgement("c", 3, 2, now);
  EXPECT_TRUE(node.AllLeaseHoldersApplied(now, 2));
  EXPECT_FALSE(node.AllLeaseHoldersApplied(now, 3));
}

// A new leader does not know at first which entries of earlier leaders are committed, and a member
// with a lease acts on its applied state.
TEST_F(RaftLeaderTest, HasAndGrantsNoLeaseBeforeAnEntryOfItsTermIsCommitted) {
  RaftOutput out;
  ReceiveAcknowledgement("b", 2, 2, now);
  EXPECT_TRUE(node.IsLeaderWithLease(now));
  EXPECT_LT(node.LeaseUntil(now), Time(0));
  now += RaftTiming().heartbeat_interval;
  node.OnTimeout(now, out);
  for (const OutgoingMessage& outgoing : out.messages) {
    EXPECT_LT(outgoing.message.asked_at, Time(0));
  }
  node.OnDurable(now, 2, out);
  EXPECT_GT(node.LeaseUntil(now), now);
}

TEST_F(RaftLeaderTest, HasAndGrantsNoLeaseWhileItHasEntriesToApply) {
  RaftOutput out;
  node.OnDurable(now, 2, out);
  ReceiveAcknowledgement("b", 2, 2, now);
  node.set_apply_cost_bytes(RaftTiming().max_apply_bytes);
  for (int i = 0; i < 3; ++i) {
    node.Propose(now, "x", out);
  }
  out = {};
  node.OnDurable(now, 9, out);
  ReceiveAcknowledgement("b", 2, 5, now);
  EXPECT_TRUE(node.HasEntriesToApply());
  EXPECT_LT(node.LeaseUntil(now), Time(0));
  out = {};
  now += RaftTiming().heartbeat_interval;
  node.OnTimeout(now, out);
  EXPECT_TRUE(node.HasEntriesToApply());
  for (const OutgoingMessage& outgoing : out.messages) {
    EXPECT_LT(outgoing.message.asked_at, Time(0));
  }
  node.OnTimeout(now, out);
  EXPECT_FALSE(node.HasEntriesToApply());
  EXPECT_GT(node.LeaseUntil(now), now);
}

// The lease of a slow member is not renewed, so that it does not delay the others.
TEST_F(RaftLeaderTest, GrantsNoLeaseToAMemberThatHasNotAppliedTheRequiredEntry) {
  RaftOutput out;
  node.OnDurable(now, 2, out);
  node.RequireAppliedForLease(3);
  ReceiveAcknowledgement("b", 2, 2, now);
  out = {};
  now += RaftTiming().heartbeat_interval;
  node.OnTimeout(now, out);
  for (const OutgoingMessage& outgoing : out.messages) {
    EXPECT_LT(outgoing.message.asked_at, Time(0));
  }
  ReceiveAcknowledgement("b", 2, 3, now);
  out = {};
  now += RaftTiming().heartbeat_interval;
  node.OnTimeout(now, out);
  bool granted = false;
  for (const OutgoingMessage& outgoing : out.messages) {
    granted = granted || outgoing.message.asked_at >= Time(0);
  }
  EXPECT_TRUE(granted);
}

}  // namespace
}  // namespace paddlestile::raft
