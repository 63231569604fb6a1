// The budget of file descriptors that all connections of a gateway share.
#ifndef PADDLESTILE_EVENT_DESCRIPTOR_BUDGET_H_
#define PADDLESTILE_EVENT_DESCRIPTOR_BUDGET_H_

#include <cstddef>

namespace paddlestile {

// Counts descriptors in use against a limit. During a hot restart two processes share one budget.
class DescriptorBudget {
 public:
  // Descriptors kept for what is not budgeted: files, admin interface, discovery.
  static constexpr size_t kReserve = 32;
  // `limit`: descriptors that the process may open.
  explicit DescriptorBudget(size_t limit)
      : limit_(limit > 2 * kReserve ? limit - kReserve : limit / 2) {}
  // Counts one descriptor; false, without effect, where the limit is reached.
  bool TryAcquire() {
    if (used_ + held_by_other_process_ >= limit_) {
      return false;
    }
    ++used_;
    return true;
  }
  void Release() { --used_; }
  [[nodiscard]] size_t used() const { return used_; }
  // Without the reserve.
  [[nodiscard]] size_t limit() const { return limit_; }
  // Descriptors of the budget that the other process of a hot restart holds; 0 without one.
  void set_held_by_other_process(size_t count) { held_by_other_process_ = count; }

 private:
  size_t limit_;
  size_t used_ = 0, held_by_other_process_ = 0;
};

}  // namespace paddlestile

#endif  // PADDLESTILE_EVENT_DESCRIPTOR_BUDGET_H_
