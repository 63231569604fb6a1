// A growing byte buffer, and ranges of it. Messages are parsed where they were read, and a buffer
// is moved rather than copied.
#ifndef PADDLESTILE_EVENT_BUFFER_H_
#define PADDLESTILE_EVENT_BUFFER_H_

#include <cstddef>
#include <cstdint>
#include <memory>
#include <string_view>

namespace paddlestile {

// A part of a buffer by offset, which stays valid when the buffer grows.
struct Range {
  size_t at = 0;    // bytes from the buffer's first
  size_t size = 0;  // bytes
  // The part of `base`, the buffer's view.
  [[nodiscard]] std::string_view In(std::string_view base) const { return base.substr(at, size); }
};

// Invariant: 0 <= begin_ <= end_ <= capacity_; the content is what lies between begin_ and end_.
class Buffer {
 public:
  Buffer() = default;
  Buffer(Buffer&& other) noexcept { Swap(other); }
  Buffer& operator=(Buffer&& other) noexcept {
    Buffer moved(std::move(other));
    Swap(moved);
    return *this;
  }
  Buffer(const Buffer&) = delete;
  Buffer& operator=(const Buffer&) = delete;
  ~Buffer() = default;

  // Makes room for `bytes` or more behind the content and returns where it begins. May move the
  // content: views into it become invalid.
  char* Prepare(size_t bytes);
  // Bytes of room behind the content.
  [[nodiscard]] size_t Room() const { return capacity_ - end_; }
  // Adds the first `size` bytes of the room to the content; at most Room().
  void Commit(size_t size);
  void Append(std::string_view text);

  [[nodiscard]] std::string_view view() const { return {bytes_.get() + begin_, size()}; }
  [[nodiscard]] char* data() { return bytes_.get() + begin_; }
  [[nodiscard]] size_t size() const { return end_ - begin_; }
  [[nodiscard]] bool empty() const { return begin_ == end_; }

  // Keeps the first `size` bytes of the content only.
  void Truncate(size_t size);

  // Removes the first `size` bytes. An empty buffer frees its memory.
  void Consume(size_t size);

  // Returns the first `size` bytes with their memory; what follows them stays here, as a copy.
  Buffer TakeFront(size_t size);

 private:
  void Swap(Buffer& other) noexcept;

  std::unique_ptr<char[]> bytes_;
  size_t capacity_ = 0;
  size_t begin_ = 0;
  size_t end_ = 0;
};

}  // namespace paddlestile

#endif  // PADDLESTILE_EVENT_BUFFER_H_
