// Helpers that play one gateway's events by hand. There is no model of servers here: a test says
// what every attempt and probe comes back with.
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

inline RequestClass MakeClass(Idempotency effect,
                              DeduplicationScope group = DeduplicationScope::kAll) {
  RequestClass c;
  c.idempotency = effect;
  c.deduplication_scope = group;
  c.deduplication_window = Ms(1500);
  c.latency_objective = Ms(400);
  c.deadline = Ms(2000);
  c.priority_weight = 1;
  return c;
}

// Classes 0 safe, 1 keyed over all, 2 keyed by zone, 3 keyed by cell, 4 unsafe.
inline Settings MakeSettings() {
  Settings s;
  s.instance_count = 3;
  s.zone_count = 2;
  s.classes = {
      MakeClass(Idempotency::kSafe), MakeClass(Idempotency::kKeyed, DeduplicationScope::kAll),
      MakeClass(Idempotency::kKeyed, DeduplicationScope::kZone),
      MakeClass(Idempotency::kKeyed, DeduplicationScope::kCell), MakeClass(Idempotency::kUnsafe)};
  s.allowed.cancel = true;
  s.allowed.parallel_attempts = true;
  s.allowed.probes = true;
  s.allowed.max_attempts = 5;
  s.allowed.connect_timeout = Ms(50);
  s.allowed.max_held_requests = 1000;
  s.rules.response_slack = Ms(20);
  s.rules.drain_grace = Ms(1000);
  s.rules.discovery_interval = Ms(10000);
  s.rules.slow_start_initial_capacity = 0.25;
  s.rules.slow_start_duration = Ms(10000);
  s.rules.overload_collapse_multiple = 3;
  s.rules.overload_collapse_duration = Ms(1500);
  s.load_report.source = LoadReportSource::kProbes;
  s.load_report.inflight = 0;
  s.load_report.latency_ms = 1;
  return s;
}

class LoadBalancerHarness {
 public:
  explicit LoadBalancerHarness(const Settings& settings, uint64_t seed = 7)
      : brain(settings, seed) {}

  // Hands over one event and returns what was done about it.
  std::vector<Action> Give(const Event& event) {
    std::vector<Action> actions;
    brain.Handle(now, event, actions);
    for (const Action& a : actions) {
      if (const auto* send = std::get_if<StartAttempt>(&a))
        sends.push_back(*send);
      if (const auto* timer = std::get_if<SetTimer>(&a)) {
        timers.emplace(now + timer->after, timer->token);
      }
    }
    log.insert(log.end(), actions.begin(), actions.end());
    return actions;
  }

  void Endpoints(int count, EndpointUpdateKind kind = EndpointUpdateKind::kCached) {
    EndpointUpdate m;
    m.kind = kind;
    for (int i = 0; i < count; ++i) {
      EndpointInfo info;
      info.id = "e" + std::to_string(i);
      info.zone = i % 2;
      info.cell = i % 3;
      m.endpoints.push_back(info);
    }
    Give(m);
  }

  std::vector<Action> Change(const std::string& id, EndpointState state, Time launched = Time(0),
                             int zone = 0) {
    EndpointInfo info;
    info.id = id;
    info.state = state;
    info.started_at = launched;
    info.zone = zone;
    return Give(EndpointUpdate{EndpointUpdateKind::kDelta, {info}});
  }

  std::vector<Action> Ask(const std::string& id, size_t cls = 0, Duration patience = Ms(1000),
                          size_t tenant = 0) {
    RequestArrived submit;
    submit.id = id;
    submit.request_class = cls;
    submit.tenant = tenant;
    submit.deadline = now + patience;
    return Give(submit);
  }

  std::vector<Action> End(const std::string& id, size_t attempt, const std::string& endpoint,
                          Outcome outcome, Duration took, bool final = false) {
    return Give(AttemptFinished{id, attempt, endpoint, outcome, took, final, std::nullopt});
  }

  std::vector<Action> Probed(const std::string& endpoint, double inflight, double latency_ms) {
    return Give(ProbeFinished{endpoint, Outcome::kOk, Ms(1), LoadReport{inflight, latency_ms}});
  }

  // Moves the clock, handing over the timers that come due.
  void Pass(Duration span) {
    const Time until = now + span;
    while (!timers.empty() && timers.begin()->first <= until) {
      now = std::max(now, timers.begin()->first);
      const std::string token = timers.begin()->second;
      timers.erase(timers.begin());
      Give(TimerFired{token});
    }
    now = until;
  }

  // Serves requests in turn until the module knows its endpoints; none stays out.
  void WarmUp(int requests, Duration took = Ms(20), Duration apart = Ms(5)) {
    for (int i = 0; i < requests; ++i) {
      const std::string id = "warm" + std::to_string(warmed++);
      const size_t before = sends.size();
      Ask(id);
      Pass(apart);
      if (sends.size() > before)
        End(id, 0, sends[before].endpoint, Outcome::kOk, took, true);
    }
  }

  template <typename T>
  static std::vector<T> All(const std::vector<Action>& actions) {
    std::vector<T> out;
    for (const Action& a : actions) {
      if (const auto* t = std::get_if<T>(&a))
        out.push_back(*t);
    }
    return out;
  }

  LoadBalancer brain;
  Time now = Ms(1'000'000);
  std::multimap<Time, std::string> timers;
  std::vector<StartAttempt> sends;
  std::vector<Action> log;
  int warmed = 0;
};

}  // namespace paddlestile::testing

#endif  // PADDLESTILE_TESTS_BALANCER_LOAD_BALANCER_FIXTURE_H_
