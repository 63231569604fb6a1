// When the unread bytes of a connection arrived. No I/O, no clock.
#ifndef PADDLESTILE_EVENT_ARRIVAL_TIMES_H_
#define PADDLESTILE_EVENT_ARRIVAL_TIMES_H_

#include <algorithm>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <vector>

#include "base/time.h"

namespace paddlestile {

// A message that waits behind another one has arrived earlier than it is parsed, and its deadline
// is measured from its arrival.
class ArrivalTimes {
 public:
  // Adds `bytes` bytes that arrived at `time`. `unread_bytes`: the number of bytes that are unread
  // now, including these; earlier ones are forgotten.
  void Add(size_t bytes, Time time, size_t unread_bytes) {
    total_bytes_ += bytes;
    std::erase_if(marks_,
                  [&](const Mark& mark) { return mark.end + unread_bytes <= total_bytes_; });
    if (!marks_.empty() && time - marks_.back().time < kResolution) {
      marks_.back().end = total_bytes_;
    } else {
      marks_.push_back({total_bytes_, time});
    }
  }
  // Returns when the byte arrived that `bytes_behind` bytes have followed. `otherwise` if that is
  // not known.
  [[nodiscard]] Time TimeOf(size_t bytes_behind, Time otherwise) const {
    const auto mark = std::ranges::find_if(
        marks_, [&](const Mark& mark) { return mark.end + bytes_behind >= total_bytes_; });
    return mark == marks_.end() ? otherwise : mark->time;
  }

 private:
  struct Mark {
    uint64_t end = 0;  // position behind the last byte that arrived at `time`
    Time time{0};
  };
  // Bytes that arrive within this time count as having arrived together, with the first of them.
  static constexpr Duration kResolution = std::chrono::milliseconds(10);

  uint64_t total_bytes_ = 0;
  std::vector<Mark> marks_;  // in order
};

}  // namespace paddlestile

#endif  // PADDLESTILE_EVENT_ARRIVAL_TIMES_H_
