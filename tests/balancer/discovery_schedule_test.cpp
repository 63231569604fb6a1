// Tests of when the endpoint list is requested.
#include <gtest/gtest.h>

#include <algorithm>

#include "balancer/load_balancer_fixture.h"

namespace paddlestile {
namespace {

using testing::LoadBalancerHarness;
using testing::MakeSettings;
using testing::Ms;

TEST(DiscoveryScheduleTest, WatchesAtStartAndAfterAFailureInPollModeOnly) {
  Settings settings = MakeSettings();
  LoadBalancerHarness push_gateway(settings);
  push_gateway.ListEndpoints(2);
  EXPECT_TRUE(LoadBalancerHarness::ActionsOf<WatchEndpoints>(push_gateway.log).empty());
  settings.discovery_mode = DiscoveryMode::kPoll;
  LoadBalancerHarness gateway(settings);
  gateway.ListEndpoints(2);
  // With several gateways the first watch has a random delay.
  gateway.Advance(settings.rules.discovery_interval / 5);
  EXPECT_EQ(LoadBalancerHarness::ActionsOf<WatchEndpoints>(gateway.log).size(), 1U);
  const auto failed = gateway.Handle(EndpointUpdate{EndpointUpdateKind::kFailed, {}});
  // Not immediately, because the registry has little capacity.
  EXPECT_TRUE(LoadBalancerHarness::ActionsOf<WatchEndpoints>(failed).empty());
  gateway.Advance(settings.rules.discovery_interval / 2);
  EXPECT_EQ(LoadBalancerHarness::ActionsOf<WatchEndpoints>(gateway.log).size(), 2U);
}

// A single gateway cannot overload the registry, so it starts its watch without delay.
TEST(DiscoveryScheduleTest, ASingleGatewayWatchesAtOnce) {
  Settings settings = MakeSettings();
  settings.discovery_mode = DiscoveryMode::kPoll;
  settings.instance_count = 1;
  LoadBalancerHarness gateway(settings);
  gateway.ListEndpoints(2);
  gateway.Advance(Ms(0));
  EXPECT_EQ(LoadBalancerHarness::ActionsOf<WatchEndpoints>(gateway.log).size(), 1U);
}

TEST(DiscoveryScheduleTest, BackoffGrowsAndStaysWithinTheDiscoveryInterval) {
  Settings settings = MakeSettings();
  settings.discovery_mode = DiscoveryMode::kPoll;
  LoadBalancerHarness gateway(settings);
  gateway.ListEndpoints(2);
  gateway.Advance(settings.rules.discovery_interval / 5);
  Duration longest{0};
  for (int i = 0; i < 8; ++i) {
    for (const SetTimer& timer : LoadBalancerHarness::ActionsOf<SetTimer>(
             gateway.Handle(EndpointUpdate{EndpointUpdateKind::kFailed, {}}))) {
      longest = std::max(longest, timer.after);
      EXPECT_LT(timer.after, settings.rules.discovery_interval);
    }
  }
  EXPECT_GT(longest, settings.rules.discovery_interval / 10);
}

// Changes are missed while a watch is broken, so it must be renewed within a second even if the
// discovery interval is a minute.
TEST(DiscoveryScheduleTest, ABrokenWatchIsRenewedSoonHoweverLongTheDiscoveryInterval) {
  Settings settings = MakeSettings();
  settings.discovery_mode = DiscoveryMode::kPoll;
  settings.rules.discovery_interval = Ms(60000);
  for (uint64_t seed = 1; seed <= 50; ++seed) {
    LoadBalancerHarness gateway(settings, seed);
    gateway.ListEndpoints(3);
    const auto timers = LoadBalancerHarness::ActionsOf<SetTimer>(
        gateway.Handle(EndpointUpdate{EndpointUpdateKind::kFailed, {}}));
    ASSERT_EQ(timers.size(), 1U);
    EXPECT_LE(timers[0].after, Ms(750));
  }
}

}  // namespace
}  // namespace paddlestile
