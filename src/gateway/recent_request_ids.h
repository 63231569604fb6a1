// The ids of recently received requests. No I/O, no clock.
#ifndef PADDLESTILE_GATEWAY_RECENT_REQUEST_IDS_H_
#define PADDLESTILE_GATEWAY_RECENT_REQUEST_IDS_H_

#include <cstddef>
#include <deque>
#include <string>
#include <unordered_map>
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
    return added_at_.contains(id);
  }
  // Adds an id; removes the oldest one if there are more than kMaxIds.
  void Add(const std::string& id, Time now) {
    added_at_.insert_or_assign(id, now);
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
    const auto& [time, id] = by_time_.front();
    const auto newest = added_at_.find(id);
    if (newest != added_at_.end() && newest->second == time) {
      added_at_.erase(newest);
    }
    by_time_.pop_front();
  }

  std::deque<std::pair<Time, std::string>> by_time_;  // oldest first; an id may be there repeatedly
  std::unordered_map<std::string, Time> added_at_;    // when each id in by_time_ was added last
};

}  // namespace paddlestile

#endif  // PADDLESTILE_GATEWAY_RECENT_REQUEST_IDS_H_
