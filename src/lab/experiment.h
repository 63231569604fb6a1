// One experiment as its file tells it: a fleet, its gateways, the clients, a script of faults in
// time, and what must hold. Times in the file are seconds where a name ends in _s and milliseconds
// where it ends in _ms; here they are Durations.
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

// A value drawn evenly between two bounds, both of the file.
struct Span {
  double low = 0, high = 0;
};

// Hosts that are alike but for what is drawn.
struct HostGroup {
  std::string name = "h";
  size_t count = 1;
  int cores = 3;
  Span speed{1, 1};  // work a core does in a second, in seconds of work
  std::string zone = "a", kind = "std";
  int cell = 0;
  size_t held_most = 256;          // requests held, beyond which it turns away
  size_t connections_most = 2000;  // its connection table
  Duration handshake{1000};        // work of a new connection
  Duration probe_work{200};        // work of a probe
  Span report_ms{7, 37};           // how often its report is refreshed
  bool stops_work = false;         // work that runs ends with its connection
};

struct ClassSpec {
  std::string name;
  RequestClass rules;
  double share = 1;      // of the arrivals, beside the other classes
  Span work_ms{10, 10};  // on a core of speed 1
  Span wait_ms{0, 0};    // on others
  Span body_bytes{0, 0}, answer_bytes{200, 200};
  // A reload brings it: the settings lack it until then, and nobody asks for it before `from`.
  bool listed = true;
  Duration from{0};
};

struct TenantSpec {
  std::string name;
  double share = 0;
};

struct RateStep {
  Duration at{0};
  double per_s = 0;
};

// Clients that do not do as they should.
enum class BadKind {
  kRubbish,
  kEndlessHead,
  kBadLength,
  kNegativeLength,
  kHugeLength,
  kTwoFramings,
  kUnknownClass,
  kBadBudget,
  kNoId,
  kHalfRequest,
  kSilent,
  kTrickle
};
struct BadClients {
  BadKind kind = BadKind::kRubbish;
  double per_s = 1;
  Duration from{0}, to{0};
};

struct LoadSpec {
  std::vector<RateStep> rate;        // arrivals a second, over all gateways, from each time on
  size_t connections_most = 20'000;  // open at once, over all gateways
  size_t idle_connections = 0;       // opened at the start and kept without a request
  int retries = 0;                   // of a client whose try was refused or failed
  Span retry_wait_ms{50, 100};
  double leave_share = 0;          // of the requests whose client leaves before the answer
  double trickle_share = 0;        // of the requests that come in three pieces, 20 ms apart
  double once_share = 0;           // of the requests after which the client closes
  bool keeps_connections = false;  // clients go on with open ones to a gateway that is taken out
  std::vector<BadClients> bad;
};

enum class FaultKind {
  // On hosts.
  kSlow,
  kSilent,
  kErrors,
  kStall,
  kNeighbour,
  kResets,
  kTurnedAway,
  kSpoilt,
  kHalfDead,
  kCutOff,
  kRestart,
  kDrain,
  kKill,
  kAdd,
  // On the source of the list.
  kListSilent,
  kListLag,
  kListMalformed,
  kListOld,
  kListMoved,
  // On a gateway.
  kGatewayTerm,
  kGatewayKill,
  kGatewayHang,
  kGatewayQuiesce,
  kGatewayReload,
  kGatewayUpgrade,
  kGatewayHup,
  kGatewayStop,
  kGatewayDisk,
  // On links among gateways.
  kLinkCut,
  kLinkSlow,
  kLinkFlap,
  kLinkNoise
};
// Which way a link's fault goes, as the gateway that is named sees it.
enum class Ways {
  kBoth,
  kOut,
  kIn
};
// What a gateway that was killed has of its disk when it comes back, and what a disk does.
enum class DiskIs {
  kKept,
  kOld,
  kNone,
  kFull,
  kSlow,
  kSyncFails
};
// How an answer is spoilt.
enum class TamperOutgoing {
  kAny,
  kNoise,
  kBadHead,
  kEndlessHead,
  kShortLength,
  kLongLength,
  kHuge,
  kSecondAnswer,
  kNoiseBehind,
  kInterim,
  kBadReport
};

// What becomes of the new process of an upgrade.
enum class UpgradeFate {
  kTakesOver,
  kKilled,
  kStopped  // for the fault's duration; then it goes on and is told to end
};

struct Fault {
  FaultKind kind = FaultKind::kSlow;
  std::string name;  // as the file has it
  Duration at{0}, lasts{0};
  double hosts = 0;  // share of those present; 0: by `count` or `names`
  size_t count = 0;
  std::vector<std::string> names;
  std::string zone;   // only hosts of this zone
  double factor = 4;  // kSlow: times slower; kNeighbour: share of the cores taken
  double share = 1;   // kErrors, kResets, kTurnedAway, kSpoilt, kHalfDead: of the requests
  Duration down{0};   // kRestart, kGatewayTerm, kGatewayKill: until it is back
  Duration leave{0};  // kDrain: until the process ends; 0: it stays
  Duration stop{300'000}, every{2'000'000};  // kStall; kGatewayHup: `count` of them, one `every`
  Duration lag{0};  // kListLag; kRestart, kDrain, kKill: until the list tells
  TamperOutgoing spoil = TamperOutgoing::kAny;
  size_t gateway = 0;
  std::optional<size_t> gateways;  // instead of one: so many, drawn by the seed
  std::vector<size_t> from;  // kLink*: these gateways' links to all others; empty: `gateway`'s
  Ways ways = Ways::kBoth;
  bool resets = false;          // kLinkCut, kLinkFlap: connections are reset too
  Span delay_ms{0, 0};          // kLinkSlow
  size_t bytes_per_s = 0;       // kLinkSlow; 0: no bound
  DiskIs disk = DiskIs::kKept;  // kGatewayKill, kGatewayDisk
  // kGatewayTerm: a second SIGTERM, and SIGHUP, so long after the first SIGTERM; SIGKILL at the
  // earliest that the platform sends it, with nothing excused.
  std::optional<Duration> second_term_after, hup_after;
  bool kill_at_earliest = false;
  UpgradeFate fate = UpgradeFate::kTakesOver;  // kGatewayUpgrade
  Duration fate_after{0};                      // from the start of the new process
  std::string cls;  // kGatewayReload: the class that the new settings bring
};

struct WindowMust {
  Duration from{0}, to{0};
  double worth_share_least = 0;
};

// What must hold beside the rules, which always must.
struct Must {
  std::optional<double> worth_share_least, served_share_least, refused_share_most,
      failed_share_most, late_share_most, p50_ms_most, p99_ms_most, cpu_us_most, rss_mb_most,
      rss_growth_mb_most, descriptors_most, bad_unanswered_share_most, unavailable_ms_most,
      follow_ms_p50_most, changes_done_share_least;
  std::vector<WindowMust> windows;
};

struct GatewaySpec {
  size_t count = 1;
  size_t sockets = 1024;
  std::string listen;         // of the first; empty: an address of the lab's own
  std::string settings_json;  // laid over the settings that the lab makes; empty: none
};

// How long hollow members are stopped by turns, and read slowly.
inline constexpr Duration kHollowFaultsFor{4'000'000};  // us

// Gateways that agree, and changes throughout.
struct BankSpec {
  bool on = false;
  size_t voters = 3;
  Duration change_every{400'000};
  Duration quiet_last{4'000'000};                 // no change is submitted so long before the end
  bool drains = false;                            // what gateways do that have lost the bank
  bool effects = true;                            // changes let a class be sent once, too
  bool deltas = false;                            // changes go by their own size
  size_t version_tenants = 0;                     // that each version holds
  std::vector<std::pair<size_t, double>> clocks;  // gateways whose clock runs faster by a factor
  // Members that follow and serve nobody, many to a process (hollow.h); and what befalls them at
  // `hollow_faults_at`: so many restart, so many lose their links, a tenth is stopped by turns for
  // `hollow_stall`, and for as long as that goes on what voters send a tenth of them passes at
  // `hollow_read_bytes_per_s` on each link (0: as fast as it goes).
  size_t hollow = 0, hollow_restarts = 0, hollow_cuts = 0;
  bool hollow_stalls = false;
  Duration hollow_stall{400'000};
  size_t hollow_read_bytes_per_s = 0;
  Duration hollow_faults_at{0};
  bool measured = false;    // all of its members are waited for, and figures are taken (lab scale)
  Duration quiet_first{0};  // no change is submitted before; idle figures are taken then
};

struct Experiment {
  std::string path, name, about;
  uint64_t seed = 1;
  Duration length{10'000'000};
  std::vector<std::string> zones;  // in the order of their first host
  std::vector<std::string> kinds;
  std::vector<HostGroup> hosts;
  std::vector<ClassSpec> classes;
  std::vector<TenantSpec> tenants;
  LoadSpec load;
  GatewaySpec gateway;
  BankSpec bank;
  std::vector<Fault> faults;
  Must must;
  // The rules' figures.
  Duration drain_grace{1'000'000};
  double slow_start_initial_capacity = 0.31;
  Duration slow_start_duration{9'000'000};
  double overload_collapse_multiple = 3;
  Duration fall{1'500'000};
  int max_attempts = 5;
  Duration connect_timeout{250'000};
  Duration idle_close{60'000'000};
  Duration list_every{2'000'000};  // an empty line of the watch
  bool probes = true;
  bool retry_after = true;
  bool marks_retry = false;

  [[nodiscard]] size_t host_count() const;
};

// A reload: half a file at first, the whole one after this; it is in use within so long.
inline constexpr Duration kReloadPause{300'000}, kReloadWithin{1'200'000};  // us

class ExperimentError : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

// Reads the file; throws ExperimentError with a line for each fault: "FILE:LINE: KEY: what,
// expected ...". `text` is the file's content, `path` its name in the faults.
Experiment ParseExperiment(std::string_view text, const std::string& path);
Experiment ReadExperiment(const std::string& path);

// The settings that a gateway of this experiment is given (its LB_CONFIG's "settings"), as JSON.
std::string SettingsJson(const Experiment& experiment, size_t gateway);

}  // namespace paddlestile::lab

#endif  // PADDLESTILE_LAB_EXPERIMENT_H_
