// Tests of estimated load, throughput and the resulting concurrency limits.
#include <gtest/gtest.h>

#include <set>
#include <string>
#include <vector>

#include "balancer/load_balancer_fixture.h"

namespace paddlestile {
namespace {

using testing::LoadBalancerHarness;
using testing::MakeSettings;
using testing::Ms;

// Guards against all gateways filling an endpoint at once after a single report that it is idle.
TEST(ConcurrencyLimitTest, OneIdleReportDoesNotEraseExternalLoad) {
  LoadBalancerHarness gateway(MakeSettings());
  gateway.ListEndpoints(2);
  for (int i = 0; i < 20; ++i) {
    gateway.FinishProbe("e0", 30, 10);
    gateway.FinishProbe("e1", 30, 10);
  }
  gateway.FinishProbe("e0", 0, 10);
  EXPECT_TRUE(LoadBalancerHarness::ActionsOf<StartAttempt>(gateway.Arrive("r")).empty());
}

// Guards against treating an old report as current: an endpoint that once was full would never be
// used again.
TEST(ConcurrencyLimitTest, AnOldReportDecaysToTheMeanOfItsMachineKind) {
  LoadBalancerHarness gateway(MakeSettings());
  gateway.ListEndpoints(8);
  gateway.FinishProbe("e0", 30, 10);
  for (int i = 0; i < 20; ++i) {
    for (const char* id : {"e1", "e2", "e3", "e4", "e5", "e6", "e7"}) {
      gateway.FinishProbe(id, 1, 10);
    }
  }
  gateway.Advance(Ms(20'000));
  std::set<std::string> used;
  for (int i = 0; i < 60; ++i) {
    const std::string id = "r" + std::to_string(i);
    gateway.Arrive(id);
    ASSERT_FALSE(gateway.attempts.empty());
    used.insert(gateway.attempts.back().endpoint);
    gateway.FinishAttempt(id, 0, gateway.attempts.back().endpoint, Outcome::kOk, Ms(20), true);
  }
  EXPECT_TRUE(used.contains("e0"));
}

// If the first reports show a machine kind as busy, it must still get some requests, because its
// throughput is learned from them. They must be few, because hundreds of gateways may start at the
// same time.
TEST(ConcurrencyLimitTest, AMachineKindReportedBusyAtTheStartGetsABoundedLoad) {
  LoadBalancerHarness gateway(MakeSettings());
  gateway.ListEndpoints(5);
  for (const char* id : {"e0", "e1", "e2", "e3", "e4"}) {
    gateway.FinishProbe(id, 20, 10);
  }
  for (int i = 0; i < 200; ++i) {
    gateway.Arrive("r" + std::to_string(i), 4);
  }
  EXPECT_GE(gateway.attempts.size(), 5U);
  // The limit is at most 1.3 * (20 + 1), with 20 requests already in flight at each endpoint.
  EXPECT_LE(gateway.attempts.size(), 5U * 8U);
}

// A slow endpoint needs almost the latency target when idle. Guards against a limit that drops so
// low that it gets no requests.
TEST(ConcurrencyLimitTest, ASlowEndpointIsNotStarvedByFastOnes) {
  Settings settings = MakeSettings();
  settings.instance_count = 1;
  LoadBalancerHarness gateway(settings);
  gateway.ListEndpoints(4);
  const auto finish = [&](const StartAttempt& attempt) {
    const bool slow = attempt.endpoint == "e0";
    gateway.FinishAttempt(attempt.id, 0, attempt.endpoint, Outcome::kOk, slow ? Ms(220) : Ms(60),
                          true);
  };
  std::vector<StartAttempt> batch;
  for (int round = 0; round < 60; ++round) {  // 16 at a time, so that limits are learned
    const size_t before = gateway.attempts.size();
    for (int i = 0; i < 16; ++i) {
      gateway.Arrive(std::to_string(round) + "-" + std::to_string(i));
    }
    gateway.now += Ms(10);
    for (size_t k = before; k < gateway.attempts.size(); ++k) {
      batch.push_back(gateway.attempts[k]);
    }
    for (const StartAttempt& attempt : batch) {
      finish(attempt);
    }
    batch.clear();
  }
  size_t attempts_at_slow = 0;
  for (const StartAttempt& attempt : gateway.attempts) {
    gateway.FinishProbe(attempt.endpoint, 0, 1);
  }
  const size_t before = gateway.attempts.size();
  for (int i = 0; i < 60; ++i) {
    gateway.Arrive("last" + std::to_string(i));
  }
  for (size_t k = before; k < gateway.attempts.size(); ++k) {
    attempts_at_slow += gateway.attempts[k].endpoint == "e0" ? 1 : 0;
  }
  EXPECT_GE(attempts_at_slow, 3U);
}

// Guards against requests that pile up on a full endpoint: some endpoints then stay slow.
TEST(ConcurrencyLimitTest, RequestsAreQueuedAtTheLimit) {
  LoadBalancerHarness gateway(MakeSettings());
  gateway.ListEndpoints(2);
  for (int i = 0; i < 100; ++i) {
    gateway.Arrive("r" + std::to_string(i));
  }
  EXPECT_LE(gateway.attempts.size(), 12U);
  EXPECT_GE(gateway.attempts.size(), 2U);
}

// A gateway that has just started in a busy fleet must derive the limits from load reports.
// Otherwise it sends nothing, learns nothing and rejects most requests for seconds.
TEST(ConcurrencyLimitTest, ANewGatewayInABusyFleetUsesLoadReports) {
  LoadBalancerHarness gateway(MakeSettings());
  gateway.ListEndpoints(8);
  for (int i = 0; i < 8; ++i) {
    gateway.FinishProbe("e" + std::to_string(i), i == 7 ? 40 : 10, 20);
  }
  for (int i = 0; i < 20; ++i) {
    gateway.Arrive("r" + std::to_string(i));
    gateway.Advance(Ms(60));
  }
  EXPECT_GE(gateway.attempts.size(), 5U);
  for (const StartAttempt& attempt : gateway.attempts) {
    EXPECT_NE(attempt.endpoint, "e7");  // the only one above the limit
  }
}

// Timeouts must count in the mean request time. Otherwise an overloaded endpoint looks fast and its
// limit grows without bound.
TEST(ConcurrencyLimitTest, TimeoutsLowerTheLimit) {
  const auto attempts_in_burst = [](bool with_timeouts) {
    LoadBalancerHarness gateway(MakeSettings());
    gateway.ListEndpoints(1);
    gateway.WarmUp(100, Ms(20));
    for (int i = 0; with_timeouts && i < 60; ++i) {
      const std::string id = "t" + std::to_string(i);
      const size_t before = gateway.attempts.size();
      gateway.Arrive(id, 4);
      gateway.Advance(Ms(900));
      if (gateway.attempts.size() > before) {
        gateway.FinishAttempt(id, 0, "e0", Outcome::kTimeout, Ms(900));
      }
    }
    gateway.Advance(Ms(20'000));
    const size_t before = gateway.attempts.size();
    for (int i = 0; i < 50; ++i) {
      gateway.Arrive("r" + std::to_string(i), 4);
    }
    return gateway.attempts.size() - before;
  };
  EXPECT_LT(attempts_in_burst(true), attempts_in_burst(false));
}

}  // namespace
}  // namespace paddlestile
