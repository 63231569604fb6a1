// What a load balancer counts of its decisions, for logs and metrics. No decision reads it.
#ifndef PADDLESTILE_BALANCER_STATISTICS_H_
#define PADDLESTILE_BALANCER_STATISTICS_H_

#include <array>
#include <cstddef>
#include <cstdint>

namespace paddlestile {

// How an endpoint was selected. Cold and hot are Prequal's terms: with as many or fewer requests
// in flight than the cut of the probe pool, and with more.
enum class SelectionMethod {
  kNone,
  kCold,     // from the pool, the lowest latency
  kHot,      // from the pool, the fewest in flight
  kFallback  // without the pool: two random choices
};

// Why an endpoint may not take a request now.
enum class ExclusionReason {
  kNone,          // it may; of an unserved request: there was no endpoint at all
  kNotPermitted,  // drains, had this request before, or the class, the attempts or the time forbid
  kWarmingUp,     // has just started and its slow-start budget is spent
  kUnhealthy,     // unresponsive, on a half-open trial, or doubtful and the request is unsafe
  kAtConcurrencyLimit,      // holds as many requests as its learned limit
  kCapacityUnknown,         // at the initial limit, or its load is not freshly known
  kMissesLatencyObjective,  // the predicted response would come too late
  kRetryBudgetExhausted     // none was looked for: no attempt, time or retry budget is left
};
constexpr size_t kExclusionReasonCount = 8;

// The name in logs and metrics.
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
  // Rejected and failed requests, by the reason that excluded most endpoints at the last look.
  std::array<uint64_t, kExclusionReasonCount> unserved_by_reason{};
  SelectionMethod last_selection = SelectionMethod::kNone;
};

}  // namespace paddlestile

#endif  // PADDLESTILE_BALANCER_STATISTICS_H_
