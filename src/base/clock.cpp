#include "base/clock.h"

#include <algorithm>
#include <chrono>
#include <cmath>

namespace paddlestile {

namespace {

using std::chrono::duration_cast;
using std::chrono::microseconds;

// us; Time(0) lies this long before the start. Hosts that started before it are warm by now.
constexpr int64_t kOriginBeforeStartUs = 24LL * 3600 * 1'000'000;

int64_t MonotonicNowUs() {
  return duration_cast<microseconds>(std::chrono::steady_clock::now().time_since_epoch()).count();
}
int64_t WallNowUs() {
  return duration_cast<microseconds>(std::chrono::system_clock::now().time_since_epoch()).count();
}

}  // namespace

Clock::Clock()
    : monotonic_origin_us_(MonotonicNowUs() - kOriginBeforeStartUs),
      wall_origin_us_(WallNowUs() - kOriginBeforeStartUs) {}

Time Clock::Now() const {
  return Time(MonotonicNowUs() - monotonic_origin_us_);
}

Time Clock::FromUnixMillis(double unix_ms) const {
  constexpr double kMaxMillis = 1e15;  // in microseconds still far inside 64 bits
  if (!(unix_ms > 0) || unix_ms > kMaxMillis) {
    return Time(0);
  }
  return Time(std::max<int64_t>(0, std::llround(unix_ms * 1000) - wall_origin_us_));
}

}  // namespace paddlestile
