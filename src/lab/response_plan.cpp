#include "lab/response_plan.h"

#include <algorithm>
#include <random>

namespace paddlestile::lab {
namespace {

constexpr size_t kMaxPieces = 12;

}  // namespace

ResponsePlan DrawSlowResponse(size_t bytes, Duration max_writing_time, uint64_t seed) {
  std::mt19937_64 random(seed);
  ResponsePlan plan;
  const size_t cuts = std::uniform_int_distribution<size_t>(1, kMaxPieces - 1)(random);
  for (size_t i = 0; i < cuts; ++i) {
    plan.piece_ends.push_back(std::uniform_int_distribution<size_t>(0, bytes)(random));
  }
  plan.piece_ends.push_back(bytes);
  std::ranges::sort(plan.piece_ends);
  const auto max_pause = max_writing_time.count() / static_cast<int64_t>(cuts);
  plan.pause = Duration(std::uniform_int_distribution<int64_t>(0, max_pause)(random));
  return plan;
}

ResponsePlan DrawTruncatedResponse(size_t bytes, uint64_t seed) {
  std::mt19937_64 random(seed);
  ResponsePlan plan;
  plan.piece_ends.push_back(std::uniform_int_distribution<size_t>(0, bytes - 1)(random));
  plan.end = random() % 2 == 0 ? ResponsePlan::End::kClosed : ResponsePlan::End::kReset;
  return plan;
}

}  // namespace paddlestile::lab
