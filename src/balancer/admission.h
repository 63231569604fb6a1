// Ranks arriving requests by tenant quota and priority. The rank orders the queue and scales the
// concurrency limits; this module rejects no request.
#ifndef PADDLESTILE_BALANCER_ADMISSION_H_
#define PADDLESTILE_BALANCER_ADMISSION_H_

#include <cstddef>
#include <vector>

#include "balancer/event_context.h"
#include "balancer/request_table.h"
#include "balancer/traffic_statistics.h"

namespace paddlestile {

// Keeps a token bucket per tenant. A tenant's quota is its share of the arrivals at this gateway;
// arrivals at other gateways are not taken into account.
class Admission {
 public:
  explicit Admission(const TrafficStatistics& traffic) : traffic_(traffic) {}

  // Sets `over_quota` and `priority_percentile` of an arriving request. `since_last_arrival_us` is
  // the value that TrafficStatistics::RecordArrival returned for this request.
  void Rank(const EventContext& context, Request& request, double since_last_arrival_us);

 private:
  // Quota tokens, in requests. A bucket is refilled only when its tenant sends a request, because
  // there can be hundreds of thousands of tenants.
  struct TenantBucket {
    double tokens = 1;
    double full_share_credit = 0;  // value of full_share_credit_ at the last refill
  };

  bool TakeQuotaToken(const EventContext& context, size_t tenant, double since_last_arrival_us);
  [[nodiscard]] double Priority(const Settings& settings, size_t request_class) const;
  [[nodiscard]] double PriorityPercentile(const EventContext& context,
                                          const Request& request) const;

  const TrafficStatistics& traffic_;
  std::vector<TenantBucket> tenant_buckets_;  // indexed by tenant
  double full_share_credit_ = 0;              // tokens granted so far to a tenant with a share of 1
  double over_quota_fraction_ = 0;            // fraction of arrivals over quota, moving average
};

}  // namespace paddlestile

#endif  // PADDLESTILE_BALANCER_ADMISSION_H_
