// The delays that a stopped process permits, at the edges of each limit.
#include "lab/stopped_processes.h"

#include <gtest/gtest.h>

#include "balancer/load_balancer_fixture.h"

namespace paddlestile::lab {
namespace {

using paddlestile::testing::Ms;

constexpr Address kHeld{0x7f000001, 40001};
constexpr Address kQueued{0x7f000001, 40002};
constexpr Address kOther{0x7f000001, 40003};
constexpr Duration kQueueBound{2'500'000};

Duration DelayOf(const StoppedProcesses& stopped, const Address& client, Time sent_at,
                 size_t gateway = 0) {
  const auto delay = stopped.DelayOf(gateway, client, sent_at, sent_at + Ms(1000));
  return delay ? delay->duration : Duration(0);
}

TEST(StoppedProcesses, StopOfAGatewayDelaysByItsLength) {
  StoppedProcesses stopped;
  const size_t stop = stopped.StopGateway(0, Ms(5000), Ms(6000));
  EXPECT_EQ(DelayOf(stopped, kOther, Ms(4500)), Ms(1000));  // in progress when the process stopped
  EXPECT_EQ(DelayOf(stopped, kOther, Ms(5700)), Ms(300));   // sent while the process was stopped
  EXPECT_EQ(DelayOf(stopped, kOther, Ms(4000)), Ms(0));     // its deadline was before the stop
  EXPECT_EQ(DelayOf(stopped, kOther, Ms(6000)), Ms(0));
  EXPECT_EQ(DelayOf(stopped, kOther, Ms(5700), 1), Ms(0));  // another gateway
  stopped.Continue(stop, Ms(6040));
  EXPECT_EQ(DelayOf(stopped, kOther, Ms(5700)), Ms(340));
}

// The stop excuses only what the stopped process had accepted: the other process of the hot restart
// is still judged.
TEST(StoppedProcesses, StopInAHotRestartDelaysOnlyAcceptedConnections) {
  StoppedProcesses stopped;
  stopped.StopHotRestartProcess(0, Ms(5000), Ms(8500), {kHeld}, kQueueBound);
  EXPECT_EQ(DelayOf(stopped, kHeld, Ms(5500)), Ms(3000));
  EXPECT_EQ(DelayOf(stopped, kOther, Ms(5500)), Ms(0));
}

TEST(StoppedProcesses, QueuedConnectionIsDelayedWhileSeenWithinTheBound) {
  StoppedProcesses stopped;
  stopped.StopHotRestartProcess(0, Ms(5000), Ms(8500), {kHeld}, kQueueBound);
  stopped.RecordQueued(0, Ms(5550), {kQueued});
  stopped.RecordQueued(0, Ms(7000), {kQueued});
  EXPECT_EQ(DelayOf(stopped, kQueued, Ms(5500)), Ms(1550));  // plus one sample interval
  stopped.RecordQueued(0, Ms(7500), {kQueued});
  EXPECT_TRUE(stopped.WatchesQueue(0, Ms(7500)));
  EXPECT_FALSE(stopped.WatchesQueue(0, Ms(7501)));
  stopped.RecordQueued(0, Ms(7600), {kQueued, kOther});  // past the bound
  EXPECT_EQ(DelayOf(stopped, kQueued, Ms(5500)), Ms(2050));
  EXPECT_EQ(DelayOf(stopped, kOther, Ms(7000)), Ms(0));
}

}  // namespace
}  // namespace paddlestile::lab
