#include "gateway/recent_request_ids.h"

#include <gtest/gtest.h>

#include <chrono>
#include <string>

namespace paddlestile {
namespace {

using std::chrono::seconds;

TEST(RecentRequestIdsTest, RemovesIdsAfterTheWindow) {
  RecentRequestIds ids;
  ids.Add("a", seconds(100));
  EXPECT_TRUE(ids.Contains("a", seconds(102), seconds(2)));
  EXPECT_FALSE(ids.Contains("b", seconds(102), seconds(2)));
  EXPECT_FALSE(ids.Contains("a", seconds(103), seconds(2)));
}

TEST(RecentRequestIdsTest, RemovesTheOldestIdBeyondTheLimit) {
  RecentRequestIds ids;
  for (int i = 0; i < 8193; ++i) {
    ids.Add(std::to_string(i), seconds(100));
  }
  EXPECT_FALSE(ids.Contains("0", seconds(100), seconds(2)));
  EXPECT_TRUE(ids.Contains("1", seconds(100), seconds(2)));
}

// Guards against an id that is admitted twice: another process reports ids, so that one may be
// added again before it was removed, and its first removal removed both.
TEST(RecentRequestIdsTest, IdThatIsAddedAgainStaysForTheWindow) {
  RecentRequestIds ids;
  ids.Add("a", seconds(100));
  ids.Add("a", seconds(103));
  EXPECT_TRUE(ids.Contains("a", seconds(104), seconds(2)));
  EXPECT_FALSE(ids.Contains("a", seconds(106), seconds(2)));
}

}  // namespace
}  // namespace paddlestile
