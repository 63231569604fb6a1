// The monotonic clock of a process, and wall time on it.
#ifndef PADDLESTILE_BASE_CLOCK_H_
#define PADDLESTILE_BASE_CLOCK_H_

#include <cstdint>

#include "base/time.h"

namespace paddlestile {

// The monotonic clock, and the wall clock as read once at the start. A host's start time arrives as
// wall time again and again: converted by one fixed offset it gives the same Time each time.
class Clock {
 public:
  Clock();
  // Monotonic; its zero is a day before the clock was made.
  [[nodiscard]] Time Now() const;
  // Converts Unix milliseconds to the time of Now(). Gives 0 for 0 and for times before its zero.
  [[nodiscard]] Time FromUnixMillis(double unix_ms) const;

 private:
  int64_t monotonic_origin_us_ = 0;  // what the steady clock reads at Time(0)
  int64_t wall_origin_us_ = 0;       // what the wall clock reads at Time(0)
};

}  // namespace paddlestile

#endif  // PADDLESTILE_BASE_CLOCK_H_
