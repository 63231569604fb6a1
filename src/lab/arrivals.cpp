#include "lab/arrivals.h"

#define XXH_INLINE_ALL
#include <xxhash.h>

#include <array>
#include <cmath>

namespace paddlestile::lab {

Arrivals::Arrivals(const Experiment& experiment, uint64_t seed) : e_(experiment), rng_(seed) {
  std::vector<double> classes, tenants;
  for (const ClassSpec& c : e_.classes) {
    classes.push_back(c.share);
  }
  for (const TenantSpec& t : e_.tenants) {
    tenants.push_back(t.share);
  }
  class_ = std::discrete_distribution<size_t>(classes.begin(), classes.end());
  if (!tenants.empty()) {
    tenant_ = std::discrete_distribution<size_t>(tenants.begin(), tenants.end());
  }
}

bool Arrivals::Next(Arrival& out) {
  const auto& steps = e_.load.rate;
  const double end = static_cast<double>(e_.length.count());
  // A Poisson process whose rate changes in steps: what is left of a draw goes on at the next rate.
  double left = -std::log(1 - Uniform());
  while (true) {
    if (step_ >= steps.size()) {
      return false;
    }
    const double until =
        step_ + 1 < steps.size() ? static_cast<double>(steps[step_ + 1].at.count()) : end;
    const double begin = std::max(at_us_, static_cast<double>(steps[step_].at.count()));
    const double per_us = steps[step_].requests_per_s / 1e6;
    if (begin + left / std::max(per_us, 1e-18) <= until) {
      at_us_ = begin + left / per_us;
      break;
    }
    left -= std::max(0.0, until - begin) * per_us;
    at_us_ = std::max(at_us_, until);
    if (++step_ >= steps.size()) {
      return false;
    }
  }
  if (at_us_ >= end) {
    return false;
  }
  out = Arrival{};
  out.at = Time(static_cast<int64_t>(at_us_));
  RequestSpec& f = out.facts;
  // One that is not there yet is drawn anew.
  do {
    f.class_index = class_(rng_);
  } while (e_.classes[f.class_index].available_from > out.at);
  if (!e_.tenants.empty()) {
    f.tenant_index = tenant_(rng_);
  }
  const ClassSpec& cls = e_.classes[f.class_index];
  f.key = ++keys_;
  f.work = Duration(std::llround(Draw(cls.work_ms) * 1000));
  f.wait = Duration(std::llround(Draw(cls.wait_ms) * 1000));
  f.body_bytes = static_cast<size_t>(Draw(cls.body_bytes));
  f.response_bytes = static_cast<size_t>(Draw(cls.response_bytes));
  out.gateway = Uniform();
  out.leaves = Uniform() < e_.load.client_abort_share;
  out.leave_part = 0.1 + 0.8 * Uniform();
  out.trickles = Uniform() < e_.load.slow_send_share;
  out.once = Uniform() < e_.load.close_after_response_share;
  for (int i = 0; i < e_.load.max_retries; ++i) {
    out.retry_waits.emplace_back(std::llround(Draw(e_.load.retry_delay_ms) * 1000));
  }
  Digest(out);
  return true;
}

void Arrivals::Digest(const Arrival& a) {
  const std::array<uint64_t, 8> words = {
      static_cast<uint64_t>(a.at.count()),
      a.facts.class_index << 8 | a.facts.tenant_index << 24 | (a.leaves ? 1U : 0U) |
          (a.trickles ? 2U : 0U) | (a.once ? 4U : 0U),
      static_cast<uint64_t>(a.facts.work.count()),
      static_cast<uint64_t>(a.facts.wait.count()),
      a.facts.body_bytes,
      a.facts.response_bytes,
      static_cast<uint64_t>(a.gateway * 1e15),
      a.retry_waits.empty() ? 0 : static_cast<uint64_t>(a.retry_waits[0].count())};
  digest_ = XXH64(words.data(), sizeof(words), digest_);
}

}  // namespace paddlestile::lab
