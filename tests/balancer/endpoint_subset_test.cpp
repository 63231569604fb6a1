// The subset of endpoints that a gateway works with.
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

// If each of hundreds of gateways used every endpoint, it would know none of them well and hold a
// connection to each.
TEST(EndpointSubsetTest, ASubsetIsAShareAndAllSubsetsCoverTheFleet) {
  Settings settings = MakeSettings();
  settings.instance_count = 200;
  std::set<std::string> by_all;
  for (uint64_t seed = 1; seed <= 200; ++seed) {
    settings.zone = static_cast<int>(seed % 2);
    LoadBalancerHarness gateway(settings, seed);
    gateway.ListEndpoints(120);
    gateway.WarmUp(100);
    std::set<std::string> met;
    for (const StartAttempt& send : gateway.attempts) {
      met.insert(send.endpoint);
    }
    EXPECT_LE(met.size(), 16U);
    EXPECT_GE(met.size(), 3U);
    by_all.insert(met.begin(), met.end());
  }
  EXPECT_GT(by_all.size(), 115U);
}

TEST(EndpointSubsetTest, ASingleGatewayUsesTheEntireFleet) {
  Settings settings = MakeSettings();
  settings.instance_count = 1;
  LoadBalancerHarness gateway(settings);
  gateway.ListEndpoints(100);
  gateway.WarmUp(3000);
  std::set<std::string> met;
  for (const StartAttempt& send : gateway.attempts) {
    met.insert(send.endpoint);
  }
  EXPECT_GT(met.size(), 95U);
}

// A full connection table shows only as failed connects.
TEST(EndpointSubsetTest, AnEndpointThatAcceptsNoConnectionIsReplaced) {
  Settings settings = MakeSettings();
  settings.instance_count = 200;
  LoadBalancerHarness gateway(settings);
  gateway.ListEndpoints(120);
  gateway.WarmUp(20);
  const std::string full = gateway.attempts.back().endpoint;
  size_t tries = 0;
  for (int i = 0; i < 200; ++i) {
    const std::string id = "r" + std::to_string(i);
    const size_t before = gateway.attempts.size();
    gateway.Arrive(id, 4);
    for (size_t k = before; k < gateway.attempts.size(); ++k) {
      const bool refused = gateway.attempts[k].endpoint == full;
      tries += refused ? 1 : 0;
      gateway.FinishAttempt(id, k - before, gateway.attempts[k].endpoint,
                            refused ? Outcome::kConnectFailed : Outcome::kOk, Ms(20), !refused);
    }
    gateway.Advance(Ms(5));
  }
  EXPECT_EQ(tries, 1U);
}

// After a release the new endpoints must get into the subsets.
TEST(EndpointSubsetTest, NewEndpointsAreMixedIn) {
  Settings settings = MakeSettings();
  settings.instance_count = 200;
  int users = 0;
  for (uint64_t seed = 1; seed <= 100; ++seed) {
    LoadBalancerHarness gateway(settings, seed);
    gateway.ListEndpoints(60);
    gateway.WarmUp(20);
    gateway.UpdateEndpoint("new", EndpointState::kUp);
    gateway.WarmUp(200);
    users += std::any_of(gateway.attempts.begin(), gateway.attempts.end(),
                         [](const StartAttempt& send) { return send.endpoint == "new"; });
  }
  EXPECT_GT(users, 10);
  EXPECT_LT(users, 50);
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

// Crossing zones has a price, but zones share their load.
TEST(EndpointSubsetTest, PrefersTheOwnZoneButNotOnly) {
  Settings settings = MakeSettings();
  settings.instance_count = 200;
  int own = 0, all = 0;
  for (uint64_t seed = 1; seed <= 50; ++seed) {
    LoadBalancerHarness gateway(settings, seed);
    gateway.ListEndpoints(120);  // even ones in zone 0, this gateway's
    gateway.WarmUp(100);
    std::set<std::string> met;
    for (const StartAttempt& send : gateway.attempts) {
      met.insert(send.endpoint);
    }
    for (const std::string& id : met) {
      own += (id.back() - '0') % 2 == 0;
    }
    all += static_cast<int>(met.size());
  }
  EXPECT_GT(own, all * 3 / 4);
  EXPECT_LT(own, all);
}

}  // namespace
}  // namespace paddlestile
