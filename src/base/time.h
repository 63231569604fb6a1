// Durations and points in time, in microseconds.
#ifndef PADDLESTILE_BASE_TIME_H_
#define PADDLESTILE_BASE_TIME_H_

#include <chrono>

namespace paddlestile {

using Duration = std::chrono::microseconds;
// A point in time, counted from an arbitrary origin by a monotonic clock.
using Time = std::chrono::microseconds;

// For log lines and statistics.
constexpr double ToMilliseconds(Duration duration) {
  return static_cast<double>(duration.count()) / 1000;
}

}  // namespace paddlestile

#endif  // PADDLESTILE_BASE_TIME_H_
