#include "lab/arrivals.h"

#define XXH_INLINE_ALL
#include <xxhash.h>

#include <array>
#include <cmath>

namespace paddlestile::lab {

Arrivals::Arrivals(const Experiment& experiment, uint64_t seed)
    : experiment_(experiment), rng_(seed) {
  std::vector<double> classes, tenants;
  for (const ClassSpec& request_class : experiment_.classes) {
    classes.push_back(request_class.share);
  }
  for (const TenantSpec& tenant : experiment_.tenants) {
    tenants.push_back(tenant.share);
  }
  class_distribution_ = std::discrete_distribution<size_t>(classes.begin(), classes.end());
  if (!tenants.empty()) {
    tenant_distribution_ = std::discrete_distribution<size_t>(tenants.begin(), tenants.end());
  }
}

bool Arrivals::Next(Arrival& arrival) {
  const auto& steps = experiment_.load.rate;
  const double end = static_cast<double>(experiment_.length.count());
  // A Poisson process whose rate changes in steps: the unused part of a draw continues at the next
  // rate.
  double remaining = -std::log(1 - Uniform());
  while (true) {
    if (rate_step_ >= steps.size()) {
      return false;
    }
    const double until =
        rate_step_ + 1 < steps.size() ? static_cast<double>(steps[rate_step_ + 1].at.count()) : end;
    const double begin =
        std::max(last_arrival_us_, static_cast<double>(steps[rate_step_].at.count()));
    const double per_us = steps[rate_step_].requests_per_s / 1e6;
    if (begin + remaining / std::max(per_us, 1e-18) <= until) {
      last_arrival_us_ = begin + remaining / per_us;
      break;
    }
    remaining -= std::max(0.0, until - begin) * per_us;
    last_arrival_us_ = std::max(last_arrival_us_, until);
    if (++rate_step_ >= steps.size()) {
      return false;
    }
  }
  if (last_arrival_us_ >= end) {
    return false;
  }
  arrival = Arrival{};
  arrival.at = Time(static_cast<int64_t>(last_arrival_us_));
  RequestSpec& request = arrival.request;
  // Redraws a class that is not available yet.
  do {
    request.class_index = class_distribution_(rng_);
  } while (experiment_.classes[request.class_index].available_from > arrival.at);
  if (!experiment_.tenants.empty()) {
    request.tenant_index = tenant_distribution_(rng_);
  }
  const ClassSpec& request_class = experiment_.classes[request.class_index];
  request.key = ++last_key_;
  request.work = Duration(std::llround(Draw(request_class.work_ms) * 1000));
  request.wait = Duration(std::llround(Draw(request_class.wait_ms) * 1000));
  request.body_bytes = static_cast<size_t>(Draw(request_class.body_bytes));
  request.response_bytes = static_cast<size_t>(Draw(request_class.response_bytes));
  arrival.gateway_position = Uniform();
  arrival.client_aborts = Uniform() < experiment_.load.client_abort_share;
  arrival.abort_position = 0.1 + 0.8 * Uniform();
  arrival.sends_slowly = Uniform() < experiment_.load.slow_send_share;
  arrival.closes_after_response = Uniform() < experiment_.load.close_after_response_share;
  // Drawn only where needed, so that the other draws of an experiment without it stay the same.
  const double slow_read_share = experiment_.load.slow_read_share;
  arrival.reads_slowly = slow_read_share > 0 && Uniform() < slow_read_share;
  for (int i = 0; i < experiment_.load.max_retries; ++i) {
    arrival.retry_delays.emplace_back(std::llround(Draw(experiment_.load.retry_delay_ms) * 1000));
  }
  Digest(arrival);
  return true;
}

void Arrivals::Digest(const Arrival& arrival) {
  const std::array<uint64_t, 8> words = {
      static_cast<uint64_t>(arrival.at.count()),
      arrival.request.class_index << 8 | arrival.request.tenant_index << 24 |
          (arrival.client_aborts ? 1U : 0U) | (arrival.sends_slowly ? 2U : 0U) |
          (arrival.closes_after_response ? 4U : 0U) | (arrival.reads_slowly ? 8U : 0U),
      static_cast<uint64_t>(arrival.request.work.count()),
      static_cast<uint64_t>(arrival.request.wait.count()),
      arrival.request.body_bytes,
      arrival.request.response_bytes,
      static_cast<uint64_t>(arrival.gateway_position * 1e15),
      arrival.retry_delays.empty() ? 0 : static_cast<uint64_t>(arrival.retry_delays[0].count())};
  digest_ = XXH64(words.data(), sizeof(words), digest_);
}

}  // namespace paddlestile::lab
