// Generates the clients' requests from the seed. Open loop: arrivals do not depend on responses.
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
  RequestSpec request;
  double gateway_position = 0;  // in [0, 1): selects one of the gateways in rotation
  bool client_aborts = false;   // the client disconnects at `abort_position` of its timeout
  double abort_position = 0;
  bool sends_slowly = false;           // sent in pieces
  bool reads_slowly = false;           // the response is read in pieces
  bool closes_after_response = false;  // the client closes the connection after the response
  std::vector<Duration> retry_delays;
};

class Arrivals {
 public:
  Arrivals(const Experiment& experiment, uint64_t seed);
  // Generates the next arrival. Returns false at the end of the experiment.
  bool Next(Arrival& arrival);
  // A hash of all arrivals so far; equal for the same experiment and seed.
  [[nodiscard]] uint64_t digest() const { return digest_; }

 private:
  double Uniform() { return std::uniform_real_distribution<double>(0, 1)(rng_); }
  double Draw(const UniformRange& range) {
    return range.low + (range.high - range.low) * Uniform();
  }
  void Digest(const Arrival& arrival);

  const Experiment& experiment_;
  std::mt19937_64 rng_;
  double last_arrival_us_ = 0;
  size_t rate_step_ = 0;
  uint64_t last_key_ = 0, digest_ = 0;
  std::discrete_distribution<size_t> class_distribution_, tenant_distribution_;
};

}  // namespace paddlestile::lab

#endif  // PADDLESTILE_LAB_ARRIVALS_H_
