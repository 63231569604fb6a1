// Tests of the number of probes and of the endpoints that are probed.
#include <gtest/gtest.h>

#include <algorithm>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "balancer/load_balancer_fixture.h"

namespace paddlestile {
namespace {

using testing::LoadBalancerHarness;
using testing::MakeSettings;
using testing::Ms;

TEST(ProberTest, ProbesAccompanyRequestsAndReachAllEndpoints) {
  Settings settings = MakeSettings();
  settings.costs.probe = 0.03;
  LoadBalancerHarness gateway(settings);
  gateway.ListEndpoints(5);
  gateway.Advance(Ms(5000));
  // Without requests there are no probes.
  EXPECT_TRUE(LoadBalancerHarness::ActionsOf<StartProbe>(gateway.log).empty());
  std::set<std::string> probed;
  for (int i = 0; i < 100; ++i) {
    gateway.WarmUp(1);
    for (const StartProbe& probe : LoadBalancerHarness::ActionsOf<StartProbe>(gateway.log)) {
      probed.insert(probe.endpoint);
    }
    for (const StartProbe& probe : LoadBalancerHarness::ActionsOf<StartProbe>(gateway.log)) {
      gateway.FinishProbe(probe.endpoint, 0, 10);
    }
    gateway.log.clear();
  }
  EXPECT_EQ(probed.size(), 5U);
}

TEST(ProberTest, SendsNoProbesIfTheyAreNotAllowed) {
  Settings settings = MakeSettings();
  settings.allowed.probes = false;
  LoadBalancerHarness gateway(settings);
  gateway.ListEndpoints(5);
  gateway.WarmUp(50);
  EXPECT_TRUE(LoadBalancerHarness::ActionsOf<StartProbe>(gateway.log).empty());
  EXPECT_EQ(gateway.attempts.size(), 50U);
}

// Probes must be spread evenly over the endpoints of the subset that have no probe in flight, also
// after endpoints were added, removed and replaced.
TEST(ProberTest, ProbesGoEvenlyToEndpointsWithoutOneInFlight) {
  Settings settings = MakeSettings();
  settings.instance_count = 1;
  LoadBalancerHarness gateway(settings);
  gateway.ListEndpoints(40);
  for (int i = 0; i < 10; ++i) {
    gateway.UpdateEndpoint("e" + std::to_string(i), EndpointState::kRemoved);
    gateway.UpdateEndpoint("new" + std::to_string(i), EndpointState::kUp);
  }
  std::map<std::string, int> count;
  std::vector<std::string> in_flight;  // oldest first
  for (int i = 0; i < 4000; ++i) {
    const std::string id = "r" + std::to_string(i);
    for (const Action& action : gateway.Arrive(id)) {
      if (const auto* const probe = std::get_if<StartProbe>(&action)) {
        EXPECT_EQ(std::ranges::count(in_flight, probe->endpoint), 0) << probe->endpoint;
        in_flight.push_back(probe->endpoint);
        ++count[probe->endpoint];
      } else if (const auto* const attempt = std::get_if<StartAttempt>(&action)) {
        gateway.FinishAttempt(id, 0, attempt->endpoint, Outcome::kOk, Ms(10), true);
      }
    }
    while (in_flight.size() > 8) {
      const std::string oldest = in_flight.front();
      in_flight.erase(in_flight.begin());
      gateway.FinishProbe(oldest, 1, 10);
    }
    gateway.Advance(Ms(1));
  }
  EXPECT_EQ(count.size(), 40U);
  for (const auto& [endpoint, probes] : count) {
    EXPECT_GT(probes, 60) << endpoint;
  }
}

// Guards against a gateway that has just started and overloads the few endpoints whose load it
// knows. It must soon probe its whole subset.
TEST(ProberTest, ProbesCoverTheSubsetAtTheStartEvenIfTheyHaveACost) {
  Settings settings = MakeSettings();
  settings.instance_count = 300;
  settings.costs.probe = 0.04;
  LoadBalancerHarness gateway(settings);
  gateway.ListEndpoints(68);
  size_t initial_probes = 0, later_probes = 0;
  for (int i = 0; i < 104; ++i) {
    for (const StartProbe& probe :
         LoadBalancerHarness::ActionsOf<StartProbe>(gateway.Arrive("r" + std::to_string(i)))) {
      gateway.FinishProbe(probe.endpoint, 1, 20);
      ++(i < 4 ? initial_probes : later_probes);
    }
    gateway.Advance(Ms(10));
  }
  EXPECT_EQ(initial_probes, 8U);
  EXPECT_NEAR(static_cast<double>(later_probes), 25, 3);
}

// With few probes it would take seconds until a new endpoint is probed at random.
TEST(ProberTest, ANewEndpointIsProbedBeforeTheOthers) {
  Settings settings = MakeSettings();
  settings.costs.probe = 0.08;
  LoadBalancerHarness gateway(settings);
  gateway.ListEndpoints(10);
  for (int i = 0; i < 100; ++i) {
    for (const StartProbe& probe :
         LoadBalancerHarness::ActionsOf<StartProbe>(gateway.Arrive("r" + std::to_string(i)))) {
      gateway.FinishProbe(probe.endpoint, 1, 20);
    }
  }
  for (int round = 0; round < 5; ++round) {
    const std::string id = "new" + std::to_string(round);
    gateway.UpdateEndpoint(id, EndpointState::kUp);
    std::string first;
    for (int i = 0; i < 20 && first.empty(); ++i) {
      for (const StartProbe& probe :
           LoadBalancerHarness::ActionsOf<StartProbe>(gateway.Arrive(id + std::to_string(i)))) {
        if (first.empty()) {
          first = probe.endpoint;
        }
        gateway.FinishProbe(probe.endpoint, 1, 20);
      }
    }
    EXPECT_EQ(first, id);
  }
}

}  // namespace
}  // namespace paddlestile
