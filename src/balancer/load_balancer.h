// The whole interface of the decision module: settings, events and actions as plain typed
// structs. Policy and private state live in load_balancer.cpp; wire words live in src/simulator.
#ifndef PADDLESTILE_BALANCER_LOAD_BALANCER_H_
#define PADDLESTILE_BALANCER_LOAD_BALANCER_H_

#include <array>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "base/time.h"

namespace paddlestile {

// ---- Settings -------------------------------------------------------------------------------

enum class Idempotency {
  kSafe,
  kKeyed,
  kUnsafe
};
enum class DeduplicationScope {
  kAll,
  kZone,
  kCell
};  // hosts that drop one another's repeats
enum class DiscoveryMode {
  kPush,
  kPoll
};
enum class LoadReportSource {
  kResponses,
  kProbes,
  kNone
};
enum class WeightKind {
  kNone,
  kNominal,
  kRough,
  kLive
};

struct RequestClass {
  Idempotency idempotency = Idempotency::kSafe;
  DeduplicationScope deduplication_scope = DeduplicationScope::kAll;
  Duration deduplication_window{
      0};  // how long a repeat is dropped, from the first send that may have run
  Duration latency_objective{0};  // an answer within this earns full worth
  Duration deadline{0};           // what a client waits in all
  double latency_objective_stretch = 0;
  double priority_weight = 1;
  double late_value_fraction = 0;  // share of the worth for an answer after the aim
  bool is_streamed = false;
  bool operator==(const RequestClass&) const = default;
};

struct TenantQuota {
  double requests_per_second = 0;  // over all gateways
  double share = 0;
};

struct Settings {
  int instance_index = 0;
  int instance_count = 1;
  int zone = 0;
  int zone_count = 1;
  std::vector<RequestClass> classes;
  std::vector<TenantQuota> tenants;
  double over_quota_priority_factor = 1;
  bool priority_scales_with_work = false;
  DiscoveryMode discovery_mode = DiscoveryMode::kPush;
  WeightKind weight_kind = WeightKind::kNone;
  bool clients_mark_retries = false;
  bool key_affinity = false;  // a host that has lately served a key serves it with less work
  struct {
    bool cancel = false;
    bool parallel_attempts = false;
    bool probes = false;
    bool peer_messages = false;
    bool retry_after = false;
    Duration max_retry_after{0};
    Duration connect_timeout{0};
    int max_attempts = 1;
    int max_held_requests = 0;
    int max_streams = 1;
    double cpu_us_per_s = 0;
  } allowed;
  struct {  // points taken off, as shares of the result
    double cross_zone = 0, handshake = 0, late_failure = 0, probe = 0, wasted_work = 0,
           connection = 0;
  } costs;
  struct {
    double whole = 1, worst_class = 0, worst_tenant = 0, worst_window = 0;
    double nines = 0, top_nines = 3;  // part of the nines; how many earn it in full, above 0
  } score_weights;
  struct {
    Duration response_slack{0};
    Duration drain_grace{0};
    Duration discovery_interval{0};  // 0: never
    double slow_start_initial_capacity =
        1;  // a started host can do at least this share of its work
    Duration slow_start_duration{0};
    double overload_collapse_multiple = 1;
    Duration overload_collapse_duration{0};
  } rules;
  struct {
    LoadReportSource source = LoadReportSource::kNone;
    size_t inflight = SIZE_MAX;  // place in the report's values, past its end if not reported
    size_t latency_ms = SIZE_MAX;
  } load_report;
};

// ---- Events ---------------------------------------------------------------------------------

enum class EndpointState {
  kUp,
  kDraining,
  kRemoved
};

struct EndpointInfo {
  std::string id;
  Time started_at{0};  // 0: long past
  int zone = 0;
  size_t machine_kind = 0;
  int cell = 0;
  double weight = 1;
  EndpointState state = EndpointState::kUp;
};

enum class EndpointUpdateKind {
  kDelta,
  kFull,
  kCached,
  kFailed
};

struct EndpointUpdate {
  EndpointUpdateKind kind = EndpointUpdateKind::kFull;
  std::vector<EndpointInfo> endpoints;
};

struct RequestArrived {
  std::string id;
  Time deadline{0};
  size_t tenant = 0;
  bool is_write = false;
  size_t request_class = 0;
  std::optional<std::string> key;
  std::optional<Duration> expected_work;
  bool is_client_retry = false;  // a repeat by the client, where clients mark repeats
};

enum class Outcome {
  kOk,
  kError,           // answered with an error; may have run
  kRejected,        // turned away unseen
  kTimeout,         // may have run or still run
  kConnectFailed,   // never reached the endpoint
  kReset,           // the connection broke; may have run
  kCancelled,       // called off; may have run
  kNotSent,         // never transmitted
  kInvalidResponse  // an answer that can't be read or blames the request; may have run
};

using LoadReport = std::vector<double>;  // in the order that the settings gave

struct ResponseStarted {
  std::string id;
  size_t attempt = 0;
  std::string endpoint;
  Duration elapsed{0};
};

struct AttemptFinished {
  std::string id;
  size_t attempt = 0;
  std::string endpoint;
  Outcome outcome = Outcome::kOk;
  Duration elapsed{0};
  bool request_finished = false;
  std::optional<LoadReport> load_report;
  bool request_consumed =
      false;  // the request is no longer held whole: no further attempt can be made
};

struct ClientDisconnected {
  std::string id;
};

struct TimerFired {
  std::string token;
};

struct ProbeFinished {
  std::string endpoint;
  Outcome outcome = Outcome::kOk;
  Duration elapsed{0};
  std::optional<LoadReport> load_report;
};

struct PeerMessage {
  int from = 0;
  std::string bytes;
};

// New figures of some tenants, by their places in the settings; all else stays. A place may be new.
struct TenantQuotaUpdate {
  std::vector<std::pair<size_t, TenantQuota>> entries;
};

// Settings: new ones, in force for what comes from now on. A request under way keeps its class;
// what was learned stays, by the places of classes and tenants. Those that are gone keep theirs.
using Event = std::variant<EndpointUpdate, RequestArrived, ResponseStarted, AttemptFinished,
                           ClientDisconnected, TimerFired, ProbeFinished, PeerMessage, Settings,
                           TenantQuotaUpdate>;

// ---- Actions --------------------------------------------------------------------------------

struct StartAttempt {
  std::string id;
  std::string endpoint;
  Duration timeout{0};  // 0: until the client gives up
};
struct RejectRequest {
  std::string id;
  Duration retry_after{0};
};
struct FailRequest {
  std::string id;
};
struct CancelAttempt {
  std::string id;
  size_t attempt = 0;
};
struct SetTimer {
  Duration after{0};
  std::string token;
};
struct StartProbe {
  std::string endpoint;
};
struct CloseIdleConnections {  // this gateway's idle connections to it
  std::string endpoint;
};
struct WatchEndpoints {
  bool on = true;
};
struct PollEndpoints {};
struct LogMessage {
  std::string text;
};

using Action =
    std::variant<StartAttempt, RejectRequest, FailRequest, CancelAttempt, SetTimer, StartProbe,
                 CloseIdleConnections, WatchEndpoints, PollEndpoints, LogMessage>;

// ---- The module -----------------------------------------------------------------------------

// How a pick was made, for those who watch: by the cold or hot branch of the pool, or without it.
enum class SelectionMethod {
  kNone,
  kCold,
  kHot,
  kFallback
};

// Why an endpoint may not take a request now.
enum class ExclusionReason {
  kNone,          // nothing; where a request is given up, there is no endpoint at all
  kNotPermitted,  // drains, was asked before, or the class, the attempts or the time forbid it
  kWarmingUp,     // has just started and got its part
  kUnhealthy,     // silent, on trial, or doubted by a request that may not repeat
  kAtConcurrencyLimit,      // at its limit as learned
  kCapacityUnknown,         // at the limit of one of which nothing is known yet
  kMissesLatencyObjective,  // would answer too late
  kRetryBudgetExhausted  // none was looked for: no attempt, no time or nothing in the retry budget
                         // is left
};
constexpr size_t kExclusionReasonCount = 8;

inline const char* ToText(ExclusionReason bar) {
  constexpr std::array<const char*, kExclusionReasonCount> kNames = {"no_endpoint",
                                                                     "not_permitted",
                                                                     "warming_up",
                                                                     "unhealthy",
                                                                     "at_concurrency_limit",
                                                                     "capacity_unknown",
                                                                     "misses_latency_objective",
                                                                     "retry_budget_exhausted"};
  return kNames[static_cast<size_t>(bar)];
}

struct Statistics {
  std::array<uint64_t, 4> selections{};  // by SelectionMethod
  std::array<uint64_t, kExclusionReasonCount>
      unserved_by_reason{};  // refused and failed requests by what barred most
  SelectionMethod last_selection = SelectionMethod::kNone;
};

struct LearnedState;  // brain_state.h

class LoadBalancer {
 public:
  // Throws std::invalid_argument, naming the setting, where the settings make no sense.
  LoadBalancer(const Settings& settings, uint64_t seed);
  ~LoadBalancer();
  LoadBalancer(LoadBalancer&&) noexcept;
  LoadBalancer& operator=(LoadBalancer&&) noexcept;

  // Takes one event and appends what is to be done about it.
  void Handle(Time now, const Event& event, std::vector<Action>& actions);

  [[nodiscard]] const Statistics& statistics() const;

  // What it has learned, and taking over what another has learned of the same fleet.
  [[nodiscard]] const LearnedState& learned_state() const;
  void ImportLearnedState(Time now, const LearnedState& told);

 private:
  struct Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace paddlestile

#endif  // PADDLESTILE_BALANCER_LOAD_BALANCER_H_
