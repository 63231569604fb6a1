// When members of a large subset are drawn at random instead of looked at one by one.
#ifndef PADDLESTILE_BALANCER_SAMPLING_H_
#define PADDLESTILE_BALANCER_SAMPLING_H_

#include <cstddef>

namespace paddlestile {

constexpr size_t kMaxScannedSubset = 64;  // endpoints; a larger subset is sampled
constexpr int kMaxDraws = 32;  // enough: most endpoints are eligible, or the site is overloaded

}  // namespace paddlestile

#endif  // PADDLESTILE_BALANCER_SAMPLING_H_
