// The clients' requests as the seed has them, one after another: open loop, so that what comes does
// not depend on what was answered.
#ifndef PADDLESTILE_LAB_ARRIVALS_H_
#define PADDLESTILE_LAB_ARRIVALS_H_

#include <cstdint>
#include <random>
#include <vector>

#include "lab/experiment.h"
#include "lab/ledger.h"

namespace paddlestile::lab {

struct Arrival {
  Time at{0};
  RequestSpec facts;
  double gateway = 0;   // in [0, 1): which of those that are in
  bool leaves = false;  // its client leaves before the answer, at `leave_part` of its time
  double leave_part = 0;
  bool trickles = false;  // comes in pieces
  bool once = false;      // its client closes after the answer
  std::vector<Duration> retry_waits;
};

class Arrivals {
 public:
  Arrivals(const Experiment& experiment, uint64_t seed);
  // The next one; false past the experiment's end.
  bool Next(Arrival& arrival);
  // Of all that were drawn: alike for the same experiment and seed.
  [[nodiscard]] uint64_t digest() const { return digest_; }

 private:
  double Uniform() { return std::uniform_real_distribution<double>(0, 1)(rng_); }
  double Draw(const UniformRange& span) { return span.low + (span.high - span.low) * Uniform(); }
  void Digest(const Arrival& arrival);

  const Experiment& e_;
  std::mt19937_64 rng_;
  double at_us_ = 0;
  size_t step_ = 0;
  uint64_t keys_ = 0, digest_ = 0;
  std::discrete_distribution<size_t> class_, tenant_;
};

}  // namespace paddlestile::lab

#endif  // PADDLESTILE_LAB_ARRIVALS_H_
