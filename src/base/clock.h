// The monotonic clock of a process, and wall time on it.
#ifndef PADDLESTILE_BASE_CLOCK_H_
#define PADDLESTILE_BASE_CLOCK_H_

#include <cstdint>

#include "base/time.h"

namespace paddlestile {

// Both clocks, tied together once at the start: a host's start, told in wall time, must come out
// the same each time it is told, or it would look like another start.
class Clock {
 public:
  Clock();
  [[nodiscard]] Time Now() const;  // monotonic; begins an arbitrary while ago
  // Unix time in milliseconds to the clock of Now(). What is 0 or before its beginning is 0.
  [[nodiscard]] Time FromUnixMillis(double unix_ms) const;

 private:
  int64_t monotonic_origin_us_ = 0;  // the steady clock's reading at Time(0)
  int64_t wall_origin_us_ = 0;       // the wall clock's at that moment
};

}  // namespace paddlestile

#endif  // PADDLESTILE_BASE_CLOCK_H_
