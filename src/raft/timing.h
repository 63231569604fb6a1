// Timing and workload settings of the Raft node, and the lease durations derived from them.
#ifndef PADDLESTILE_RAFT_TIMING_H_
#define PADDLESTILE_RAFT_TIMING_H_

#include <cstddef>
#include <cstdint>

#include "base/time.h"

namespace paddlestile::raft {

// The clock rates of two members may differ by `clock_rate_error`. Clock offsets do not matter,
// because no member compares its own time with another's.
struct RaftTiming {
  // Interval between AppendEntries messages from the leader to a voter. Non-voting members get them
  // at longer intervals; see HeartbeatInterval().
  Duration heartbeat_interval{100'000};
  // A follower that does not hear from a leader for between one and two election timeouts, chosen
  // at random, starts an election. At least 3 heartbeat intervals.
  Duration election_timeout{500'000};
  // How long a member may act on its applied state after it requested the lease. At least 3
  // heartbeat intervals.
  Duration lease_duration{1'000'000};
  // The longest time after a restart for which a voter abstains from elections while it has not
  // heard from enough other voters; see RestartGuard. It must exceed the network interruptions to
  // be tolerated. It is also how long a cluster of three voters may have no leader if one voter is
  // lost and another one restarts.
  Duration restart_guard_duration{5'000'000};
  // Greatest relative difference between the rates of two clocks, from 0 to 0.2; 0.01 is 1 %.
  double clock_rate_error = 0.01;
  // Limit on the entries in one AppendEntries message. The first entry is always sent, regardless
  // of its size.
  size_t max_append_bytes = 64 << 10;
  // Limit on the cost of the entries applied in one event. The first entry is always applied; see
  // RaftNode::set_apply_cost_bytes().
  size_t max_apply_bytes = 64 << 10;
};

// Throws std::invalid_argument if a duration or the clock rate error is out of range.
void ValidateTiming(const RaftTiming& timing);

// Returns `duration` multiplied by `factor`, rounded towards zero to a microsecond.
inline Duration Scale(Duration duration, double factor) {
  return Duration(static_cast<int64_t>(static_cast<double>(duration.count()) * factor));
}

// How long a lease is valid for its holder, measured on the holder's clock from its request.
inline Duration LeaseHolderDuration(const RaftTiming& timing) {
  return Scale(timing.lease_duration, 1 - 2 * timing.clock_rate_error);
}

// How long any other member must wait, measured on its own clock, until a lease has certainly
// expired.
inline Duration LeaseWaitDuration(const RaftTiming& timing) {
  return Scale(timing.lease_duration, 1 + 2 * timing.clock_rate_error);
}

// How long a leader may rely on its leadership after sending messages that a quorum acknowledged.
// Shorter than the election timeout, within which the acknowledging voters do not vote for another
// candidate.
inline Duration LeaderLeaseDuration(const RaftTiming& timing) {
  return Scale(timing.election_timeout, 1 - 2 * timing.clock_rate_error);
}

// Interval between AppendEntries messages from the leader to one member. For non-voting members it
// is 2.5 times that for voters, because only their leases depend on it.
inline Duration HeartbeatInterval(const RaftTiming& timing, bool to_voter) {
  return to_voter ? timing.heartbeat_interval : timing.heartbeat_interval * 5 / 2;
}

}  // namespace paddlestile::raft

#endif  // PADDLESTILE_RAFT_TIMING_H_
