#include "event/buffer.h"

#include <algorithm>
#include <cstring>
#include <utility>

#include "base/metrics.h"

namespace paddlestile {

void Buffer::Swap(Buffer& other) noexcept {
  std::swap(bytes_, other.bytes_);
  std::swap(capacity_, other.capacity_);
  std::swap(begin_, other.begin_);
  std::swap(end_, other.end_);
}

char* Buffer::Prepare(size_t min_bytes) {
  if (Room() < min_bytes) {
    if (begin_ > 0 && capacity_ - size() >= min_bytes && begin_ >= size()) {
      std::memcpy(bytes_.get(), bytes_.get() + begin_, size());
    } else {
      // Grows by a quarter: with a thousand clients that each have a buffered request, doubling
      // would use twice the memory that they sent.
      const size_t capacity = size() + std::max(min_bytes, size() / 4);
      auto bytes = std::make_unique_for_overwrite<char[]>(capacity);
      if (size() > 0) {
        std::memcpy(bytes.get(), bytes_.get() + begin_, size());
      }
      bytes_ = std::move(bytes);
      capacity_ = capacity;
    }
    end_ -= begin_;
    begin_ = 0;
  }
  return bytes_.get() + end_;
}

void Buffer::Commit(size_t size) {
  if (!PADDLESTILE_CHECK(size <= Room())) {
    return;
  }
  end_ += size;
}

void Buffer::Append(std::string_view text) {
  if (text.empty()) {
    return;
  }
  std::memcpy(Prepare(text.size()), text.data(), text.size());
  Commit(text.size());
}

void Buffer::Truncate(size_t size) {
  if (!PADDLESTILE_CHECK(size <= this->size())) {
    return;
  }
  end_ = begin_ + size;
}

void Buffer::Consume(size_t size) {
  if (!PADDLESTILE_CHECK(size <= this->size())) {
    size = this->size();
  }
  begin_ += size;
  if (begin_ == end_) {
    *this = Buffer();
  }
}

Buffer Buffer::TakeFront(size_t size) {
  if (!PADDLESTILE_CHECK(size <= this->size())) {
    size = this->size();
  }
  Buffer rest;
  rest.Append(view().substr(size));
  end_ = begin_ + size;
  Swap(rest);
  return rest;
}

}  // namespace paddlestile
