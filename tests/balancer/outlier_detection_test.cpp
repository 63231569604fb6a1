// Tests of the health of endpoints and of ejection.
#include <gtest/gtest.h>

#include <map>
#include <string>

#include "balancer/load_balancer_fixture.h"

namespace paddlestile {
namespace {

using testing::LoadBalancerHarness;
using testing::MakeSettings;
using testing::Ms;

// During network trouble connections to all endpoints break now and then. Guards against ejecting
// endpoints after three resets in a row.
TEST(OutlierDetectionTest, AFewResetsEjectNoEndpoint) {
  LoadBalancerHarness gateway(MakeSettings());
  gateway.ListEndpoints(4);
  gateway.WarmUp(100);
  std::map<std::string, int> resets, responses;
  for (int i = 0; i < 300; ++i) {
    const std::string id = "r" + std::to_string(i);
    const size_t before = gateway.attempts.size();
    gateway.Arrive(id);
    if (gateway.attempts.size() == before) {
      continue;
    }
    const std::string endpoint = gateway.attempts[before].endpoint;
    const bool broken = resets[endpoint] < 3;
    ++(broken ? resets[endpoint] : responses[endpoint]);
    gateway.FinishAttempt(id, 0, endpoint, broken ? Outcome::kReset : Outcome::kOk, Ms(5), true);
  }
  EXPECT_EQ(responses.size(), 4U);
}

// Any endpoint may send an invalid response now and then. Only an endpoint that sends nothing else
// must be ejected.
TEST(OutlierDetectionTest, InvalidResponsesEjectOnlyAnEndpointThatSendsNothingElse) {
  for (const bool always : {false, true}) {
    LoadBalancerHarness gateway(MakeSettings());
    gateway.ListEndpoints(6);
    gateway.WarmUp(200);
    int attempts_at_e0 = 0, invalid = 0;
    for (int i = 0; i < 300; ++i) {
      gateway.FinishProbe("e0", 0, 1);
      gateway.FinishProbe("e1", 1, 20);
      gateway.FinishProbe("e2", 1, 20);
      const std::string id = "r" + std::to_string(i);
      const size_t before = gateway.attempts.size();
      gateway.Arrive(id);
      for (size_t k = before; k < gateway.attempts.size(); ++k) {
        const bool at_e0 = gateway.attempts[k].endpoint == "e0";
        attempts_at_e0 += at_e0 ? 1 : 0;
        const bool bad = at_e0 && (always || invalid < 2);  // two in a row, then valid responses
        invalid = bad ? invalid + 1 : attempts_at_e0 % 8 == 0 ? 0 : invalid;
        gateway.FinishAttempt(id, k - before, gateway.attempts[k].endpoint,
                              bad ? Outcome::kInvalidResponse : Outcome::kOk, Ms(10), !bad);
      }
      gateway.Advance(Ms(5));
    }
    if (always) {
      EXPECT_LE(attempts_at_e0, 25);
    } else {
      EXPECT_GE(attempts_at_e0, 60);
    }
  }
}

TEST(OutlierDetectionTest, AnEndpointThatFailsFastIsEjected) {
  LoadBalancerHarness gateway(MakeSettings());
  gateway.ListEndpoints(6);
  gateway.WarmUp(200);
  int attempts_at_e0 = 0;
  for (int i = 0; i < 200; ++i) {
    gateway.FinishProbe("e0", 0, 1);
    gateway.FinishProbe("e1", 1, 20);
    gateway.FinishProbe("e2", 1, 20);
    const std::string id = "r" + std::to_string(i);
    const size_t before = gateway.attempts.size();
    gateway.Arrive(id);
    for (size_t k = before; k < gateway.attempts.size(); ++k) {
      const bool bad = gateway.attempts[k].endpoint == "e0";
      attempts_at_e0 += bad ? 1 : 0;
      gateway.FinishAttempt(id, k - before, gateway.attempts[k].endpoint,
                            bad ? Outcome::kError : Outcome::kOk, Ms(10), !bad);
    }
    gateway.Advance(Ms(5));
  }
  EXPECT_GE(attempts_at_e0, 1);
  EXPECT_LE(attempts_at_e0, 8);
}

// A hung endpoint still accepts requests and responds to probes.
TEST(OutlierDetectionTest, AnUnresponsiveEndpointIsAvoidedBeforeAnyTimeout) {
  LoadBalancerHarness gateway(MakeSettings());
  gateway.ListEndpoints(6);
  gateway.WarmUp(200);
  gateway.FinishProbe("e0", 0, 1);
  for (const char* id : {"e1", "e2", "e3"}) {
    gateway.FinishProbe(id, 3, 30);
  }
  gateway.Arrive("stuck", 4);  // unsafe, so it gets no second attempt
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

TEST(OutlierDetectionTest, EndpointsGetRequestsEvenIfAllFail) {
  LoadBalancerHarness gateway(MakeSettings());
  gateway.ListEndpoints(4);
  size_t late_attempts = 0;
  for (int i = 0; i < 400; ++i) {
    const std::string id = "r" + std::to_string(i);
    const size_t before = gateway.attempts.size();
    gateway.Arrive(id, 4);
    if (gateway.attempts.size() > before) {
      gateway.FinishAttempt(id, 0, gateway.attempts.back().endpoint, Outcome::kError, Ms(5));
      if (i >= 300) {
        ++late_attempts;
      }
    }
    gateway.Advance(Ms(5));
  }
  EXPECT_GT(late_attempts, 50U);
}

}  // namespace
}  // namespace paddlestile
