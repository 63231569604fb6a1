// Limits for sampling a large subset at random instead of scanning it.
#ifndef PADDLESTILE_BALANCER_SAMPLING_H_
#define PADDLESTILE_BALANCER_SAMPLING_H_

#include <cstddef>

namespace paddlestile {

constexpr size_t kMaxScannedSubset = 64;  // endpoints; a larger subset is sampled
// Enough draws to find an eligible endpoint: unless the site is overloaded, most are eligible.
constexpr int kMaxDraws = 32;

}  // namespace paddlestile

#endif  // PADDLESTILE_BALANCER_SAMPLING_H_
