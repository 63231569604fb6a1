// The budget of file descriptors that all connections of a gateway draw from.
#ifndef PADDLESTILE_EVENT_DESCRIPTOR_BUDGET_H_
#define PADDLESTILE_EVENT_DESCRIPTOR_BUDGET_H_

#include <cstddef>

namespace paddlestile {

// Counts the descriptors in use against a limit, less a reserve for the descriptors that every
// process needs: log, epoll, listeners, discovery. Invariant: used() never exceeds what TryAcquire
// granted and Release gave back.
class DescriptorBudget {
 public:
  static constexpr size_t kReserve = 32;  // descriptors

  // `limit`: descriptors that the process may have open.
  explicit DescriptorBudget(size_t limit)
      : limit_(limit > 2 * kReserve ? limit - kReserve : limit / 2) {}
  // Counts one more descriptor; false, and nothing counted, where the limit is reached.
  bool TryAcquire() {
    if (used_ + held_by_other_process_ >= limit_) {
      return false;
    }
    ++used_;
    return true;
  }
  // Gives back one that TryAcquire granted.
  void Release() { --used_; }
  [[nodiscard]] size_t used() const { return used_; }
  // Descriptors that may be acquired in all; downstream and upstream take shares of it.
  [[nodiscard]] size_t limit() const { return limit_; }
  // During a hot restart: how many the other process of this gateway holds. They count as used.
  void set_held_by_other_process(size_t count) { held_by_other_process_ = count; }

 private:
  size_t limit_;
  size_t used_ = 0;
  size_t held_by_other_process_ = 0;
};

}  // namespace paddlestile

#endif  // PADDLESTILE_EVENT_DESCRIPTOR_BUDGET_H_
