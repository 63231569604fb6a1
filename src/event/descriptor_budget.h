// The budget of file descriptors that all connections of a gateway draw from.
#ifndef PADDLESTILE_EVENT_DESCRIPTOR_BUDGET_H_
#define PADDLESTILE_EVENT_DESCRIPTOR_BUDGET_H_

#include <cstddef>

namespace paddlestile {

// All connections draw from one budget, which keeps some back for the files that every process has.
class Descriptors {
 public:
  static constexpr size_t kReserve = 32;
  explicit Descriptors(size_t limit) : most_(limit > 2 * kReserve ? limit - kReserve : limit / 2) {}
  bool Take() {
    if (used_ + elsewhere_ >= most_) return false;
    ++used_;
    return true;
  }
  void Give() { --used_; }
  [[nodiscard]] size_t used() const { return used_; }
  // All that the gateway may hold, of which the uses of it have their shares.
  [[nodiscard]] size_t most() const { return most_; }
  // Another process of the same gateway holds so many.
  void set_elsewhere(size_t count) { elsewhere_ = count; }

 private:
  size_t most_;
  size_t used_ = 0, elsewhere_ = 0;
};

}  // namespace paddlestile

#endif  // PADDLESTILE_EVENT_DESCRIPTOR_BUDGET_H_
