// Decides which attempts a request may still make, and at which endpoints, by its request class and
// earlier attempts. A retry budget keeps retries from amplifying an overload.
#ifndef PADDLESTILE_BALANCER_RETRY_POLICY_H_
#define PADDLESTILE_BALANCER_RETRY_POLICY_H_

#include "balancer/endpoint_table.h"
#include "balancer/event_context.h"
#include "balancer/learned_state.h"
#include "balancer/request_table.h"
#include "balancer/traffic_statistics.h"

namespace paddlestile {

// Maintains the retry budget.
class RetryPolicy {
 public:
  RetryPolicy(RetryRecords& records, const EndpointTable& endpoints,
              const TrafficStatistics& traffic);

  // Whether the request may be sent to the endpoint now, for the first time or again. All of these
  // must hold: the request is not finished, before its deadline and has attempts left; the endpoint
  // is up; no other attempt is in flight, unless parallel attempts are allowed; and no earlier
  // attempt that may have run forbids a repeat.
  [[nodiscard]] bool IsAttemptPermitted(const EventContext& context, const Request& request,
                                        const Endpoint& endpoint) const;

  // Whether the client may be told that it can send the request again. True if no attempt may have
  // run, or if a repeat is harmless at any endpoint.
  [[nodiscard]] static bool MayReject(const Request& request);

  // Adds the fraction of a further attempt that each arriving request earns.
  void EarnRetryBudget();
  // Pays for a further attempt after `outcome` from the budget. Returns false and leaves the budget
  // unchanged if the budget or the time left of the latency objective is not enough.
  bool SpendRetryBudget(const EventContext& context, const Request& request, Outcome outcome);

 private:
  [[nodiscard]] bool MayRepeat(const EventContext& context, const Request& request,
                               const Attempt& attempt, const Endpoint& endpoint) const;

  RetryRecords& records_;
  const EndpointTable& endpoints_;
  const TrafficStatistics& traffic_;
};

}  // namespace paddlestile

#endif  // PADDLESTILE_BALANCER_RETRY_POLICY_H_
