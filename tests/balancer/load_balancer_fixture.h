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

constexpr Duration Ms(double ms) { return Duration(static_cast<int64_t>(ms * 1000)); }

inline RequestClass MakeClass(Effect effect, DedupGroup group = DedupGroup::kAll) {
  RequestClass c;
  c.effect = effect;
  c.group = group;
  c.window = Ms(1500);
  c.aim = Ms(400);
  c.deadline = Ms(2000);
  c.worth = 1;
  return c;
}

// Classes 0 safe, 1 keyed over all, 2 keyed by zone, 3 keyed by cell, 4 unsafe.
inline Settings MakeSettings() {
  Settings s;
  s.instances = 3;
  s.zones = 2;
  s.classes = {MakeClass(Effect::kSafe), MakeClass(Effect::kKeyed, DedupGroup::kAll),
               MakeClass(Effect::kKeyed, DedupGroup::kZone),
               MakeClass(Effect::kKeyed, DedupGroup::kCell), MakeClass(Effect::kUnsafe)};
  s.allowed.cancel = true;
  s.allowed.parallel_tries = true;
  s.allowed.probes = true;
  s.allowed.send_cap = 5;
  s.allowed.connect_timeout = Ms(50);
  s.allowed.most_held = 1000;
  s.obligations.answer_slack = Ms(20);
  s.obligations.drain_grace = Ms(1000);
  s.obligations.must_ask_in = Ms(10000);
  s.obligations.cold_from = 0.25;
  s.obligations.warm_within = Ms(10000);
  s.obligations.fall_multiple = 3;
  s.obligations.fall = Ms(1500);
  s.report.source = ReportSource::kProbe;
  s.report.inflight = 0;
  s.report.latency_ms = 1;
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
      if (const auto* send = std::get_if<Send>(&a)) sends.push_back(*send);
      if (const auto* timer = std::get_if<SetTimer>(&a)) {
        timers.emplace(now + timer->after, timer->token);
      }
    }
    log.insert(log.end(), actions.begin(), actions.end());
    return actions;
  }

  void Endpoints(int count, ListKind kind = ListKind::kCached) {
    Members m;
    m.kind = kind;
    for (int i = 0; i < count; ++i) {
      EndpointInfo info;
      info.id = "e" + std::to_string(i);
      info.zone = i % 2;
      info.cell = i % 3;
      m.entries.push_back(info);
    }
    Give(m);
  }

  std::vector<Action> Change(const std::string& id, EndpointState state, Time launched = Time(0),
                             int zone = 0) {
    EndpointInfo info;
    info.id = id;
    info.state = state;
    info.launched = launched;
    info.zone = zone;
    return Give(Members{ListKind::kDelta, {info}});
  }

  std::vector<Action> Ask(const std::string& id, size_t cls = 0, Duration patience = Ms(1000),
                          size_t tenant = 0) {
    Submit submit;
    submit.id = id;
    submit.cls = cls;
    submit.tenant = tenant;
    submit.deadline = now + patience;
    return Give(submit);
  }

  std::vector<Action> End(const std::string& id, size_t attempt, const std::string& endpoint,
                          Outcome outcome, Duration took, bool final = false) {
    return Give(Settled{id, attempt, endpoint, outcome, took, final, std::nullopt});
  }

  std::vector<Action> Probed(const std::string& endpoint, double inflight, double latency_ms) {
    return Give(ProbeResult{endpoint, Outcome::kOk, Ms(1), Report{inflight, latency_ms}});
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
      if (sends.size() > before) End(id, 0, sends[before].endpoint, Outcome::kOk, took, true);
    }
  }

  template <typename T>
  static std::vector<T> All(const std::vector<Action>& actions) {
    std::vector<T> out;
    for (const Action& a : actions) {
      if (const auto* t = std::get_if<T>(&a)) out.push_back(*t);
    }
    return out;
  }

  Brain brain;
  Time now = Ms(1'000'000);
  std::multimap<Time, std::string> timers;
  std::vector<Send> sends;
  std::vector<Action> log;
  int warmed = 0;
};

}  // namespace paddlestile::testing

#endif  // PADDLESTILE_TESTS_BALANCER_LOAD_BALANCER_FIXTURE_H_
