#include "gateway/connection_reuse_statistics.h"

#include <gtest/gtest.h>

#include <chrono>

namespace paddlestile {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Time kNow = seconds(1000);

TEST(ConnectionReuseStatisticsTest, IgnoresAFewFailures) {
  ConnectionReuseStatistics statistics;
  for (int i = 0; i < 4; ++i) {
    statistics.RecordReuse(milliseconds(500), true, kNow);
  }
  EXPECT_FALSE(statistics.IsTooOldToReuse(milliseconds(500), kNow));
}

TEST(ConnectionReuseStatisticsTest, GroupsConnectionsBySimilarIdleTime) {
  ConnectionReuseStatistics statistics;
  for (int i = 0; i < 10; ++i) {
    statistics.RecordReuse(milliseconds(500), true, kNow);
    statistics.RecordReuse(milliseconds(20), false, kNow);
  }
  EXPECT_TRUE(statistics.IsTooOldToReuse(milliseconds(400), kNow));
  EXPECT_FALSE(statistics.IsTooOldToReuse(milliseconds(20), kNow));
}

TEST(ConnectionReuseStatisticsTest, FailuresDecayOverTime) {
  ConnectionReuseStatistics statistics;
  for (int i = 0; i < 10; ++i) {
    statistics.RecordReuse(milliseconds(500), true, kNow);
  }
  EXPECT_FALSE(statistics.IsTooOldToReuse(milliseconds(500), kNow + seconds(5)));
}

}  // namespace
}  // namespace paddlestile
