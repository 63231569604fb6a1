// Tests that log lines are limited per second, and that a peer cannot inject a line.
#include "base/log.h"

#include <gtest/gtest.h>
#include <unistd.h>

#include <algorithm>
#include <string>

namespace paddlestile {
namespace {

TEST(LogLines, ExcessLinesAreDroppedAndCounted) {
  usleep(1'100'000);  // starts a new second of the rate limit
  ::testing::internal::CaptureStderr();
  for (int i = 0; i < 250; ++i) {
    LogLine(LogLevel::kInfo, "one of many");
  }
  usleep(1'100'000);
  LogLine(LogLevel::kInfo, "and another\nerror: forged\x1b[2J");
  const std::string text = ::testing::internal::GetCapturedStderr();
  EXPECT_EQ(std::ranges::count(text, '\n'), 102);
  EXPECT_NE(text.find("\nwarning: 150 log lines dropped\ninfo: and another?error: forged?[2J\n"),
            std::string::npos)
      << text.substr(text.size() - 200);
}

}  // namespace
}  // namespace paddlestile
