// Tests of the age and the uses of pool entries.
#include <gtest/gtest.h>

#include <string>

#include "balancer/load_balancer_fixture.h"

namespace paddlestile {
namespace {

using testing::LoadBalancerHarness;
using testing::MakeSettings;
using testing::Ms;

TEST(ProbePoolTest, EntriesOfDrainingEndpointsAreNotUsed) {
  LoadBalancerHarness gateway(MakeSettings());
  gateway.ListEndpoints(4);
  for (const char* id : {"e0", "e1", "e2", "e3"}) {
    gateway.FinishProbe(id, 0, id[1] == '0' ? 1 : 50);
  }
  gateway.UpdateEndpoint("e0", EndpointState::kDraining);
  const auto attempts = LoadBalancerHarness::ActionsOf<StartAttempt>(gateway.Arrive("r"));
  ASSERT_EQ(attempts.size(), 1U);
  EXPECT_NE(attempts[0].endpoint, "e0");
}

TEST(ProbePoolTest, OldEntriesAreNotUsed) {
  LoadBalancerHarness gateway(MakeSettings());
  gateway.ListEndpoints(6);
  gateway.WarmUp(100);  // 200 requests per second: their probes fill the pool many times a second
  for (const char* id : {"e0", "e1", "e2", "e3"}) {
    gateway.FinishProbe(id, 0, 10);
  }
  gateway.Advance(Ms(1500));
  gateway.Arrive("r");
  EXPECT_EQ(gateway.balancer.statistics().last_selection, SelectionMethod::kFallback);
}

// Guards against a pool that is mostly empty: at five requests per second, entries with a maximum
// age of one second would expire before the next probes.
TEST(ProbePoolTest, EntriesLiveLongerAtLowRequestRates) {
  Settings settings = MakeSettings();
  settings.instance_count = 400;
  settings.costs.probe = 0.04;
  LoadBalancerHarness gateway(settings);
  gateway.ListEndpoints(68);
  size_t pool_selections = 0;
  for (int i = 0; i < 300; ++i) {
    const std::string id = "r" + std::to_string(i);
    const size_t before = gateway.attempts.size();
    const auto actions = gateway.Arrive(id);
    for (const StartProbe& probe : LoadBalancerHarness::ActionsOf<StartProbe>(actions)) {
      gateway.FinishProbe(probe.endpoint, 1, 20);
    }
    gateway.Advance(Ms(20));
    if (gateway.attempts.size() > before) {
      gateway.FinishAttempt(id, 0, gateway.attempts[before].endpoint, Outcome::kOk, Ms(20), true);
    }
    gateway.Advance(Ms(180));
    if (i >= 100 && gateway.balancer.statistics().last_selection != SelectionMethod::kFallback) {
      ++pool_selections;
    }
  }
  EXPECT_GT(pool_selections, 150U);
}

TEST(ProbePoolTest, EntriesAreUsedALimitedNumberOfTimes) {
  LoadBalancerHarness gateway(MakeSettings());
  gateway.ListEndpoints(30);
  for (int i = 0; i < 10; ++i) {
    gateway.FinishProbe("e" + std::to_string(i), 0, 10);
  }
  int pool_selections = 0;
  for (int i = 0; i < 300; ++i) {
    const std::string id = "r" + std::to_string(i);
    const size_t before = gateway.attempts.size();
    gateway.Arrive(id);
    if (gateway.balancer.statistics().last_selection != SelectionMethod::kFallback) {
      ++pool_selections;
    }
    if (gateway.attempts.size() > before) {
      gateway.FinishAttempt(id, 0, gateway.attempts.back().endpoint, Outcome::kOk, Ms(10), true);
    }
  }
  EXPECT_GT(pool_selections, 0);
  EXPECT_LE(pool_selections, 32);  // ten entries with up to three uses
}

}  // namespace
}  // namespace paddlestile
