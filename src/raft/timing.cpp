#include "raft/timing.h"

#include <stdexcept>

namespace paddlestile::raft {
namespace {

constexpr int kMinHeartbeatsPerTimeout = 3;
constexpr double kMaxClockRateError = 0.2;

}  // namespace

void ValidateTiming(const RaftTiming& timing) {
  const Duration min_timeout = kMinHeartbeatsPerTimeout * timing.heartbeat_interval;
  if (timing.heartbeat_interval <= Duration(0) || timing.election_timeout < min_timeout ||
      timing.lease_duration < min_timeout || timing.clock_rate_error < 0 ||
      timing.clock_rate_error > kMaxClockRateError) {
    throw std::invalid_argument(
        "timing: expected a heartbeat interval above 0, an election timeout and a lease duration "
        "of at least 3 heartbeat intervals, and a clock rate error from 0 to 0.2");
  }
}

}  // namespace paddlestile::raft
