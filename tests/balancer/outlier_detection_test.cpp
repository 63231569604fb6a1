// Health of endpoints by their outcomes, and ejection.
#include <gtest/gtest.h>

#include <map>
#include <string>

#include "balancer/load_balancer_fixture.h"

namespace paddlestile {
namespace {

using testing::LoadBalancerHarness;
using testing::MakeSettings;
using testing::Ms;

// On bad days connections to all endpoints break now and then: three resets in a row eject none.
TEST(OutlierDetectionTest, AFewResetsEjectNoEndpoint) {
  LoadBalancerHarness gateway(MakeSettings());
  gateway.ListEndpoints(4);
  gateway.WarmUp(100);
  std::map<std::string, int> breaks, later;
  for (int i = 0; i < 300; ++i) {
    const std::string id = "r" + std::to_string(i);
    const size_t before = gateway.attempts.size();
    gateway.Arrive(id);
    if (gateway.attempts.size() == before) {
      continue;
    }
    const std::string endpoint = gateway.attempts[before].endpoint;
    const bool broken = breaks[endpoint] < 3;
    ++(broken ? breaks[endpoint] : later[endpoint]);
    gateway.FinishAttempt(id, 0, endpoint, broken ? Outcome::kReset : Outcome::kOk, Ms(5), true);
  }
  EXPECT_EQ(later.size(), 4U);
}

// Invalid responses come from all endpoints now and then. An endpoint that gives nothing else is
// ejected.
TEST(OutlierDetectionTest, InvalidResponsesEjectOnlyAnEndpointThatGivesNothingElse) {
  for (const bool always : {false, true}) {
    LoadBalancerHarness gateway(MakeSettings());
    gateway.ListEndpoints(6);
    gateway.WarmUp(200);
    int attempts_at_bad = 0, invalid = 0;
    for (int i = 0; i < 300; ++i) {
      gateway.FinishProbe("e0", 0, 1);
      gateway.FinishProbe("e1", 1, 20);
      gateway.FinishProbe("e2", 1, 20);
      const std::string id = "r" + std::to_string(i);
      const size_t before = gateway.attempts.size();
      gateway.Arrive(id);
      for (size_t k = before; k < gateway.attempts.size(); ++k) {
        const bool here = gateway.attempts[k].endpoint == "e0";
        attempts_at_bad += here ? 1 : 0;
        const bool bad = here && (always || invalid < 2);  // two in a row, then healthy again
        invalid = bad ? invalid + 1 : attempts_at_bad % 8 == 0 ? 0 : invalid;
        gateway.FinishAttempt(id, k - before, gateway.attempts[k].endpoint,
                              bad ? Outcome::kInvalidResponse : Outcome::kOk, Ms(10), !bad);
      }
      gateway.Advance(Ms(5));
    }
    if (always) {
      EXPECT_LE(attempts_at_bad, 25);
    } else {
      EXPECT_GE(attempts_at_bad, 60);
    }
  }
}

TEST(OutlierDetectionTest, AnEndpointThatFailsFastIsEjected) {
  LoadBalancerHarness gateway(MakeSettings());
  gateway.ListEndpoints(6);
  gateway.WarmUp(200);
  int attempts_at_bad = 0;
  for (int i = 0; i < 200; ++i) {
    gateway.FinishProbe("e0", 0, 1);
    gateway.FinishProbe("e1", 1, 20);
    gateway.FinishProbe("e2", 1, 20);
    const std::string id = "r" + std::to_string(i);
    const size_t before = gateway.attempts.size();
    gateway.Arrive(id);
    for (size_t k = before; k < gateway.attempts.size(); ++k) {
      const bool bad = gateway.attempts[k].endpoint == "e0";
      attempts_at_bad += bad ? 1 : 0;
      gateway.FinishAttempt(id, k - before, gateway.attempts[k].endpoint,
                            bad ? Outcome::kError : Outcome::kOk, Ms(10), !bad);
    }
    gateway.Advance(Ms(5));
  }
  EXPECT_GE(attempts_at_bad, 1);
  EXPECT_LE(attempts_at_bad, 8);
}

// A hung endpoint accepts requests and answers probes.
TEST(OutlierDetectionTest, AnUnresponsiveEndpointIsAvoidedBeforeAnyTimeout) {
  LoadBalancerHarness gateway(MakeSettings());
  gateway.ListEndpoints(6);
  gateway.WarmUp(200);
  gateway.FinishProbe("e0", 0, 1);
  for (const char* id : {"e1", "e2", "e3"}) {
    gateway.FinishProbe(id, 3, 30);
  }
  gateway.Arrive("stuck", 4);  // unsafe: no second attempt
  ASSERT_EQ(gateway.attempts.back().endpoint, "e0");
  gateway.Advance(Ms(250));
  for (int i = 0; i < 10; ++i) {
    gateway.FinishProbe("e0", 0, 1);
    for (const char* id : {"e1", "e2", "e3"}) {
      gateway.FinishProbe(id, 3, 30);
    }
    const std::string id = "r" + std::to_string(i);
    gateway.Arrive(id, 4);
    EXPECT_NE(gateway.attempts.back().endpoint, "e0");
    gateway.FinishAttempt(id, 0, gateway.attempts.back().endpoint, Outcome::kOk, Ms(20), true);
  }
}

TEST(OutlierDetectionTest, WhereAllFailSomeStillGetRequests) {
  LoadBalancerHarness gateway(MakeSettings());
  gateway.ListEndpoints(4);
  size_t late_sends = 0;
  for (int i = 0; i < 400; ++i) {
    const std::string id = "r" + std::to_string(i);
    const size_t before = gateway.attempts.size();
    gateway.Arrive(id, 4);
    if (gateway.attempts.size() > before) {
      gateway.FinishAttempt(id, 0, gateway.attempts.back().endpoint, Outcome::kError, Ms(5));
      if (i >= 300) {
        ++late_sends;
      }
    }
    gateway.Advance(Ms(5));
  }
  EXPECT_GT(late_sends, 50U);
}

}  // namespace
}  // namespace paddlestile
