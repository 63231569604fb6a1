// Moving averages and duration conversion, shared by the modules of the load balancer.
#ifndef PADDLESTILE_BALANCER_AVERAGES_H_
#define PADDLESTILE_BALANCER_AVERAGES_H_

#include "base/time.h"

namespace paddlestile {

// Weight of a new sample in a moving average.
constexpr double kSampleWeight = 0.1;
// The same for averages over all endpoints, which get samples more often.
constexpr double kSlowSampleWeight = kSampleWeight / 4;
// Samples needed before an average is used. It is also the weight, in samples, of the average of
// the machine kind when it is combined with the average of one endpoint.
constexpr double kMinSamples = 4;
// Time constant of the exponential decay of rates.
constexpr double kRateTimeConstantUs = 5e6;

inline double ToUs(Duration duration) {
  return static_cast<double>(duration.count());
}

// Moves `mean` towards `sample` by the fraction `weight` of their difference.
inline void MoveTowards(double& mean, double sample, double weight) {
  mean += weight * (sample - mean);
}

}  // namespace paddlestile

#endif  // PADDLESTILE_BALANCER_AVERAGES_H_
