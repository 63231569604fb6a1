// An owned file descriptor.
#ifndef PADDLESTILE_BASE_FILE_DESCRIPTOR_H_
#define PADDLESTILE_BASE_FILE_DESCRIPTOR_H_

#include <utility>

namespace paddlestile {

// Closes the descriptor on destruction. A default constructed or moved-from object is invalid and
// holds -1.
class FileDescriptor {
 public:
  FileDescriptor() = default;
  explicit FileDescriptor(int fd) : fd_(fd) {}
  FileDescriptor(FileDescriptor&& other) noexcept : fd_(std::exchange(other.fd_, -1)) {}
  FileDescriptor& operator=(FileDescriptor&& other) noexcept {
    if (this != &other) {
      Reset();
      fd_ = std::exchange(other.fd_, -1);
    }
    return *this;
  }
  FileDescriptor(const FileDescriptor&) = delete;
  FileDescriptor& operator=(const FileDescriptor&) = delete;
  ~FileDescriptor() { Reset(); }
  [[nodiscard]] int get() const { return fd_; }
  explicit operator bool() const { return fd_ >= 0; }
  // Closes the descriptor if it is valid.
  void Reset();

 private:
  int fd_ = -1;
};

}  // namespace paddlestile

#endif  // PADDLESTILE_BASE_FILE_DESCRIPTOR_H_
