#include "gateway/listed_endpoints.h"

#include <algorithm>
#include <iterator>
#include <unordered_set>
#include <utility>

namespace paddlestile {

bool ListedEndpoints::IsUnavailable(const std::string& endpoint) const {
  const auto found = listed_.find(endpoint);
  return found == listed_.end() || found->second.draining;
}

bool ListedEndpoints::IsWarmingUp(const std::string& endpoint, Time now,
                                  Duration slow_start_duration) const {
  const auto found = listed_.find(endpoint);
  if (found == listed_.end()) {
    return false;
  }
  const Time started_at = found->second.listed_info.started_at;
  return started_at > Time(0) && now - started_at < slow_start_duration;
}

std::vector<std::string> ListedEndpoints::MissingFrom(const EndpointList& list) const {
  std::unordered_set<std::string> present;
  for (const EndpointListEntry& entry : list.endpoints) {
    present.insert(entry.info.id);
  }
  std::vector<std::string> missing;
  for (const auto& [id, entry] : listed_) {
    if (!present.contains(id)) {
      missing.push_back(id);
    }
  }
  return missing;
}

EndpointInfo ListedEndpoints::Exclude(Entry& entry, bool excluded) {
  EndpointInfo info = entry.listed_info;
  if (excluded) {
    info.state = EndpointState::kDraining;
  }
  entry.draining = info.state == EndpointState::kDraining;
  return info;
}

EndpointInfo ListedEndpoints::Set(const EndpointInfo& listed_info) {
  Entry& entry = listed_[listed_info.id];
  entry.listed_info = listed_info;
  return Exclude(entry, all_excluded_ || excluded_.contains(listed_info.id));
}

std::vector<EndpointInfo> ListedEndpoints::AllListed() const {
  std::vector<EndpointInfo> endpoints;
  endpoints.reserve(listed_.size());
  for (const auto& [id, entry] : listed_) {
    endpoints.push_back(entry.listed_info);
  }
  return endpoints;
}

EndpointUpdate ListedEndpoints::SetExcluded(std::set<std::string> endpoints, bool all) {
  const std::set<std::string> excluded_before = std::exchange(excluded_, std::move(endpoints));
  const bool all_excluded_before = std::exchange(all_excluded_, all);
  EndpointUpdate update{EndpointUpdateKind::kDelta, {}};
  const auto update_entry = [&](const std::string& id, Entry& entry) {
    const bool excluded = all || excluded_.contains(id);
    if (excluded != (all_excluded_before || excluded_before.contains(id))) {
      update.endpoints.push_back(Exclude(entry, excluded));
    }
  };
  if (all || all_excluded_before) {
    for (auto& [id, entry] : listed_) {
      update_entry(id, entry);
    }
    return update;
  }
  // Visits only endpoints whose exclusion differs, because the endpoint list may be long.
  std::vector<std::string> changed;
  std::ranges::set_symmetric_difference(excluded_before, excluded_, std::back_inserter(changed));
  for (const std::string& id : changed) {
    if (const auto found = listed_.find(id); found != listed_.end()) {
      update_entry(id, found->second);
    }
  }
  return update;
}

}  // namespace paddlestile
