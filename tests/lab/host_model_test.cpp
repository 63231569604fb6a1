// The emulated host by hand: what it can do, how it queues, warms up and falls over.
#include "lab/host_model.h"

#include <gtest/gtest.h>

#include "balancer/load_balancer_fixture.h"

namespace paddlestile::lab {
namespace {

using paddlestile::testing::Ms;

TEST(HostModel, CoresWorkSideBySideAndTheRestWaits) {
  HostModel host({.cores = 2, .speed = 0.5}, std::nullopt);
  for (uint64_t job = 1; job <= 3; ++job) {
    host.Arrive(Ms(0), job, Ms(10), Ms(5));
  }
  EXPECT_EQ(host.inflight(), 3u);
  EXPECT_TRUE(host.Advance(Ms(24)).empty());
  EXPECT_EQ(host.Advance(Ms(25)), (std::vector<uint64_t>{1, 2}));  // 10 ms at half speed, and 5
  EXPECT_TRUE(host.Advance(Ms(44)).empty());
  EXPECT_EQ(host.Advance(Ms(46)), (std::vector<uint64_t>{3}));  // began when a core was free
  EXPECT_FALSE(host.Next());
}

TEST(HostModel, AFullQueueTurnsAwayAndALeaverMakesRoom) {
  HostModel host({.cores = 1, .held_most = 2}, std::nullopt);
  host.Arrive(Ms(0), 1, Ms(10), Ms(0));
  host.Arrive(Ms(0), 2, Ms(10), Ms(0));
  EXPECT_EQ(host.Arrive(Ms(1), 3, Ms(1), Ms(0)), HostModel::Arrival::kFull);
  host.Leave(Ms(2), 2);
  EXPECT_EQ(host.Arrive(Ms(2), 3, Ms(1), Ms(0)), HostModel::Arrival::kTaken);
  EXPECT_EQ(host.Advance(Ms(12)), (std::vector<uint64_t>{1, 3}));
}

TEST(HostModel, StandsStillAndGoesOnWhereItWas) {
  HostModel host({.cores = 1}, std::nullopt);
  host.Arrive(Ms(0), 1, Ms(10), Ms(0));
  host.Stand(Ms(4), true);
  EXPECT_TRUE(host.Advance(Ms(300)).empty());
  host.Stand(Ms(300), false);
  host.Slow(Ms(300), 2);
  EXPECT_TRUE(host.Advance(Ms(311)).empty());
  EXPECT_EQ(host.Advance(Ms(313)), (std::vector<uint64_t>{1}));
}

// Cold, it can do a share of its work, and is pushed over by three times that for as long as said.
TEST(HostModel, FallsOverOnlyWhenPushedWhileCold) {
  const HostTraits traits{.cores = 1,
                          .held_most = 10'000,
                          .slow_start_initial_capacity = 0.3,
                          .slow_start_duration = Ms(9000),
                          .overload_collapse_multiple = 3,
                          .fall = Ms(1500)};
  const auto push = [&](std::optional<Time> started, double multiple) {
    HostModel host(traits, started);
    for (int ms = 0; ms < 4000; ++ms) {
      // `multiple` times the 0.3 that it can do at its start, a millisecond at a time.
      if (host.Arrive(Ms(ms), static_cast<uint64_t>(ms) + 1,
                      Duration(static_cast<int64_t>(300 * multiple)),
                      Ms(0)) == HostModel::Arrival::kFell) {
        return true;
      }
      host.Advance(Ms(ms));
    }
    return false;
  };
  EXPECT_TRUE(push(Ms(0), 5));
  EXPECT_FALSE(push(Ms(0), 2.5));
  EXPECT_FALSE(push(std::nullopt, 5));
}

TEST(HostModel, ReportsWhatItWasAtItsLastLook) {
  HostModel host({.cores = 1, .report_every = Ms(20)}, std::nullopt);
  EXPECT_EQ(host.Report(Ms(0)).inflight, 0u);
  host.Arrive(Ms(1), 1, Ms(10), Ms(20));
  EXPECT_EQ(host.Report(Ms(19)).inflight, 0u);
  EXPECT_EQ(host.Report(Ms(21)).inflight, 1u);
  host.Advance(Ms(31));
  EXPECT_NEAR(host.Report(Ms(60)).latency_ms, 30, 0.1);
}

}  // namespace
}  // namespace paddlestile::lab
