// The request queue: sends each request to an endpoint, keeps it queued for a while, or rejects it.
//
//   state       event                                                 next state
//   queued      an endpoint is selected                               in flight
//   queued      waiting for probes of affinity endpoints              queued
//   queued      no endpoint is eligible, and the request is a         rejected or failed
//               retry, near its deadline or has been queued too
//               long
//   queued      no endpoint is eligible otherwise                     queued
//   in flight   the last attempt ends and a retry is permitted        queued
//   in flight   the last attempt ends otherwise                       finished, rejected or failed
#ifndef PADDLESTILE_BALANCER_DISPATCHER_H_
#define PADDLESTILE_BALANCER_DISPATCHER_H_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

#include "balancer/concurrency_limit.h"
#include "balancer/endpoint_selection.h"
#include "balancer/endpoint_table.h"
#include "balancer/event_context.h"
#include "balancer/probe_pool.h"
#include "balancer/prober.h"
#include "balancer/request_table.h"
#include "balancer/statistics.h"
#include "balancer/traffic_statistics.h"

namespace paddlestile {

// Token of the timer that OnQueueTick handles. It is part of the simulator's protocol and must not
// change.
constexpr const char* kQueueTickToken = "sweep";

// Owns the queue and writes the statistics. No other module starts attempts, rejects requests or
// closes them.
class Dispatcher {
 public:
  Dispatcher(EndpointTable& endpoints, RequestTable& requests, EndpointSelection& selection,
             ProbePool& pool, Prober& prober, ConcurrencyLimit& concurrency_limit,
             TrafficStatistics& traffic, Statistics& statistics)
      : endpoints_(endpoints),
        requests_(requests),
        selection_(selection),
        pool_(pool),
        prober_(prober),
        concurrency_limit_(concurrency_limit),
        traffic_(traffic),
        statistics_(statistics) {}

  void Enqueue(Request& request);
  // Tries to dispatch every queued request, in order of descending priority. Sets a timer for the
  // next queue tick if any request stays queued.
  void DispatchQueued(const EventContext& context);
  void OnQueueTick(const EventContext& context);
  // Finishes the request without a response: rejects it if RetryPolicy::MayReject, so that the
  // client can send it again, and fails it otherwise. Does nothing if it is already finished.
  // `reason` is counted in the statistics.
  void RejectOrFail(const EventContext& context, Request& request, ExclusionReason reason);
  // Erases the request from the table if it is finished, not queued and has no attempt in flight.
  // The reference is then no longer valid.
  void CloseIfDone(Request& request);

 private:
  // The result of the search for an endpoint. Neither field is set if no endpoint is eligible.
  struct SearchResult {
    std::optional<Selection> selection;
    bool awaits_probes = false;
  };

  [[nodiscard]] std::vector<uint64_t> TakeQueueByPriority();
  // Returns whether the request stays queued. `endpoints_full` is set if no endpoint is eligible
  // for it; in the rest of the round only retries are then tried.
  bool DispatchOne(const EventContext& context, Request& request, bool& endpoints_full);
  SearchResult FindEndpoint(const EventContext& context, Request& request);
  std::optional<Selection> Select(const EventContext& context, const Request& request,
                                  SelectionPass pass);
  void StartAttemptAt(const EventContext& context, Request& request, const Selection& selection);

  EndpointTable& endpoints_;
  RequestTable& requests_;
  EndpointSelection& selection_;
  ProbePool& pool_;
  Prober& prober_;
  ConcurrencyLimit& concurrency_limit_;
  TrafficStatistics& traffic_;
  Statistics& statistics_;
  std::vector<uint64_t> queue_;  // sequence numbers of requests, unsorted
  bool queue_tick_set_ = false;
};

}  // namespace paddlestile

#endif  // PADDLESTILE_BALANCER_DISPATCHER_H_
