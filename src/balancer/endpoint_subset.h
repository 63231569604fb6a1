// The random subset of the fleet that this gateway sends to. In a large fleet a subset keeps the
// load estimates of its endpoints current, because the gateway uses each of them often, and limits
// the number of gateways that connect to an endpoint.
#ifndef PADDLESTILE_BALANCER_ENDPOINT_SUBSET_H_
#define PADDLESTILE_BALANCER_ENDPOINT_SUBSET_H_

#include <cstddef>
#include <vector>

#include "balancer/endpoint_table.h"
#include "balancer/event_context.h"

namespace paddlestile {

// Maintains the subset and Endpoint::in_subset. Endpoints that are ejected or not up are removed at
// the next refill.
class EndpointSubset {
 public:
  explicit EndpointSubset(EndpointTable& endpoints) : endpoints_(endpoints) {}

  // Records that a member may no longer be usable, so that the next refill checks all members.
  void MarkChanged() { all_members_usable_ = false; }
  // Lets each newly up endpoint replace a random member, with a probability of members / endpoints
  // up. Without this a full subset would never include new endpoints.
  void SampleNewEndpoints(const EventContext& context, const std::vector<size_t>& newly_up);
  // Removes members that are not usable and draws random replacements.
  void Refill(const EventContext& context);
  // Calls Refill at most once per second, to fill places for which earlier refills had no usable
  // candidate.
  void RefillPeriodically(const EventContext& context);

  // Unordered and without duplicates.
  [[nodiscard]] const std::vector<size_t>& members() const { return members_; }
  [[nodiscard]] bool empty() const { return members_.empty(); }
  [[nodiscard]] size_t size() const { return members_.size(); }

 private:
  [[nodiscard]] size_t TargetSize(const Settings& settings) const;
  void DropUnusable(Time now);
  void FillUpTo(const EventContext& context, size_t size, bool include_ejected);
  [[nodiscard]] size_t DrawCandidate(const EventContext& context,
                                     const std::vector<size_t>& candidates) const;

  EndpointTable& endpoints_;
  std::vector<size_t> members_;
  bool all_members_usable_ = false;  // at the last check, and no change was recorded since
  Time next_periodic_refill_at_{0};
};

}  // namespace paddlestile

#endif  // PADDLESTILE_BALANCER_ENDPOINT_SUBSET_H_
