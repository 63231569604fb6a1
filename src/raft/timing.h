// Settings of the Raft node that concern time and work per event, and the lease durations that
// follow from them.
#ifndef PADDLESTILE_RAFT_TIMING_H_
#define PADDLESTILE_RAFT_TIMING_H_

#include <cstddef>
#include <cstdint>

#include "base/time.h"

namespace paddlestile::raft {

// The clocks of two members may drift apart by `clock_rate_error`; only rates matter, as no member
// compares its own time with another's.
struct RaftTiming {
  // Interval between AppendEntries from the leader to a voter. Non-voting members get one at
  // longer intervals, see HeartbeatInterval().
  Duration heartbeat_interval{100'000};
  // A follower that hears no leader for between one and two such timeouts (drawn at random) starts
  // an election. At least 3 heartbeat intervals.
  Duration election_timeout{500'000};
  // For how long after it asked a member may act on what it has applied. At least 3 heartbeat
  // intervals.
  Duration lease_duration{1'000'000};
  // For how long after a restart a voter takes part in no election until it has heard enough of the
  // others; see RestartGuard. Above the interruptions to be survived, and the time for which a
  // cluster of three may have no leader where one voter is lost and another one restarts.
  Duration restart_guard_duration{5'000'000};
  // Greatest relative difference between two clocks' rates: 0.01 is one part in a hundred. 0 to
  // 0.2.
  double clock_rate_error = 0.01;
  // Entries in one AppendEntries message. The first entry is always sent, however large.
  size_t max_append_bytes = 64 << 10;
  // Work of applying entries in one event. The first entry is always applied; see
  // RaftNode::set_apply_cost_bytes().
  size_t max_apply_bytes = 64 << 10;
};

// Throws std::invalid_argument if a duration or the clock rate error is out of its range.
void ValidateTiming(const RaftTiming& timing);

// The duration times `factor`, rounded towards zero to a microsecond.
inline Duration Scale(Duration duration, double factor) {
  return Duration(static_cast<int64_t>(static_cast<double>(duration.count()) * factor));
}

// How long the holder of a lease may use it, counted on its own clock from when it asked for it.
inline Duration LeaseHolderDuration(const RaftTiming& timing) {
  return Scale(timing.lease_duration, 1 - 2 * timing.clock_rate_error);
}

// How long every other member must wait, on its own clock, until a lease has surely ended.
inline Duration LeaseWaitDuration(const RaftTiming& timing) {
  return Scale(timing.lease_duration, 1 + 2 * timing.clock_rate_error);
}

// For how long a leader may know itself the leader after it sent what a quorum acknowledged.
// Shorter than the election timeout, within which the voters that acknowledged do not vote for
// anybody else.
inline Duration LeaderLeaseDuration(const RaftTiming& timing) {
  return Scale(timing.election_timeout, 1 - 2 * timing.clock_rate_error);
}

// Interval between AppendEntries from the leader to one member. Members that do not vote get them
// at 2.5 times the voters' interval: only their leases depend on it.
inline Duration HeartbeatInterval(const RaftTiming& timing, bool to_voter) {
  return to_voter ? timing.heartbeat_interval : timing.heartbeat_interval * 5 / 2;
}

}  // namespace paddlestile::raft

#endif  // PADDLESTILE_RAFT_TIMING_H_
