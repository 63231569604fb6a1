// Which attempts a request may still make and where, by what its class allows, and the budget that
// keeps retries from multiplying an overload.
#ifndef PADDLESTILE_BALANCER_RETRY_POLICY_H_
#define PADDLESTILE_BALANCER_RETRY_POLICY_H_

#include "balancer/endpoint_table.h"
#include "balancer/event_context.h"
#include "balancer/learned_state.h"
#include "balancer/request_table.h"
#include "balancer/traffic_statistics.h"

namespace paddlestile {

// Keeps the retry budget.
class RetryPolicy {
 public:
  RetryPolicy(RetryRecords& records, const EndpointTable& endpoints,
              const TrafficStatistics& traffic);

  // Whether the request may be sent to the endpoint now, for the first time or again:
  // it is open, in time and has attempts left; the endpoint is up; no other attempt is in flight
  // unless parallel ones are allowed; and no earlier attempt that may have run forbids a repeat.
  [[nodiscard]] bool IsAttemptPermitted(const EventContext& context, const Request& request,
                                        const Endpoint& endpoint) const;

  // Whether the client may get the response that it can send the request again: no attempt may have
  // run, or its repeats do no harm wherever they go.
  [[nodiscard]] static bool MayReject(const Request& request);

  // Each request that arrives earns a fraction of a further attempt.
  void EarnRetryBudget();
  // Takes a further attempt from the budget after `outcome`. Returns false, and takes nothing, if
  // the budget or the time left of the latency objective does not suffice.
  bool TakeRetry(const EventContext& context, const Request& request, Outcome outcome);

 private:
  [[nodiscard]] bool MayRepeat(const EventContext& context, const Request& request,
                               const Attempt& attempt, const Endpoint& endpoint) const;

  RetryRecords& records_;
  const EndpointTable& endpoints_;
  const TrafficStatistics& traffic_;
};

}  // namespace paddlestile

#endif  // PADDLESTILE_BALANCER_RETRY_POLICY_H_
