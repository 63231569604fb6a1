// Counters of a load balancer's decisions, for logs and metrics. No decision depends on them.
#ifndef PADDLESTILE_BALANCER_STATISTICS_H_
#define PADDLESTILE_BALANCER_STATISTICS_H_

#include <array>
#include <cstddef>
#include <cstdint>

namespace paddlestile {

// How an endpoint was selected. Cold and hot are Prequal's terms. A cold entry of the probe pool
// has no more requests in flight than the pool's cut, a hot entry has more.
enum class SelectionMethod {
  kNone,
  kCold,     // the cold pool entry with the lowest latency
  kHot,      // the hot pool entry with the fewest requests in flight
  kFallback  // two random choices, without the pool
};

// Why an endpoint is excluded for a request.
enum class ExclusionReason {
  kNone,  // not excluded; as the reason of an unserved request: there was no endpoint
  // Not up, was already tried, or the request class, the number of attempts or the deadline does
  // not permit an attempt.
  kNotPermitted,
  kWarmingUp,  // has just started and its slow-start budget is used up
  // Unresponsive, has a half-open trial in flight, or is doubtful and the request is unsafe.
  kUnhealthy,
  kAtConcurrencyLimit,      // holds as many requests as its learned limit
  kCapacityUnknown,         // at the initial limit, or without a fresh load report
  kMissesLatencyObjective,  // the predicted latency is too long for the latency objective
  kRetryBudgetExhausted     // no endpoint was searched: no attempt, time or retry budget is left
};
constexpr size_t kExclusionReasonCount = 8;

// Returns the name in logs and metrics.
inline const char* ToText(ExclusionReason reason) {
  constexpr std::array<const char*, kExclusionReasonCount> kNames = {"no_endpoint",
                                                                     "not_permitted",
                                                                     "warming_up",
                                                                     "unhealthy",
                                                                     "at_concurrency_limit",
                                                                     "capacity_unknown",
                                                                     "misses_latency_objective",
                                                                     "retry_budget_exhausted"};
  return kNames[static_cast<size_t>(reason)];
}

struct Statistics {
  std::array<uint64_t, 4> selections{};  // attempts started, by SelectionMethod
  // Rejected and failed requests, by the reason that excluded the most endpoints at the last
  // selection.
  std::array<uint64_t, kExclusionReasonCount> unserved_by_reason{};
  SelectionMethod last_selection = SelectionMethod::kNone;
};

}  // namespace paddlestile

#endif  // PADDLESTILE_BALANCER_STATISTICS_H_
