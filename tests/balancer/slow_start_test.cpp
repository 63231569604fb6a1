// The slow-start budget of endpoints that have just started.
#include <gtest/gtest.h>

#include <algorithm>
#include <string>
#include <vector>

#include "balancer/load_balancer_fixture.h"

namespace paddlestile {
namespace {

using testing::LoadBalancerHarness;
using testing::MakeSettings;
using testing::Ms;

// No window of the collapse duration holds more attempts than multiple x capacity fraction x
// throughput x window and one more. `throughput`: requests that a warm endpoint gets a second.
void ExpectWithinSlowStartBudget(const std::vector<Time>& attempt_times, Time started_at,
                                 const Settings& settings, double throughput) {
  const double window =
      static_cast<double>(settings.rules.overload_collapse_duration.count()) / 1e6;
  for (size_t i = 0; i < attempt_times.size(); ++i) {
    const auto sent = std::count_if(attempt_times.begin(), attempt_times.end(), [&](Time t) {
      return t >= attempt_times[i] &&
             t < attempt_times[i] + settings.rules.overload_collapse_duration;
    });
    const double age = static_cast<double>((attempt_times[i] - started_at).count()) /
                       static_cast<double>(settings.rules.slow_start_duration.count());
    const double from = settings.rules.slow_start_initial_capacity,
                 share = from + (1 - from) * std::min(1.0, age);
    EXPECT_LE(static_cast<double>(sent),
              settings.rules.overload_collapse_multiple * share * throughput * window + 1)
        << "at " << age;
  }
}

TEST(SlowStartTest, AttemptsStayWithinTheBudgetOverAnyWindow) {
  Settings settings = MakeSettings();
  LoadBalancerHarness gateway(settings);
  gateway.ListEndpoints(5);
  gateway.WarmUp(1500, Ms(20), Ms(5));  // 40 a second on each endpoint
  std::vector<Time> attempt_times;
  gateway.UpdateEndpoint("new", EndpointState::kUp, gateway.now);
  const Time started_at = gateway.now;
  for (int i = 0; i < 1500; ++i) {
    gateway.FinishProbe("new", 0, 1);  // looks like the best there is
    gateway.FinishProbe("e1", 1, 20);
    gateway.FinishProbe("e2", 1, 20);
    const size_t before = gateway.attempts.size();
    gateway.WarmUp(1, Ms(20), Ms(5));
    for (size_t k = before; k < gateway.attempts.size(); ++k) {
      if (gateway.attempts[k].endpoint == "new") {
        attempt_times.push_back(gateway.now);
      }
    }
  }
  ASSERT_FALSE(attempt_times.empty());
  const double throughput = 40.0;  // what a warm endpoint takes from this gateway, a second
  ExpectWithinSlowStartBudget(attempt_times, started_at, settings, throughput);
}

TEST(SlowStartTest, NoAttemptsBeforeAnyThroughputIsKnown) {
  LoadBalancerHarness gateway(MakeSettings());
  gateway.UpdateEndpoint("new", EndpointState::kUp, gateway.now - Ms(10));
  for (int i = 0; i < 20; ++i) {
    gateway.Arrive("r" + std::to_string(i));
  }
  EXPECT_TRUE(gateway.attempts.empty());
}

// A gateway that took its arrival rate for too low would send too little to endpoints that warm up.
TEST(SlowStartTest, ANewGatewayKnowsItsArrivalRateWithinASecond) {
  const auto attempts_at_new = [](int seconds_before) {
    Settings settings = MakeSettings();
    settings.allowed.max_attempts = 1;
    LoadBalancerHarness gateway(settings);
    gateway.ListEndpoints(4);
    gateway.WarmUp(40 * seconds_before, Ms(20), Ms(25));
    gateway.UpdateEndpoint("new", EndpointState::kUp, gateway.now);
    size_t sent = 0;
    for (int i = 0; i < 60; ++i) {
      for (const char* id : {"e0", "e1", "e2", "e3"}) {
        gateway.FinishProbe(id, 5, 20);
      }
      gateway.FinishProbe("new", 0, 1);  // the best there is
      const size_t before = gateway.attempts.size();
      gateway.WarmUp(1, Ms(20), Ms(25));
      for (size_t k = before; k < gateway.attempts.size(); ++k) {
        sent += gateway.attempts[k].endpoint == "new" ? 1 : 0;
      }
    }
    return sent;
  };
  EXPECT_GE(attempts_at_new(0) * 3, attempts_at_new(20) * 2);
}

// Hundreds of gateways that each save up one request could spend it together. Their sum over any
// window keeps to the budget: multiple x capacity fraction x what a warm endpoint gets from all.
TEST(SlowStartTest, TheSumOfManyGatewaysStaysWithinTheBudget) {
  constexpr int kGateways = 200, kEndpoints = 80;
  Settings settings = MakeSettings();
  settings.instance_count = kGateways;
  std::vector<LoadBalancerHarness> gateways;
  for (int i = 0; i < kGateways; ++i) {
    gateways.emplace_back(settings, static_cast<uint64_t>(i) + 1);
  }
  for (LoadBalancerHarness& gateway : gateways) {
    gateway.ListEndpoints(kEndpoints);
  }
  std::vector<Time> attempt_times;
  Time started_at{0};
  for (int round = 0; round < 120; ++round) {  // ten requests a second each, 25 an endpoint in all
    for (LoadBalancerHarness& gateway : gateways) {
      if (round == 60) {
        gateway.UpdateEndpoint("new", EndpointState::kUp, gateway.now);
        started_at = gateway.now;
      }
      if (round >= 60) {
        gateway.FinishProbe("new", 0, 1);
      }
      const size_t before = gateway.attempts.size();
      gateway.WarmUp(1, Ms(20), Ms(100));
      for (size_t k = before; k < gateway.attempts.size(); ++k) {
        if (gateway.attempts[k].endpoint == "new") {
          attempt_times.push_back(gateway.now);
        }
      }
    }
  }
  std::sort(attempt_times.begin(), attempt_times.end());
  ASSERT_FALSE(attempt_times.empty());
  ExpectWithinSlowStartBudget(attempt_times, started_at, settings, 25);
  // The first attempts must come within two seconds, not after each gateway has saved up more than
  // a full request.
  EXPECT_GE(std::count_if(attempt_times.begin(), attempt_times.end(),
                          [&](Time t) { return t - started_at < Ms(2000); }),
            1);
}

}  // namespace
}  // namespace paddlestile
