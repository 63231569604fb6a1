// Arithmetic that the modules share: moving averages and durations as numbers.
#ifndef PADDLESTILE_BALANCER_AVERAGES_H_
#define PADDLESTILE_BALANCER_AVERAGES_H_

#include "base/time.h"

namespace paddlestile {

constexpr double kSampleWeight = 0.1;                    // of a new sample in a moving average
constexpr double kSlowSampleWeight = kSampleWeight / 4;  // where samples come from all endpoints
constexpr double kMinSamples = 4;    // samples before an average is trusted, and the weight that
                                     // evidence of the machine kind has beside an endpoint's own
constexpr double kRateSpanUs = 5e6;  // span over which rates are remembered

inline double ToUs(Duration duration) {
  return static_cast<double>(duration.count());
}

// Moves `mean` towards `sample` by the fraction `weight` of their difference.
inline void MoveTowards(double& mean, double sample, double weight) {
  mean += weight * (sample - mean);
}

}  // namespace paddlestile

#endif  // PADDLESTILE_BALANCER_AVERAGES_H_
