#include "balancer/probe_pool.h"

#include <algorithm>

#include "balancer/averages.h"

namespace paddlestile {
namespace {

constexpr size_t kMinCapacity = 2;              // entries: the hot-cold order compares two
constexpr size_t kMaxCapacity = 16;             // entries, as in the paper
constexpr double kSubsetFraction = 0.8;         // below 1 keeps the paper's reuse formula defined
constexpr double kMaxAgeUs = 1e6;               // longer where requests are few
constexpr double kProbeSpend = 0.008;           // of the result; what probes may cost where priced
constexpr double kMinProbesPerRequest = 0.25;   // keeps the pool of a small subset filled
constexpr double kMaxProbesPerRequest = 2;      // more shows nothing new
constexpr double kRemovalsPerProbe = 1.0 / 12;  // well inside the formula's domain
constexpr double kReuseFactor = 2;              // one more than the paper's delta of 1
constexpr double kMinProbesPerUs = 1e-6;        // it is divided by

}  // namespace

double ProbePool::ProbesPerRequest(const Settings& settings) const {
  if (!settings.allowed.probes) {
    return 0;
  }
  // A first view of all of the subset before the first seconds crowd it.
  if (settings.costs.probe <= 0 || probes_sent_ < static_cast<int>(subset_.size())) {
    return kMaxProbesPerRequest;
  }
  return std::clamp(kProbeSpend / settings.costs.probe, kMinProbesPerRequest, kMaxProbesPerRequest);
}

size_t ProbePool::Capacity() const {
  const auto fraction = static_cast<size_t>(kSubsetFraction * static_cast<double>(subset_.size()));
  return std::clamp(fraction, kMinCapacity, kMaxCapacity);
}

// The paper's formula; 1 outside its domain.
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
  // Rounded at random, so that the mean is exact.
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
  // Where requests are few, entries serve for as long as their probes take to fill the pool.
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
    entries_.erase(remove_oldest_next_ ? entries_.begin() : Worst(context));
    remove_oldest_next_ = !remove_oldest_next_;
  }
}

std::vector<PoolEntry>::iterator ProbePool::Worst(const EventContext& context) {
  const double cut =
      InFlightCut(context.now, context.settings.key_affinity ? kAffinityColdRank : kColdRank);
  return std::ranges::max_element(entries_, {}, [&](const PoolEntry& entry) {
    return OrderOf(context.now, entry, cut, /*latency_factor=*/1);
  });
}

bool ProbePool::RefersTo(size_t endpoint) const {
  return std::ranges::count(entries_, endpoint, &PoolEntry::endpoint) > 0;
}

double ProbePool::InFlightCut(Time now, double rank) const {
  std::vector<double> in_flight;
  for (const PoolEntry& entry : entries_) {
    in_flight.push_back(concurrency_limit_.InFlight(now, endpoints_[entry.endpoint]));
  }
  const auto index = static_cast<long>(rank * static_cast<double>(in_flight.size() - 1));
  std::ranges::nth_element(in_flight, in_flight.begin() + index);
  return in_flight[static_cast<size_t>(index)];
}

}  // namespace paddlestile
