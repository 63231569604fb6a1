// A growable byte buffer and ranges of it. Messages are parsed in the buffer that they were read
// into, and buffers are moved instead of copied.
#ifndef PADDLESTILE_EVENT_BUFFER_H_
#define PADDLESTILE_EVENT_BUFFER_H_

#include <cstddef>
#include <cstdint>
#include <memory>
#include <string_view>

namespace paddlestile {

// A part of a buffer, given by position. Stays valid when the buffer grows or is moved.
struct Range {
  size_t at = 0, size = 0;  // bytes
  // Returns the bytes of the range. `base` is the content of the buffer.
  [[nodiscard]] std::string_view In(std::string_view base) const { return base.substr(at, size); }
};

// Holds content, followed by room for more. Not copyable.
class Buffer {
 public:
  Buffer() = default;
  Buffer(Buffer&& other) noexcept { Swap(other); }
  Buffer& operator=(Buffer&& other) noexcept {
    Buffer source(std::move(other));
    Swap(source);
    return *this;
  }
  Buffer(const Buffer&) = delete;
  Buffer& operator=(const Buffer&) = delete;
  ~Buffer() = default;

  // Makes room for at least `min_bytes` after the content and returns a pointer to it. Invalidates
  // views of the content.
  char* Prepare(size_t min_bytes);
  // Returns the number of bytes of memory that the buffer holds.
  [[nodiscard]] size_t capacity() const { return capacity_; }
  // Returns the number of bytes of room after the content.
  [[nodiscard]] size_t Room() const { return capacity_ - end_; }
  // Adds the first `size` bytes of the room to the content.
  void Commit(size_t size);
  void Append(std::string_view text);

  [[nodiscard]] std::string_view view() const { return {bytes_.get() + begin_, size()}; }
  [[nodiscard]] char* data() { return bytes_.get() + begin_; }
  [[nodiscard]] size_t size() const { return end_ - begin_; }
  [[nodiscard]] bool empty() const { return begin_ == end_; }

  // Removes all but the first `size` bytes of the content.
  void Truncate(size_t size);

  // Removes the first `size` bytes of the content. A buffer that becomes empty frees its memory.
  void Consume(size_t size);

  // Moves the first `size` bytes into the returned buffer, together with the memory. The rest is
  // copied to new memory.
  Buffer TakeFront(size_t size);

 private:
  void Swap(Buffer& other) noexcept;

  std::unique_ptr<char[]> bytes_;
  size_t capacity_ = 0;
  size_t begin_ = 0, end_ = 0;  // positions of the content in bytes_
};

}  // namespace paddlestile

#endif  // PADDLESTILE_EVENT_BUFFER_H_
