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

enum class Effect { kSafe, kKeyed, kUnsafe };
enum class DedupGroup { kAll, kZone, kCell };  // hosts that drop one another's repeats
enum class DiscoveryMode { kPush, kAsk };
enum class ReportSource { kAnswers, kProbe, kNone };
enum class WeightKind { kNone, kNominal, kRough, kLive };

struct RequestClass {
  Effect effect = Effect::kSafe;
  DedupGroup group = DedupGroup::kAll;
  Duration window{0};    // how long a repeat is dropped, from the first send that may have run
  Duration aim{0};       // an answer within this earns full worth
  Duration deadline{0};  // what a client waits in all
  double aim_stretch = 0;
  double worth = 1;
  double late_share = 0;  // share of the worth for an answer after the aim
  bool streamed = false;
  bool operator==(const RequestClass&) const = default;
};

struct Tenant {
  double quota_per_s = 0;  // over all gateways
  double share = 0;
};

struct Settings {
  int me = 0;
  int instances = 1;
  int zone = 0;
  int zones = 1;
  std::vector<RequestClass> classes;
  std::vector<Tenant> tenants;
  double over_share_worth = 1;
  bool worth_by_work = false;
  DiscoveryMode discovery = DiscoveryMode::kPush;
  WeightKind weight_kind = WeightKind::kNone;
  bool callers_mark_retry = false;
  bool warm_keys = false;  // a host that has lately served a key serves it with less work
  struct {
    bool cancel = false;
    bool parallel_tries = false;
    bool probes = false;
    bool peer_messages = false;
    bool retry_after = false;
    Duration max_retry_after{0};
    Duration connect_timeout{0};
    int send_cap = 1;
    int most_held = 0;
    int max_streams = 1;
    double cpu_us_per_s = 0;
  } allowed;
  struct {  // points taken off, as shares of the result
    double cross_zone = 0, handshake = 0, late_fail = 0, probe = 0, waste = 0, connection = 0;
  } charges;
  struct {
    double whole = 1, worst_class = 0, worst_tenant = 0, worst_window = 0;
    double nines = 0, top_nines = 3;  // part of the nines; how many earn it in full, above 0
  } mix;
  struct {
    Duration answer_slack{0};
    Duration drain_grace{0};
    Duration must_ask_in{0};  // 0: never
    double cold_from = 1;     // a started host can do at least this share of its work
    Duration warm_within{0};
    double fall_multiple = 1;
    Duration fall{0};
  } obligations;
  struct {
    ReportSource source = ReportSource::kNone;
    size_t inflight = SIZE_MAX;  // place in the report's values, past its end if not reported
    size_t latency_ms = SIZE_MAX;
  } report;
};

// ---- Events ---------------------------------------------------------------------------------

enum class EndpointState { kUp, kDraining, kRemoved };

struct EndpointInfo {
  std::string id;
  Time launched{0};  // 0: long past
  int zone = 0;
  size_t kind = 0;
  int cell = 0;
  double weight = 1;
  EndpointState state = EndpointState::kUp;
};

enum class ListKind { kDelta, kFull, kCached, kFailed };

struct Members {
  ListKind kind = ListKind::kFull;
  std::vector<EndpointInfo> entries;
};

struct Submit {
  std::string id;
  Time deadline{0};
  size_t tenant = 0;
  bool is_write = false;
  size_t cls = 0;
  std::optional<std::string> key;
  std::optional<Duration> expected;
  bool again = false;  // a repeat by the client, where clients mark repeats
};

enum class Outcome {
  kOk,
  kError,          // answered with an error; may have run
  kFull,           // turned away unseen
  kTimeout,        // may have run or still run
  kConnectFailed,  // never reached the endpoint
  kReset,          // the connection broke; may have run
  kCancelled,      // called off; may have run
  kMoot,           // never transmitted
  kUnusable        // an answer that can't be read or blames the request; may have run
};

using Report = std::vector<double>;  // in the order that the settings gave

struct Established {
  std::string id;
  size_t attempt = 0;
  std::string endpoint;
  Duration took{0};
};

struct Settled {
  std::string id;
  size_t attempt = 0;
  std::string endpoint;
  Outcome outcome = Outcome::kOk;
  Duration took{0};
  bool final = false;
  std::optional<Report> report;
  bool spent = false;  // the request is no longer held whole: no further attempt can be made
};

struct ClientLeft {
  std::string id;
};

struct TimerFired {
  std::string token;
};

struct ProbeResult {
  std::string endpoint;
  Outcome outcome = Outcome::kOk;
  Duration took{0};
  std::optional<Report> report;
};

struct PeerNote {
  int from = 0;
  std::string bytes;
};

// New figures of some tenants, by their places in the settings; all else stays. A place may be new.
struct TenantFigures {
  std::vector<std::pair<size_t, Tenant>> entries;
};

// Settings: new ones, in force for what comes from now on. A request under way keeps its class;
// what was learned stays, by the places of classes and tenants. Those that are gone keep theirs.
using Event = std::variant<Members, Submit, Established, Settled, ClientLeft, TimerFired,
                           ProbeResult, PeerNote, Settings, TenantFigures>;

// ---- Actions --------------------------------------------------------------------------------

struct Send {
  std::string id;
  std::string endpoint;
  Duration timeout{0};  // 0: until the client gives up
};
struct Refuse {
  std::string id;
  Duration stay_away{0};
};
struct Fail {
  std::string id;
};
struct Cancel {
  std::string id;
  size_t attempt = 0;
};
struct SetTimer {
  Duration after{0};
  std::string token;
};
struct Probe {
  std::string endpoint;
};
struct CloseIdle {  // this gateway's idle connections to it
  std::string endpoint;
};
struct Follow {
  bool on = true;
};
struct FetchList {};
struct LogMessage {
  std::string text;
};

using Action = std::variant<Send, Refuse, Fail, Cancel, SetTimer, Probe, CloseIdle, Follow,
                            FetchList, LogMessage>;

// ---- The module -----------------------------------------------------------------------------

// How a pick was made, for those who watch: by the cold or hot branch of the pool, or without it.
enum class Regime { kNone, kCold, kHot, kFallback };

// Why an endpoint may not take a request now.
enum class Bar {
  kNone,  // nothing; where a request is given up, there is no endpoint at all
  kLaw,   // drains, was asked before, or the class, the attempts or the time forbid it
  kCold,  // has just started and got its part
  kSick,  // silent, on trial, or doubted by a request that may not repeat
  kFull,  // at its limit as learned
  kNew,   // at the limit of one of which nothing is known yet
  kLate,  // would answer too late
  kSpent  // none was looked for: no attempt, no time or nothing in the retry budget is left
};
constexpr size_t kBars = 8;

inline const char* ToText(Bar bar) {
  constexpr std::array<const char*, kBars> kNames = {"none", "law", "cold", "sick",
                                                     "full", "new", "late", "spent"};
  return kNames[static_cast<size_t>(bar)];
}

struct Stats {
  std::array<uint64_t, 4> picks{};         // by Regime
  std::array<uint64_t, kBars> given_up{};  // refused and failed requests by what barred most
  Regime last = Regime::kNone;
};

struct Records;  // brain_state.h

class Brain {
 public:
  // Throws std::invalid_argument, naming the setting, where the settings make no sense.
  Brain(const Settings& settings, uint64_t seed);
  ~Brain();
  Brain(Brain&&) noexcept;
  Brain& operator=(Brain&&) noexcept;

  // Takes one event and appends what is to be done about it.
  void Handle(Time now, const Event& event, std::vector<Action>& actions);

  [[nodiscard]] const Stats& stats() const;

  // What it has learned, and taking over what another has learned of the same fleet.
  [[nodiscard]] const Records& learned() const;
  void Learn(Time now, const Records& told);

 private:
  struct Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace paddlestile

#endif  // PADDLESTILE_BALANCER_LOAD_BALANCER_H_
