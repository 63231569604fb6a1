#include "lab/response_plan.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <chrono>
#include <set>

namespace paddlestile::lab {
namespace {

using std::chrono::milliseconds;

TEST(ResponsePlan, SlowResponseIsCompleteAndWithinItsTime) {
  std::set<size_t> first_cuts;
  for (uint64_t seed = 0; seed < 500; ++seed) {
    const ResponsePlan plan = DrawSlowResponse(300, milliseconds(400), seed);
    EXPECT_TRUE(std::ranges::is_sorted(plan.piece_ends));
    EXPECT_EQ(plan.piece_ends.back(), 300u);
    EXPECT_GE(plan.piece_ends.size(), 2u);
    EXPECT_LE(plan.WritingTime(), milliseconds(400));
    EXPECT_EQ(plan.end, ResponsePlan::End::kComplete);
    first_cuts.insert(plan.piece_ends.front());
  }
  EXPECT_GT(first_cuts.size(), 100u);
}

TEST(ResponsePlan, TruncatedResponseLacksAtLeastItsLastByte) {
  std::set<ResponsePlan::End> ends;
  for (uint64_t seed = 0; seed < 500; ++seed) {
    const ResponsePlan plan = DrawTruncatedResponse(2, seed);
    ASSERT_EQ(plan.piece_ends.size(), 1u);
    EXPECT_LT(plan.piece_ends.front(), 2u);
    ends.insert(plan.end);
  }
  EXPECT_EQ(ends.size(), 2u);
  EXPECT_FALSE(ends.contains(ResponsePlan::End::kComplete));
}

}  // namespace
}  // namespace paddlestile::lab
