// Estimated load, throughput and the limits that follow.
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

// Else all gateways see an endpoint idle in one stale report and fill it at once.
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

// An old report must not count as current: an endpoint that looked full would never be tried again.
TEST(ConcurrencyLimitTest, AnOldReportFadesToTheMeanOfItsKind) {
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

// A kind of machine that the first reports show busy must get some requests, or nothing is learned
// of it; and a start of hundreds of gateways at once must not add much to its load.
TEST(ConcurrencyLimitTest, AKindFoundBusyAtTheStartIsTriedAtAboutWhatItHolds) {
  LoadBalancerHarness gateway(MakeSettings());
  gateway.ListEndpoints(5);
  for (const char* id : {"e0", "e1", "e2", "e3", "e4"}) {
    gateway.FinishProbe(id, 20, 10);
  }
  for (int i = 0; i < 200; ++i) {
    gateway.Arrive("r" + std::to_string(i), 4);
  }
  EXPECT_GE(gateway.attempts.size(), 5U);
  EXPECT_LE(gateway.attempts.size(), 5U * 8U);  // 1.3 times the 20 and one
}

// A slow kind needs nearly the target when idle: its limit must not shrink to nothing.
TEST(ConcurrencyLimitTest, ASlowEndpointIsNotStarvedBesideQuickOnes) {
  Settings settings = MakeSettings();
  settings.instance_count = 1;
  LoadBalancerHarness gateway(settings);
  gateway.ListEndpoints(4);
  const auto serve = [&](const StartAttempt& send) {
    const bool slow = send.endpoint == "e0";
    gateway.FinishAttempt(send.id, 0, send.endpoint, Outcome::kOk, slow ? Ms(220) : Ms(60), true);
  };
  std::vector<StartAttempt> batch;
  for (int round = 0; round < 60; ++round) {  // sixteen at a time, so that limits are learned
    const size_t before = gateway.attempts.size();
    for (int i = 0; i < 16; ++i) {
      gateway.Arrive(std::to_string(round) + "-" + std::to_string(i));
    }
    gateway.now += Ms(10);
    for (size_t k = before; k < gateway.attempts.size(); ++k) {
      batch.push_back(gateway.attempts[k]);
    }
    for (const StartAttempt& send : batch) {
      serve(send);
    }
    batch.clear();
  }
  size_t on_slow = 0;
  for (const StartAttempt& send : gateway.attempts) {
    gateway.FinishProbe(send.endpoint, 0, 1);
  }
  const size_t before = gateway.attempts.size();
  for (int i = 0; i < 60; ++i) {
    gateway.Arrive("last" + std::to_string(i));
  }
  for (size_t k = before; k < gateway.attempts.size(); ++k) {
    on_slow += gateway.attempts[k].endpoint == "e0" ? 1 : 0;
  }
  EXPECT_GE(on_slow, 3U);
}

// Requests must not pile up on a full endpoint: some then stay slow.
TEST(ConcurrencyLimitTest, RequestsAreQueuedAtTheLimit) {
  LoadBalancerHarness gateway(MakeSettings());
  gateway.ListEndpoints(2);
  for (int i = 0; i < 100; ++i) {
    gateway.Arrive("r" + std::to_string(i));
  }
  EXPECT_LE(gateway.attempts.size(), 12U);
  EXPECT_GE(gateway.attempts.size(), 2U);
}

// A gateway that has just started in a busy fleet must learn from reports what endpoints hold, or
// it sends nothing, learns nothing and rejects most requests for seconds.
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
  for (const StartAttempt& send : gateway.attempts) {
    EXPECT_NE(send.endpoint, "e7");  // the only one above the limit
  }
}

// Timeouts count in the average time: else a crowded endpoint looks quick and its limit grows
// without bound.
TEST(ConcurrencyLimitTest, TimeoutsLowerTheLimit) {
  const auto sent_in_a_rush = [](bool time_outs) {
    LoadBalancerHarness gateway(MakeSettings());
    gateway.ListEndpoints(1);
    gateway.WarmUp(100, Ms(20));
    for (int i = 0; time_outs && i < 60; ++i) {
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
  EXPECT_LT(sent_in_a_rush(true), sent_in_a_rush(false));
}

}  // namespace
}  // namespace paddlestile
