#include "base/clock.h"

#include <algorithm>
#include <chrono>
#include <cmath>

namespace paddlestile {

namespace {

using std::chrono::duration_cast;
using std::chrono::microseconds;

constexpr int64_t kBefore = 24LL * 3600 * 1'000'000;  // us; hosts that started before are warm

int64_t Mono() {
  return duration_cast<microseconds>(std::chrono::steady_clock::now().time_since_epoch()).count();
}
int64_t Wall() {
  return duration_cast<microseconds>(std::chrono::system_clock::now().time_since_epoch()).count();
}

}  // namespace

Clock::Clock() : monotonic_origin_us_(Mono() - kBefore), wall_origin_us_(Wall() - kBefore) {}

Time Clock::Now() const {
  return Time(Mono() - monotonic_origin_us_);
}

Time Clock::FromUnixMillis(double unix_ms) const {
  constexpr double kMost = 1e15;  // ms; far inside 64 bits of microseconds
  if (!(unix_ms > 0) || unix_ms > kMost) {
    return Time(0);
  }
  return Time(std::max<int64_t>(0, std::llround(unix_ms * 1000) - wall_origin_us_));
}

}  // namespace paddlestile
