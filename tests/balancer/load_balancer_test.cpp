// Tests of unusual events and endpoint lists.
#include <gtest/gtest.h>

#include <string>

#include "balancer/load_balancer_fixture.h"

namespace paddlestile {
namespace {

using testing::LoadBalancerHarness;
using testing::MakeSettings;
using testing::Ms;

TEST(LoadBalancerTest, ServesWithMachineKindsOutOfRangeAndThousandsOfGateways) {
  Settings settings = MakeSettings();
  settings.instance_count = 4000;  // far more gateways than endpoints
  LoadBalancerHarness gateway(settings);
  EndpointUpdate update;
  update.kind = EndpointUpdateKind::kCached;
  for (int i = 0; i < 300; ++i) {
    EndpointInfo info;
    info.id = "e" + std::to_string(i);
    info.zone = i;  // one endpoint per zone
    info.machine_kind = i % 2 ? SIZE_MAX : 0;
    update.endpoints.push_back(info);
  }
  gateway.Handle(update);
  for (int i = 0; i < 50; ++i) {
    const auto actions = gateway.Arrive("r" + std::to_string(i));
    EXPECT_LE(actions.size(), 3U);  // an attempt and two probes, whatever the size of the fleet
    gateway.FinishAttempt("r" + std::to_string(i), 0, gateway.attempts.back().endpoint,
                          Outcome::kOk, Ms(5), true);
  }
  EXPECT_EQ(gateway.attempts.size(), 50U);
}

TEST(LoadBalancerTest, EventsOfUnknownOrFinishedRequestsAreIgnored) {
  LoadBalancerHarness gateway(MakeSettings());
  gateway.ListEndpoints(2);
  EXPECT_TRUE(gateway.FinishAttempt("unknown", 0, "e0", Outcome::kOk, Ms(1), true).empty());
  EXPECT_TRUE(gateway.Handle(ClientDisconnected{"unknown"}).empty());
  EXPECT_TRUE(gateway.Handle(TimerFired{"unknown"}).empty());
  EXPECT_TRUE(gateway.Handle(PeerMessage{1, "x"}).empty());
  EXPECT_TRUE(
      gateway.Handle(ProbeFinished{"nowhere", Outcome::kOk, Ms(1), LoadReport{1, 1}}).empty());
  EXPECT_TRUE(gateway.Handle(ResponseStarted{"unknown", 0, "e0", Ms(1)}).empty());
  gateway.Arrive("r");
  gateway.FinishAttempt("r", 0, gateway.attempts[0].endpoint, Outcome::kOk, Ms(10), true);
  EXPECT_TRUE(
      gateway.FinishAttempt("r", 0, gateway.attempts[0].endpoint, Outcome::kError, Ms(10), true)
          .empty());
  EXPECT_TRUE(gateway.Handle(ProbeFinished{"e0", Outcome::kOk, Ms(1), LoadReport{}}).empty());
  EXPECT_TRUE(gateway.Handle(ProbeFinished{"e0", Outcome::kOk, Ms(1), std::nullopt}).empty());
}

TEST(LoadBalancerTest, RequestsOfUnknownClassAndTenantAreServed) {
  LoadBalancerHarness gateway(MakeSettings());
  gateway.ListEndpoints(2);
  EXPECT_EQ(
      LoadBalancerHarness::ActionsOf<StartAttempt>(gateway.Arrive("r", 99, Ms(1000), 42)).size(),
      1U);
}

}  // namespace
}  // namespace paddlestile
