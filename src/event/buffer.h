// A growing byte buffer, and ranges of it. Messages are parsed in the buffer that they were read
// into; buffers are moved rather than copied.
#ifndef PADDLESTILE_EVENT_BUFFER_H_
#define PADDLESTILE_EVENT_BUFFER_H_

#include <cstddef>
#include <cstdint>
#include <memory>
#include <string_view>

namespace paddlestile {

// A part of a buffer, by position: valid when the buffer has grown or moved.
struct Range {
  size_t at = 0, size = 0;  // bytes
  // The bytes; `base` is the content of the buffer.
  [[nodiscard]] std::string_view In(std::string_view base) const { return base.substr(at, size); }
};

// Content, followed by room for more. Not copyable.
class Buffer {
 public:
  Buffer() = default;
  Buffer(Buffer&& other) noexcept { Swap(other); }
  Buffer& operator=(Buffer&& other) noexcept {
    Buffer taken(std::move(other));
    Swap(taken);
    return *this;
  }
  Buffer(const Buffer&) = delete;
  Buffer& operator=(const Buffer&) = delete;
  ~Buffer() = default;

  // Makes room for at least `min_bytes` behind the content and returns where it begins. Invalidates
  // views of the content.
  char* Prepare(size_t min_bytes);
  // Bytes of room behind the content.
  [[nodiscard]] size_t Room() const { return capacity_ - end_; }
  // Adds the first `size` bytes of the room to the content.
  void Commit(size_t size);
  void Append(std::string_view text);

  [[nodiscard]] std::string_view view() const { return {bytes_.get() + begin_, size()}; }
  [[nodiscard]] char* data() { return bytes_.get() + begin_; }
  [[nodiscard]] size_t size() const { return end_ - begin_; }
  [[nodiscard]] bool empty() const { return begin_ == end_; }

  // Drops all but the first `size` bytes of the content.
  void Truncate(size_t size);

  // Drops the first `size` bytes of the content. An empty buffer frees its memory.
  void Consume(size_t size);

  // Moves the first `size` bytes out, with the memory that they lie in; the rest is copied.
  Buffer TakeFront(size_t size);

 private:
  void Swap(Buffer& other) noexcept;

  std::unique_ptr<char[]> bytes_;
  size_t capacity_ = 0;
  size_t begin_ = 0, end_ = 0;  // of the content, positions in bytes_
};

}  // namespace paddlestile

#endif  // PADDLESTILE_EVENT_BUFFER_H_
