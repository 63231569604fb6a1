// What the decision module alone costs, by Google Benchmark: all events of one request, and a list
// update that changes one entry, against the number of hosts and of gateways.
#include <benchmark/benchmark.h>

#include <cstdint>
#include <deque>
#include <random>
#include <string>
#include <variant>
#include <vector>

#include "balancer/load_balancer.h"

namespace paddlestile {
namespace {

using Ms = std::chrono::milliseconds;

Settings SettingsFor(int gateways) {
  Settings s;
  s.instance_count = gateways;
  s.zone_count = 4;
  s.classes = {{.latency_objective = Ms(1000), .deadline = Ms(3000)},
               {.idempotency = Idempotency::kKeyed,
                .deduplication_window = Ms(3000),
                .latency_objective = Ms(1000),
                .deadline = Ms(3000),
                .priority_weight = 5}};
  s.allowed.probes = true;
  s.allowed.max_attempts = 5;
  s.allowed.connect_timeout = Ms(250);
  s.costs.probe = 0.04;
  s.rules.slow_start_initial_capacity = 0.31;
  s.rules.slow_start_duration = Ms(9000);
  s.rules.overload_collapse_multiple = 3;
  s.rules.overload_collapse_duration = Ms(1500);
  s.load_report = {LoadReportSource::kProbes, 0, 1};
  return s;
}

EndpointInfo HostAt(size_t i) {
  return {
      .id = "host-" + std::to_string(i), .zone = static_cast<int>(i % 4), .machine_kind = i % 2};
}

// A gateway with eight requests in flight, as a busy one has: the oldest is answered as the next
// one comes. Time passes by 4 ms a request, and probes are answered at once.
class Driven {
 public:
  // `answered`: probes are. Else the pool stays empty and the fallback decides.
  Driven(size_t hosts, int gateways, bool answered = true)
      : brain_(SettingsFor(gateways), 7), answered_(answered) {
    EndpointUpdate all;
    for (size_t i = 0; i < hosts; ++i) {
      all.endpoints.push_back(HostAt(i));
    }
    Handle(all);
  }

  void Request() {
    now_ += Ms(4);
    while (!timers_.empty() && timers_.front().first <= now_) {
      const std::string token = timers_.front().second;
      timers_.pop_front();
      Handle(TimerFired{token});
    }
    const std::string id = "r" + std::to_string(++count_);
    Handle(RequestArrived{.id = id,
                          .deadline = now_ + Ms(3000),
                          .request_class = count_ % 3 == 0 ? 1U : 0U,
                          .key = id});
    if (out_.size() < 8) {
      return;
    }
    const StartAttempt send = out_.front();
    out_.pop_front();
    Handle(AttemptFinished{send.id, 0, send.endpoint, Outcome::kOk, Ms(30), true, std::nullopt});
  }

  void Update(size_t hosts) {
    EndpointUpdate one{EndpointUpdateKind::kDelta, {HostAt(++count_ % hosts)}};
    one.endpoints[0].weight = static_cast<double>(count_);
    Handle(one);
  }

 private:
  void Handle(Event event) {
    std::vector<Action> actions;
    brain_.Handle(now_, event, actions);
    for (const Action& action : actions) {
      if (const auto* const send = std::get_if<StartAttempt>(&action)) {
        out_.push_back(*send);
      }
      if (const auto* const timer = std::get_if<SetTimer>(&action)) {
        timers_.emplace_back(now_ + timer->after, timer->token);
      }
      if (const auto* const probe = std::get_if<StartProbe>(&action)) {
        const double inflight = static_cast<double>(rng_() % 8);
        if (answered_) {
          Handle(ProbeFinished{probe->endpoint, Outcome::kOk, Ms(1),
                               LoadReport{inflight, 20 + inflight}});
        } else {
          Handle(ProbeFinished{probe->endpoint, Outcome::kOk, Ms(1), std::nullopt});
        }
      }
    }
  }

  LoadBalancer brain_;
  bool answered_;
  Time now_{Ms(100'000'000)};
  std::mt19937_64 rng_{3};
  std::deque<StartAttempt> out_;
  std::deque<std::pair<Time, std::string>> timers_;
  uint64_t count_ = 0;
};

// All events of one request: its own, its probes', and the timers of its time.
void BM_Request(benchmark::State& state) {
  Driven driven(static_cast<size_t>(state.range(0)), static_cast<int>(state.range(1)));
  for (int i = 0; i < 2000; ++i) {
    driven.Request();
  }
  for (auto _ : state) {
    driven.Request();
  }
}
BENCHMARK(BM_Request)
    ->ArgNames({"hosts", "gateways"})
    ->ArgsProduct({{10, 100, 1000, 10'000}, {4, 400}});

void BM_RequestByFallback(benchmark::State& state) {
  Driven driven(static_cast<size_t>(state.range(0)), static_cast<int>(state.range(1)), false);
  for (int i = 0; i < 2000; ++i) {
    driven.Request();
  }
  for (auto _ : state) {
    driven.Request();
  }
}
BENCHMARK(BM_RequestByFallback)
    ->ArgNames({"hosts", "gateways"})
    ->ArgsProduct({{10, 100, 1000, 10'000}, {4, 400}});

void BM_UpdateOfOneEntry(benchmark::State& state) {
  const auto hosts = static_cast<size_t>(state.range(0));
  Driven driven(hosts, static_cast<int>(state.range(1)));
  for (int i = 0; i < 2000; ++i) {
    driven.Request();
  }
  for (auto _ : state) {
    driven.Update(hosts);
  }
}
BENCHMARK(BM_UpdateOfOneEntry)
    ->ArgNames({"hosts", "gateways"})
    ->ArgsProduct({{10, 100, 1000, 10'000}, {4, 400}});

}  // namespace
}  // namespace paddlestile

BENCHMARK_MAIN();
