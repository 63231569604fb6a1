// Which endpoint gets a request, and why another does not: exclusion first, then the hot-cold order
// of the probe pool, then two random choices.
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

// What an endpoint must satisfy; each pass keeps what the next ones ask for.
enum class SelectionPass {
  kInTime,       // the predicted latency is well within the objective, the limit strict
  kWithinLimit,  // no prediction
  kLastResort    // unsafe requests go to doubtful endpoints too
};

struct Selection {
  size_t endpoint = 0;
  SelectionMethod method = SelectionMethod::kNone;
};

// Reads the state of the other modules; keeps the reasons of its last look. The slow-start buckets
// are refilled as it asks them.
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

  // The endpoint for a request, or nothing if none may take it.
  std::optional<Selection> Select(const EventContext& context, const Request& request,
                                  SelectionPass pass);
  // Why the endpoint may not take the request in this pass; kNone if it may.
  ExclusionReason WhyExcluded(const EventContext& context, const Request& request, size_t endpoint,
                              SelectionPass pass);
  // Whether the retry policy and the slow-start budget let the endpoint have the request. Every
  // attempt passes here again at the moment of sending.
  bool IsAttemptPermitted(const EventContext& context, const Request& request, Endpoint& endpoint);
  // The reason that excluded most endpoints at the last Select of any request; kNone if there was
  // no endpoint.
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
  std::array<int, kExclusionReasonCount> exclusions_{};  // endpoints looked at, by reason
};

}  // namespace paddlestile

#endif  // PADDLESTILE_BALANCER_ENDPOINT_SELECTION_H_
