// The endpoints of the current list, and which of them are excluded from new requests. No I/O.
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

// An excluded endpoint is reported to the load balancer as draining, regardless of its listed
// state.
class ListedEndpoints {
 public:
  // Whether the endpoint gets no new requests: it is draining, excluded or not listed.
  [[nodiscard]] bool IsUnavailable(const std::string& endpoint) const;
  // Whether the endpoint started less than `slow_start_duration` before `now`. False if its start
  // time is not known.
  [[nodiscard]] bool IsWarmingUp(const std::string& endpoint, Time now,
                                 Duration slow_start_duration) const;

  // Replaces the set of excluded endpoints; `all` excludes every endpoint. Returns an update with
  // the listed endpoints whose exclusion changed.
  EndpointUpdate SetExcluded(std::set<std::string> endpoints, bool all);

  // ---- Applying an endpoint list, entry by entry.
  // Returns the ids of listed endpoints that the complete list `list` lacks.
  [[nodiscard]] std::vector<std::string> MissingFrom(const EndpointList& list) const;
  void Clear() { listed_.clear(); }
  void Remove(const std::string& endpoint) { listed_.erase(endpoint); }
  // Adds or replaces an entry. Returns it as it should be reported to the load balancer.
  EndpointInfo Set(const EndpointInfo& listed_info);

  // Returns all endpoints as listed, without exclusion.
  [[nodiscard]] std::vector<EndpointInfo> AllListed() const;

 private:
  struct Entry {
    bool draining = false;     // draining according to the list, or excluded
    EndpointInfo listed_info;  // as in the list, without exclusion
  };
  // Updates the entry. Returns it as it should be reported to the load balancer.
  static EndpointInfo Exclude(Entry& entry, bool excluded);

  std::unordered_map<std::string, Entry> listed_;  // by id, without removed endpoints
  std::set<std::string> excluded_;
  bool all_excluded_ = false;
};

}  // namespace paddlestile

#endif  // PADDLESTILE_GATEWAY_LISTED_ENDPOINTS_H_
