#include "balancer/endpoint_table.h"

#include <algorithm>
#include <utility>

#include "balancer/hashing.h"

namespace paddlestile {
namespace {

// A fleet has only a few machine kinds. Kinds above this index share one estimate.
constexpr size_t kMaxMachineKind = 64;

}  // namespace

EndpointTable::UpdateResult EndpointTable::Apply(const EndpointUpdate& update,
                                                 const IsReferenced& is_referenced) {
  UpdateResult result;
  // For a delta only the endpoints that it lists are visited, because a large fleet changes often.
  const bool is_complete = update.kind != EndpointUpdateKind::kDelta;
  if (is_complete) {
    result.subset_needs_refill = true;
    RemoveAll();
  }
  std::vector<size_t> changed;
  for (const EndpointInfo& info : update.endpoints) {
    const size_t index = ApplyInfo(info, is_referenced);
    changed.push_back(index);
    if (info.state == EndpointState::kUp && !records_.endpoints[index].was_up) {
      result.newly_up.push_back(index);
    }
  }
  if (is_complete) {
    changed.insert(changed.end(), removed_.begin(), removed_.end());
  }
  for (const size_t index : changed) {
    Endpoint& endpoint = records_.endpoints[index];
    const bool is_up = IsUp(endpoint);
    if (is_up != std::exchange(endpoint.was_up, is_up)) {
      is_up ? ++up_count_ : --up_count_;
    }
    if (!is_up && endpoint.in_subset) {
      result.subset_needs_refill = true;
    }
  }
  return result;
}

void EndpointTable::RemoveAll() {
  for (size_t i = 0; i < records_.endpoints.size(); ++i) {
    records_.endpoints[i].info.state = EndpointState::kRemoved;
    removed_.insert(removed_.end(), i);
  }
}

size_t EndpointTable::ApplyInfo(const EndpointInfo& info, const IsReferenced& is_referenced) {
  const size_t index = IndexFor(info.id, is_referenced);
  Endpoint& endpoint = records_.endpoints[index];
  if (info.started_at > endpoint.info.started_at) {
    endpoint = ResetForRestart(endpoint);
  }
  endpoint.info = info;
  endpoint.id_hash = HashOfId(info.id);
  endpoint.info.machine_kind = std::min(info.machine_kind, kMaxMachineKind);
  SetState(index, info.state);
  std::vector<ThroughputEstimate>& kinds = records_.machine_kinds;
  kinds.resize(std::max(kinds.size(), endpoint.info.machine_kind + 1));
  return index;
}

void EndpointTable::SetState(size_t endpoint, EndpointState state) {
  records_.endpoints[endpoint].info.state = state;
  if (state == EndpointState::kRemoved) {
    removed_.insert(endpoint);
  } else {
    removed_.erase(endpoint);
  }
}

std::optional<size_t> EndpointTable::Find(const std::string& id) const {
  const auto found = records_.endpoint_index.find(id);
  if (found == records_.endpoint_index.end()) {
    return std::nullopt;
  }
  return found->second;
}

size_t EndpointTable::IndexFor(const std::string& id, const IsReferenced& is_referenced) {
  if (const std::optional<size_t> known = Find(id)) {
    return *known;
  }
  std::vector<Endpoint>& endpoints = records_.endpoints;
  const auto is_reusable = [&](size_t i) {
    const Endpoint& endpoint = endpoints[i];
    return !endpoint.was_up && !endpoint.in_subset && endpoint.attempts_in_flight <= 0 &&
           !is_referenced(i);
  };
  const auto reusable = std::ranges::find_if(removed_, is_reusable);
  const size_t index = reusable == removed_.end() ? endpoints.size() : *reusable;
  if (reusable == removed_.end()) {
    endpoints.emplace_back();
  } else {
    records_.endpoint_index.erase(endpoints[index].info.id);
    endpoints[index] = Endpoint{};
    removed_.erase(reusable);
  }
  endpoints[index].info.id = id;
  records_.endpoint_index[id] = index;
  return index;
}

}  // namespace paddlestile
