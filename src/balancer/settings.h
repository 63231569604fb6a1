// Settings of the decision module: what a site permits and how results are valued. Plain values
// with range checks; the configuration codecs map the setting names of operators to these fields.
#ifndef PADDLESTILE_BALANCER_SETTINGS_H_
#define PADDLESTILE_BALANCER_SETTINGS_H_

#include <cstddef>
#include <cstdint>
#include <utility>
#include <vector>

#include "base/time.h"

namespace paddlestile {

// The effect of executing the same request a second time.
enum class Idempotency {
  kSafe,   // harmless: may be repeated anywhere
  kKeyed,  // dropped by endpoints in the deduplication scope, within the deduplication window
  kUnsafe  // harmful: never repeated once it may have run
};

// The endpoints that recognize repeats of each other's keyed requests.
enum class DeduplicationScope {
  kAll,
  kZone,
  kCell
};

// How the endpoint list reaches the gateway.
enum class DiscoveryMode {
  kPush,  // sent without a request
  kPoll   // requested by WatchEndpoints or PollEndpoints
};

// Which responses carry a load report.
enum class LoadReportSource {
  kResponses,
  kProbes,
  kNone
};

// How reliable the weights in the endpoint list are.
enum class WeightKind {
  kNone,
  kNominal,
  kRough,
  kLive
};

struct RequestClass {
  Idempotency idempotency = Idempotency::kSafe;
  DeduplicationScope deduplication_scope = DeduplicationScope::kAll;
  // Repeats are dropped for this long after the first attempt that may have run.
  Duration deduplication_window{0};
  Duration latency_objective{0};  // a response within this time has the full value; above 0
  Duration deadline{0};           // how long a client waits in total; above 0
  double latency_objective_stretch = 0;
  double priority_weight = 1;      // value of a response within the objective; 0 or more
  double late_value_fraction = 0;  // fraction of that value for a later response
  bool is_streamed = false;
  bool operator==(const RequestClass&) const = default;
};

struct TenantQuota {
  double requests_per_second = 0;  // over all gateways
  double share = 0;                // fraction of all arrivals; 0 or more
};

struct Settings {
  int instance_index = 0;  // of this gateway, below `instance_count`
  int instance_count = 1;  // gateways of the site; 1 or more
  int zone = 0;            // of this gateway
  int zone_count = 1;
  std::vector<RequestClass> classes;  // must not be empty
  std::vector<TenantQuota> tenants;   // a tenant past the end has no quota
  double over_quota_priority_factor = 1;
  bool priority_scales_with_work = false;  // the value of a request is proportional to its work
  DiscoveryMode discovery_mode = DiscoveryMode::kPush;
  WeightKind weight_kind = WeightKind::kNone;
  bool clients_mark_retries = false;
  bool key_affinity = false;  // an endpoint that recently served a key serves it with less work
  struct {                    // what the site permits the gateway to do
    bool cancel = false;
    bool parallel_attempts = false;
    bool probes = false;
    bool peer_messages = false;
    bool retry_after = false;
    Duration max_retry_after{0};
    Duration connect_timeout{0};
    int max_attempts = 1;  // per request; 1 to 1000
    int max_held_requests = 0;
    int max_streams = 1;
    double cpu_us_per_s = 0;
  } allowed;
  struct {  // the cost of an action, as a fraction of the result
    double cross_zone = 0, handshake = 0, late_failure = 0, probe = 0, wasted_work = 0,
           connection = 0;
  } costs;
  struct {  // weights of the components of the score
    double whole = 1, worst_class = 0, worst_tenant = 0, worst_window = 0;
    // Weight of the number of nines, and the number that earns the weight in full (above 0).
    double nines = 0, top_nines = 3;
  } score_weights;
  struct {
    Duration response_slack{0};
    Duration drain_grace{0};
    Duration discovery_interval{0};  // longest time between two lists; 0: lists are not requested
    // Minimum fraction of its full capacity that an endpoint has right after its start; 0 to 1.
    double slow_start_initial_capacity = 1;
    Duration slow_start_duration{0};  // from the start of an endpoint to its full capacity
    // An endpoint collapses under a load above this multiple of its capacity that lasts for
    // overload_collapse_duration.
    double overload_collapse_multiple = 1;
    Duration overload_collapse_duration{0};
  } rules;
  struct {
    LoadReportSource source = LoadReportSource::kNone;
    // Indices into the values of a report; past its end if not reported.
    size_t inflight = SIZE_MAX;
    size_t latency_ms = SIZE_MAX;
  } load_report;
};

// New quotas for some tenants, by index into Settings::tenants. Other tenants and settings do not
// change. An index past the end of the list adds tenants.
struct TenantQuotaUpdate {
  std::vector<std::pair<size_t, TenantQuota>> entries;
};

// Checks the ranges. Throws std::invalid_argument, with the operators' name of the setting.
void ValidateSettings(const Settings& settings);

// Applies the update to `settings`. Throws std::invalid_argument for a negative share and then
// changes nothing.
void ApplyTenantQuotas(const TenantQuotaUpdate& update, Settings& settings);

}  // namespace paddlestile

#endif  // PADDLESTILE_BALANCER_SETTINGS_H_
