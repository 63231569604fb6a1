// How a host writes one response: in pieces with pauses, and to its end or not. No I/O, no clock.
#ifndef PADDLESTILE_LAB_RESPONSE_PLAN_H_
#define PADDLESTILE_LAB_RESPONSE_PLAN_H_

#include <cstddef>
#include <cstdint>
#include <vector>

#include "base/time.h"

namespace paddlestile::lab {

struct ResponsePlan {
  enum class End {
    kComplete,
    kClosed,  // closes the connection behind the last piece
    kReset    // resets it there
  };
  std::vector<size_t> piece_ends;  // positions in the response, rising
  Duration pause{0};               // between pieces
  End end = End::kComplete;

  // Returns the time from the first piece to the last.
  [[nodiscard]] Duration WritingTime() const {
    return static_cast<int64_t>(piece_ends.size() - 1) * pause;
  }
};

// Returns a plan for a complete response of `bytes` bytes. Its pieces and pauses depend on `seed`;
// the pauses add up to `max_writing_time` at most.
ResponsePlan DrawSlowResponse(size_t bytes, Duration max_writing_time, uint64_t seed);
// Returns a plan that stops before the last of `bytes` bytes.
ResponsePlan DrawTruncatedResponse(size_t bytes, uint64_t seed);

}  // namespace paddlestile::lab

#endif  // PADDLESTILE_LAB_RESPONSE_PLAN_H_
