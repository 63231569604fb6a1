// The queue of requests: sends each to an endpoint, keeps it for a while, or rejects it.
//
//   request state   left when                                           to
//   queued          an endpoint may take it                             in flight
//                   probes of affinity endpoints are awaited            queued, until the next look
//                   none may take it, and it is a retry, near its       rejected or failed
//                   deadline or was queued for long
//   in flight       its last attempt ends and a retry is permitted      queued
//                   its last attempt ends otherwise                     finished, rejected or
//                   failed
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

// The timer that OnQueueTick answers; an outside name, part of the simulator's protocol.
constexpr const char* kQueueTickToken = "sweep";

// Keeps the queue and writes the statistics. The only module that starts attempts, rejects requests
// and closes them.
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

  // Puts the request into the queue.
  void Enqueue(Request& request);
  // Looks at every queued request, the highest priority first. Asks for a queue tick if some stay.
  void DispatchQueued(const EventContext& context);
  void OnQueueTick(const EventContext& context);
  // Finishes the request without a response: rejects it where that is permitted, so that the client
  // may try again, else fails it. Does nothing if it is finished already.
  void RejectOrFail(const EventContext& context, Request& request, ExclusionReason reason);
  // Removes the request from the table if nothing is left to do for it; the reference is then no
  // longer valid.
  void CloseIfDone(Request& request);

 private:
  // What a look at a queued request found; neither if no endpoint may take it.
  struct Look {
    std::optional<Selection> selection;
    bool waits_for_probes = false;
  };

  [[nodiscard]] std::vector<uint64_t> TakeQueueByPriority();
  // Returns whether the request stays queued. `endpoints_full`: an earlier request of this round
  // found no endpoint, so new ones are not looked at; set if this one finds none.
  bool DispatchOne(const EventContext& context, Request& request, bool& endpoints_full);
  Look LookForEndpoint(const EventContext& context, Request& request);
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
  std::vector<uint64_t> queue_;  // sequence numbers, unsorted
  bool queue_tick_set_ = false;
};

}  // namespace paddlestile

#endif  // PADDLESTILE_BALANCER_DISPATCHER_H_
