// The ids of requests that came a short time ago. No I/O, no clock.
#ifndef PADDLESTILE_GATEWAY_RECENT_REQUEST_IDS_H_
#define PADDLESTILE_GATEWAY_RECENT_REQUEST_IDS_H_

#include <cstddef>
#include <deque>
#include <string>
#include <unordered_set>
#include <utility>

#include "base/time.h"

namespace paddlestile {

// A request whose id came shortly before is a duplicate of one that may still be at an endpoint,
// which would reject it.
class RecentRequestIds {
 public:
  // Whether the id was added within `window` before `now`; forgets older ones.
  bool Contains(const std::string& id, Time now, Duration window) {
    while (!by_time_.empty() && now - by_time_.front().first > window) {
      RemoveOldest();
    }
    return ids_.contains(id);
  }
  void Add(const std::string& id, Time now) {
    ids_.insert(id);
    by_time_.emplace_back(now, id);
    if (by_time_.size() > kMaxIds) {
      RemoveOldest();
    }
  }

 private:
  static constexpr size_t kMaxIds = 8192;

  void RemoveOldest() {
    ids_.erase(by_time_.front().second);
    by_time_.pop_front();
  }

  std::deque<std::pair<Time, std::string>> by_time_;  // oldest first
  std::unordered_set<std::string> ids_;               // the same ids
};

}  // namespace paddlestile

#endif  // PADDLESTILE_GATEWAY_RECENT_REQUEST_IDS_H_
