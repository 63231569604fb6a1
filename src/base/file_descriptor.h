// An owned file descriptor.
#ifndef PADDLESTILE_BASE_FILE_DESCRIPTOR_H_
#define PADDLESTILE_BASE_FILE_DESCRIPTOR_H_

#include <utility>

namespace paddlestile {

// Owns a descriptor.
class Fd {
 public:
  Fd() = default;
  explicit Fd(int fd) : fd_(fd) {}
  Fd(Fd&& other) noexcept : fd_(std::exchange(other.fd_, -1)) {}
  Fd& operator=(Fd&& other) noexcept {
    if (this != &other) {
      Reset();
      fd_ = std::exchange(other.fd_, -1);
    }
    return *this;
  }
  Fd(const Fd&) = delete;
  Fd& operator=(const Fd&) = delete;
  ~Fd() { Reset(); }
  [[nodiscard]] int get() const { return fd_; }
  explicit operator bool() const { return fd_ >= 0; }
  void Reset();

 private:
  int fd_ = -1;
};

}  // namespace paddlestile

#endif  // PADDLESTILE_BASE_FILE_DESCRIPTOR_H_
