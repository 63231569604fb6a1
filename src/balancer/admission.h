// How an arriving request ranks against the others: its tenant's quota and its priority. The rank
// orders the queue and moves the concurrency limits; no request is rejected here.
#ifndef PADDLESTILE_BALANCER_ADMISSION_H_
#define PADDLESTILE_BALANCER_ADMISSION_H_

#include <cstddef>
#include <vector>

#include "balancer/event_context.h"
#include "balancer/request_table.h"
#include "balancer/traffic_statistics.h"

namespace paddlestile {

// Keeps a token bucket for each tenant. Judges a tenant by its part of the arrivals at this gateway
// alone.
class Admission {
 public:
  explicit Admission(const TrafficStatistics& traffic) : traffic_(traffic) {}

  // Sets `over_quota` and `priority_percentile` of an arriving request. `since_last_arrival_us`:
  // as TrafficStatistics::RecordArrival returned it.
  void Rank(const EventContext& context, Request& request, double since_last_arrival_us);

 private:
  // Quota tokens, in requests. Brought up to date only when its tenant has a request, as there may
  // be very many tenants.
  struct TenantBucket {
    double tokens = 1;
    double full_share_credit = 0;  // full_share_credit_ when the tokens were last refilled
  };

  bool TakeQuotaToken(const EventContext& context, size_t tenant, double since_last_arrival_us);
  [[nodiscard]] double Priority(const Settings& settings, size_t request_class) const;
  [[nodiscard]] double PriorityPercentile(const EventContext& context,
                                          const Request& request) const;

  const TrafficStatistics& traffic_;
  std::vector<TenantBucket> tenant_buckets_;  // by index of the tenant
  double full_share_credit_ = 0;  // requests that a tenant with a share of 1 could have sent so far
  double over_quota_fraction_ = 0;  // of the arrivals, decayed
};

}  // namespace paddlestile

#endif  // PADDLESTILE_BALANCER_ADMISSION_H_
