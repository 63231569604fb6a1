// Decides which endpoints are probed. Probes are sent together with requests: to random endpoints
// of the subset, or with key affinity to the endpoints that the request may go to. With key
// affinity the request waits for the responses.
#ifndef PADDLESTILE_BALANCER_PROBER_H_
#define PADDLESTILE_BALANCER_PROBER_H_

#include <cstddef>
#include <optional>

#include "balancer/endpoint_subset.h"
#include "balancer/endpoint_table.h"
#include "balancer/event_context.h"
#include "balancer/probe_pool.h"
#include "balancer/request_table.h"

namespace paddlestile {

// Interval of dispatching the queue again. It is much shorter than any useful latency objective.
constexpr Duration kQueueTickInterval{10'000};

// A load report up to this age is fresh. An endpoint gets only a few requests in that time.
constexpr Duration kFreshReportAge{100'000};

// Whether the deadline is within two queue ticks. Such a request is not left to the next tick,
// because timers never fire early and may fire late.
inline bool IsNearDeadline(Time now, const Request& request) {
  return now + 2 * kQueueTickInterval >= request.arrival.deadline;
}

// Sends probes and decides how long a request waits for them.
class Prober {
 public:
  Prober(EndpointTable& endpoints, const EndpointSubset& subset, ProbePool& pool)
      : endpoints_(endpoints), subset_(subset), pool_(pool) {}

  // Sends the probes of an arriving request.
  void ProbeForRequest(const EventContext& context, Request& request);
  // Counts a probe as finished, whatever its outcome.
  static void RecordProbeFinished(Endpoint& endpoint);
  // Probes all affinity endpoints of the request before a further attempt.
  void ProbeForRetry(const EventContext& context, Request& request);
  // Whether the request no longer waits for probes: all have finished, the maximum wait is over, or
  // the deadline of the request is near.
  [[nodiscard]] bool AreProbesSettled(const EventContext& context, const Request& request) const;
  // Adds random endpoints until the request considers `count` endpoints, and probes those that were
  // not yet probed for it. Returns whether the request should wait for these probes; false without
  // key affinity, near the deadline, or if there is nothing to probe.
  bool ConsiderMoreEndpoints(const EventContext& context, Request& request, size_t count);

 private:
  void ProbeAffinityEndpoints(const EventContext& context, Request& request, size_t count);
  void ProbeRandomEndpoint(const EventContext& context);
  [[nodiscard]] std::optional<size_t> FirstUnreported() const;
  [[nodiscard]] std::optional<size_t> DrawWithoutProbe(const EventContext& context) const;
  void SendProbe(const EventContext& context, Endpoint& endpoint);

  EndpointTable& endpoints_;
  const EndpointSubset& subset_;
  ProbePool& pool_;
  double probes_due_ = 0;  // fraction carried over to the next request
};

}  // namespace paddlestile

#endif  // PADDLESTILE_BALANCER_PROBER_H_
