#include "balancer/admission.h"

#include <algorithm>

#include "balancer/averages.h"

namespace paddlestile {
namespace {

constexpr double kQuotaSlack = 1.3;      // tenant traffic is not spread evenly over the gateways
constexpr double kQuotaBurstUs = 1e6;    // a burst may use the tokens of this much time
constexpr double kMinQuotaBurst = 2;     // requests, added to the burst
constexpr double kMinScoreWeight = 0.1;  // lower bound of a divisor
constexpr double kMinArrivalShare = kSampleWeight;  // lower bound of a divisor

}  // namespace

void Admission::Rank(const EventContext& context, Request& request, double since_last_arrival_us) {
  request.over_quota = !TakeQuotaToken(context, request.arrival.tenant, since_last_arrival_us);
  MoveTowards(over_quota_fraction_, request.over_quota ? 1 : 0, kSlowSampleWeight);
  request.priority_percentile = PriorityPercentile(context, request);
}

// Takes one quota token of the tenant. Returns false if none is left, which means that the request
// is over quota. Requests of a tenant without a quota never are.
bool Admission::TakeQuotaToken(const EventContext& context, size_t tenant,
                               double since_last_arrival_us) {
  const std::vector<TenantQuota>& tenants = context.settings.tenants;
  if (tenant >= tenants.size()) {
    return true;
  }
  const double rate_per_us = traffic_.ArrivalsPerUs(kQuotaSlack);
  const double share = tenants[tenant].share;
  tenant_buckets_.resize(tenants.size(), {.tokens = 1, .full_share_credit = full_share_credit_});
  full_share_credit_ += rate_per_us * since_last_arrival_us;
  TenantBucket& bucket = tenant_buckets_[tenant];
  const double refill = share * (full_share_credit_ - bucket.full_share_credit);
  bucket.tokens =
      std::min(bucket.tokens + refill, kMinQuotaBurst + rate_per_us * share * kQuotaBurstUs);
  bucket.full_share_credit = full_share_credit_;
  if (bucket.tokens < 1) {
    return false;
  }
  --bucket.tokens;
  return true;
}

// The value of a request of the class per unit of work; a higher priority is served first. The
// worst-served class gains the weight that the site's score gives to the worst class.
double Admission::Priority(const Settings& settings, size_t request_class) const {
  const std::vector<double>& shares = traffic_.ArrivalShares();
  double value = settings.classes[request_class].priority_weight;
  if (traffic_.IsServedWorst(request_class)) {
    double mean_value = 0;
    for (size_t i = 0; i < shares.size(); ++i) {
      mean_value += shares[i] * settings.classes[i].priority_weight;
    }
    const auto& weights = settings.score_weights;
    const double other_weights =
        std::max(weights.whole + weights.worst_window + weights.nines, kMinScoreWeight);
    value += weights.worst_class / other_weights * mean_value /
             std::max(shares[request_class], kMinArrivalShare);
  }
  return value / (settings.priority_scales_with_work ? 1 : traffic_.MeanTimeUs(request_class));
}

// The fraction of the arriving work that has a lower priority than the request, from 0 to 1.
// Requests over quota rank below all others.
double Admission::PriorityPercentile(const EventContext& context, const Request& request) const {
  const std::vector<double>& shares = traffic_.ArrivalShares();
  const size_t own_class = request.arrival.request_class;
  const double own_priority = Priority(context.settings, own_class);
  double lower_work = 0;
  double all_work = 0;
  for (size_t i = 0; i < shares.size(); ++i) {
    const double work = shares[i] * traffic_.MeanTimeUs(i);
    all_work += work;
    if (i == own_class) {
      lower_work += work * context.random.Uniform();  // random order within a class
    }
    if (Priority(context.settings, i) < own_priority) {
      lower_work += work;
    }
  }
  const double percentile = lower_work / all_work;
  if (request.over_quota) {
    return over_quota_fraction_ * percentile;
  }
  return over_quota_fraction_ + (1 - over_quota_fraction_) * percentile;
}

}  // namespace paddlestile
