// Tests of range checks and of new settings while requests are open.
#include <gtest/gtest.h>

#include <stdexcept>
#include <string>

#include "balancer/load_balancer_fixture.h"

namespace paddlestile {
namespace {

using testing::LoadBalancerHarness;
using testing::MakeClass;
using testing::MakeSettings;
using testing::Ms;

TEST(SettingsTest, ErrorNamesTheSetting) {
  const auto error_after = [](auto change) -> std::string {
    Settings settings = MakeSettings();
    change(settings);
    try {
      LoadBalancer balancer(settings, 1);
    } catch (const std::invalid_argument& exception) {
      return exception.what();
    }
    return "";
  };
  EXPECT_EQ(error_after([](Settings&) {}), "");
  EXPECT_NE(error_after([](Settings& settings) { settings.instance_count = 0; }).find("NInstances"),
            std::string::npos);
  EXPECT_NE(error_after([](Settings& settings) { settings.classes.clear(); }).find("Classes"),
            std::string::npos);
  EXPECT_NE(error_after([](Settings& settings) {
              settings.classes[1].latency_objective = Ms(0);
            }).find("Slo"),
            std::string::npos);
  EXPECT_NE(
      error_after([](Settings& settings) { settings.allowed.max_attempts = 0; }).find("SendCap"),
      std::string::npos);
  EXPECT_NE(error_after([](Settings& settings) {
              settings.rules.slow_start_initial_capacity = 2;
            }).find("ColdFrom"),
            std::string::npos);
}

// An open request keeps the class from its arrival, but a lower maximum of attempts applies to it.
// What was learned about endpoints is kept.
TEST(SettingsTest, NewSettingsApplyToNewRequests) {
  Settings settings = MakeSettings();
  settings.allowed.probes = false;
  LoadBalancerHarness gateway(settings);
  gateway.ListEndpoints(4);
  gateway.WarmUp(60);
  const auto selections_before = gateway.balancer.statistics().selections;
  gateway.Arrive("before", 0);
  ASSERT_EQ(gateway.attempts.back().id, "before");
  Settings new_settings = settings;
  new_settings.classes[0].idempotency = Idempotency::kUnsafe;
  new_settings.classes.push_back(MakeClass(Idempotency::kSafe));
  gateway.Handle(new_settings);
  // It arrived as safe, so it may be repeated although it may have run.
  const auto repeated =
      gateway.FinishAttempt("before", 0, gateway.attempts.back().endpoint, Outcome::kReset, Ms(5));
  EXPECT_EQ(LoadBalancerHarness::ActionsOf<StartAttempt>(repeated).size(), 1u);
  gateway.Arrive("after", 0);
  ASSERT_EQ(gateway.attempts.back().id, "after");
  const auto failed =
      gateway.FinishAttempt("after", 0, gateway.attempts.back().endpoint, Outcome::kReset, Ms(5));
  EXPECT_EQ(LoadBalancerHarness::ActionsOf<FailRequest>(failed).size(), 1u);
  gateway.Arrive("new", 5);
  EXPECT_EQ(gateway.attempts.back().id, "new");
  // A lower maximum of attempts applies to open requests.
  new_settings.allowed.max_attempts = 1;
  gateway.Handle(new_settings);
  const auto rejected =
      gateway.FinishAttempt("new", 0, gateway.attempts.back().endpoint, Outcome::kRejected, Ms(5));
  EXPECT_TRUE(LoadBalancerHarness::ActionsOf<StartAttempt>(rejected).empty());
  // As many requests at once as before, because the throughput of the endpoints is still known.
  size_t sent = 0;
  for (int i = 0; i < 12; ++i) {
    sent += LoadBalancerHarness::ActionsOf<StartAttempt>(gateway.Arrive("m" + std::to_string(i), 1))
                .size();
  }
  EXPECT_GE(sent, 12u);
  EXPECT_GT(gateway.balancer.statistics().selections, selections_before);
}

}  // namespace
}  // namespace paddlestile
