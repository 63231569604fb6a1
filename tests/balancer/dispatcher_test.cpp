// Tests of the request queue and of rejections.
#include <gtest/gtest.h>

#include <algorithm>
#include <string>

#include "balancer/load_balancer_fixture.h"

namespace paddlestile {
namespace {

using testing::LoadBalancerHarness;
using testing::MakeSettings;
using testing::Ms;

TEST(DispatcherTest, RequestsThatNoEndpointCanTakeAreRejectedPromptly) {
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

// The statistics must show which exclusion reason left requests unserved.
TEST(DispatcherTest, UnservedRequestsAreCountedByTheMostFrequentExclusion) {
  const auto unserved_count = [](LoadBalancerHarness& gateway, ExclusionReason reason) {
    return gateway.balancer.statistics().unserved_by_reason[static_cast<size_t>(reason)];
  };
  LoadBalancerHarness no_endpoints(MakeSettings());
  no_endpoints.Arrive("r");
  no_endpoints.Advance(Ms(100));
  EXPECT_EQ(unserved_count(no_endpoints, ExclusionReason::kNone), 1U);
  EXPECT_EQ(LoadBalancerHarness::ActionsOf<RejectRequest>(no_endpoints.log).size(), 1U);

  LoadBalancerHarness warming_up(MakeSettings());
  warming_up.UpdateEndpoint("new", EndpointState::kUp, warming_up.now - Ms(10));
  warming_up.Arrive("r");
  warming_up.Advance(Ms(100));
  EXPECT_EQ(unserved_count(warming_up, ExclusionReason::kWarmingUp), 1U);

  LoadBalancerHarness unmeasured(MakeSettings());
  unmeasured.ListEndpoints(2);
  for (int i = 0; i < 40; ++i) {
    unmeasured.Arrive("r" + std::to_string(i));
  }
  unmeasured.Advance(Ms(100));
  EXPECT_GT(unserved_count(unmeasured, ExclusionReason::kCapacityUnknown), 20U);
  EXPECT_EQ(unserved_count(unmeasured, ExclusionReason::kAtConcurrencyLimit), 0U);

  LoadBalancerHarness overloaded(MakeSettings());
  overloaded.ListEndpoints(2);
  overloaded.WarmUp(100);
  for (int i = 0; i < 400; ++i) {
    overloaded.Arrive("r" + std::to_string(i));
  }
  overloaded.Advance(Ms(100));
  EXPECT_GT(unserved_count(overloaded, ExclusionReason::kAtConcurrencyLimit), 10U);

  Settings single_attempt = MakeSettings();
  single_attempt.allowed.max_attempts = 1;
  LoadBalancerHarness exhausted(single_attempt);
  exhausted.ListEndpoints(2);
  exhausted.Arrive("r", 4);
  exhausted.Advance(Ms(390));
  exhausted.FinishAttempt("r", 0, exhausted.attempts[0].endpoint, Outcome::kError, Ms(390));
  EXPECT_EQ(unserved_count(exhausted, ExclusionReason::kRetryBudgetExhausted), 1U);
}

// Guards against a request that arrives shortly before its deadline and is answered after it: the
// timer of the next queue tick may fire late.
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

TEST(DispatcherTest, RequestsWithoutAnyEndpointOrPastTheirDeadlineAreRejected) {
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

// Guards against a retry-after longer than the latency objective: the client's retry would miss it.
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
