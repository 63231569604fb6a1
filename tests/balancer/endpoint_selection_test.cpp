// Tests of selection by the hot-cold order and by the fallback.
#include <gtest/gtest.h>

#include <set>
#include <string>

#include "balancer/load_balancer_fixture.h"

namespace paddlestile {
namespace {

using testing::LoadBalancerHarness;
using testing::MakeSettings;
using testing::Ms;

TEST(EndpointSelectionTest, UsesTheFallbackWithFewerThanTwoPoolEntries) {
  LoadBalancerHarness gateway(MakeSettings());
  gateway.ListEndpoints(4);
  gateway.FinishProbe("e0", 0, 10);
  gateway.Arrive("r0");
  EXPECT_EQ(gateway.balancer.statistics().last_selection, SelectionMethod::kFallback);
  gateway.FinishProbe("e0", 0, 10);
  gateway.FinishProbe("e1", 0, 10);
  gateway.Arrive("r1");
  EXPECT_EQ(gateway.balancer.statistics().last_selection, SelectionMethod::kCold);
}

TEST(EndpointSelectionTest, ColdSelectionPrefersLowLatencyOverFewRequestsInFlight) {
  LoadBalancerHarness gateway(MakeSettings());
  gateway.ListEndpoints(8);
  gateway.FinishProbe("e0", 0, 40);
  gateway.FinishProbe("e1", 1, 20);
  gateway.FinishProbe("e2", 3, 5);  // hot: above the cut
  gateway.FinishProbe("e3", 3, 6);
  gateway.FinishProbe("e4", 3, 7);
  const auto attempts = LoadBalancerHarness::ActionsOf<StartAttempt>(gateway.Arrive("r"));
  ASSERT_EQ(attempts.size(), 1U);
  EXPECT_EQ(attempts[0].endpoint, "e1");
}

TEST(EndpointSelectionTest, EachAttemptCountsAsInFlight) {
  LoadBalancerHarness gateway(MakeSettings());
  gateway.ListEndpoints(6);
  for (const char* id : {"e0", "e1", "e2", "e3"}) {
    gateway.FinishProbe(id, 0, id[1] == '0' ? 5 : 20);
  }
  std::multiset<std::string> selected;
  for (int i = 0; i < 4; ++i) {
    for (const StartAttempt& attempt :
         LoadBalancerHarness::ActionsOf<StartAttempt>(gateway.Arrive("r" + std::to_string(i)))) {
      selected.insert(attempt.endpoint);
    }
  }
  // The fastest endpoint is above the cut once it has a request; then the others are selected.
  EXPECT_LE(selected.count("e0"), 2U);
  EXPECT_GE(std::set<std::string>(selected.begin(), selected.end()).size(), 3U);
}

TEST(EndpointSelectionTest, TiesAreBrokenAtRandom) {
  std::set<std::string> selected;
  for (uint64_t seed = 0; seed < 30; ++seed) {
    LoadBalancerHarness gateway(MakeSettings(), seed);
    gateway.ListEndpoints(6);
    for (const char* id : {"e0", "e1", "e2", "e3"}) {
      gateway.FinishProbe(id, 0, 10);
    }
    gateway.Arrive("r");
    selected.insert(gateway.attempts.at(0).endpoint);
  }
  EXPECT_EQ(selected.size(), 4U);
}

// In a large subset the fallback samples its two choices at random instead of scanning all members.
TEST(EndpointSelectionTest, FallbackInALargeSubsetSelectsOnlyEligibleEndpoints) {
  Settings settings = MakeSettings();
  settings.instance_count = 1;
  settings.allowed.probes = false;
  LoadBalancerHarness gateway(settings);
  gateway.ListEndpoints(300);
  // Half of the subset has just started and is excluded, as its slow-start budget is unknown.
  for (int i = 0; i < 150; ++i) {
    gateway.UpdateEndpoint("e" + std::to_string(2 * i), EndpointState::kUp, gateway.now);
  }
  std::set<std::string> selected;
  for (int i = 0; i < 200; ++i) {
    const std::string id = "r" + std::to_string(i);
    const auto attempts = LoadBalancerHarness::ActionsOf<StartAttempt>(gateway.Arrive(id));
    ASSERT_EQ(attempts.size(), 1U);
    EXPECT_EQ(std::stoi(attempts[0].endpoint.substr(1)) % 2, 1);
    selected.insert(attempts[0].endpoint);
    gateway.FinishAttempt(id, 0, attempts[0].endpoint, Outcome::kOk, Ms(10), true);
    gateway.Advance(Ms(1));
  }
  EXPECT_GT(selected.size(), 80U);
  // The only eligible endpoint must be found even if the samples miss it.
  for (int i = 1; i < 150; ++i) {
    gateway.UpdateEndpoint("e" + std::to_string(2 * i + 1), EndpointState::kUp, gateway.now);
  }
  const auto last = LoadBalancerHarness::ActionsOf<StartAttempt>(gateway.Arrive("last"));
  ASSERT_EQ(last.size(), 1U);
  EXPECT_EQ(last[0].endpoint, "e1");
}

}  // namespace
}  // namespace paddlestile
