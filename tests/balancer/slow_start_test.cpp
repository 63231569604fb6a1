// Tests of the slow-start budget of endpoints that have just started.
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

// Expects that no window of the collapse duration contains more attempts than multiple x capacity
// fraction x throughput x window + 1. `throughput`: requests per second that a warm endpoint gets.
void ExpectWithinSlowStartBudget(const std::vector<Time>& attempt_times, Time started_at,
                                 const Settings& settings, double throughput) {
  const double window =
      static_cast<double>(settings.rules.overload_collapse_duration.count()) / 1e6;
  for (size_t i = 0; i < attempt_times.size(); ++i) {
    const auto sent = std::count_if(attempt_times.begin(), attempt_times.end(), [&](Time time) {
      return time >= attempt_times[i] &&
             time < attempt_times[i] + settings.rules.overload_collapse_duration;
    });
    const double age = static_cast<double>((attempt_times[i] - started_at).count()) /
                       static_cast<double>(settings.rules.slow_start_duration.count());
    const double initial = settings.rules.slow_start_initial_capacity,
                 fraction = initial + (1 - initial) * std::min(1.0, age);
    EXPECT_LE(static_cast<double>(sent),
              settings.rules.overload_collapse_multiple * fraction * throughput * window + 1)
        << "at " << age;
  }
}

TEST(SlowStartTest, AttemptsStayWithinTheBudgetOverAnyWindow) {
  Settings settings = MakeSettings();
  LoadBalancerHarness gateway(settings);
  gateway.ListEndpoints(5);
  gateway.WarmUp(1500, Ms(20), Ms(5));  // 40 requests per second at each endpoint
  std::vector<Time> attempt_times;
  gateway.UpdateEndpoint("new", EndpointState::kUp, gateway.now);
  const Time started_at = gateway.now;
  for (int i = 0; i < 1500; ++i) {
    gateway.FinishProbe("new", 0, 1);  // reports less load than all others
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
  const double throughput = 40.0;  // requests per second from this gateway at a warm endpoint
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

// Guards against a new gateway that underestimates its arrival rate and therefore sends too little
// to endpoints that are warming up.
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
      gateway.FinishProbe("new", 0, 1);  // reports less load than all others
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

// Guards against hundreds of gateways that each save up tokens for one request and send it at the
// same time. Over any window all gateways together must stay within the budget: multiple x capacity
// fraction x throughput that a warm endpoint gets from all gateways.
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
  // Each gateway sends ten requests per second, so an endpoint gets 25 per second from all of them.
  for (int round = 0; round < 120; ++round) {
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
  // The first attempts must start within two seconds, not only after each gateway has saved up
  // tokens for more than one request.
  EXPECT_GE(std::count_if(attempt_times.begin(), attempt_times.end(),
                          [&](Time time) { return time - started_at < Ms(2000); }),
            1);
}

}  // namespace
}  // namespace paddlestile
