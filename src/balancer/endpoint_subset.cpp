#include "balancer/endpoint_subset.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace paddlestile {
namespace {

constexpr double kMinSize = 8;              // endpoints
constexpr double kGatewaysPerEndpoint = 4;  // average over the fleet
constexpr int kZoneRedraws = 2;             // further draws to find an endpoint in the same zone
constexpr Duration kRefillInterval{1'000'000};

bool IsUsable(const Endpoint& endpoint, Time now) {
  return IsUp(endpoint) && now >= endpoint.ejected_until;
}

}  // namespace

void EndpointSubset::SampleNewEndpoints(const EventContext& context,
                                        const std::vector<size_t>& newly_up) {
  for (const size_t index : newly_up) {
    const double draw = context.random.Uniform() * static_cast<double>(endpoints_.up_count());
    Endpoint& endpoint = endpoints_[index];
    if (endpoint.in_subset || members_.empty() || draw > static_cast<double>(members_.size())) {
      continue;
    }
    const size_t replaced =
        std::exchange(members_[context.random.IndexBelow(members_.size())], index);
    endpoints_[replaced].in_subset = false;
    endpoint.in_subset = true;
    all_members_usable_ = all_members_usable_ && IsUsable(endpoint, context.now);
  }
}

void EndpointSubset::Refill(const EventContext& context) {
  DropUnusable(context.now);
  const size_t target = TargetSize(context.settings);
  const size_t reachable = std::min(target, endpoints_.up_count());
  if (members_.size() >= reachable) {
    return;
  }
  FillUpTo(context, target, /*include_ejected=*/false);
  // Ejected endpoints fill the subset up to half at most. If most of the fleet fails, an ejected
  // endpoint is no worse than the others.
  FillUpTo(context, (reachable + 1) / 2, /*include_ejected=*/true);
}

void EndpointSubset::RefillPeriodically(const EventContext& context) {
  if (context.now >= next_periodic_refill_at_) {
    next_periodic_refill_at_ = context.now + kRefillInterval;
    Refill(context);
  }
}

size_t EndpointSubset::TargetSize(const Settings& settings) const {
  // With key affinity every endpoint is an affinity endpoint of some keys.
  if (settings.key_affinity) {
    return endpoints_.up_count();
  }
  const double share =
      kGatewaysPerEndpoint * static_cast<double>(endpoints_.up_count()) / settings.instance_count;
  return static_cast<size_t>(std::max(kMinSize, std::ceil(share)));
}

void EndpointSubset::DropUnusable(Time now) {
  if (all_members_usable_) {
    return;
  }
  std::erase_if(members_, [&](size_t index) {
    Endpoint& endpoint = endpoints_[index];
    endpoint.in_subset = IsUsable(endpoint, now);
    return !endpoint.in_subset;
  });
  all_members_usable_ = true;
}

void EndpointSubset::FillUpTo(const EventContext& context, size_t size, bool include_ejected) {
  std::vector<size_t> candidates;
  for (size_t i = 0; i < endpoints_.size(); ++i) {
    const Endpoint& endpoint = endpoints_[i];
    if (!endpoint.in_subset && IsUp(endpoint) &&
        (include_ejected || IsUsable(endpoint, context.now))) {
      candidates.push_back(i);
    }
  }
  while (members_.size() < size && !candidates.empty()) {
    std::swap(candidates[DrawCandidate(context, candidates)], candidates.back());
    endpoints_[candidates.back()].in_subset = true;
    members_.push_back(candidates.back());
    candidates.pop_back();
    all_members_usable_ = all_members_usable_ && !include_ejected;
  }
}

// Prefers endpoints in the gateway's own zone, because traffic across zones has a cost. The choice
// stays random, so zones still share their load.
size_t EndpointSubset::DrawCandidate(const EventContext& context,
                                     const std::vector<size_t>& candidates) const {
  size_t drawn = context.random.IndexBelow(candidates.size());
  for (int redraw = 0; redraw < kZoneRedraws; ++redraw) {
    if (endpoints_[candidates[drawn]].info.zone == context.settings.zone) {
      break;
    }
    drawn = context.random.IndexBelow(candidates.size());
  }
  return drawn;
}

}  // namespace paddlestile
