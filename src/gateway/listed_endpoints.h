// The endpoints of the present list, and which of them are excluded from new work. No I/O.
#ifndef PADDLESTILE_GATEWAY_LISTED_ENDPOINTS_H_
#define PADDLESTILE_GATEWAY_LISTED_ENDPOINTS_H_

#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "balancer/load_balancer.h"
#include "base/time.h"
#include "config/gateway_config.h"

namespace paddlestile {

// An excluded endpoint is passed to the load balancer as draining, whatever the list says of it.
class ListedEndpoints {
 public:
  // Whether the endpoint takes no new work: draining, excluded, or not listed.
  [[nodiscard]] bool IsUnavailable(const std::string& endpoint) const;
  // Whether the endpoint started less than `slow_start_duration` before `now`.
  [[nodiscard]] bool IsWarmingUp(const std::string& endpoint, Time now,
                                 Duration slow_start_duration) const;

  // Replaces the excluded endpoints; `all`: every one is. Returns an update of those for which that
  // is a change.
  EndpointUpdate SetExcluded(std::set<std::string> endpoints, bool all);

  // ---- Applying a list, entry by entry.
  // The ids that a complete list lacks.
  [[nodiscard]] std::vector<std::string> MissingFrom(const EndpointList& list) const;
  void Clear() { listed_.clear(); }
  void Remove(const std::string& endpoint) { listed_.erase(endpoint); }
  // Adds or replaces an entry. Returns it as the load balancer is to know it.
  EndpointInfo Set(const EndpointInfo& listed_info);

 private:
  struct Entry {
    bool draining = false;     // by the list, or excluded
    EndpointInfo listed_info;  // as listed
  };
  // Updates the entry; returns it as the load balancer is to know it.
  static EndpointInfo Exclude(Entry& entry, bool excluded);

  std::unordered_map<std::string, Entry> listed_;  // by id; without removed ones
  std::set<std::string> excluded_;
  bool all_excluded_ = false;
};

}  // namespace paddlestile

#endif  // PADDLESTILE_GATEWAY_LISTED_ENDPOINTS_H_
