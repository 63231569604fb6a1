// Selects the endpoint of a request and counts why others are excluded. Among eligible endpoints
// the hot-cold order of the probe pool decides. If the pool has too few entries or no eligible one,
// the better of two random choices is taken.
#ifndef PADDLESTILE_BALANCER_ENDPOINT_SELECTION_H_
#define PADDLESTILE_BALANCER_ENDPOINT_SELECTION_H_

#include <array>
#include <cstddef>
#include <optional>

#include "balancer/concurrency_limit.h"
#include "balancer/endpoint_subset.h"
#include "balancer/endpoint_table.h"
#include "balancer/event_context.h"
#include "balancer/outlier_detection.h"
#include "balancer/probe_pool.h"
#include "balancer/request_table.h"
#include "balancer/retry_policy.h"
#include "balancer/slow_start.h"
#include "balancer/statistics.h"
#include "balancer/traffic_statistics.h"

namespace paddlestile {

// How strict the exclusion is. Each pass drops conditions of the one before it.
enum class SelectionPass {
  kInTime,       // predicted latency well within the objective, strict concurrency limit
  kWithinLimit,  // as kInTime, without the prediction and with the higher limit of key affinity
  kLastResort    // as kWithinLimit; unsafe requests may go to doubtful endpoints
};

struct Selection {
  size_t endpoint = 0;
  SelectionMethod method = SelectionMethod::kNone;
};

// Reads the state of the other modules and keeps the exclusion reasons of the last selection.
// Checking a slow-start budget refills its bucket.
class EndpointSelection {
 public:
  EndpointSelection(EndpointTable& endpoints, const EndpointSubset& subset, ProbePool& pool,
                    const OutlierDetection& outliers, const ConcurrencyLimit& concurrency_limit,
                    const SlowStart& slow_start, const RetryPolicy& retry_policy,
                    const TrafficStatistics& traffic)
      : endpoints_(endpoints),
        subset_(subset),
        pool_(pool),
        outliers_(outliers),
        concurrency_limit_(concurrency_limit),
        slow_start_(slow_start),
        retry_policy_(retry_policy),
        traffic_(traffic) {}

  // Returns the endpoint for a request, or nothing if none is eligible.
  std::optional<Selection> Select(const EventContext& context, const Request& request,
                                  SelectionPass pass);
  // Returns why the endpoint is excluded for the request in this pass; kNone if it is eligible.
  ExclusionReason WhyExcluded(const EventContext& context, const Request& request, size_t endpoint,
                              SelectionPass pass);
  // Whether the retry policy and the slow-start budget permit an attempt at the endpoint. The
  // dispatcher checks this again for every attempt immediately before it starts.
  bool IsAttemptPermitted(const EventContext& context, const Request& request, Endpoint& endpoint);
  // Returns the reason that excluded the most endpoints at the last Select of any request; kNone if
  // there was no endpoint.
  [[nodiscard]] ExclusionReason MostFrequentExclusion() const;

 private:
  bool IsEligible(const EventContext& context, const Request& request, size_t endpoint,
                  SelectionPass pass);
  [[nodiscard]] bool IsLoadKnown(const EventContext& context, const Request& request,
                                 const Endpoint& endpoint) const;
  Selection SelectFromPool(const EventContext& context, const Request& request, SelectionPass pass);
  std::optional<Selection> SelectByTwoChoices(const EventContext& context, const Request& request,
                                              SelectionPass pass);

  EndpointTable& endpoints_;
  const EndpointSubset& subset_;
  ProbePool& pool_;
  const OutlierDetection& outliers_;
  const ConcurrencyLimit& concurrency_limit_;
  const SlowStart& slow_start_;
  const RetryPolicy& retry_policy_;
  const TrafficStatistics& traffic_;
  std::array<int, kExclusionReasonCount> exclusions_{};  // endpoints checked, by reason
};

}  // namespace paddlestile

#endif  // PADDLESTILE_BALANCER_ENDPOINT_SELECTION_H_
