#include "gateway/upload_progress.h"

#include <gtest/gtest.h>

#include <chrono>

namespace paddlestile {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Time kStart = seconds(1000);

TEST(UploadProgressTest, ChecksTheRateAfterTheGracePeriod) {
  UploadProgress progress;
  progress.Start(kStart);
  progress.SetReceived(1, kStart + milliseconds(900));
  EXPECT_FALSE(progress.IsTooSlow(kStart + seconds(1)));
  // The minimum rate is 16,000 bytes per second.
  progress.SetReceived(15'999, kStart + seconds(2));
  EXPECT_TRUE(progress.IsTooSlow(kStart + seconds(2)));
  progress.SetReceived(16'000, kStart + seconds(2));
  EXPECT_FALSE(progress.IsTooSlow(kStart + seconds(2)));
}

TEST(UploadProgressTest, ALongPauseIsTooSlowRegardlessOfTheRate) {
  UploadProgress progress;
  progress.Start(kStart);
  progress.AddReceived(1'000'000, kStart);
  EXPECT_FALSE(progress.IsTooSlow(kStart + seconds(1)));
  EXPECT_TRUE(progress.IsTooSlow(kStart + milliseconds(1'001)));
}

TEST(UploadProgressTest, ExcludesGatewayDelay) {
  UploadProgress progress;
  progress.Start(kStart);
  progress.AddReceived(100, kStart);
  progress.ExcludeGatewayDelay(kStart + seconds(60));
  EXPECT_FALSE(progress.IsTooSlow(kStart + seconds(60)));
  EXPECT_TRUE(progress.IsTooSlow(kStart + seconds(62)));
}

}  // namespace
}  // namespace paddlestile
