// What a stop of a process excuses, by hand, at each limit.
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

Duration DelayOf(const StoppedProcesses& stopped, const Address& client, Time handed,
                 size_t gateway = 0) {
  const auto delay = stopped.DelayOf(gateway, client, handed, handed + Ms(1000));
  return delay ? delay->duration : Duration(0);
}

TEST(StoppedProcesses, AStopOfAGatewayDelaysByItsLengthOnly) {
  StoppedProcesses stopped;
  const size_t stop = stopped.StopGateway(0, Ms(5000), Ms(6000));
  EXPECT_EQ(DelayOf(stopped, kOther, Ms(4500)), Ms(1000));  // in hand as it stopped
  EXPECT_EQ(DelayOf(stopped, kOther, Ms(5700)), Ms(300));   // handed over while it stood
  EXPECT_EQ(DelayOf(stopped, kOther, Ms(4000)), Ms(0));     // its time was up before
  EXPECT_EQ(DelayOf(stopped, kOther, Ms(6000)), Ms(0));
  EXPECT_EQ(DelayOf(stopped, kOther, Ms(5700), 1), Ms(0));  // another gateway
  stopped.Continue(stop, Ms(6040));
  EXPECT_EQ(DelayOf(stopped, kOther, Ms(5700)), Ms(340));
}

// The old process of a hot restart is judged throughout.
TEST(StoppedProcesses, AStopOfOneOfTwoDelaysWhatItHadAcceptedAlone) {
  StoppedProcesses stopped;
  stopped.StopOneOfTwo(0, Ms(5000), Ms(8500), {kHeld}, kQueueBound);
  EXPECT_EQ(DelayOf(stopped, kHeld, Ms(5500)), Ms(3000));
  EXPECT_EQ(DelayOf(stopped, kOther, Ms(5500)), Ms(0));
}

TEST(StoppedProcesses, AQueuedConnectionDelaysAsLongAsItIsSeenThereWithinTheBound) {
  StoppedProcesses stopped;
  stopped.StopOneOfTwo(0, Ms(5000), Ms(8500), {kHeld}, kQueueBound);
  stopped.Queued(0, Ms(5550), {kQueued});
  stopped.Queued(0, Ms(7000), {kQueued});
  EXPECT_EQ(DelayOf(stopped, kQueued, Ms(5500)), Ms(1550));  // one more look
  stopped.Queued(0, Ms(7500), {kQueued});
  EXPECT_TRUE(stopped.WatchesQueue(0, Ms(7500)));
  EXPECT_FALSE(stopped.WatchesQueue(0, Ms(7501)));
  stopped.Queued(0, Ms(7600), {kQueued, kOther});  // past the bound
  EXPECT_EQ(DelayOf(stopped, kQueued, Ms(5500)), Ms(2050));
  EXPECT_EQ(DelayOf(stopped, kOther, Ms(7000)), Ms(0));
}

}  // namespace
}  // namespace paddlestile::lab
