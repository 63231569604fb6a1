// The monotonic clock of a process, and conversion of wall time to it.
#ifndef PADDLESTILE_BASE_CLOCK_H_
#define PADDLESTILE_BASE_CLOCK_H_

#include <cstdint>

#include "base/time.h"

namespace paddlestile {

// The two clocks are related once, at construction: the start of an endpoint, which comes as wall
// time, must convert to the same value each time, or it would look like a restart.
class Clock {
 public:
  Clock();
  // Monotonic; positive from the start.
  [[nodiscard]] Time Now() const;
  // Converts Unix time to the clock of Now(). 0 for values that are not positive, out of range, or
  // before the origin.
  [[nodiscard]] Time FromUnixMillis(double unix_ms) const;

 private:
  int64_t monotonic_origin_us_ = 0;  // std::chrono::steady_clock at Time(0)
  int64_t wall_origin_us_ = 0;       // std::chrono::system_clock at Time(0)
};

}  // namespace paddlestile

#endif  // PADDLESTILE_BASE_CLOCK_H_
