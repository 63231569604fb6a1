// Helpers that drive one gateway's load balancer event by event. There is no model of servers: the
// test supplies the outcome of every attempt and probe.
#ifndef PADDLESTILE_TESTS_BALANCER_LOAD_BALANCER_FIXTURE_H_
#define PADDLESTILE_TESTS_BALANCER_LOAD_BALANCER_FIXTURE_H_

#include <map>
#include <string>
#include <utility>
#include <vector>

#include "balancer/load_balancer.h"

namespace paddlestile::testing {

constexpr Duration Ms(double ms) {
  return Duration(static_cast<int64_t>(ms * 1000));
}

inline RequestClass MakeClass(Idempotency idempotency,
                              DeduplicationScope scope = DeduplicationScope::kAll) {
  RequestClass request_class;
  request_class.idempotency = idempotency;
  request_class.deduplication_scope = scope;
  request_class.deduplication_window = Ms(1500);
  request_class.latency_objective = Ms(400);
  request_class.deadline = Ms(2000);
  request_class.priority_weight = 1;
  return request_class;
}

// The request classes are: 0 safe; 1 to 3 keyed, with deduplication over all endpoints, by zone and
// by cell; 4 unsafe.
inline Settings MakeSettings() {
  Settings settings;
  settings.instance_count = 3;
  settings.zone_count = 2;
  settings.classes = {
      MakeClass(Idempotency::kSafe), MakeClass(Idempotency::kKeyed, DeduplicationScope::kAll),
      MakeClass(Idempotency::kKeyed, DeduplicationScope::kZone),
      MakeClass(Idempotency::kKeyed, DeduplicationScope::kCell), MakeClass(Idempotency::kUnsafe)};
  settings.allowed.cancel = true;
  settings.allowed.parallel_attempts = true;
  settings.allowed.probes = true;
  settings.allowed.max_attempts = 5;
  settings.allowed.connect_timeout = Ms(50);
  settings.allowed.max_held_requests = 1000;
  settings.rules.response_slack = Ms(20);
  settings.rules.drain_grace = Ms(1000);
  settings.rules.discovery_interval = Ms(10000);
  settings.rules.slow_start_initial_capacity = 0.25;
  settings.rules.slow_start_duration = Ms(10000);
  settings.rules.overload_collapse_multiple = 3;
  settings.rules.overload_collapse_duration = Ms(1500);
  settings.load_report.source = LoadReportSource::kProbes;
  settings.load_report.inflight = 0;
  settings.load_report.latency_ms = 1;
  return settings;
}

// A load balancer with a simulated clock and timers. The test reports the end of each attempt and
// probe.
class LoadBalancerHarness {
 public:
  explicit LoadBalancerHarness(const Settings& settings, uint64_t seed = 7)
      : balancer(settings, seed) {}

  // Handles one event and returns the resulting actions.
  std::vector<Action> Handle(const Event& event) {
    std::vector<Action> actions;
    balancer.Handle(now, event, actions);
    for (const Action& action : actions) {
      if (const auto* const attempt = std::get_if<StartAttempt>(&action)) {
        attempts.push_back(*attempt);
      }
      if (const auto* const timer = std::get_if<SetTimer>(&action)) {
        timers.emplace(now + timer->after, timer->token);
      }
    }
    log.insert(log.end(), actions.begin(), actions.end());
    return actions;
  }

  // Sends a list of endpoints e0, e1, ... in two zones and three cells.
  void ListEndpoints(int count, EndpointUpdateKind kind = EndpointUpdateKind::kCached) {
    EndpointUpdate update;
    update.kind = kind;
    for (int i = 0; i < count; ++i) {
      EndpointInfo info;
      info.id = "e" + std::to_string(i);
      info.zone = i % 2;
      info.cell = i % 3;
      update.endpoints.push_back(info);
    }
    Handle(update);
  }

  std::vector<Action> UpdateEndpoint(const std::string& id, EndpointState state,
                                     Time started_at = Time(0), int zone = 0) {
    EndpointInfo info;
    info.id = id;
    info.state = state;
    info.started_at = started_at;
    info.zone = zone;
    return Handle(EndpointUpdate{EndpointUpdateKind::kDelta, {info}});
  }

  std::vector<Action> Arrive(const std::string& id, size_t request_class = 0,
                             Duration time_left = Ms(1000), size_t tenant = 0) {
    RequestArrived arrival;
    arrival.id = id;
    arrival.request_class = request_class;
    arrival.tenant = tenant;
    arrival.deadline = now + time_left;
    return Handle(arrival);
  }

  std::vector<Action> FinishAttempt(const std::string& id, size_t attempt,
                                    const std::string& endpoint, Outcome outcome, Duration elapsed,
                                    bool request_finished = false) {
    return Handle(
        AttemptFinished{id, attempt, endpoint, outcome, elapsed, request_finished, std::nullopt});
  }

  std::vector<Action> FinishProbe(const std::string& endpoint, double inflight, double latency_ms) {
    return Handle(ProbeFinished{endpoint, Outcome::kOk, Ms(1), LoadReport{inflight, latency_ms}});
  }

  // Advances the clock and fires the timers that are due.
  void Advance(Duration span) {
    const Time until = now + span;
    while (!timers.empty() && timers.begin()->first <= until) {
      now = std::max(now, timers.begin()->first);
      const std::string token = timers.begin()->second;
      timers.erase(timers.begin());
      Handle(TimerFired{token});
    }
    now = until;
  }

  // Serves requests one after another, so that the throughput of endpoints is learned. None stays
  // in flight.
  void WarmUp(int requests, Duration elapsed = Ms(20), Duration interval = Ms(5)) {
    for (int i = 0; i < requests; ++i) {
      const std::string id = "warm" + std::to_string(warm_up_count++);
      const size_t before = attempts.size();
      Arrive(id);
      Advance(interval);
      if (attempts.size() > before) {
        FinishAttempt(id, 0, attempts[before].endpoint, Outcome::kOk, elapsed, true);
      }
    }
  }

  template <typename T>
  static std::vector<T> ActionsOf(const std::vector<Action>& actions) {
    std::vector<T> found;
    for (const Action& action : actions) {
      if (const auto* const typed = std::get_if<T>(&action)) {
        found.push_back(*typed);
      }
    }
    return found;
  }

  LoadBalancer balancer;
  Time now = Ms(1'000'000);
  std::multimap<Time, std::string> timers;  // tokens by expiry
  std::vector<StartAttempt> attempts;       // all attempts so far
  std::vector<Action> log;                  // all actions so far
  int warm_up_count = 0;
};

}  // namespace paddlestile::testing

#endif  // PADDLESTILE_TESTS_BALANCER_LOAD_BALANCER_FIXTURE_H_
