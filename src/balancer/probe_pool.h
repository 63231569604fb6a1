// The pool of probe responses of Prequal ("Load is not what you should balance", NSDI 2024):
// bounded, aged and consumed by use, with the hot-cold order over its entries.
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
  double latency_us = 0;     // as reported, which leaves out the way there
  double round_trip_us = 0;  // and the price of crossing zones, as time
  Time received_at{0};
  int uses_left = 1;
};

// Ascending is better: the cold before the hot, the cold by latency, the hot by requests in flight.
struct HotColdKey {
  bool is_hot = false;
  double value = 0;  // us if cold, requests in flight if hot
  auto operator<=>(const HotColdKey&) const = default;
};

// Holds at most one entry an endpoint, the oldest first. Also knows how many probes a request
// should send, since the reuse of entries follows from that.
class ProbePool {
 public:
  ProbePool(const EndpointTable& endpoints, const EndpointSubset& subset,
            const ConcurrencyLimit& concurrency_limit, const TrafficStatistics& traffic)
      : endpoints_(endpoints),
        subset_(subset),
        concurrency_limit_(concurrency_limit),
        traffic_(traffic) {}

  // Probes that a request sends, as a rate: 0 or within fixed bounds.
  [[nodiscard]] double ProbesPerRequest(const Settings& settings) const;
  void CountProbe() { ++probes_sent_; }

  // Adds a response in place of an earlier one of the endpoint, or of the oldest if full.
  void Add(const EventContext& context, size_t endpoint, double latency_us, double round_trip_us);
  // Drops entries that are used up, too old, or of endpoints outside the subset or not up.
  void DropUnusable(const EventContext& context);
  // Counts a use of the endpoint's entry.
  void CountUse(size_t endpoint);
  // Removes entries at a fixed rate by requests, the oldest and the worst in turn: what stays in
  // the pool would else be the entries that nothing wants to use.
  void RemoveForRequest(const EventContext& context);

  [[nodiscard]] const std::vector<PoolEntry>& entries() const { return entries_; }
  [[nodiscard]] bool RefersTo(size_t endpoint) const;
  // The element at `rank`, a fraction, of the entries' requests in flight: up to it an entry is
  // cold. The pool must not be empty.
  [[nodiscard]] double InFlightCut(Time now, double rank) const;
  // The place of an entry in the hot-cold order. `latency_factor` scales its reported latency.
  [[nodiscard]] HotColdKey OrderOf(Time now, const PoolEntry& entry, double cut,
                                   double latency_factor) const {
    // As of now, with what this gateway sent and finished since.
    const double in_flight = concurrency_limit_.InFlight(now, endpoints_[entry.endpoint]);
    if (in_flight <= cut) {
      return {false, entry.latency_us * latency_factor + entry.round_trip_us};
    }
    return {true, in_flight};
  }

  static constexpr double kColdRank = 0.25;         // crowded endpoints slow down
  static constexpr double kAffinityColdRank = 0.9;  // for a request of mean cost

 private:
  [[nodiscard]] size_t Capacity() const;
  [[nodiscard]] double UsesPerEntry(const Settings& settings) const;
  [[nodiscard]] std::vector<PoolEntry>::iterator Worst(const EventContext& context);

  const EndpointTable& endpoints_;
  const EndpointSubset& subset_;
  const ConcurrencyLimit& concurrency_limit_;
  const TrafficStatistics& traffic_;
  std::vector<PoolEntry> entries_;
  int probes_sent_ = 0;
  double removals_due_ = 0;  // below 1 between requests
  bool remove_oldest_next_ = true;
};

}  // namespace paddlestile

#endif  // PADDLESTILE_BALANCER_PROBE_POOL_H_
