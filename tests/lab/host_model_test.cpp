// The host model: capacity, queueing, slow start and collapse.
#include "lab/host_model.h"

#include <gtest/gtest.h>

#include "balancer/load_balancer_fixture.h"

namespace paddlestile::lab {
namespace {

using paddlestile::testing::Ms;

TEST(HostModel, CoresRunInParallelAndOtherRequestsWait) {
  HostModel host({.cores = 2, .speed = 0.5}, std::nullopt);
  for (uint64_t job = 1; job <= 3; ++job) {
    host.Arrive(Ms(0), job, Ms(10), Ms(5));
  }
  EXPECT_EQ(host.inflight(), 3u);
  EXPECT_TRUE(host.Advance(Ms(24)).empty());
  // 10 ms at half speed, then a wait of 5 ms.
  EXPECT_EQ(host.Advance(Ms(25)), (std::vector<uint64_t>{1, 2}));
  EXPECT_TRUE(host.Advance(Ms(44)).empty());
  EXPECT_EQ(host.Advance(Ms(46)), (std::vector<uint64_t>{3}));  // started when a core became free
  EXPECT_FALSE(host.NextCompletion());
}

TEST(HostModel, FullQueueRejectsAndCancelledJobMakesRoom) {
  HostModel host({.cores = 1, .max_held_requests = 2}, std::nullopt);
  host.Arrive(Ms(0), 1, Ms(10), Ms(0));
  host.Arrive(Ms(0), 2, Ms(10), Ms(0));
  EXPECT_EQ(host.Arrive(Ms(1), 3, Ms(1), Ms(0)), HostModel::Arrival::kFull);
  host.CancelJob(Ms(2), 2);
  EXPECT_EQ(host.Arrive(Ms(2), 3, Ms(1), Ms(0)), HostModel::Arrival::kAccepted);
  EXPECT_EQ(host.Advance(Ms(12)), (std::vector<uint64_t>{1, 3}));
}

TEST(HostModel, StalledHostContinuesWhereItStopped) {
  HostModel host({.cores = 1}, std::nullopt);
  host.Arrive(Ms(0), 1, Ms(10), Ms(0));
  host.SetStalled(Ms(4), true);
  EXPECT_TRUE(host.Advance(Ms(300)).empty());
  host.SetStalled(Ms(300), false);
  host.SetSlowdown(Ms(300), 2);
  EXPECT_TRUE(host.Advance(Ms(311)).empty());
  EXPECT_EQ(host.Advance(Ms(313)), (std::vector<uint64_t>{1}));
}

// A cold host has a share of its capacity and collapses if it receives more than the configured
// multiple of it for the configured time.
TEST(HostModel, CollapsesOnlyUnderOverloadWhileCold) {
  const HostTraits traits{.cores = 1,
                          .max_held_requests = 10'000,
                          .slow_start_initial_capacity = 0.3,
                          .slow_start_duration = Ms(9000),
                          .overload_collapse_multiple = 3,
                          .overload_collapse_duration = Ms(1500)};
  const auto collapses_under_load = [&](std::optional<Time> started, double multiple) {
    HostModel host(traits, started);
    for (int ms = 0; ms < 4000; ++ms) {
      // `multiple` times the initial capacity of 0.3, in steps of 1 ms.
      if (host.Arrive(Ms(ms), static_cast<uint64_t>(ms) + 1,
                      Duration(static_cast<int64_t>(300 * multiple)),
                      Ms(0)) == HostModel::Arrival::kCollapsed) {
        return true;
      }
      host.Advance(Ms(ms));
    }
    return false;
  };
  EXPECT_TRUE(collapses_under_load(Ms(0), 5));
  EXPECT_FALSE(collapses_under_load(Ms(0), 2.5));
  EXPECT_FALSE(collapses_under_load(std::nullopt, 5));
}

TEST(HostModel, ReportIsUpdatedAtItsInterval) {
  HostModel host({.cores = 1, .report_interval = Ms(20)}, std::nullopt);
  EXPECT_EQ(host.Report(Ms(0)).inflight, 0u);
  host.Arrive(Ms(1), 1, Ms(10), Ms(20));
  EXPECT_EQ(host.Report(Ms(19)).inflight, 0u);
  EXPECT_EQ(host.Report(Ms(21)).inflight, 1u);
  host.Advance(Ms(31));
  EXPECT_NEAR(host.Report(Ms(60)).latency_ms, 30, 0.1);
}

}  // namespace
}  // namespace paddlestile::lab
