// Tests of the subset of endpoints that a gateway uses.
#include <gtest/gtest.h>

#include <algorithm>
#include <set>
#include <string>

#include "balancer/load_balancer_fixture.h"

namespace paddlestile {
namespace {

using testing::LoadBalancerHarness;
using testing::MakeSettings;
using testing::Ms;

// If each of hundreds of gateways used every endpoint, its load estimates would rest on few
// requests, and it would keep a connection to every endpoint.
TEST(EndpointSubsetTest, ASubsetIsAFractionAndAllSubsetsTogetherCoverTheFleet) {
  Settings settings = MakeSettings();
  settings.instance_count = 200;
  std::set<std::string> used_by_any;
  for (uint64_t seed = 1; seed <= 200; ++seed) {
    settings.zone = static_cast<int>(seed % 2);
    LoadBalancerHarness gateway(settings, seed);
    gateway.ListEndpoints(120);
    gateway.WarmUp(100);
    std::set<std::string> used;
    for (const StartAttempt& attempt : gateway.attempts) {
      used.insert(attempt.endpoint);
    }
    EXPECT_LE(used.size(), 16U);
    EXPECT_GE(used.size(), 3U);
    used_by_any.insert(used.begin(), used.end());
  }
  EXPECT_GT(used_by_any.size(), 115U);
}

TEST(EndpointSubsetTest, ASingleGatewayUsesTheEntireFleet) {
  Settings settings = MakeSettings();
  settings.instance_count = 1;
  LoadBalancerHarness gateway(settings);
  gateway.ListEndpoints(100);
  gateway.WarmUp(3000);
  std::set<std::string> used;
  for (const StartAttempt& attempt : gateway.attempts) {
    used.insert(attempt.endpoint);
  }
  EXPECT_GT(used.size(), 95U);
}

// A full connection table is visible only as failed connects.
TEST(EndpointSubsetTest, AnEndpointThatAcceptsNoConnectionIsReplaced) {
  Settings settings = MakeSettings();
  settings.instance_count = 200;
  LoadBalancerHarness gateway(settings);
  gateway.ListEndpoints(120);
  gateway.WarmUp(20);
  const std::string full = gateway.attempts.back().endpoint;
  size_t attempts_at_full = 0;
  for (int i = 0; i < 200; ++i) {
    const std::string id = "r" + std::to_string(i);
    const size_t before = gateway.attempts.size();
    gateway.Arrive(id, 4);
    for (size_t k = before; k < gateway.attempts.size(); ++k) {
      const bool connect_fails = gateway.attempts[k].endpoint == full;
      attempts_at_full += connect_fails ? 1 : 0;
      gateway.FinishAttempt(id, k - before, gateway.attempts[k].endpoint,
                            connect_fails ? Outcome::kConnectFailed : Outcome::kOk, Ms(20),
                            !connect_fails);
    }
    gateway.Advance(Ms(5));
  }
  EXPECT_EQ(attempts_at_full, 1U);
}

// Guards against full subsets that never include the endpoints of a new release.
TEST(EndpointSubsetTest, NewEndpointsEnterFullSubsets) {
  Settings settings = MakeSettings();
  settings.instance_count = 200;
  int gateways_using_new = 0;
  for (uint64_t seed = 1; seed <= 100; ++seed) {
    LoadBalancerHarness gateway(settings, seed);
    gateway.ListEndpoints(60);
    gateway.WarmUp(20);
    gateway.UpdateEndpoint("new", EndpointState::kUp);
    gateway.WarmUp(200);
    gateways_using_new +=
        std::any_of(gateway.attempts.begin(), gateway.attempts.end(),
                    [](const StartAttempt& attempt) { return attempt.endpoint == "new"; });
  }
  EXPECT_GT(gateways_using_new, 10);
  EXPECT_LT(gateways_using_new, 50);
}

TEST(EndpointSubsetTest, AFleetThatShrinksToNoneAndReturnsIsUsedAgain) {
  LoadBalancerHarness gateway(MakeSettings());
  gateway.ListEndpoints(60);
  gateway.WarmUp(20);
  gateway.Handle(EndpointUpdate{EndpointUpdateKind::kFull, {}});
  const size_t before = gateway.attempts.size();
  gateway.WarmUp(20);
  EXPECT_EQ(gateway.attempts.size(), before);
  gateway.ListEndpoints(60, EndpointUpdateKind::kFull);
  gateway.WarmUp(20);
  EXPECT_GT(gateway.attempts.size(), before);
}

// Traffic across zones has a cost, but the zones must still share their load.
TEST(EndpointSubsetTest, PrefersItsOwnZoneButUsesOthersToo) {
  Settings settings = MakeSettings();
  settings.instance_count = 200;
  int in_own_zone = 0, all = 0;
  for (uint64_t seed = 1; seed <= 50; ++seed) {
    LoadBalancerHarness gateway(settings, seed);
    gateway.ListEndpoints(120);  // even ones are in zone 0, that of the gateway
    gateway.WarmUp(100);
    std::set<std::string> used;
    for (const StartAttempt& attempt : gateway.attempts) {
      used.insert(attempt.endpoint);
    }
    for (const std::string& id : used) {
      in_own_zone += (id.back() - '0') % 2 == 0;
    }
    all += static_cast<int>(used.size());
  }
  EXPECT_GT(in_own_zone, all * 3 / 4);
  EXPECT_LT(in_own_zone, all);
}

}  // namespace
}  // namespace paddlestile
