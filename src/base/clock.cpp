#include "base/clock.h"

#include <algorithm>
#include <chrono>
#include <cmath>

namespace paddlestile {

namespace {

using std::chrono::duration_cast;
using std::chrono::microseconds;

// The origin is this long before construction. Endpoints that started before it count as warm.
constexpr int64_t kOriginOffsetUs = 24LL * 3600 * 1'000'000;
constexpr double kMaxUnixMs = 1e15;  // far within 64 bits of microseconds

int64_t SteadyMicroseconds() {
  return duration_cast<microseconds>(std::chrono::steady_clock::now().time_since_epoch()).count();
}

int64_t WallMicroseconds() {
  return duration_cast<microseconds>(std::chrono::system_clock::now().time_since_epoch()).count();
}

}  // namespace

Clock::Clock()
    : monotonic_origin_us_(SteadyMicroseconds() - kOriginOffsetUs),
      wall_origin_us_(WallMicroseconds() - kOriginOffsetUs) {}

Time Clock::Now() const {
  return Time(SteadyMicroseconds() - monotonic_origin_us_);
}

Time Clock::FromUnixMillis(double unix_ms) const {
  if (!(unix_ms > 0) || unix_ms > kMaxUnixMs) {
    return Time(0);
  }
  return Time(std::max<int64_t>(0, std::llround(unix_ms * 1000) - wall_origin_us_));
}

double Clock::ToUnixMillis(Time time) const {
  return static_cast<double>(time.count() + wall_origin_us_) / 1000;
}

}  // namespace paddlestile
