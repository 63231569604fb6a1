// Which hosts the lab's changes bar. No I/O.
//
// Two kinds that never meet, so that a gateway which acts on any older version is seen: some hosts
// are kept off for a block of changes, past the bound of a contradiction, and another comes and
// goes. Were they drawn from all hosts, a version from before a cut would now and then bar by
// chance the very host that is kept off behind it, and who acts on that version would send nothing
// there. Nor is one host enough: a gateway's choice may leave it alone for seconds, above all a
// slow one.
#ifndef PADDLESTILE_LAB_EXCLUSION_PLAN_H_
#define PADDLESTILE_LAB_EXCLUSION_PLAN_H_

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <numeric>
#include <random>
#include <set>
#include <vector>

namespace paddlestile::lab {

class BarPlan {
 public:
  // So many hosts kept off at once that no gateway's choice leaves all of them alone.
  static constexpr size_t Several(size_t hosts) { return std::max<size_t>(1, hosts / 3); }

  // Of hosts 0 to `hosts` - 1, one at the least; with fewer than three the kinds may meet, and
  // where `at_once` is over a third of them.
  BarPlan(size_t hosts, size_t at_once, uint64_t seed)
      : order_(hosts),
        at_once_(std::min(at_once, hosts)),
        blocks_(std::max<size_t>(2, hosts / 2 / at_once)) {
    std::iota(order_.begin(), order_.end(), size_t{0});
    std::mt19937_64 random(seed);
    std::ranges::shuffle(order_, random);
  }

  // The hosts that are kept off throughout a block; others in each of `blocks()` on end.
  [[nodiscard]] std::set<size_t> KeptOff(size_t block) const {
    std::set<size_t> hosts;
    for (size_t n = 0; n < at_once_; ++n) {
      hosts.insert(order_[(block % blocks_ * at_once_ + n) % order_.size()]);
    }
    return hosts;
  }
  [[nodiscard]] size_t blocks() const { return blocks_; }
  // The host that comes and goes with one change, its `n`th.
  [[nodiscard]] size_t Passing(size_t n) const {
    const size_t from = std::min(blocks_ * at_once_, order_.size() - 1);
    return order_[from + n % (order_.size() - from)];
  }

 private:
  std::vector<size_t> order_;  // first those that are kept off
  size_t at_once_, blocks_;
};

}  // namespace paddlestile::lab

#endif  // PADDLESTILE_LAB_EXCLUSION_PLAN_H_
