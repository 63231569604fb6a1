#include "base/metrics.h"

#include <gtest/gtest.h>
#include <unistd.h>

#include <string>

#include "base/log.h"

namespace paddlestile {
namespace {

TEST(Counters, PrintsOnlyNonZeroCounters) {
  Counters counters;
  EXPECT_EQ(counters.ToText(), "");
  counters.attempts_started = 3;
  counters.responses_served = 2;
  EXPECT_EQ(counters.ToText(), "responses_served=2 attempts_started=3");
}

TEST(Counters, FailedCheckIsCountedAndLogged) {
  const uint64_t before = GlobalCounters().invariant_failures;
  ::testing::internal::CaptureStderr();
  EXPECT_FALSE(CheckFailed("a == b", "file.cpp", 7));
  EXPECT_EQ(GlobalCounters().invariant_failures, before + 1);
  EXPECT_NE(::testing::internal::GetCapturedStderr().find("check failed: a == b at file.cpp:7"),
            std::string::npos);
}

#ifndef NDEBUG
TEST(CountersDeathTest, FailedCheckAbortsADebugBuild) {
  ::testing::FLAGS_gtest_death_test_style = "threadsafe";
  EXPECT_DEATH((void)PADDLESTILE_CHECK(1 == 2), "1 == 2");
}
#endif

TEST(Log, ControlCharactersCannotInjectLines) {
  ::testing::internal::CaptureStderr();
  Log(LogLevel::kError, "id {}", "x\nerror: forged\r");
  const std::string text = ::testing::internal::GetCapturedStderr();
  EXPECT_EQ(text.find('\n'), text.size() - 1);
}

TEST(Log, ExcessLinesAreDropped) {
  ::testing::internal::CaptureStderr();
  for (int i = 0; i < 5000; ++i) {
    Log(LogLevel::kError, "line {}", i);
  }
  const std::string text = ::testing::internal::GetCapturedStderr();
  EXPECT_LT(std::count(text.begin(), text.end(), '\n'), 500);
}

TEST(Log, LinesBelowTheMinimumLevelAreDropped) {
  ::testing::internal::CaptureStderr();
  Log(LogLevel::kDebug, "quiet");
  EXPECT_EQ(::testing::internal::GetCapturedStderr(), "");
}

}  // namespace
}  // namespace paddlestile
