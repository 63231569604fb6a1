// A limit on the memory that the holders of reservations use together.
#ifndef PADDLESTILE_EVENT_MEMORY_BUDGET_H_
#define PADDLESTILE_EVENT_MEMORY_BUDGET_H_

#include <cstddef>
#include <memory>
#include <optional>
#include <utility>

#include "event/memory_pool.h"

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
    void Merge(Reservation addition) {
      reserved_bytes_ = addition.reserved_bytes_;
      bytes_ += std::exchange(addition.bytes_, 0);
    }
    void Swap(Reservation& other) noexcept {
      std::swap(reserved_bytes_, other.reserved_bytes_);
      std::swap(bytes_, other.bytes_);
    }

    std::shared_ptr<size_t> reserved_bytes_;  // of the whole budget; null if nothing is reserved
    size_t bytes_ = 0;
  };

  explicit MemoryBudget(size_t limit_bytes) : limit_bytes_(limit_bytes) {}

  // Shares the memory of `pool` from now on: reserves only what the pool allows as well.
  void JoinPool(std::shared_ptr<MemoryPool> pool, size_t guaranteed_bytes) {
    pool_ = std::move(pool);
    pool_->Add(reserved_bytes_, guaranteed_bytes);
  }

  // Returns nullopt if fewer than `bytes` are left.
  [[nodiscard]] std::optional<Reservation> Reserve(size_t bytes) {
    const bool is_within_pool = pool_ == nullptr || pool_->Allows(reserved_bytes_, bytes);
    if (!is_within_pool || *reserved_bytes_ + bytes > limit_bytes_) {
      return std::nullopt;
    }
    return Reservation(reserved_bytes_, bytes);
  }

  // Enlarges a reservation of this budget to `bytes`; no effect if it is as large already. Returns
  // false, without effect, if too little is left.
  [[nodiscard]] bool Enlarge(Reservation& reservation, size_t bytes) {
    if (bytes <= reservation.bytes()) {
      return true;
    }
    auto addition = Reserve(bytes - reservation.bytes());
    if (!addition) {
      return false;
    }
    reservation.Merge(std::move(*addition));
    return true;
  }

  void set_limit(size_t limit_bytes) { limit_bytes_ = limit_bytes; }
  [[nodiscard]] size_t reserved_bytes() const { return *reserved_bytes_; }

 private:
  size_t limit_bytes_;
  std::shared_ptr<size_t> reserved_bytes_ = std::make_shared<size_t>(0);
  std::shared_ptr<MemoryPool> pool_;  // null if the memory is not shared
};

}  // namespace paddlestile

#endif  // PADDLESTILE_EVENT_MEMORY_BUDGET_H_
