// A limit on the memory that the holders of reservations use together.
#ifndef PADDLESTILE_EVENT_MEMORY_BUDGET_H_
#define PADDLESTILE_EVENT_MEMORY_BUDGET_H_

#include <cstddef>
#include <memory>
#include <optional>
#include <utility>

namespace paddlestile {

// Used on one thread. A reservation may outlive the budget.
class MemoryBudget {
 public:
  // Part of the budget, given back when the reservation is destroyed. It should be kept together
  // with the memory that it stands for.
  class Reservation {
   public:
    Reservation() = default;
    Reservation(Reservation&& other) noexcept { Swap(other); }
    Reservation& operator=(Reservation&& other) noexcept {
      Reservation source(std::move(other));
      Swap(source);
      return *this;
    }
    Reservation(const Reservation&) = delete;
    Reservation& operator=(const Reservation&) = delete;
    ~Reservation() {
      if (reserved_bytes_) {
        *reserved_bytes_ -= bytes_;
      }
    }

    [[nodiscard]] size_t bytes() const { return bytes_; }

   private:
    friend class MemoryBudget;
    Reservation(std::shared_ptr<size_t> reserved_bytes, size_t bytes)
        : reserved_bytes_(std::move(reserved_bytes)), bytes_(bytes) {
      *reserved_bytes_ += bytes_;
    }
    void Swap(Reservation& other) noexcept {
      std::swap(reserved_bytes_, other.reserved_bytes_);
      std::swap(bytes_, other.bytes_);
    }

    std::shared_ptr<size_t> reserved_bytes_;  // of the whole budget; null if nothing is reserved
    size_t bytes_ = 0;
  };

  explicit MemoryBudget(size_t limit_bytes) : limit_bytes_(limit_bytes) {}

  // Returns nullopt if fewer than `bytes` are left.
  [[nodiscard]] std::optional<Reservation> Reserve(size_t bytes) {
    if (bytes > limit_bytes_ - *reserved_bytes_) {
      return std::nullopt;
    }
    return Reservation(reserved_bytes_, bytes);
  }

  [[nodiscard]] size_t reserved_bytes() const { return *reserved_bytes_; }

 private:
  size_t limit_bytes_;
  std::shared_ptr<size_t> reserved_bytes_ = std::make_shared<size_t>(0);
};

}  // namespace paddlestile

#endif  // PADDLESTILE_EVENT_MEMORY_BUDGET_H_
