// Benchmarks the decision module alone with Google Benchmark: all events of one request, and a list
// update that changes one entry, by the number of hosts and gateways.
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

Settings MakeSettings(int gateways) {
  Settings settings;
  settings.instance_count = gateways;
  settings.zone_count = 4;
  settings.classes = {{.latency_objective = Ms(1000), .deadline = Ms(3000)},
                      {.idempotency = Idempotency::kKeyed,
                       .deduplication_window = Ms(3000),
                       .latency_objective = Ms(1000),
                       .deadline = Ms(3000),
                       .priority_weight = 5}};
  settings.allowed.probes = true;
  settings.allowed.max_attempts = 5;
  settings.allowed.connect_timeout = Ms(250);
  settings.costs.probe = 0.04;
  settings.rules.slow_start_initial_capacity = 0.31;
  settings.rules.slow_start_duration = Ms(9000);
  settings.rules.overload_collapse_multiple = 3;
  settings.rules.overload_collapse_duration = Ms(1500);
  settings.load_report = {LoadReportSource::kProbes, 0, 1};
  return settings;
}

EndpointInfo MakeHost(size_t i) {
  return {
      .id = "host-" + std::to_string(i), .zone = static_cast<int>(i % 4), .machine_kind = i % 2};
}

// Drives a load balancer with eight requests in flight: the oldest finishes when the next one
// arrives. Time advances by 4 ms per request, and probes finish immediately.
class BusyGateway {
 public:
  // `probes_report`: whether probe responses contain load reports. If not, the probe pool stays
  // empty and hosts are selected by the fallback.
  BusyGateway(size_t hosts, int gateways, bool probes_report = true)
      : balancer_(MakeSettings(gateways), 7), probes_report_(probes_report) {
    EndpointUpdate all;
    for (size_t i = 0; i < hosts; ++i) {
      all.endpoints.push_back(MakeHost(i));
    }
    Handle(all);
  }

  // Advances time and handles the events of one arrival.
  void Request() {
    now_ += Ms(4);
    while (!timers_.empty() && timers_.front().first <= now_) {
      const std::string token = timers_.front().second;
      timers_.pop_front();
      Handle(TimerFired{token});
    }
    const std::string id = "r" + std::to_string(++event_count_);
    Handle(RequestArrived{.id = id,
                          .deadline = now_ + Ms(3000),
                          .request_class = event_count_ % 3 == 0 ? 1U : 0U,
                          .key = id});
    if (in_flight_.size() < 8) {
      return;
    }
    const StartAttempt attempt = in_flight_.front();
    in_flight_.pop_front();
    Handle(
        AttemptFinished{attempt.id, 0, attempt.endpoint, Outcome::kOk, Ms(30), true, std::nullopt});
  }

  // Handles a list update that changes one entry.
  void Update(size_t hosts) {
    EndpointUpdate update{EndpointUpdateKind::kDelta, {MakeHost(++event_count_ % hosts)}};
    update.endpoints[0].weight = static_cast<double>(event_count_);
    Handle(update);
  }

 private:
  void Handle(Event event) {
    std::vector<Action> actions;
    balancer_.Handle(now_, event, actions);
    for (const Action& action : actions) {
      if (const auto* const attempt = std::get_if<StartAttempt>(&action)) {
        in_flight_.push_back(*attempt);
      }
      if (const auto* const timer = std::get_if<SetTimer>(&action)) {
        timers_.emplace_back(now_ + timer->after, timer->token);
      }
      if (const auto* const probe = std::get_if<StartProbe>(&action)) {
        const double inflight = static_cast<double>(random_generator_() % 8);
        if (probes_report_) {
          Handle(ProbeFinished{probe->endpoint, Outcome::kOk, Ms(1),
                               LoadReport{inflight, 20 + inflight}});
        } else {
          Handle(ProbeFinished{probe->endpoint, Outcome::kOk, Ms(1), std::nullopt});
        }
      }
    }
  }

  LoadBalancer balancer_;
  bool probes_report_;
  Time now_{Ms(100'000'000)};
  std::mt19937_64 random_generator_{3};
  std::deque<StartAttempt> in_flight_;
  std::deque<std::pair<Time, std::string>> timers_;
  uint64_t event_count_ = 0;
};

// Measures all events of one request: its own, those of its probes, and the timers that fire
// meanwhile.
void BM_Request(benchmark::State& state) {
  BusyGateway gateway(static_cast<size_t>(state.range(0)), static_cast<int>(state.range(1)));
  for (int i = 0; i < 2000; ++i) {
    gateway.Request();
  }
  for (auto _ : state) {
    gateway.Request();
  }
}
BENCHMARK(BM_Request)
    ->ArgNames({"hosts", "gateways"})
    ->ArgsProduct({{10, 100, 1000, 10'000}, {4, 400}});

void BM_RequestByFallback(benchmark::State& state) {
  BusyGateway gateway(static_cast<size_t>(state.range(0)), static_cast<int>(state.range(1)), false);
  for (int i = 0; i < 2000; ++i) {
    gateway.Request();
  }
  for (auto _ : state) {
    gateway.Request();
  }
}
BENCHMARK(BM_RequestByFallback)
    ->ArgNames({"hosts", "gateways"})
    ->ArgsProduct({{10, 100, 1000, 10'000}, {4, 400}});

void BM_UpdateOfOneEntry(benchmark::State& state) {
  const auto hosts = static_cast<size_t>(state.range(0));
  BusyGateway gateway(hosts, static_cast<int>(state.range(1)));
  for (int i = 0; i < 2000; ++i) {
    gateway.Request();
  }
  for (auto _ : state) {
    gateway.Update(hosts);
  }
}
BENCHMARK(BM_UpdateOfOneEntry)
    ->ArgNames({"hosts", "gateways"})
    ->ArgsProduct({{10, 100, 1000, 10'000}, {4, 400}});

}  // namespace
}  // namespace paddlestile

BENCHMARK_MAIN();
