#include "balancer/dispatcher.h"

#include <algorithm>
#include <stdexcept>
#include <utility>

#include "balancer/affinity.h"
#include "balancer/averages.h"
#include "balancer/outlier_detection.h"
#include "balancer/retry_policy.h"

namespace paddlestile {
namespace {

// A request may be queued for this fraction of its latency objective.
constexpr double kMaxQueueFraction = 0.1;
// Retry-after is at most the latency objective divided by this. A client that waits for longer
// misses its objective.
constexpr int kRetryAfterDivisor = 16;
// Endpoints that a request with key affinity considers before its last resort: its affinity
// endpoints and two random ones.
constexpr size_t kLastResortEndpoints = kAffinityEndpoints + 2;

}  // namespace

void Dispatcher::Enqueue(Request& request) {
  request.queued = true;
  queue_.push_back(request.sequence_number);
}

void Dispatcher::DispatchQueued(const EventContext& context) {
  if (queue_.empty()) {
    return;
  }
  bool endpoints_full = false;
  for (const uint64_t sequence_number : TakeQueueByPriority()) {
    Request& request = requests_.At(sequence_number);
    request.queued = DispatchOne(context, request, endpoints_full);
    if (request.queued) {
      queue_.push_back(sequence_number);
    } else {
      CloseIfDone(request);
    }
  }
  if (!queue_.empty() && !std::exchange(queue_tick_set_, true)) {
    context.Emit(SetTimer{kQueueTickInterval, kQueueTickToken});
  }
}

void Dispatcher::OnQueueTick(const EventContext& context) {
  queue_tick_set_ = false;
  DispatchQueued(context);
}

// Empties the queue and returns its requests by descending priority; requests of the same priority
// are in order of arrival.
std::vector<uint64_t> Dispatcher::TakeQueueByPriority() {
  std::vector<uint64_t> sequence_numbers;
  sequence_numbers.swap(queue_);
  if (sequence_numbers.size() < 2) {
    return sequence_numbers;
  }
  std::vector<std::pair<double, uint64_t>> order;
  order.reserve(sequence_numbers.size());
  for (const uint64_t sequence_number : sequence_numbers) {
    order.emplace_back(-requests_.At(sequence_number).priority_percentile, sequence_number);
  }
  std::ranges::sort(order);
  std::ranges::transform(order, sequence_numbers.begin(), &std::pair<double, uint64_t>::second);
  return sequence_numbers;
}

bool Dispatcher::DispatchOne(const EventContext& context, Request& request, bool& endpoints_full) {
  if (request.finished) {
    return false;
  }
  if (!prober_.AreProbesSettled(context, request)) {
    return true;
  }
  const bool is_retry = !request.attempts.empty();
  if (is_retry || !endpoints_full) {
    const SearchResult result = FindEndpoint(context, request);
    if (result.awaits_probes) {
      return true;
    }
    if (result.selection) {
      StartAttemptAt(context, request, *result.selection);
      return false;
    }
  }
  const double max_queued_us = kMaxQueueFraction * ToUs(request.request_class.latency_objective);
  if (is_retry || IsNearDeadline(context.now, request) ||
      ToUs(context.now - request.arrived_at) > max_queued_us) {
    RejectOrFail(context, request, selection_.MostFrequentExclusion());
    return false;
  }
  endpoints_full = true;
  return true;
}

Dispatcher::SearchResult Dispatcher::FindEndpoint(const EventContext& context, Request& request) {
  std::optional<Selection> selection = Select(context, request, SelectionPass::kInTime);
  if ((!selection || selection->method == SelectionMethod::kHot) &&
      prober_.ConsiderMoreEndpoints(context, request, kAffinityEndpoints)) {
    return {.selection = std::nullopt, .awaits_probes = true};
  }
  if (!selection) {
    selection = Select(context, request, SelectionPass::kWithinLimit);
  }
  if (!selection && prober_.ConsiderMoreEndpoints(context, request, kLastResortEndpoints)) {
    return {.selection = std::nullopt, .awaits_probes = true};
  }
  if (!selection) {
    selection = Select(context, request, SelectionPass::kLastResort);
  }
  return {.selection = selection};
}

std::optional<Selection> Dispatcher::Select(const EventContext& context, const Request& request,
                                            SelectionPass pass) {
  const std::optional<Selection> selection = selection_.Select(context, request, pass);
  if (selection) {
    statistics_.last_selection = selection->method;
  }
  return selection;
}

void Dispatcher::StartAttemptAt(const EventContext& context, Request& request,
                                const Selection& selection) {
  Endpoint& endpoint = endpoints_[selection.endpoint];
  if (!selection_.IsAttemptPermitted(context, request, endpoint)) {
    throw std::logic_error("an attempt that is not permitted");
  }
  SlowStart::Spend(endpoint, traffic_.Cost(request));
  OutlierDetection::RecordAttemptStarted(context.now, endpoint);
  concurrency_limit_.RecordAttemptStarted(context.now, endpoint);
  request.attempts.push_back(
      {.endpoint = selection.endpoint,
       .sent_at = context.now,
       .in_flight_at_send = concurrency_limit_.InFlight(context.now, endpoint)});
  ++request.attempts_in_flight;
  ++statistics_.selections[static_cast<size_t>(selection.method)];
  if (selection.method != SelectionMethod::kFallback) {
    pool_.CountUse(selection.endpoint);
  }
  context.Emit(StartAttempt{request.arrival.id, endpoint.info.id, Duration(0)});
  pool_.RemoveForRequest(context);
}

void Dispatcher::RejectOrFail(const EventContext& context, Request& request,
                              ExclusionReason reason) {
  if (std::exchange(request.finished, true)) {
    return;
  }
  ++statistics_.unserved_by_reason[static_cast<size_t>(reason)];
  if (!RetryPolicy::MayReject(request)) {
    context.Emit(FailRequest{request.arrival.id});
    return;
  }
  const auto& allowed = context.settings.allowed;
  const Duration retry_after = std::min(
      allowed.max_retry_after, request.request_class.latency_objective / kRetryAfterDivisor);
  context.Emit(RejectRequest{request.arrival.id, allowed.retry_after ? retry_after : Duration(0)});
}

void Dispatcher::CloseIfDone(Request& request) {
  if (!request.finished || request.attempts_in_flight > 0 || request.queued) {
    return;
  }
  traffic_.RecordClosed(request);
  requests_.Erase(request);
}

}  // namespace paddlestile
