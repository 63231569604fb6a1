// Which hosts the lab's changes bar. No I/O.
//
// Two kinds that never meet, so that a gateway which acts on any older version is seen: one host is
// kept off for a block of changes, past the bound of a contradiction, and another comes and goes.
// Were they drawn from all hosts, a version from before a cut would now and then bar by chance the
// very host that is kept off behind it, and who acts on that version would send nothing there.
#ifndef PADDLESTILE_LAB_BAR_PLAN_H_
#define PADDLESTILE_LAB_BAR_PLAN_H_

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <numeric>
#include <random>
#include <vector>

namespace paddlestile::lab {

class BarPlan {
 public:
  // Of hosts 0 to `hosts` - 1, one at the least; with fewer than four the kinds may meet.
  BarPlan(size_t hosts, uint64_t seed) : order_(hosts), kept_off_(std::max<size_t>(1, hosts / 2)) {
    std::iota(order_.begin(), order_.end(), size_t{0});
    std::mt19937_64 random(seed);
    std::ranges::shuffle(order_, random);
  }

  // The host that is kept off throughout a block; another one in each block of a row of half as
  // many as there are hosts.
  [[nodiscard]] size_t KeptOff(size_t block) const { return order_[block % kept_off_]; }
  // The host that comes and goes with one change, its `n`th.
  [[nodiscard]] size_t Passing(size_t n) const {
    const size_t from = std::min(kept_off_, order_.size() - 1);
    return order_[from + n % (order_.size() - from)];
  }

 private:
  std::vector<size_t> order_;
  size_t kept_off_;  // the first so many of the order
};

}  // namespace paddlestile::lab

#endif  // PADDLESTILE_LAB_BAR_PLAN_H_
