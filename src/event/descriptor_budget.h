// The budget of file descriptors that all connections of a gateway draw from.
#ifndef PADDLESTILE_EVENT_DESCRIPTOR_BUDGET_H_
#define PADDLESTILE_EVENT_DESCRIPTOR_BUDGET_H_

#include <cstddef>

namespace paddlestile {

// All connections draw from one budget, which keeps some back for the files that every process has.
class DescriptorBudget {
 public:
  static constexpr size_t kReserve = 32;
  explicit DescriptorBudget(size_t limit)
      : limit_(limit > 2 * kReserve ? limit - kReserve : limit / 2) {}
  bool TryAcquire() {
    if (used_ + held_by_other_process_ >= limit_) {
      return false;
    }
    ++used_;
    return true;
  }
  void Release() { --used_; }
  [[nodiscard]] size_t used() const { return used_; }
  // All that the gateway may hold, of which the uses of it have their shares.
  [[nodiscard]] size_t limit() const { return limit_; }
  // Another process of the same gateway holds so many.
  void set_held_by_other_process(size_t count) { held_by_other_process_ = count; }

 private:
  size_t limit_;
  size_t used_ = 0, held_by_other_process_ = 0;
};

}  // namespace paddlestile

#endif  // PADDLESTILE_EVENT_DESCRIPTOR_BUDGET_H_
