// Tests of the attempts that a request may make after each outcome, and of the retry budget.
#include <gtest/gtest.h>

#include <string>
#include <vector>

#include "balancer/load_balancer_fixture.h"

namespace paddlestile {
namespace {

using testing::LoadBalancerHarness;
using testing::MakeSettings;
using testing::Ms;

// A request that is no longer buffered cannot be sent again.
TEST(RetryPolicyTest, AConsumedRequestIsNotRetried) {
  LoadBalancerHarness gateway(MakeSettings());
  gateway.ListEndpoints(4);
  gateway.WarmUp(60);
  for (const bool consumed : {false, true}) {
    const std::string id = consumed ? "large" : "held";
    gateway.Arrive(id);
    ASSERT_EQ(gateway.attempts.back().id, id);
    AttemptFinished rejected{
        id, 0, gateway.attempts.back().endpoint, Outcome::kRejected, Ms(5), false, std::nullopt};
    rejected.request_consumed = consumed;
    const auto actions = gateway.Handle(rejected);
    EXPECT_EQ(LoadBalancerHarness::ActionsOf<StartAttempt>(actions).size(), consumed ? 0u : 1u);
    EXPECT_EQ(LoadBalancerHarness::ActionsOf<RejectRequest>(actions).size(), consumed ? 1u : 0u);
  }
}

// A rejected attempt cost its endpoint almost nothing. Retries after rejections must go on where
// other retries would exhaust the budget.
TEST(RetryPolicyTest, ARejectedAttemptCostsAFractionOfTheRetryBudget) {
  LoadBalancerHarness gateway(MakeSettings());
  gateway.ListEndpoints(6);
  gateway.WarmUp(100);
  size_t rejected_requests = 0;
  for (int i = 0; i < 20; ++i) {
    const std::string id = "r" + std::to_string(i);
    const size_t before = gateway.attempts.size();
    gateway.Arrive(id);
    for (size_t k = before; k < gateway.attempts.size(); ++k) {
      const bool is_rejected = k < before + 2;
      rejected_requests +=
          LoadBalancerHarness::ActionsOf<RejectRequest>(
              gateway.FinishAttempt(id, k - before, gateway.attempts[k].endpoint,
                                    is_rejected ? Outcome::kRejected : Outcome::kOk, Ms(1),
                                    !is_rejected))
              .size();
    }
    gateway.Advance(Ms(5));
  }
  EXPECT_EQ(rejected_requests, 0U);
}

struct RetryCase {
  size_t request_class;
  Outcome outcome;
  bool may_retry_elsewhere;  // in another zone and cell
  bool may_reject;
};

class RetryPolicyOutcomeTest : public ::testing::TestWithParam<RetryCase> {};

// Endpoint e0 is in zone 0 and cell 0. The only other endpoint is in zone 1 and cell 1.
TEST_P(RetryPolicyOutcomeTest, RetriesElsewhereOnlyIfPermitted) {
  const RetryCase retry_case = GetParam();
  LoadBalancerHarness gateway(MakeSettings());
  gateway.ListEndpoints(1);
  gateway.Arrive("r", retry_case.request_class);
  ASSERT_EQ(gateway.attempts.size(), 1U);
  EndpointInfo other;
  other.id = "o";
  other.zone = 1;
  other.cell = 1;
  gateway.Handle(EndpointUpdate{EndpointUpdateKind::kDelta, {other}});
  gateway.Advance(Ms(5));
  const auto actions = gateway.FinishAttempt("r", 0, "e0", retry_case.outcome, Ms(5));
  EXPECT_EQ(LoadBalancerHarness::ActionsOf<StartAttempt>(actions).size(),
            retry_case.may_retry_elsewhere ? 1U : 0U);
  if (!retry_case.may_retry_elsewhere) {
    EXPECT_EQ(LoadBalancerHarness::ActionsOf<RejectRequest>(actions).size(),
              retry_case.may_reject ? 1U : 0U);
    EXPECT_EQ(LoadBalancerHarness::ActionsOf<FailRequest>(actions).size(),
              retry_case.may_reject ? 0U : 1U);
  }
}

std::vector<RetryCase> RetryCases() {
  std::vector<RetryCase> cases;
  for (const Outcome outcome : {Outcome::kError, Outcome::kReset, Outcome::kTimeout,
                                Outcome::kCancelled, Outcome::kRejected, Outcome::kConnectFailed,
                                Outcome::kNotSent, Outcome::kInvalidResponse}) {
    const bool never_ran = outcome == Outcome::kRejected || outcome == Outcome::kConnectFailed ||
                           outcome == Outcome::kNotSent;
    cases.push_back({0, outcome, true, true});
    cases.push_back({1, outcome, true, true});
    cases.push_back({2, outcome, never_ran, never_ran});
    cases.push_back({3, outcome, never_ran, never_ran});
    cases.push_back({4, outcome, never_ran, never_ran});
  }
  return cases;
}

INSTANTIATE_TEST_SUITE_P(Outcomes, RetryPolicyOutcomeTest, ::testing::ValuesIn(RetryCases()));

TEST(RetryPolicyTest, AKeyedRetryStaysWithinItsDeduplicationWindow) {
  for (const bool late : {false, true}) {
    Settings settings = MakeSettings();
    settings.classes[1].deduplication_window = Ms(150);
    settings.classes[1].latency_objective = Ms(1000);
    settings.allowed.parallel_attempts = false;
    LoadBalancerHarness gateway(settings);
    gateway.ListEndpoints(4);
    gateway.Arrive("r", 1);
    gateway.now += late ? Ms(120) : Ms(50);  // the last 50 ms of the window are needed to connect
    const auto actions =
        gateway.FinishAttempt("r", 0, gateway.attempts[0].endpoint, Outcome::kError, Ms(50));
    EXPECT_EQ(LoadBalancerHarness::ActionsOf<StartAttempt>(actions).size(), late ? 0U : 1U);
  }
}

TEST(RetryPolicyTest, NoMoreAttemptsThanAllowed) {
  Settings settings = MakeSettings();
  settings.allowed.max_attempts = 1;
  LoadBalancerHarness gateway(settings);
  gateway.ListEndpoints(4);
  gateway.Arrive("r");
  const auto actions =
      gateway.FinishAttempt("r", 0, gateway.attempts[0].endpoint, Outcome::kError, Ms(5));
  EXPECT_TRUE(LoadBalancerHarness::ActionsOf<StartAttempt>(actions).empty());
  EXPECT_EQ(LoadBalancerHarness::ActionsOf<RejectRequest>(actions).size(), 1U);
}

TEST(RetryPolicyTest, NoSecondAttemptWhileTheFirstIsInFlight) {
  for (const bool parallel : {true, false}) {
    Settings settings = MakeSettings();
    settings.allowed.parallel_attempts = parallel;
    LoadBalancerHarness gateway(settings);
    gateway.ListEndpoints(4);
    gateway.WarmUp(100);
    gateway.Arrive("r");
    const size_t sent = gateway.attempts.size();
    gateway.Advance(Ms(300));  // no second attempt, however long the first takes
    EXPECT_EQ(gateway.attempts.size(), sent);
    gateway.FinishAttempt("r", 0, gateway.attempts.back().endpoint, Outcome::kReset, Ms(300));
    EXPECT_LE(gateway.attempts.size(), sent + 1);
  }
}

TEST(RetryPolicyTest, NoAttemptForAFinishedRequest) {
  LoadBalancerHarness gateway(MakeSettings());
  gateway.ListEndpoints(4);
  gateway.WarmUp(100);
  gateway.Arrive("r");
  gateway.Handle(ClientDisconnected{"r"});
  const size_t sent = gateway.attempts.size();
  gateway.Advance(Ms(500));
  gateway.FinishAttempt("r", 0, gateway.attempts.back().endpoint, Outcome::kError, Ms(500), true);
  EXPECT_EQ(gateway.attempts.size(), sent);
}

TEST(RetryPolicyTest, AStartedStreamIsNotCancelled) {
  LoadBalancerHarness gateway(MakeSettings());
  gateway.ListEndpoints(4);
  gateway.WarmUp(100);
  gateway.Arrive("r");
  const size_t sent = gateway.attempts.size();
  gateway.Handle(ResponseStarted{"r", 0, gateway.attempts.back().endpoint, Ms(5)});
  gateway.Advance(Ms(5000));
  EXPECT_EQ(gateway.attempts.size(), sent);
  EXPECT_TRUE(LoadBalancerHarness::ActionsOf<CancelAttempt>(gateway.log).empty());
}

}  // namespace
}  // namespace paddlestile
