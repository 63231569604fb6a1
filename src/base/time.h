// Durations and points in time, in microseconds.
#ifndef PADDLESTILE_BASE_TIME_H_
#define PADDLESTILE_BASE_TIME_H_

#include <chrono>

namespace paddlestile {

using Duration = std::chrono::microseconds;
// Time since an arbitrary beginning, by a clock that only ever advances.
using Time = std::chrono::microseconds;

}  // namespace paddlestile

#endif  // PADDLESTILE_BASE_TIME_H_
