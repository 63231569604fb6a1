// Queue and rejection of requests.
#include <gtest/gtest.h>

#include <algorithm>
#include <string>

#include "balancer/load_balancer_fixture.h"

namespace paddlestile {
namespace {

using testing::LoadBalancerHarness;
using testing::MakeSettings;
using testing::Ms;

TEST(DispatcherTest, ARequestThatCannotBeInTimeIsRejectedPromptly) {
  LoadBalancerHarness gateway(MakeSettings());
  gateway.ListEndpoints(2);
  for (int i = 0; i < 100; ++i) {
    gateway.Arrive("r" + std::to_string(i));
  }
  gateway.Advance(Ms(150));
  EXPECT_EQ(
      LoadBalancerHarness::ActionsOf<RejectRequest>(gateway.log).size() + gateway.attempts.size(),
      100U);
}

// The statistics name the filter that left requests unserved.
TEST(DispatcherTest, UnservedRequestsAreCountedByTheMostFrequentExclusion) {
  const auto counted = [](LoadBalancerHarness& gateway, ExclusionReason reason) {
    return gateway.balancer.statistics().unserved_by_reason[static_cast<size_t>(reason)];
  };
  LoadBalancerHarness none(MakeSettings());
  none.Arrive("r");
  none.Advance(Ms(100));
  EXPECT_EQ(counted(none, ExclusionReason::kNone), 1U);
  EXPECT_EQ(LoadBalancerHarness::ActionsOf<RejectRequest>(none.log).size(), 1U);

  LoadBalancerHarness warming_up(MakeSettings());
  warming_up.UpdateEndpoint("new", EndpointState::kUp, warming_up.now - Ms(10));
  warming_up.Arrive("r");
  warming_up.Advance(Ms(100));
  EXPECT_EQ(counted(warming_up, ExclusionReason::kWarmingUp), 1U);

  LoadBalancerHarness fresh(MakeSettings());
  fresh.ListEndpoints(2);
  for (int i = 0; i < 40; ++i) {
    fresh.Arrive("r" + std::to_string(i));
  }
  fresh.Advance(Ms(100));
  EXPECT_GT(counted(fresh, ExclusionReason::kCapacityUnknown), 20U);
  EXPECT_EQ(counted(fresh, ExclusionReason::kAtConcurrencyLimit), 0U);

  LoadBalancerHarness full(MakeSettings());
  full.ListEndpoints(2);
  full.WarmUp(100);
  for (int i = 0; i < 400; ++i) {
    full.Arrive("r" + std::to_string(i));
  }
  full.Advance(Ms(100));
  EXPECT_GT(counted(full, ExclusionReason::kAtConcurrencyLimit), 10U);

  Settings once = MakeSettings();
  once.allowed.max_attempts = 1;
  LoadBalancerHarness exhausted(once);
  exhausted.ListEndpoints(2);
  exhausted.Arrive("r", 4);
  exhausted.Advance(Ms(390));
  exhausted.FinishAttempt("r", 0, exhausted.attempts[0].endpoint, Outcome::kError, Ms(390));
  EXPECT_EQ(counted(exhausted, ExclusionReason::kRetryBudgetExhausted), 1U);
}

// With milliseconds left the request is answered at once: no timer comes early.
TEST(DispatcherTest, ARequestNearItsDeadlineIsRejectedInTime) {
  LoadBalancerHarness gateway(MakeSettings());
  gateway.ListEndpoints(1);
  for (int i = 0; i < 30; ++i) {
    gateway.Arrive("fill" + std::to_string(i), 4);
  }
  gateway.log.clear();
  gateway.Arrive("r", 0, Ms(18));
  gateway.Advance(Ms(18));
  const auto rejected = LoadBalancerHarness::ActionsOf<RejectRequest>(gateway.log);
  EXPECT_TRUE(std::any_of(rejected.begin(), rejected.end(),
                          [](const RejectRequest& request) { return request.id == "r"; }));
}

TEST(DispatcherTest, ADeadlineAlreadyPastAndNoEndpointAtAll) {
  LoadBalancerHarness gateway(MakeSettings());
  gateway.ListEndpoints(0);
  EXPECT_TRUE(LoadBalancerHarness::ActionsOf<StartAttempt>(gateway.Arrive("a")).empty());
  gateway.Advance(Ms(200));
  EXPECT_EQ(LoadBalancerHarness::ActionsOf<RejectRequest>(gateway.log).size(), 1U);
  gateway.ListEndpoints(0);
  EXPECT_EQ(LoadBalancerHarness::ActionsOf<RejectRequest>(gateway.Arrive("b", 0, Ms(-5))).size(),
            1U);
}

TEST(DispatcherTest, ATimeoutAtTheDeadlineFailsTheRequestAtOnce) {
  LoadBalancerHarness gateway(MakeSettings());
  gateway.ListEndpoints(1);
  gateway.Arrive("r", 4, Ms(500));
  gateway.now += Ms(500);
  const auto actions = gateway.FinishAttempt("r", 0, "e0", Outcome::kTimeout, Ms(500));
  EXPECT_EQ(LoadBalancerHarness::ActionsOf<FailRequest>(actions).size(), 1U);
}

// A rejected client that stays away for longer than its latency objective comes back too late.
TEST(DispatcherTest, RetryAfterIsWithinTheLatencyObjective) {
  Settings settings = MakeSettings();
  settings.allowed.retry_after = true;
  settings.allowed.max_retry_after = Ms(3000);
  LoadBalancerHarness gateway(settings);
  gateway.Handle(EndpointUpdate{});  // no endpoint at all
  gateway.Arrive("r");
  gateway.Advance(Ms(300));
  const auto rejected = LoadBalancerHarness::ActionsOf<RejectRequest>(gateway.log);
  ASSERT_EQ(rejected.size(), 1U);
  EXPECT_GT(rejected[0].retry_after, Duration(0));
  EXPECT_LT(rejected[0].retry_after, Ms(100));  // a quarter of the latency objective
}

}  // namespace
}  // namespace paddlestile
