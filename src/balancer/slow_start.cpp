#include "balancer/slow_start.h"

namespace paddlestile {
namespace {

constexpr double kBudgetSafety = 0.8;        // sizes of requests differ and work is random
constexpr double kHandshakeCost = 0.25;      // mean requests, on top of each attempt
constexpr double kMinBucket = 1.5;           // mean requests
constexpr double kBucketOfCollapseTime = 4;  // a bucket holds this part of what makes it collapse

}  // namespace

bool SlowStart::HasBudget(const EventContext& context, Endpoint& endpoint, double cost,
                          double warm_throughput) const {
  const double rate = RatePerUs(context, endpoint, warm_throughput);
  if (endpoint.slow_start_refilled_at < Time(0)) {
    // A random start below a full request: gateways send neither all at once nor all late.
    endpoint.slow_start_tokens += context.random.Uniform() * (cost + kHandshakeCost);
  } else {
    endpoint.slow_start_tokens += rate * ToUs(context.now - endpoint.slow_start_refilled_at);
  }
  endpoint.slow_start_refilled_at = context.now;
  const double bucket =
      rate * ToUs(context.settings.rules.overload_collapse_duration) / kBucketOfCollapseTime;
  endpoint.slow_start_tokens = std::min(endpoint.slow_start_tokens, std::max(kMinBucket, bucket));
  return endpoint.slow_start_tokens >= cost + kHandshakeCost;
}

void SlowStart::Spend(Endpoint& endpoint, double cost) {
  endpoint.slow_start_tokens -= cost + kHandshakeCost;
}

// This gateway's part of the endpoint's throughput: over the gateways that work with it, but never
// more than the arrivals here ask of each endpoint. This gateway's own finished work stands in for
// an unknown kind only, since it falls as requests are rejected.
double SlowStart::RatePerUs(const EventContext& context, const Endpoint& endpoint,
                            double warm_throughput) const {
  const auto subset_size = static_cast<double>(std::max<size_t>(subset_.size(), 1));
  const double sharing_gateways = std::max(1.0, context.settings.instance_count * subset_size /
                                                    static_cast<double>(endpoints_.up_count()));
  const double throughput = warm_throughput > 0 ? std::min(warm_throughput / sharing_gateways,
                                                           traffic_.ArrivalsPerUs() / subset_size)
                                                : traffic_.FinishedWorkPerUs() / subset_size;
  return throughput * CapacityFraction(context, endpoint) *
         context.settings.rules.overload_collapse_multiple * kBudgetSafety;
}

}  // namespace paddlestile
