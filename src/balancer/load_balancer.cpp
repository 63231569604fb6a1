// Dispatches events to the modules of the load balancer.
#include "balancer/load_balancer.h"

#include <algorithm>
#include <optional>
#include <utility>
#include <variant>

#include "balancer/admission.h"
#include "balancer/affinity.h"
#include "balancer/concurrency_limit.h"
#include "balancer/discovery_schedule.h"
#include "balancer/dispatcher.h"
#include "balancer/endpoint_selection.h"
#include "balancer/endpoint_subset.h"
#include "balancer/endpoint_table.h"
#include "balancer/event_context.h"
#include "balancer/learned_state.h"
#include "balancer/outlier_detection.h"
#include "balancer/probe_pool.h"
#include "balancer/prober.h"
#include "balancer/request_table.h"
#include "balancer/retry_policy.h"
#include "balancer/slow_start.h"
#include "balancer/traffic_statistics.h"

namespace paddlestile {
namespace {

Settings Validated(const Settings& settings) {
  ValidateSettings(settings);
  return settings;
}

// Returns nothing if the report does not include the number of requests in flight.
std::optional<ReportedLoad> ReadLoadReport(const Settings& settings, const LoadReport& report) {
  constexpr double kUsPerMs = 1000;
  constexpr double kNotReported = -1;
  const auto value = [&](size_t index) {
    return index < report.size() ? std::max(0.0, report[index]) : kNotReported;
  };
  const double in_flight = value(settings.load_report.inflight);
  if (in_flight < 0) {
    return std::nullopt;
  }
  return ReportedLoad{.in_flight = in_flight,
                      .latency_us = value(settings.load_report.latency_ms) * kUsPerMs};
}

// Whether an attempt with this outcome may have run at its endpoint.
bool MayHaveRun(Outcome outcome) {
  return outcome != Outcome::kRejected && outcome != Outcome::kConnectFailed &&
         outcome != Outcome::kNotSent;
}

// Whether the attempt ended by a timeout or cancellation, not by an event at the endpoint.
bool EndedWithoutResponse(Outcome outcome) {
  return outcome == Outcome::kTimeout || outcome == Outcome::kCancelled;
}

}  // namespace

// Owns the settings, the random numbers, the learned state and the modules.
struct LoadBalancer::Impl {
  Impl(const Settings& initial_settings, uint64_t seed)
      : settings(Validated(initial_settings)),
        random(seed),
        traffic(learned, LatencyTargetUs(settings)) {
    ApplySettingsToModules();
  }
  Impl(const Impl&) = delete;  // the modules hold references to one another
  Impl& operator=(const Impl&) = delete;

  void On(const EventContext& context, const EndpointUpdate& update);
  void On(const EventContext& context, const RequestArrived& arrival);
  // Nothing to decide: the response is already on its way to the client.
  void On(const EventContext& /*context*/, const ResponseStarted& /*event*/) {}
  void On(const EventContext& context, const AttemptFinished& event);
  void On(const EventContext& context, const ClientDisconnected& event);
  void On(const EventContext& context, const TimerFired& event);
  void On(const EventContext& context, const ProbeFinished& event);
  // Peer messages are ignored: each gateway decides from its own observations.
  void On(const EventContext& /*context*/, const PeerMessage& /*event*/) {}
  void On(const EventContext& context, const Settings& new_settings);
  // Quotas affect only arriving requests, so the queue is not dispatched.
  void On(const EventContext& /*context*/, const TenantQuotaUpdate& update) {
    ApplyTenantQuotas(update, settings);
  }

  void ApplySettingsToModules();
  void RecordReport(const EventContext& context, size_t endpoint, const LoadReport& report);
  void RecordOutcome(const EventContext& context, Request& request, const Attempt& attempt,
                     const AttemptFinished& event, bool was_unresponsive);
  void RetryOrReject(const EventContext& context, Request& request, const AttemptFinished& event);

  Settings settings;
  RandomSource random;
  Statistics statistics;
  LearnedState learned;

  // In order of construction: a module refers only to members declared before it.
  RequestTable requests;
  EndpointTable endpoints{learned};
  TrafficStatistics traffic;
  EndpointSubset subset{endpoints};
  ConcurrencyLimit concurrency_limit{endpoints, traffic};
  OutlierDetection outliers{subset, traffic};
  SlowStart slow_start{endpoints, subset, traffic};
  RetryPolicy retry_policy{learned, endpoints, traffic};
  ProbePool pool{endpoints, subset, concurrency_limit, traffic};
  Prober prober{endpoints, subset, pool};
  EndpointSelection selection{endpoints,         subset,     pool,         outliers,
                              concurrency_limit, slow_start, retry_policy, traffic};
  Admission admission{traffic};
  Dispatcher dispatcher{endpoints, requests,          selection, pool,
                        prober,    concurrency_limit, traffic,   statistics};
  DiscoverySchedule discovery;
};

void LoadBalancer::Impl::ApplySettingsToModules() {
  traffic.ApplySettings(settings);
  concurrency_limit.ApplySettings(settings);
}

void LoadBalancer::Impl::On(const EventContext& context, const Settings& new_settings) {
  ValidateSettings(new_settings);
  settings = new_settings;
  ApplySettingsToModules();
  dispatcher.DispatchQueued(context);
}

void LoadBalancer::Impl::On(const EventContext& context, const EndpointUpdate& update) {
  if (update.kind == EndpointUpdateKind::kFailed) {
    discovery.OnFailure(context);
    return;
  }
  const auto is_referenced = [this](size_t endpoint) {
    return requests.RefersTo(endpoint) || pool.RefersTo(endpoint);
  };
  const EndpointTable::UpdateResult result = endpoints.Apply(update, is_referenced);
  if (result.subset_needs_refill) {
    subset.MarkChanged();
  }
  subset.SampleNewEndpoints(context, result.newly_up);
  subset.Refill(context);
  discovery.OnUpdate(context, update.kind);
  dispatcher.DispatchQueued(context);
}

void LoadBalancer::Impl::On(const EventContext& context, const RequestArrived& arrival) {
  if (requests.Contains(arrival.id)) {
    return;
  }
  subset.RefillPeriodically(context);
  const size_t request_class = std::min(arrival.request_class, settings.classes.size() - 1);
  Request& request = requests.Add(arrival, request_class, settings, context.now);
  retry_policy.EarnRetryBudget();
  const double since_last_arrival_us = traffic.RecordArrival(context, arrival, request_class);
  admission.Rank(context, request, since_last_arrival_us);
  if (settings.key_affinity && arrival.key) {
    request.affinity_endpoints = FindAffinityEndpoints(endpoints, *arrival.key);
  }
  // A client's retry sends no further probes, because its first try already sent some. With key
  // affinity the affinity endpoints are still probed.
  if (!arrival.is_client_retry || !request.affinity_endpoints.empty()) {
    prober.ProbeForRequest(context, request);
  }
  dispatcher.Enqueue(request);
  dispatcher.DispatchQueued(context);
}

void LoadBalancer::Impl::On(const EventContext& context, const AttemptFinished& event) {
  Request* const request = requests.Find(event.id);
  if (!request || event.attempt >= request->attempts.size() ||
      !request->attempts[event.attempt].in_flight) {
    return;
  }
  Attempt& attempt = request->attempts[event.attempt];
  attempt.in_flight = false;
  --request->attempts_in_flight;
  attempt.may_have_run = MayHaveRun(event.outcome);

  Endpoint& endpoint = endpoints[attempt.endpoint];
  const bool was_unresponsive = outliers.IsUnresponsive(context.now, endpoint);
  concurrency_limit.RecordAttemptFinished(context.now, endpoint);
  if (event.load_report) {
    RecordReport(context, attempt.endpoint, *event.load_report);
  }
  RecordOutcome(context, *request, attempt, event, was_unresponsive);

  request->finished = request->finished || event.request_finished;
  if (!request->finished && request->attempts_in_flight == 0) {
    RetryOrReject(context, *request, event);
  }
  // With key affinity a gateway runs beside each client and uses every endpoint. Where open
  // connections have a cost, it closes its idle ones.
  if (endpoint.attempts_in_flight == 0 && settings.key_affinity && settings.costs.connection > 0) {
    context.Emit(CloseIdleConnections{endpoint.info.id});
  }
  dispatcher.CloseIfDone(*request);
  dispatcher.DispatchQueued(context);
}

// Updates the state of the endpoint from the outcome of an attempt. `was_unresponsive`: whether the
// endpoint was unresponsive before the attempt ended.
void LoadBalancer::Impl::RecordOutcome(const EventContext& context, Request& request,
                                       const Attempt& attempt, const AttemptFinished& event,
                                       bool was_unresponsive) {
  Endpoint& endpoint = endpoints[attempt.endpoint];
  if (!EndedWithoutResponse(event.outcome) &&
      (attempt.may_have_run || event.outcome == Outcome::kRejected)) {
    OutlierDetection::RecordResponse(context.now, endpoint);
  }
  switch (event.outcome) {
    case Outcome::kOk:
      request.met_objective =
          request.met_objective ||
          context.now <= request.arrived_at + request.request_class.latency_objective;
      outliers.RecordSuccess(context, endpoint);
      concurrency_limit.RecordThroughput(endpoint, attempt.in_flight_at_send);
      traffic.RecordSuccess(context, request, event.elapsed);
      break;
    case Outcome::kError:
      outliers.RecordError(context, endpoint);
      break;
    case Outcome::kReset:
    case Outcome::kInvalidResponse:
      outliers.RecordBrokenResponse(context, endpoint);
      break;
    case Outcome::kConnectFailed:
      outliers.RecordConnectFailure(context, endpoint);
      break;
    case Outcome::kTimeout:
    case Outcome::kCancelled:
      concurrency_limit.RecordThroughput(endpoint, attempt.in_flight_at_send);
      if (was_unresponsive) {
        outliers.RecordUnresponsive(context, endpoint);
      }
      break;
    case Outcome::kRejected:
    case Outcome::kNotSent:
      break;
  }
}

// Called after the last attempt in flight of a request that has no response yet.
void LoadBalancer::Impl::RetryOrReject(const EventContext& context, Request& request,
                                       const AttemptFinished& event) {
  if (event.request_consumed || !retry_policy.SpendRetryBudget(context, request, event.outcome)) {
    dispatcher.RejectOrFail(context, request, ExclusionReason::kRetryBudgetExhausted);
    return;
  }
  prober.ProbeForRetry(context, request);
  dispatcher.Enqueue(request);
}

void LoadBalancer::Impl::On(const EventContext& context, const ProbeFinished& event) {
  const std::optional<size_t> index = endpoints.Find(event.endpoint);
  if (!index) {
    return;
  }
  Endpoint& endpoint = endpoints[*index];
  Prober::RecordProbeFinished(endpoint);
  if (event.outcome == Outcome::kOk) {
    ConcurrencyLimit::RecordRoundTrip(endpoint, event.elapsed);
    if (event.load_report && IsUp(endpoint)) {
      RecordReport(context, *index, *event.load_report);
    }
  } else if (event.outcome == Outcome::kConnectFailed || event.outcome == Outcome::kTimeout) {
    outliers.RecordProbeFailure(context, endpoint);
  }
  dispatcher.DispatchQueued(context);
}

void LoadBalancer::Impl::RecordReport(const EventContext& context, size_t index,
                                      const LoadReport& report) {
  const std::optional<ReportedLoad> load = ReadLoadReport(settings, report);
  if (!load) {
    return;
  }
  Endpoint& endpoint = endpoints[index];
  concurrency_limit.RecordReport(context, endpoint, *load);
  // The reported latency does not include the network. The cost of crossing zones is a fraction of
  // the latency objective.
  const double crossing_us =
      endpoint.info.zone != settings.zone
          ? settings.costs.cross_zone * concurrency_limit.target_us() / kObjectiveFraction
          : 0;
  pool.Add(context, index, std::max(load->latency_us, 0.0), endpoint.round_trip_us + crossing_us);
}

void LoadBalancer::Impl::On(const EventContext& context, const TimerFired& event) {
  if (event.token == kQueueTickToken) {
    dispatcher.OnQueueTick(context);
  } else if (event.token == kDiscoveryToken) {
    discovery.OnTimer(context);
  }
}

void LoadBalancer::Impl::On(const EventContext& /*context*/, const ClientDisconnected& event) {
  if (Request* const request = requests.Find(event.id)) {
    request->finished = true;
    dispatcher.CloseIfDone(*request);
  }
}

LoadBalancer::LoadBalancer(const Settings& settings, uint64_t seed)
    : impl_(std::make_unique<Impl>(settings, seed)) {}
LoadBalancer::~LoadBalancer() = default;
LoadBalancer::LoadBalancer(LoadBalancer&&) noexcept = default;
LoadBalancer& LoadBalancer::operator=(LoadBalancer&&) noexcept = default;

void LoadBalancer::Handle(Time now, const Event& event, std::vector<Action>& actions) {
  const EventContext context{now, impl_->settings, impl_->random, actions};
  std::visit([&](const auto& typed_event) { impl_->On(context, typed_event); }, event);
}

const Statistics& LoadBalancer::statistics() const {
  return impl_->statistics;
}

const LearnedState& LoadBalancer::learned_state() const {
  return impl_->learned;
}

void LoadBalancer::ImportLearnedState(Time now, const LearnedState& learned) {
  ImportState(impl_->learned, learned, now);
}

}  // namespace paddlestile
