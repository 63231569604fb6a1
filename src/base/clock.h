// The monotonic clock of a process, and the conversion of wall-clock time to it.
#ifndef PADDLESTILE_BASE_CLOCK_H_
#define PADDLESTILE_BASE_CLOCK_H_

#include <cstdint>

#include "base/time.h"

namespace paddlestile {

// The relation of the two clocks is fixed at construction. The start time of an endpoint, which is
// given in wall-clock time, must always convert to the same value; a different value would look
// like a restart.
class Clock {
 public:
  Clock();
  // Returns the current monotonic time, which is always positive.
  [[nodiscard]] Time Now() const;
  // Converts Unix time to the time scale of Now(). Returns 0 for values that are not positive, out
  // of range, or before the origin.
  [[nodiscard]] Time FromUnixMillis(double unix_ms) const;
  // Converts a time to Unix time, such that FromUnixMillis returns the same time.
  [[nodiscard]] double ToUnixMillis(Time time) const;

 private:
  int64_t monotonic_origin_us_ = 0;  // std::chrono::steady_clock at Time(0)
  int64_t wall_origin_us_ = 0;       // std::chrono::system_clock at Time(0)
};

}  // namespace paddlestile

#endif  // PADDLESTILE_BASE_CLOCK_H_
