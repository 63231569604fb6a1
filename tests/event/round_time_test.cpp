// Tests of the log line for a long round of the event loop.
#include "event/round_time.h"

#include <gtest/gtest.h>
#include <unistd.h>

#include <string>

#include "event/event_loop.h"
#include "gateway/test_peers.h"

namespace paddlestile {
namespace {

using testing::Ms;

std::string LogOf(RoundTime& round, Duration length) {
  ::testing::internal::CaptureStderr();
  round.LogIfLong(Time(0) + length);
  return ::testing::internal::GetCapturedStderr();
}

TEST(RoundTime, LogsTheStepsOfALongRound) {
  RoundTime round;
  round.Start(Time(0));
  round.EndStep(RoundStep::kTasks, Ms(5));
  round.EndStep(RoundStep::kEvent, Ms(15));
  round.EndStep(RoundStep::kEvent, Ms(255));
  round.EndStep(RoundStep::kTimer, Ms(260));
  const std::string log = LogOf(round, Ms(260));
  EXPECT_NE(log.find("a round of 260 ms"), std::string::npos) << log;
  EXPECT_NE(log.find("events: 2 in 250 ms, longest 240 ms"), std::string::npos) << log;
  EXPECT_NE(log.find("timers: 1 in 5 ms, longest 5 ms"), std::string::npos) << log;
}

TEST(RoundTime, DoesNotLogAShortRoundAndResets) {
  RoundTime round;
  round.Start(Time(0));
  round.EndStep(RoundStep::kEvent, Ms(300));
  round.Start(Time(0));
  EXPECT_EQ(LogOf(round, Ms(249)), "");
  EXPECT_NE(LogOf(round, Ms(250)).find("events: 0 in 0 ms"), std::string::npos);
}

// A process that is blocked, and does no work, uses almost no CPU time.
TEST(RoundTime, DistinguishesABlockedTimerFromABusyOne) {
  EventLoop loop;
  bool ran = false;
  loop.RunAfter(Ms(1), [&] {
    usleep(300'000);
    ran = true;
  });
  ::testing::internal::CaptureStderr();
  const bool fired = testing::RunUntil(loop, [&] { return ran; });
  const std::string log = ::testing::internal::GetCapturedStderr();
  ASSERT_TRUE(fired);
  const size_t at = log.find("event loop: a round of ");
  ASSERT_NE(at, std::string::npos) << log;
  const std::string cpu_time_text = log.substr(log.find("ms, ", at) + 4);
  EXPECT_LT(std::stoi(cpu_time_text), 150) << log;
}

}  // namespace
}  // namespace paddlestile
