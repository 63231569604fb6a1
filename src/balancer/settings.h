// Settings of the decision module: what a site allows, what results are worth, and their check.
// Plain values; the configuration codecs map the operators' words to these fields.
#ifndef PADDLESTILE_BALANCER_SETTINGS_H_
#define PADDLESTILE_BALANCER_SETTINGS_H_

#include <cstddef>
#include <cstdint>
#include <utility>
#include <vector>

#include "base/time.h"

namespace paddlestile {

// What a second execution of the same request does.
enum class Idempotency {
  kSafe,   // no harm: may be repeated anywhere
  kKeyed,  // dropped by the endpoints of its deduplication scope, within the window
  kUnsafe  // harm: never repeated once it may have run
};

// The endpoints that drop one another's repeats of a keyed request.
enum class DeduplicationScope {
  kAll,
  kZone,
  kCell
};

// How the endpoint list reaches the gateway.
enum class DiscoveryMode {
  kPush,  // sent unasked
  kPoll   // after WatchEndpoints or PollEndpoints
};

// Which responses carry a load report.
enum class LoadReportSource {
  kResponses,
  kProbes,
  kNone
};

// How far the endpoint list's weights can be trusted.
enum class WeightKind {
  kNone,
  kNominal,
  kRough,
  kLive
};

struct RequestClass {
  Idempotency idempotency = Idempotency::kSafe;
  DeduplicationScope deduplication_scope = DeduplicationScope::kAll;
  Duration deduplication_window{0};  // from the first attempt that may have run; repeats within it
                                     // are dropped
  Duration latency_objective{0};     // a response within this earns the full value; above 0
  Duration deadline{0};              // how long a client waits in all; above 0
  double latency_objective_stretch = 0;
  double priority_weight = 1;      // value of a response in time; 0 or more
  double late_value_fraction = 0;  // part of that value for a response after the objective
  bool is_streamed = false;
  bool operator==(const RequestClass&) const = default;
};

struct TenantQuota {
  double requests_per_second = 0;  // over all gateways
  double share = 0;                // part of all arrivals; 0 or more
};

struct Settings {
  int instance_index = 0;  // this gateway among `instance_count`
  int instance_count = 1;  // gateways of the site; 1 or more
  int zone = 0;            // of this gateway
  int zone_count = 1;
  std::vector<RequestClass> classes;  // never empty
  std::vector<TenantQuota> tenants;   // a tenant past the end has no quota
  double over_quota_priority_factor = 1;
  bool priority_scales_with_work = false;  // a large request is worth more in proportion
  DiscoveryMode discovery_mode = DiscoveryMode::kPush;
  WeightKind weight_kind = WeightKind::kNone;
  bool clients_mark_retries = false;
  bool key_affinity = false;  // an endpoint that lately served a key serves it with less work
  struct {                    // what the site lets the gateway do
    bool cancel = false;
    bool parallel_attempts = false;
    bool probes = false;
    bool peer_messages = false;
    bool retry_after = false;
    Duration max_retry_after{0};
    Duration connect_timeout{0};
    int max_attempts = 1;  // of one request; 1 to 1000
    int max_held_requests = 0;
    int max_streams = 1;
    double cpu_us_per_s = 0;
  } allowed;
  struct {  // what an action costs, as a share of the result
    double cross_zone = 0, handshake = 0, late_failure = 0, probe = 0, wasted_work = 0,
           connection = 0;
  } costs;
  struct {  // how the result is composed
    double whole = 1, worst_class = 0, worst_tenant = 0, worst_window = 0;
    double nines = 0, top_nines = 3;  // part of the nines; how many earn it in full, above 0
  } score_weights;
  struct {
    Duration response_slack{0};
    Duration drain_grace{0};
    Duration discovery_interval{0};          // longest time between two lists; 0: never asked for
    double slow_start_initial_capacity = 1;  // fraction of its capacity that an endpoint has at
                                             // its start at least; 0 to 1
    Duration slow_start_duration{0};         // until it has all of it
    double overload_collapse_multiple = 1;   // of its capacity; more makes it collapse
    Duration overload_collapse_duration{0};  // load above the multiple for this long
  } rules;
  struct {
    LoadReportSource source = LoadReportSource::kNone;
    size_t inflight = SIZE_MAX;  // index into the report's values; past its end if not reported
    size_t latency_ms = SIZE_MAX;
  } load_report;
};

// New quotas of some tenants, by index into Settings::tenants; all else stays. An index may be new.
struct TenantQuotaUpdate {
  std::vector<std::pair<size_t, TenantQuota>> entries;
};

// Checks the ranges. Throws std::invalid_argument that names the setting as operators do.
void ValidateSettings(const Settings& settings);

// Puts the quotas into `settings`. Throws std::invalid_argument for a negative share, and then
// changes nothing.
void ApplyTenantQuotas(const TenantQuotaUpdate& update, Settings& settings);

}  // namespace paddlestile

#endif  // PADDLESTILE_BALANCER_SETTINGS_H_
