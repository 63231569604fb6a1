// The pool of probe responses of Prequal ("Load is not what you should balance", NSDI 2024) and the
// hot-cold order over its entries. Its size, the age of entries and the uses per entry are bounded.
#ifndef PADDLESTILE_BALANCER_PROBE_POOL_H_
#define PADDLESTILE_BALANCER_PROBE_POOL_H_

#include <compare>
#include <cstddef>
#include <vector>

#include "balancer/concurrency_limit.h"
#include "balancer/endpoint_subset.h"
#include "balancer/endpoint_table.h"
#include "balancer/event_context.h"
#include "balancer/traffic_statistics.h"

namespace paddlestile {

struct PoolEntry {
  size_t endpoint = 0;
  double latency_us = 0;     // as reported by the endpoint, without the network
  double round_trip_us = 0;  // plus the cost of crossing zones, as time
  Time received_at{0};
  int uses_left = 1;
};

// Sort key of the hot-cold order; lower is better. Cold entries come before hot ones. Cold entries
// are ordered by latency, hot ones by requests in flight.
struct HotColdKey {
  bool is_hot = false;
  double value = 0;  // us if cold, requests in flight if hot
  auto operator<=>(const HotColdKey&) const = default;
};

// Holds at most one entry per endpoint, oldest first. Also determines how many probes a request
// sends, because the number of uses per entry depends on it.
class ProbePool {
 public:
  ProbePool(const EndpointTable& endpoints, const EndpointSubset& subset,
            const ConcurrencyLimit& concurrency_limit, const TrafficStatistics& traffic)
      : endpoints_(endpoints),
        subset_(subset),
        concurrency_limit_(concurrency_limit),
        traffic_(traffic) {}

  // The mean number of probes that a request sends: 0, or within fixed bounds.
  [[nodiscard]] double ProbesPerRequest(const Settings& settings) const;
  void CountProbe() { ++probes_sent_; }

  // Adds a probe response. It replaces the entry of the same endpoint, or the oldest entry if the
  // pool is full.
  void Add(const EventContext& context, size_t endpoint, double latency_us, double round_trip_us);
  // Removes entries that are used up or too old, and those of endpoints that are not up or not in
  // the subset.
  void DropUnusable(const EventContext& context);
  // Counts a use of the endpoint's entry.
  void CountUse(size_t endpoint);
  // Removes entries at a fixed rate per request, alternating between the oldest and the worst.
  // Otherwise the pool would fill up with entries that are never selected.
  void RemoveForRequest(const EventContext& context);

  [[nodiscard]] const std::vector<PoolEntry>& entries() const { return entries_; }
  [[nodiscard]] bool RefersTo(size_t endpoint) const;
  // Returns the `quantile` (0 to 1) of the entries' requests in flight. Entries up to this cut are
  // cold, the others hot. The pool must not be empty.
  [[nodiscard]] double InFlightCut(Time now, double quantile) const;
  // Returns the sort key of an entry. `cut`: from InFlightCut. `latency_factor` scales the reported
  // latency.
  [[nodiscard]] HotColdKey HotColdKeyOf(Time now, const PoolEntry& entry, double cut,
                                        double latency_factor) const {
    // The current estimate, which includes attempts started and finished since the probe.
    const double in_flight = concurrency_limit_.InFlight(now, endpoints_[entry.endpoint]);
    if (in_flight <= cut) {
      return {false, entry.latency_us * latency_factor + entry.round_trip_us};
    }
    return {true, in_flight};
  }

  static constexpr double kColdQuantile = 0.25;         // low, as loaded endpoints slow down
  static constexpr double kAffinityColdQuantile = 0.9;  // for a request of mean cost

 private:
  [[nodiscard]] size_t Capacity() const;
  [[nodiscard]] double UsesPerEntry(const Settings& settings) const;
  [[nodiscard]] std::vector<PoolEntry>::iterator FindWorst(const EventContext& context);

  const EndpointTable& endpoints_;
  const EndpointSubset& subset_;
  const ConcurrencyLimit& concurrency_limit_;
  const TrafficStatistics& traffic_;
  std::vector<PoolEntry> entries_;
  int probes_sent_ = 0;
  double removals_due_ = 0;  // fraction carried over to the next request
  bool remove_oldest_next_ = true;
};

}  // namespace paddlestile

#endif  // PADDLESTILE_BALANCER_PROBE_POOL_H_
