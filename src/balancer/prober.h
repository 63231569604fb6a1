// Which endpoints are probed. Probes accompany requests: random ones of the subset, or with key
// affinity those that the request may go to, and then it waits for their responses.
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

// How often queued requests are looked at again; a fraction of any useful latency objective.
constexpr Duration kQueueTickInterval{10'000};

// A report of this age is fresh: an endpoint gets some requests in that time.
constexpr Duration kFreshReportAge{100'000};

// No timer comes early: what is due within two ticks is done now.
inline bool IsNearDeadline(Time now, const Request& request) {
  return now + 2 * kQueueTickInterval >= request.arrival.deadline;
}

// Sends probes and decides how long a request waits for them.
class Prober {
 public:
  Prober(EndpointTable& endpoints, const EndpointSubset& subset, ProbePool& pool)
      : endpoints_(endpoints), subset_(subset), pool_(pool) {}

  // The probes that accompany an arriving request.
  void ProbeForRequest(const EventContext& context, Request& request);
  // Counts a probe that ended, however it did.
  static void RecordProbeFinished(Endpoint& endpoint);
  // Before a further attempt: all affinity endpoints of the request.
  void ProbeForRetry(const EventContext& context, Request& request);
  // Whether the request need not wait for probes: they came back, had their time, or its deadline
  // is near.
  [[nodiscard]] bool AreProbesSettled(const EventContext& context, const Request& request) const;
  // Adds random endpoints until the request considers `count`, and probes those that it has not
  // probed. Returns whether it should wait for them; false without key affinity, near the deadline
  // or if there is none to probe.
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
  double probes_due_ = 0;  // below 1 between requests
};

}  // namespace paddlestile

#endif  // PADDLESTILE_BALANCER_PROBER_H_
