// A growing buffer that bytes are read into, and slices of it. A message is looked at where it was
// read; a whole buffer changes hands rather than its bytes.
#ifndef PADDLESTILE_EVENT_BUFFER_H_
#define PADDLESTILE_EVENT_BUFFER_H_

#include <cstddef>
#include <cstdint>
#include <memory>
#include <string_view>

namespace paddlestile {

// A part of a buffer by place, so that it outlives the buffer's growth.
struct Range {
  size_t at = 0, size = 0;
  [[nodiscard]] std::string_view In(std::string_view base) const { return base.substr(at, size); }
};

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

  // Room for at least `least` bytes behind the content; moves or copies it, so views into it end.
  char* Prepare(size_t least);
  [[nodiscard]] size_t Room() const { return capacity_ - end_; }
  void Commit(size_t size);
  void Append(std::string_view text);

  [[nodiscard]] std::string_view view() const { return {bytes_.get() + begin_, size()}; }
  [[nodiscard]] char* data() { return bytes_.get() + begin_; }
  [[nodiscard]] size_t size() const { return end_ - begin_; }
  [[nodiscard]] bool empty() const { return begin_ == end_; }

  // Forgets all behind the first bytes.
  void Truncate(size_t size);

  // Forgets the first bytes. An emptied buffer gives its memory back.
  void Consume(size_t size);

  // The first bytes with the memory they lie in; what follows them stays here, as a copy.
  Buffer TakeFront(size_t size);

 private:
  void Swap(Buffer& other) noexcept;

  std::unique_ptr<char[]> bytes_;
  size_t capacity_ = 0, begin_ = 0, end_ = 0;
};

}  // namespace paddlestile

#endif  // PADDLESTILE_EVENT_BUFFER_H_
