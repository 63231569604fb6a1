#include "balancer/probe_pool.h"

#include <algorithm>

#include "balancer/averages.h"

namespace paddlestile {
namespace {

constexpr size_t kMinCapacity = 2;   // entries; the hot-cold order compares two
constexpr size_t kMaxCapacity = 16;  // entries, as in the paper
// Capacity as a fraction of the subset. Below 1, so that the paper's reuse formula is defined.
constexpr double kMaxSubsetFraction = 0.8;
constexpr double kMaxAgeUs = 1e6;  // longer at low request rates
// Where probes have a cost, a request may spend this share of its result on them.
constexpr double kProbeCostShare = 0.008;
constexpr double kMinProbesPerRequest = 0.25;   // keeps the pool of a small subset filled
constexpr double kMaxProbesPerRequest = 2;      // more would add no information
constexpr double kRemovalsPerProbe = 1.0 / 12;  // well within the domain of the reuse formula
constexpr double kReuseFactor = 2;              // 1 + delta, with the paper's delta of 1
constexpr double kMinProbesPerUs = 1e-6;        // lower bound of a divisor

}  // namespace

double ProbePool::ProbesPerRequest(const Settings& settings) const {
  if (!settings.allowed.probes) {
    return 0;
  }
  // At the start probe at the full rate, until there was about one probe per endpoint of the
  // subset. Otherwise the gateway overloads the few endpoints whose load it knows.
  if (settings.costs.probe <= 0 || probes_sent_ < static_cast<int>(subset_.size())) {
    return kMaxProbesPerRequest;
  }
  return std::clamp(kProbeCostShare / settings.costs.probe, kMinProbesPerRequest,
                    kMaxProbesPerRequest);
}

size_t ProbePool::Capacity() const {
  const auto fraction =
      static_cast<size_t>(kMaxSubsetFraction * static_cast<double>(subset_.size()));
  return std::clamp(fraction, kMinCapacity, kMaxCapacity);
}

// The reuse formula of the paper; 1 outside its domain.
double ProbePool::UsesPerEntry(const Settings& settings) const {
  const double capacity = static_cast<double>(Capacity());
  const double subset_size = static_cast<double>(subset_.size());
  const double probes = ProbesPerRequest(settings);
  const double net_additions = (1 - capacity / subset_size) * probes - probes * kRemovalsPerProbe;
  if (subset_size <= capacity || net_additions <= 0) {
    return 1;
  }
  return std::max(1.0, kReuseFactor / net_additions);
}

void ProbePool::Add(const EventContext& context, size_t endpoint, double latency_us,
                    double round_trip_us) {
  std::erase_if(entries_, [&](const PoolEntry& entry) { return entry.endpoint == endpoint; });
  // Rounded up or down at random, so that the mean is exact.
  const int uses = static_cast<int>(UsesPerEntry(context.settings) + context.random.Uniform());
  if (entries_.size() >= Capacity()) {
    entries_.erase(entries_.begin());
  }
  entries_.push_back({.endpoint = endpoint,
                      .latency_us = latency_us,
                      .round_trip_us = round_trip_us,
                      .received_at = context.now,
                      .uses_left = uses});
}

void ProbePool::DropUnusable(const EventContext& context) {
  // At low request rates entries live as long as it takes to fill the pool with new ones.
  const double probes_per_us =
      std::max(traffic_.ArrivalsPerUs(ProbesPerRequest(context.settings)), kMinProbesPerUs);
  const double max_age_us = std::max(kMaxAgeUs, static_cast<double>(Capacity()) / probes_per_us);
  std::erase_if(entries_, [&](const PoolEntry& entry) {
    const Endpoint& endpoint = endpoints_[entry.endpoint];
    return entry.uses_left <= 0 || ToUs(context.now - entry.received_at) > max_age_us ||
           !endpoint.in_subset || !IsUp(endpoint);
  });
}

void ProbePool::CountUse(size_t endpoint) {
  for (PoolEntry& entry : entries_) {
    if (entry.endpoint == endpoint) {
      --entry.uses_left;
    }
  }
}

void ProbePool::RemoveForRequest(const EventContext& context) {
  removals_due_ += ProbesPerRequest(context.settings) * kRemovalsPerProbe;
  for (; removals_due_ >= 1; removals_due_ -= 1) {
    if (entries_.empty()) {
      continue;
    }
    entries_.erase(remove_oldest_next_ ? entries_.begin() : FindWorst(context));
    remove_oldest_next_ = !remove_oldest_next_;
  }
}

std::vector<PoolEntry>::iterator ProbePool::FindWorst(const EventContext& context) {
  const double cut = InFlightCut(
      context.now, context.settings.key_affinity ? kAffinityColdQuantile : kColdQuantile);
  return std::ranges::max_element(entries_, {}, [&](const PoolEntry& entry) {
    return HotColdKeyOf(context.now, entry, cut, /*latency_factor=*/1);
  });
}

bool ProbePool::RefersTo(size_t endpoint) const {
  return std::ranges::count(entries_, endpoint, &PoolEntry::endpoint) > 0;
}

double ProbePool::InFlightCut(Time now, double quantile) const {
  std::vector<double> in_flight;
  for (const PoolEntry& entry : entries_) {
    in_flight.push_back(concurrency_limit_.InFlight(now, endpoints_[entry.endpoint]));
  }
  const auto index = static_cast<long>(quantile * static_cast<double>(in_flight.size() - 1));
  std::ranges::nth_element(in_flight, in_flight.begin() + index);
  return in_flight[static_cast<size_t>(index)];
}

}  // namespace paddlestile
