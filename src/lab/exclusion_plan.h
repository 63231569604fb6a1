// Decides which hosts the lab's configuration changes exclude. No I/O.
//
// Some hosts stay excluded for a block of changes, longer than the bound on contradictions, and
// another host is excluded by every other change only. The two sets are disjoint, so that a gateway
// that acts on an older version is detected: if both were drawn from all hosts, a version from
// before a link cut could by chance exclude the same host as the versions after it, and a gateway
// acting on that version would send nothing there. Several hosts are excluded at once because a
// gateway may send nothing to a single host for seconds, above all to a slow one.
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

class ExclusionPlan {
 public:
  // The number of hosts to exclude at once, so that every gateway sends to at least one of them.
  static constexpr size_t RecommendedCount(size_t hosts) { return std::max<size_t>(1, hosts / 3); }

  // Plans for the hosts 0 to `hosts` - 1; `hosts` is at least one. With fewer than three hosts, or
  // with `at_once` above a third of them, the two sets may overlap.
  ExclusionPlan(size_t hosts, size_t at_once, uint64_t seed)
      : order_(hosts),
        at_once_(std::min(at_once, hosts)),
        blocks_(std::max<size_t>(2, hosts / 2 / at_once)) {
    std::iota(order_.begin(), order_.end(), size_t{0});
    std::mt19937_64 random(seed);
    std::ranges::shuffle(order_, random);
  }

  // The hosts that are excluded throughout a block. `blocks()` successive blocks share no host.
  [[nodiscard]] std::set<size_t> ExcludedInBlock(size_t block) const {
    std::set<size_t> hosts;
    for (size_t n = 0; n < at_once_; ++n) {
      hosts.insert(order_[(block % blocks_ * at_once_ + n) % order_.size()]);
    }
    return hosts;
  }
  [[nodiscard]] size_t blocks() const { return blocks_; }
  // The host that only the `n`th of the changes with such a host excludes.
  [[nodiscard]] size_t ExcludedByOneChange(size_t n) const {
    const size_t from = std::min(blocks_ * at_once_, order_.size() - 1);
    return order_[from + n % (order_.size() - from)];
  }

 private:
  std::vector<size_t> order_;  // those of the blocks come first
  size_t at_once_, blocks_;
};

}  // namespace paddlestile::lab

#endif  // PADDLESTILE_LAB_EXCLUSION_PLAN_H_
