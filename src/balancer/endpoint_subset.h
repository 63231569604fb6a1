// The endpoints that this gateway works with: a random share of a large fleet, so that each is met
// often enough to be known and holds connections of a few gateways only.
#ifndef PADDLESTILE_BALANCER_ENDPOINT_SUBSET_H_
#define PADDLESTILE_BALANCER_ENDPOINT_SUBSET_H_

#include <cstddef>
#include <vector>

#include "balancer/endpoint_table.h"
#include "balancer/event_context.h"

namespace paddlestile {

// Keeps the subset, and Endpoint::in_subset in step with it. Ejected endpoints and those that are
// not up lose their place at the next refill.
class EndpointSubset {
 public:
  explicit EndpointSubset(EndpointTable& endpoints) : endpoints_(endpoints) {}

  // Notes that a member may no longer be usable: the next refill looks at all of them.
  void MarkChanged() { all_members_usable_ = false; }
  // Lets each endpoint that came up replace a random member with the probability that any endpoint
  // has of being one: a full subset would else never take it in.
  void MixNewEndpointsIn(const EventContext& context, const std::vector<size_t>& newly_up);
  // Drops members that are not usable and draws others in their place.
  void Refill(const EventContext& context);
  // Refills if the last such call is at least a second past: for places that could not be filled.
  void RefillPeriodically(const EventContext& context);

  // In no particular order, without repeats.
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
  bool all_members_usable_ = false;  // at the last look, and no change was noted since
  Time next_periodic_refill_at_{0};
};

}  // namespace paddlestile

#endif  // PADDLESTILE_BALANCER_ENDPOINT_SUBSET_H_
