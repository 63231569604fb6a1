// An experiment as its file describes it: emulated hosts, gateways, clients, a schedule of faults
// and requirements on the result. In the file, times are in seconds where a key ends in _s and in
// milliseconds where it ends in _ms; in memory they are Durations.
#ifndef PADDLESTILE_LAB_EXPERIMENT_H_
#define PADDLESTILE_LAB_EXPERIMENT_H_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <stdexcept>
#include <string>
#include <string_view>
#include <vector>

#include "balancer/load_balancer.h"

namespace paddlestile::lab {

// Bounds of a value that is drawn from a uniform distribution.
struct UniformRange {
  double low = 0, high = 0;
};

// A group of hosts with the same properties, apart from values drawn for each host.
struct HostGroup {
  std::string name = "h";
  size_t count = 1;
  int cores = 3;
  UniformRange speed{1, 1};  // seconds of work that one core does in a second
  std::string zone = "a", kind = "std";
  int cell = 0;
  size_t max_held_requests = 256;           // the host rejects requests beyond this many
  size_t max_connections = 2000;            // the host closes new connections beyond this many
  Duration handshake_work{1000};            // CPU work for each new connection
  Duration probe_work{200};                 // CPU work for each probe
  UniformRange report_interval_ms{7, 37};   // interval between updates of the load report
  bool cancels_work_on_disconnect = false;  // running work is cancelled when its connection closes
};

struct ClassSpec {
  std::string name;
  RequestClass rules;
  double share = 1;              // weight of this class among the arrivals
  UniformRange work_ms{10, 10};  // CPU time at speed 1
  UniformRange wait_ms{0, 0};    // waiting time without CPU use
  UniformRange body_bytes{0, 0}, response_bytes{200, 200};
  // False for a class that a reload adds to the settings. Clients send requests of the class from
  // `available_from` on.
  bool in_initial_settings = true;
  Duration available_from{0};
};

struct TenantSpec {
  std::string name;
  double share = 0;
};

struct RateStep {
  Duration at{0};
  double requests_per_s = 0;
};

// Clients that send invalid input or too little of it.
enum class MisbehaviorKind {
  kGarbage,
  kEndlessHeaders,
  kInvalidLength,
  kNegativeLength,
  kHugeLength,
  kConflictingFraming,
  kUnknownClass,
  kInvalidBudget,
  kMissingRequestId,
  kIncompleteRequest,
  kUnresponsive,
  kByteByByte
};
struct MisbehavingClients {
  MisbehaviorKind kind = MisbehaviorKind::kGarbage;
  double per_s = 1;
  Duration from{0}, to{0};
};

struct LoadSpec {
  std::vector<RateStep> rate;       // in time order; over all gateways
  size_t max_connections = 20'000;  // open at the same time, over all gateways
  size_t idle_connections = 0;      // opened at the start; no request is sent on them
  int max_retries = 0;              // retries by a client after a rejected or failed attempt
  UniformRange retry_delay_ms{50, 100};
  double client_abort_share = 0;  // share of requests whose client disconnects before the response
  double slow_send_share = 0;     // share of requests sent in three pieces, 20 ms apart
  double slow_read_share = 0;     // share of responses read in pieces, 20 ms apart
  // Share of requests after which the client closes the connection.
  double close_after_response_share = 0;
  // Clients still use open connections to a gateway that is out of rotation.
  bool keeps_open_connections = false;
  std::vector<MisbehavingClients> misbehaving_clients;
};

enum class FaultKind {
  // Host faults.
  kSlow,
  kUnresponsive,
  kErrors,
  kStall,
  kNoisyNeighbour,
  kResets,
  kRejections,
  kTamperedResponses,
  kPartlyUnresponsive,
  kSlowResponses,
  kTruncatedResponses,
  kPartitioned,
  kRestart,
  kDrain,
  kKill,
  kAdd,
  // Discovery faults.
  kDiscoverySilent,
  kDiscoveryLag,
  kDiscoveryMalformed,
  kDiscoveryStale,
  kDiscoveryMoved,
  // Gateway faults.
  kGatewayTerm,
  kGatewayKill,
  kGatewayHang,
  kGatewayQuiesce,
  kGatewayReload,
  kGatewayUpgrade,
  kGatewayHangup,
  kGatewayStop,
  kGatewayDisk,
  // Faults of the links between gateways.
  kLinkCut,
  kLinkSlow,
  kLinkFlap,
  kLinkNoise
};
// The direction of a link fault, as seen from the gateway named in the fault.
enum class LinkDirection {
  kBoth,
  kOutgoing,
  kIncoming
};
// The disk that a killed gateway finds at its restart (kept, rolled back, empty), or how a disk
// misbehaves (full, slow, failing sync).
enum class DiskState {
  kKept,
  kRolledBack,
  kEmpty,
  kFull,
  kSlow,
  kSyncFails
};
// How a host corrupts a response.
enum class ResponseTampering {
  kAny,
  kRandomBytes,
  kMalformedHeaders,
  kEndlessHeaders,
  kContentLengthTooShort,
  kContentLengthTooLong,
  kEndlessBody,
  kDuplicateResponse,
  kTrailingBytes,
  kInterimResponses,
  kMalformedLoadReport
};

// The outcome of a hot restart for the new process.
enum class UpgradeOutcome {
  kTakesOver,
  kKilled,
  kStopped  // stopped for the fault's duration, then continued and sent SIGTERM
};

struct Fault {
  FaultKind kind = FaultKind::kSlow;
  std::string name;  // `kind` in the file
  Duration at{0}, duration{0};
  double host_share = 0;  // share of the active hosts; 0: `count` or `host_names` selects them
  size_t count = 0;
  std::vector<std::string> host_names;
  std::string zone;          // limits the selection to this zone
  double factor = 4;         // kSlow: slowdown; kNoisyNeighbour: share of the CPU taken
  double request_share = 1;  // share of the requests affected
  Duration downtime{0};      // kRestart, kGatewayTerm, kGatewayKill: time until the restart
  Duration exit_delay{0};    // kDrain: delay until the process exits; 0: it keeps running
  // kStall: duration and interval of the stalls; kSlowResponses: the longest time for writing one;
  // kGatewayHangup: interval of `count` signals.
  Duration stall_duration{300'000}, interval{2'000'000};
  Duration discovery_lag{0};  // delay of discovery: kDiscoveryLag, kRestart, kDrain, kKill
  ResponseTampering tampering = ResponseTampering::kAny;
  size_t gateway = 0;
  // This many gateways, chosen by the seed, instead of `gateway`.
  std::optional<size_t> random_gateway_count;
  // The affected gateways, for kLink* with all their links; empty: `gateway`.
  std::vector<size_t> gateway_list;
  LinkDirection link_direction = LinkDirection::kBoth;
  bool reset_connections = false;     // kLinkCut, kLinkFlap: also reset the connections
  UniformRange delay_ms{0, 0};        // kLinkSlow
  size_t bytes_per_s = 0;             // kLinkSlow; 0: unlimited
  DiskState disk = DiskState::kKept;  // kGatewayKill, kGatewayDisk
  // kGatewayTerm: a second SIGTERM, and a SIGHUP, this long after the first SIGTERM.
  std::optional<Duration> second_term_after, hup_after;
  bool kill_at_earliest = false;
  UpgradeOutcome upgrade_outcome = UpgradeOutcome::kTakesOver;  // kGatewayUpgrade
  Duration upgrade_outcome_delay{0};  // since the start of the new process
  // kGatewayUpgrade: the configuration file of the new process has the list of the run's start.
  bool has_initial_list = false;
  std::string request_class;  // kGatewayReload: the class that the new settings add
};

struct WindowRequirement {
  Duration from{0}, to{0};
  double min_worth_share = 0;
};

// Requirements of the experiment, in addition to the rules that always apply.
struct Requirements {
  std::optional<double> min_worth_share, min_served_share, max_refused_share, max_failed_share,
      max_late_share, max_p50_ms, max_p99_ms, max_cpu_us, max_rss_mb, max_rss_growth_mb,
      max_descriptors, max_misbehaving_unanswered_share, max_unavailable_ms, max_p50_follow_ms,
      min_changes_done_share;
  std::vector<WindowRequirement> windows;
};

struct GatewaySpec {
  size_t count = 1;
  size_t sockets = 1024;
  std::string listen;         // of the first gateway; empty: a loopback address chosen by the lab
  std::string settings_json;  // a merge patch for the settings that the lab generates; empty: none
};

// How long simulated members are stopped in turn and read slowly.
inline constexpr Duration kSimulatedMemberFaultDuration{4'000'000};  // us

// Gateways that form a cluster, and the changes that are submitted to it.
struct ClusterSpec {
  bool enabled = false;
  size_t voters = 3;
  Duration change_interval{400'000};
  Duration quiet_before_end{4'000'000};   // period without changes before the end of the experiment
  bool drains_when_disconnected = false;  // gateways that lose the cluster drain
  bool changes_idempotency = true;        // changes may also set a class to be sent only once
  bool uses_delta_changes = false;        // changes are sent as deltas
  size_t tenants_per_version = 0;         // number of tenants in each version
  // By gateway: the factor by which its clock runs faster.
  std::vector<std::pair<size_t, double>> clock_rates;
  // Members that follow the cluster and serve no clients, many to a process (simulated_member.h),
  // and their faults. At `simulated_member_faults_at`, the given numbers of them restart and lose
  // their links. A tenth is stopped in turn, for `simulated_member_stall` each. Meanwhile, what
  // voters send to a tenth of them passes at `simulated_member_read_bytes_per_s` on each link (0:
  // unlimited).
  size_t simulated_members = 0, simulated_member_restarts = 0, simulated_member_link_cuts = 0;
  bool stalls_simulated_members = false;
  Duration simulated_member_stall{400'000};
  size_t simulated_member_read_bytes_per_s = 0;
  Duration simulated_member_faults_at{0};
  bool measured = false;  // the run waits for all members and takes measurements (lab scale)
  // Period without changes at the start; idle figures are taken in it.
  Duration quiet_after_start{0};
};

struct Experiment {
  std::string path, name, about;
  uint64_t seed = 1;
  Duration length{10'000'000};
  std::vector<std::string> zones;  // in the order of the first host of each
  std::vector<std::string> kinds;
  std::vector<HostGroup> hosts;
  std::vector<ClassSpec> classes;
  std::vector<TenantSpec> tenants;
  LoadSpec load;
  GatewaySpec gateway;
  ClusterSpec cluster;
  std::vector<Fault> faults;
  Requirements requirements;
  // Parameters of the rules and of the generated settings.
  Duration drain_grace{1'000'000};
  double slow_start_initial_capacity = 0.31;
  Duration slow_start_duration{9'000'000};
  double overload_collapse_multiple = 3;
  Duration overload_collapse_duration{1'500'000};
  int max_attempts = 5;
  Duration connect_timeout{250'000};
  Duration idle_connection_timeout{60'000'000};
  Duration discovery_keepalive_interval{2'000'000};  // interval between empty lines on a watch
  UniformRange discovery_response_ms{0, 0};  // from a watch call until its first list is sent
  size_t discovery_response_pieces = 1;      // in which that list is sent
  bool probes = true;
  bool retry_after = true;
  bool marks_retries = false;

  [[nodiscard]] size_t host_count() const;
};

// A reload first writes an incomplete file, after kReloadCompletionDelay the complete one, which
// has to be in use within kMaxReloadTime.
inline constexpr Duration kReloadCompletionDelay{300'000}, kMaxReloadTime{1'200'000};  // us

class ExperimentError : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

// Parses an experiment. Throws ExperimentError with one line per error: "FILE:LINE: KEY: what,
// expected ...". `text` is the file's content; `path` names the file in errors.
Experiment ParseExperiment(std::string_view text, const std::string& path);
Experiment ReadExperiment(const std::string& path);

// The "settings" object, as JSON, of the LB_CONFIG file of a gateway in this experiment.
std::string SettingsJson(const Experiment& experiment, size_t gateway);

}  // namespace paddlestile::lab

#endif  // PADDLESTILE_LAB_EXPERIMENT_H_
