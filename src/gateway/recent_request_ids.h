// The ids of recently received requests. No I/O, no clock.
#ifndef PADDLESTILE_GATEWAY_RECENT_REQUEST_IDS_H_
#define PADDLESTILE_GATEWAY_RECENT_REQUEST_IDS_H_

#include <cstddef>
#include <deque>
#include <string>
#include <unordered_set>
#include <utility>
#include <vector>

#include "base/time.h"

namespace paddlestile {

// Used to detect duplicates: a request with a recently used id duplicates one that may still be at
// an endpoint, which would reject the duplicate.
class RecentRequestIds {
 public:
  // Whether the id was added within `window` before `now`. Removes older ids.
  bool Contains(const std::string& id, Time now, Duration window) {
    while (!by_time_.empty() && now - by_time_.front().first > window) {
      RemoveOldest();
    }
    return ids_.contains(id);
  }
  // Adds an id; removes the oldest one if there are more than kMaxIds.
  void Add(const std::string& id, Time now) {
    ids_.insert(id);
    by_time_.emplace_back(now, id);
    if (by_time_.size() > kMaxIds) {
      RemoveOldest();
    }
  }
  // Returns the ids, oldest first.
  [[nodiscard]] std::vector<std::string> All() const {
    std::vector<std::string> ids;
    ids.reserve(by_time_.size());
    for (const auto& [time, id] : by_time_) {
      ids.push_back(id);
    }
    return ids;
  }

 private:
  static constexpr size_t kMaxIds = 8192;

  void RemoveOldest() {
    ids_.erase(by_time_.front().second);
    by_time_.pop_front();
  }

  std::deque<std::pair<Time, std::string>> by_time_;  // oldest first
  std::unordered_set<std::string> ids_;               // the ids in by_time_
};

}  // namespace paddlestile

#endif  // PADDLESTILE_GATEWAY_RECENT_REQUEST_IDS_H_
