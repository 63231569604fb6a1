// Memory that several budgets share.
#ifndef PADDLESTILE_EVENT_MEMORY_POOL_H_
#define PADDLESTILE_EVENT_MEMORY_POOL_H_

#include <algorithm>
#include <cstddef>
#include <memory>
#include <utility>
#include <vector>

namespace paddlestile {

// Each budget has a guaranteed part, and may use all but what the others have reserved and what is
// left of their guaranteed parts. Used on one thread.
class MemoryPool {
 public:
  // The total number of bytes that a budget has reserved.
  using Usage = std::shared_ptr<const size_t>;

  explicit MemoryPool(size_t limit_bytes) : limit_bytes_(limit_bytes) {}

  // Adds a budget. The guaranteed parts of all budgets must not exceed the limit.
  void Add(Usage usage, size_t guaranteed_bytes) {
    members_.push_back({std::move(usage), guaranteed_bytes});
  }
  // Returns whether the budget of `usage` may reserve `bytes` more.
  [[nodiscard]] bool Allows(const Usage& usage, size_t bytes) const {
    size_t unavailable = 0;
    for (const Member& member : members_) {
      const size_t kept = member.usage == usage ? 0 : member.guaranteed_bytes;
      unavailable += std::max(*member.usage, kept);
    }
    return unavailable + bytes <= limit_bytes_;
  }
  [[nodiscard]] size_t limit_bytes() const { return limit_bytes_; }

 private:
  struct Member {
    Usage usage;
    size_t guaranteed_bytes = 0;
  };
  size_t limit_bytes_;
  std::vector<Member> members_;
};

}  // namespace paddlestile

#endif  // PADDLESTILE_EVENT_MEMORY_POOL_H_
