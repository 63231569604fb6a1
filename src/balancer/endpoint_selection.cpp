#include "balancer/endpoint_selection.h"

#include <algorithm>
#include <vector>

#include "balancer/affinity.h"
#include "balancer/averages.h"
#include "balancer/prober.h"
#include "balancer/sampling.h"

namespace paddlestile {
namespace {

constexpr size_t kMinPoolEntries = 2;             // needed for the hot-cold order
constexpr double kMinAffinityColdQuantile = 0.6;  // for cheap requests
// The priority of a request scales the concurrency limit by up to this fraction in either
// direction. With the same limit for all, requests of high priority would be shed as well.
constexpr double kPriorityLimitRange = 0.3;

// The quantile of the in-flight cut. With key affinity it grows with the cost of the request:
// expensive requests gain most from an endpoint that has their key's work cached, cheap ones from
// an endpoint with few requests in flight.
double ColdQuantile(const Settings& settings, double cost) {
  if (!settings.key_affinity) {
    return ProbePool::kColdQuantile;
  }
  return std::clamp(ProbePool::kAffinityColdQuantile * cost, kMinAffinityColdQuantile, 1.0);
}

}  // namespace

std::optional<Selection> EndpointSelection::Select(const EventContext& context,
                                                   const Request& request, SelectionPass pass) {
  pool_.DropUnusable(context);
  exclusions_ = {};
  const auto is_eligible = [&](size_t endpoint) {
    return IsEligible(context, request, endpoint, pass);
  };
  if (pool_.entries().size() >= kMinPoolEntries &&
      std::ranges::any_of(pool_.entries(), is_eligible, &PoolEntry::endpoint)) {
    return SelectFromPool(context, request, pass);
  }
  return SelectByTwoChoices(context, request, pass);
}

ExclusionReason EndpointSelection::WhyExcluded(const EventContext& context, const Request& request,
                                               size_t index, SelectionPass pass) {
  Endpoint& endpoint = endpoints_[index];
  if (!IsAttemptPermitted(context, request, endpoint)) {
    return CapacityFraction(context, endpoint) < 1 ? ExclusionReason::kWarmingUp
                                                   : ExclusionReason::kNotPermitted;
  }
  const bool has_trial_in_flight =
      OutlierDetection::IsOnTrial(endpoint) && endpoint.attempts_in_flight > 0;
  if (outliers_.IsUnresponsive(context.now, endpoint) || has_trial_in_flight) {
    return ExclusionReason::kUnhealthy;
  }
  if (pass != SelectionPass::kLastResort && OutlierDetection::IsDoubtful(endpoint) &&
      request.request_class.idempotency == Idempotency::kUnsafe) {
    return ExclusionReason::kUnhealthy;
  }
  if (std::ranges::count(request.attempts, index, &Attempt::endpoint) > 0) {
    return ExclusionReason::kNotPermitted;
  }
  if (!IsLoadKnown(context, request, endpoint)) {
    return ExclusionReason::kCapacityUnknown;
  }
  const bool in_time = pass == SelectionPass::kInTime;
  const double limit = concurrency_limit_.Limit(context, endpoint, /*strict=*/in_time) *
                       (1 + kPriorityLimitRange * (2 * request.priority_percentile - 1));
  if (concurrency_limit_.InFlight(context.now, endpoint) + 1 > limit) {
    return concurrency_limit_.Throughput(context, endpoint) > 0
               ? ExclusionReason::kAtConcurrencyLimit
               : ExclusionReason::kCapacityUnknown;
  }
  const Time objective_at = request.arrived_at + request.request_class.latency_objective;
  if (in_time && concurrency_limit_.PredictedLatencyUs(context, endpoint, request) >
                     kObjectiveFraction * ToUs(objective_at - context.now)) {
    return ExclusionReason::kMissesLatencyObjective;
  }
  return ExclusionReason::kNone;
}

bool EndpointSelection::IsAttemptPermitted(const EventContext& context, const Request& request,
                                           Endpoint& endpoint) {
  if (!retry_policy_.IsAttemptPermitted(context, request, endpoint)) {
    return false;
  }
  if (CapacityFraction(context, endpoint) >= 1) {
    return true;
  }
  return slow_start_.HasBudget(context, endpoint, traffic_.Cost(request),
                               concurrency_limit_.WarmThroughput(context, endpoint));
}

ExclusionReason EndpointSelection::MostFrequentExclusion() const {
  return static_cast<ExclusionReason>(std::ranges::max_element(exclusions_) - exclusions_.begin());
}

bool EndpointSelection::IsEligible(const EventContext& context, const Request& request,
                                   size_t endpoint, SelectionPass pass) {
  const ExclusionReason reason = WhyExcluded(context, request, endpoint, pass);
  ++exclusions_[static_cast<size_t>(reason)];
  return reason == ExclusionReason::kNone;
}

// An endpoint without a fresh load report is excluded if any endpoint that the request considers
// has one: other gateways may have filled it since.
bool EndpointSelection::IsLoadKnown(const EventContext& context, const Request& request,
                                    const Endpoint& endpoint) const {
  const auto has_fresh_report = [&](const Endpoint& other) {
    return context.now - other.reported_at <= kFreshReportAge;
  };
  return has_fresh_report(endpoint) ||
         std::ranges::none_of(request.affinity_endpoints, [&](size_t considered) {
           return has_fresh_report(endpoints_[considered]);
         });
}

// Returns the best eligible entry of the hot-cold order; ties are broken at random. At least one
// entry must be eligible.
Selection EndpointSelection::SelectFromPool(const EventContext& context, const Request& request,
                                            SelectionPass pass) {
  const double cut =
      pool_.InFlightCut(context.now, ColdQuantile(context.settings, traffic_.Cost(request)));
  std::optional<size_t> best;
  HotColdKey best_key;
  size_t ties = 0;
  for (const PoolEntry& entry : pool_.entries()) {
    const HotColdKey key =
        pool_.HotColdKeyOf(context.now, entry, cut, AffinityFactor(request, entry.endpoint));
    if (!IsEligible(context, request, entry.endpoint, pass) || (best && key > best_key)) {
      continue;
    }
    ties = best && key == best_key ? ties + 1 : 1;
    if (context.random.IndexBelow(ties) == 0) {
      best = entry.endpoint;
      best_key = key;
    }
  }
  return {best.value(), best_key.is_hot ? SelectionMethod::kHot : SelectionMethod::kCold};
}

// Picks two random eligible endpoints and returns the one with fewer attempts of this gateway in
// flight. A large subset is sampled first and scanned only if the samples contain fewer than two
// eligible endpoints.
std::optional<Selection> EndpointSelection::SelectByTwoChoices(const EventContext& context,
                                                               const Request& request,
                                                               SelectionPass pass) {
  const std::vector<size_t>& members = subset_.members();
  std::array<size_t, 2> choices{};
  size_t found = 0;
  for (int draw = 0; draw < kMaxDraws && members.size() > kMaxScannedSubset && found < 2; ++draw) {
    const size_t drawn = members[context.random.IndexBelow(members.size())];
    if (IsEligible(context, request, drawn, pass)) {
      choices[found++] = drawn;
    }
  }
  if (found < 2) {
    std::vector<size_t> eligible;
    for (const size_t member : members) {
      if (IsEligible(context, request, member, pass)) {
        eligible.push_back(member);
      }
    }
    if (eligible.empty()) {
      return std::nullopt;
    }
    for (size_t& choice : choices) {
      choice = eligible[context.random.IndexBelow(eligible.size())];
    }
  }
  const bool second_is_better =
      endpoints_[choices[1]].attempts_in_flight < endpoints_[choices[0]].attempts_in_flight;
  return Selection{choices[second_is_better ? 1 : 0], SelectionMethod::kFallback};
}

}  // namespace paddlestile
