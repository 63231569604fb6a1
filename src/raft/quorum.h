// Computes the value that a majority of the voters has reached.
#ifndef PADDLESTILE_RAFT_QUORUM_H_
#define PADDLESTILE_RAFT_QUORUM_H_

#include <algorithm>
#include <array>
#include <cstddef>
#include <functional>
#include <vector>

#include "raft/types.h"

namespace paddlestile::raft {

// Returns the greatest value that a majority of `voters` has reached, or `none` if there are no
// voters. `value_of` maps a Voter to its value.
template <typename Value, typename ValueOf>
[[nodiscard]] Value QuorumValue(const std::vector<Voter>& voters, Value none, ValueOf&& value_of) {
  std::array<Value, kMaxVoters> values{};
  size_t count = 0;
  for (const Voter& voter : voters) {
    if (count < values.size()) {
      values[count++] = value_of(voter);
    }
  }
  std::sort(values.begin(), values.begin() + count, std::greater<>());
  return count == 0 ? none : values[count / 2];
}

}  // namespace paddlestile::raft

#endif  // PADDLESTILE_RAFT_QUORUM_H_
