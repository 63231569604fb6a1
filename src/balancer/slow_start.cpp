#include "balancer/slow_start.h"

namespace paddlestile {
namespace {

constexpr double kBudgetSafety = 0.8;    // margin, as the work of requests varies at random
constexpr double kHandshakeCost = 0.25;  // mean requests, added to the cost of each attempt
constexpr double kMinBucket = 1.5;       // mean requests
// A bucket holds the tokens of the overload collapse duration divided by this.
constexpr double kBucketDurationDivisor = 4;

}  // namespace

bool SlowStart::HasBudget(const EventContext& context, Endpoint& endpoint, double cost,
                          double warm_throughput) const {
  const double rate = RatePerUs(context, endpoint, warm_throughput);
  if (endpoint.slow_start_refilled_at < Time(0)) {
    // The first refill is random and below one request, so that the first attempts of the gateways
    // are spread over time: neither all at once nor all late.
    endpoint.slow_start_tokens += context.random.Uniform() * (cost + kHandshakeCost);
  } else {
    endpoint.slow_start_tokens += rate * ToUs(context.now - endpoint.slow_start_refilled_at);
  }
  endpoint.slow_start_refilled_at = context.now;
  const double bucket =
      rate * ToUs(context.settings.rules.overload_collapse_duration) / kBucketDurationDivisor;
  endpoint.slow_start_tokens = std::min(endpoint.slow_start_tokens, std::max(kMinBucket, bucket));
  return endpoint.slow_start_tokens >= cost + kHandshakeCost;
}

void SlowStart::Spend(Endpoint& endpoint, double cost) {
  endpoint.slow_start_tokens -= cost + kHandshakeCost;
}

// Returns this gateway's share of the endpoint's slow-start budget, in mean requests per us. The
// throughput is divided among the gateways that have the endpoint in their subset, and is at most
// this gateway's arrival rate per endpoint. If the throughput is unknown, this gateway's finished
// work is used instead; it is not used otherwise, because it drops when requests are rejected.
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
