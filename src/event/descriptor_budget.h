// The file descriptor budget shared by all connections of a gateway.
#ifndef PADDLESTILE_EVENT_DESCRIPTOR_BUDGET_H_
#define PADDLESTILE_EVENT_DESCRIPTOR_BUDGET_H_

#include <cstddef>

namespace paddlestile {

// Counts the descriptors in use and enforces a limit. During a hot restart two processes share one
// budget.
class DescriptorBudget {
 public:
  // Number of descriptors reserved for uses outside the budget: files, admin interface, discovery.
  static constexpr size_t kReserve = 32;
  // `limit`: the number of descriptors that the process may open.
  explicit DescriptorBudget(size_t limit)
      : limit_(limit > 2 * kReserve ? limit - kReserve : limit / 2) {}
  // Counts one descriptor. Returns false, without effect, if the limit is reached.
  bool TryAcquire() {
    if (used_ + held_by_other_process_ >= limit_) {
      return false;
    }
    ++used_;
    return true;
  }
  // Releases a descriptor counted by TryAcquire.
  void Release() { --used_; }
  [[nodiscard]] size_t used() const { return used_; }
  // The limit without the reserve.
  [[nodiscard]] size_t limit() const { return limit_; }
  // Number of descriptors held by the other process during a hot restart; 0 if there is none.
  void set_held_by_other_process(size_t count) { held_by_other_process_ = count; }

 private:
  size_t limit_;
  size_t used_ = 0, held_by_other_process_ = 0;
};

}  // namespace paddlestile

#endif  // PADDLESTILE_EVENT_DESCRIPTOR_BUDGET_H_
