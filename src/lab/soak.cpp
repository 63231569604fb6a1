#include "lab/soak.h"

#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <random>
#include <utility>

#include "lab/runner.h"

namespace paddlestile::lab {
namespace {

constexpr uint64_t kSeedMultiplier = 0x9e37'79b9'7f4a'7c15ULL;
constexpr uint64_t kClusterEvery = 3;  // seeds
constexpr uint64_t kCrowdEvery = 4;    // seeds without a cluster
constexpr int kMaxAttempts = 3;        // at a verdict

constexpr Duration kLength{16'000'000};
constexpr Duration kClusterLength{18'000'000};
constexpr Duration kFirstFault{1'000'000};
constexpr Duration kLastFaultBeforeEnd{4'000'000};
constexpr Duration kDeadline{1'500'000};
constexpr Duration kTermMargin{1'000'000};     // beyond the longest deadline, until a process ended
constexpr Duration kUpgradeMargin{3'000'000};  // beyond that, from the start of a new process
constexpr Duration kStoppedFor{3'500'000};     // a new process; the old one serves again before
constexpr Duration kBackUpTakes{1'500'000};    // after a start, until the front has taken it in

constexpr size_t kSockets = 512;       // budget of a gateway
constexpr size_t kCrowdSockets = 160;  // the same where a crowd is to fill it
constexpr size_t kCrowd = 400;         // idle clients
// The wide mix.
constexpr Duration kWideLength{26'000'000};
constexpr Duration kLongDeadline{6'000'000};  // longer than a new process that hangs goes unnoticed
constexpr UniformRange kLongWaitMs{3500, 5200};
constexpr UniformRange kLongShare{0.02, 0.12};  // past what the gateways can hold
constexpr uint64_t kLongShareStream = 1;
constexpr double kBadPerSecond = 2;         // clients of each kind
constexpr Duration kDrainTakes{6'000'000};  // an operator's, until it is in again
constexpr Duration kReloadAt{300'000};      // before any other fault
constexpr double kDescriptorMargin = 64;    // beyond the budget: files, pipes, timers
constexpr double kMaxResidentMegabytes = 160;

class SoakScript {
 public:
  SoakScript(uint64_t seed, SoakMix mix)
      : random_(seed * kSeedMultiplier + 1),
        long_share_random_(seed * kSeedMultiplier + 1 + kLongShareStream),
        is_wide_(mix == SoakMix::kWide) {
    e_.name = "soak";
    e_.about = "Faults in series, drawn from the seed.";
    e_.seed = seed;
    const bool has_cluster = seed % kClusterEvery == 0;
    AddHostsAndClasses();
    AddLoad();
    if (is_wide_) {
      AddWideLoad(has_cluster);
    }
    e_.length = is_wide_ ? kWideLength : has_cluster ? kClusterLength : kLength;
    if (has_cluster) {
      AddCluster();
    } else {
      AddGateways(seed % kCrowdEvery == 0);
    }
    AddListFault();
    if (is_wide_) {
      AddWideFaults();
    }
    e_.requirements.max_rss_mb = kMaxResidentMegabytes;
    e_.requirements.max_descriptors = static_cast<double>(e_.gateway.sockets) + kDescriptorMargin;
  }

  Experiment Take() { return std::move(e_); }

 private:
  double Draw(double low, double high) {
    return std::uniform_real_distribution<double>(low, high)(random_);
  }
  Duration DrawMillis(double low, double high) {
    return Duration(static_cast<int64_t>(Draw(low, high) * 1000));
  }
  size_t Pick(size_t n) { return std::uniform_int_distribution<size_t>(0, n - 1)(random_); }
  bool Chance(double p) { return Draw(0, 1) < p; }

  void AddHostsAndClasses() {
    HostGroup hosts;
    hosts.name = "std";
    hosts.count = 10;
    hosts.speed = {0.85, 1.1};
    e_.hosts = {hosts};
    e_.zones = {hosts.zone};
    e_.kinds = {hosts.kind};
    ClassSpec safe, keyed;
    safe.name = "soak-read";
    safe.rules.latency_objective = Duration(250'000);
    safe.rules.deadline = kDeadline;
    safe.share = 0.7;
    safe.work_ms = {5, 15};
    safe.wait_ms = {5, 40};
    keyed = safe;
    keyed.name = "soak-write";
    keyed.share = 0.3;
    keyed.rules.idempotency = Idempotency::kKeyed;
    keyed.rules.deduplication_window = Duration(3'000'000);
    keyed.body_bytes = {100, 2000};
    e_.classes = {safe, keyed};
  }
  void AddLoad() {
    e_.load.rate = {{Duration(0), 250}};
    e_.load.max_retries = 2;
    e_.load.retry_delay_ms = {50, 150};
    e_.load.client_abort_share = 0.01;
    e_.load.close_after_response_share = 0.05;
    e_.load.keeps_open_connections = true;
  }
  Fault& Add(FaultKind kind, const char* name, Duration at, size_t gateway) {
    Fault& fault = e_.faults.emplace_back();
    fault.kind = kind;
    fault.name = name;
    fault.at = at;
    fault.gateway = gateway;
    return fault;
  }
  [[nodiscard]] bool IsTime(Duration at) const { return at <= e_.length - kLastFaultBeforeEnd; }

  // From SIGTERM until a process has ended in any case.
  [[nodiscard]] Duration TermTakes() const {
    Duration longest{0};
    for (const ClassSpec& cls : e_.classes) {
      longest = std::max(longest, cls.rules.deadline);
    }
    return longest + kTermMargin;
  }

  // ---- What the wide mix has beside ----
  // No long requests in a cluster: an operator's drain has to be over before they are.
  void AddWideLoad(bool has_cluster) {
    if (!has_cluster) {
      ClassSpec slow = e_.classes.front();
      slow.name = "soak-long";
      slow.rules.latency_objective = kLongDeadline;
      slow.rules.deadline = kLongDeadline;
      slow.share =
          std::uniform_real_distribution(kLongShare.low, kLongShare.high)(long_share_random_);
      slow.wait_ms = kLongWaitMs;
      e_.classes.push_back(slow);
    }
    for (int kind = 0; kind <= static_cast<int>(MisbehaviorKind::kByteByByte); ++kind) {
      if (static_cast<MisbehaviorKind>(kind) == MisbehaviorKind::kHugeLength) {
        continue;  // its megabytes are the lab's own lateness
      }
      e_.load.misbehaving_clients.push_back({static_cast<MisbehaviorKind>(kind), kBadPerSecond,
                                             kFirstFault, kWideLength - kDeadline});
    }
  }
  void AddWideFaults() {
    AddReload();
    AddHostFaults();
    struct ListFault {
      FaultKind kind;
      const char* name;
    };
    constexpr std::array<ListFault, 4> kListFaults = {
        {{FaultKind::kDiscoveryMalformed, "list-malformed"},
         {FaultKind::kDiscoveryStale, "list-old"},
         {FaultKind::kDiscoveryLag, "list-lag"},
         {FaultKind::kDiscoveryMoved, "list-moved"}}};
    const ListFault& chosen = kListFaults[Pick(kListFaults.size())];
    Fault& fault = Add(chosen.kind, chosen.name, kFirstFault + DrawMillis(7000, 15000), 0);
    fault.duration = DrawMillis(500, 2000);
    fault.discovery_lag = DrawMillis(200, 1500);
  }
  // New settings bring a class.
  void AddReload() {
    ClassSpec late = e_.classes.front();
    late.name = "soak-late";
    late.share = 0.1;
    late.in_initial_settings = false;
    late.available_from = kReloadAt + kReloadCompletionDelay + kMaxReloadTime;
    e_.classes.push_back(late);
    Fault& fault = Add(FaultKind::kGatewayReload, "gateway-reload", kReloadAt, 0);
    fault.request_class = late.name;
  }
  void AddHostFaults() {
    Fault& drain = Add(FaultKind::kDrain, "drain", kFirstFault + DrawMillis(0, 8000), 0);
    drain.count = 1;
    drain.exit_delay = DrawMillis(2000, 4000);
    Fault& restart = Add(FaultKind::kRestart, "restart", kFirstFault + DrawMillis(9000, 16000), 0);
    restart.count = 1;
    restart.downtime = DrawMillis(500, 2000);
  }
  Duration AddOperatorsDrain(Duration at, size_t gateway) {
    Add(FaultKind::kGatewayQuiesce, "gateway-quiesce", at, gateway).duration = kDrainTakes;
    return kDrainTakes + kBackUpTakes;
  }
  Duration AddFullDisk(Duration at, size_t gateway) {
    Fault& fault = Add(FaultKind::kGatewayDisk, "gateway-disk", at, gateway);
    fault.disk = DiskState::kFull;
    fault.duration = DrawMillis(500, 2000);
    return fault.duration;
  }
  Duration AddWideMemberFault(Duration at, size_t gateway) {
    switch (Pick(3)) {
      case 0:
        return AddOperatorsDrain(at, gateway);
      case 1:
        return AddFullDisk(at, gateway);
      default:
        return AddUpgrade(at, gateway);
    }
  }

  // ---- Gateways that share nothing ----
  void AddGateways(bool with_crowd) {
    e_.gateway.count = 2 + Pick(2);
    e_.gateway.sockets = with_crowd ? kCrowdSockets : kSockets;
    e_.load.idle_connections = with_crowd ? kCrowd : 0;
    for (size_t gateway = 0; gateway < e_.gateway.count; ++gateway) {
      Duration at = kFirstFault + DrawMillis(0, 2500);
      while (IsTime(at)) {
        at += AddGatewayFault(at, gateway) + DrawMillis(100, 1500);
      }
    }
  }
  // Returns how long nothing else may befall this gateway.
  Duration AddGatewayFault(Duration at, size_t gateway) {
    switch (Pick(8)) {
      case 0:
      case 1:
        return AddTerm(at, gateway);
      case 2:
        return AddHups(at, gateway);
      case 3:
        return AddKill(at, gateway);
      case 4:
        return AddStop(at, gateway);
      default:
        return AddUpgrade(at, gateway);
    }
  }
  Duration AddTerm(Duration at, size_t gateway) {
    Fault& fault = Add(FaultKind::kGatewayTerm, "gateway-term", at, gateway);
    fault.kill_at_earliest = true;
    fault.downtime = DrawMillis(300, 1500);
    if (Chance(0.4)) {
      fault.second_term_after = DrawMillis(0, 2000);
    }
    if (Chance(0.4)) {
      fault.hup_after = DrawMillis(0, 500);
    }
    return TermTakes() + fault.downtime + kBackUpTakes;
  }
  Duration AddHups(Duration at, size_t gateway) {
    Fault& fault = Add(FaultKind::kGatewayHangup, "gateway-hup", at, gateway);
    fault.count = 1 + Pick(5);
    fault.interval = DrawMillis(1, 200);
    return static_cast<int64_t>(fault.count) * fault.interval;
  }
  Duration AddKill(Duration at, size_t gateway) {
    Fault& fault = Add(FaultKind::kGatewayKill, "gateway-kill", at, gateway);
    fault.downtime = DrawMillis(300, 2000);
    return fault.downtime + kBackUpTakes;
  }
  Duration AddStop(Duration at, size_t gateway) {
    Fault& fault = Add(FaultKind::kGatewayStop, "gateway-stop", at, gateway);
    fault.duration = DrawMillis(50, 1500);
    return fault.duration + kBackUpTakes;
  }
  // A new process is ready within a second and a half: killed or stopped before, just then or
  // after.
  Duration AddUpgrade(Duration at, size_t gateway) {
    Fault& fault = Add(FaultKind::kGatewayUpgrade, "gateway-upgrade", at, gateway);
    constexpr std::array kFates = {UpgradeOutcome::kTakesOver, UpgradeOutcome::kKilled,
                                   UpgradeOutcome::kStopped};
    fault.upgrade_outcome = kFates[Pick(kFates.size())];
    fault.upgrade_outcome_delay = DrawMillis(0, 1500);
    fault.duration = fault.upgrade_outcome == UpgradeOutcome::kStopped ? kStoppedFor : Duration(0);
    const Duration takes = kUpgradeMargin + TermTakes();
    return fault.upgrade_outcome == UpgradeOutcome::kStopped ? kStoppedFor + takes : takes;
  }

  // ---- Gateways that agree ----
  void AddCluster() {
    e_.gateway.count = 5;
    e_.gateway.sockets = kSockets;
    e_.cluster.enabled = true;
    e_.cluster.uses_delta_changes = Chance(0.5);
    bool disk_replaced = false;
    Duration at = kFirstFault + DrawMillis(500, 1500);
    while (IsTime(at)) {
      const size_t gateway = Pick(e_.gateway.count);
      if (is_wide_ && Chance(0.4)) {
        at += AddWideMemberFault(at, gateway);
      } else {
        at += Chance(0.6) ? AddLinkFault(at, gateway) : AddMemberFault(at, gateway, disk_replaced);
      }
      at += DrawMillis(300, 1500);
    }
  }
  Duration AddLinkFault(Duration at, size_t gateway) {
    struct LinkFault {
      FaultKind kind;
      const char* name;
    };
    constexpr std::array<LinkFault, 4> kLinkFaults = {{{FaultKind::kLinkCut, "link-cut"},
                                                       {FaultKind::kLinkSlow, "link-slow"},
                                                       {FaultKind::kLinkFlap, "link-flap"},
                                                       {FaultKind::kLinkNoise, "link-noise"}}};
    const LinkFault& chosen = kLinkFaults[Pick(kLinkFaults.size())];
    Fault& fault = Add(chosen.kind, chosen.name, at, gateway);
    fault.duration = DrawMillis(500, 2500);
    fault.link_direction = static_cast<LinkDirection>(Pick(3));
    fault.reset_connections = Chance(0.5);
    fault.delay_ms = {5, Draw(10, 300)};
    fault.request_share = Draw(0.02, 0.2);
    return fault.duration;
  }
  // One disk at most is replaced: two of three voters' lost at a time lose history.
  Duration AddMemberFault(Duration at, size_t gateway, bool& disk_replaced) {
    switch (Pick(3)) {
      case 0:
        return AddStop(at, gateway);
      case 1:
        return AddTerm(at, gateway);
      default:
        break;
    }
    const Duration takes = AddKill(at, gateway);
    if (!disk_replaced && Chance(0.5)) {
      e_.faults.back().disk = Chance(0.5) ? DiskState::kRolledBack : DiskState::kEmpty;
      disk_replaced = true;
    }
    return takes;
  }

  void AddListFault() {
    if (Chance(0.5)) {
      Fault& fault = Add(FaultKind::kDiscoverySilent, "list-silent", kFirstFault, 0);
      fault.at += DrawMillis(0, 6000);
      fault.duration = DrawMillis(500, 4000);
    }
  }

  std::mt19937_64 random_;
  std::mt19937_64 long_share_random_;  // apart, so that a seed's faults are what they were without
  bool is_wide_;
  Experiment e_;
};

// From when to when rules were broken; empty where none was.
std::string SpanOfBreaches(const Ledger::Counts& counts) {
  if (counts.all_breaches() == 0) {
    return "";
  }
  const auto seconds = [](Time at) {
    return static_cast<double>(at.count()) / 1e6;
  };
  return fmt::format(", from {:.3f} to {:.3f} s", seconds(counts.first_breach),
                     seconds(counts.last_breach));
}

Result PlaySeed(const SoakOptions& options, uint64_t seed) {
  RunOptions run;
  run.gateway = options.gateway;
  run.logs = options.logs;
  std::vector<std::string> broken_without_verdict;
  uint64_t broken_count_without_verdict = 0;
  for (int attempt = 1;; ++attempt) {
    Result result = RunExperiment(DrawSoakExperiment(seed, options.mix), run);
    if (result.verdict != Verdict::kVoid || attempt == kMaxAttempts) {
      result.broken_without_verdict = std::move(broken_without_verdict);
      result.broken_count_without_verdict = broken_count_without_verdict;
      return result;
    }
    broken_without_verdict.insert(broken_without_verdict.end(), result.broken.begin(),
                                  result.broken.end());
    broken_count_without_verdict += result.broken_count();
  }
}

}  // namespace

Experiment DrawSoakExperiment(uint64_t seed, SoakMix mix) {
  return SoakScript(seed, mix).Take();
}

SoakCounts PlaySoak(const SoakOptions& options, const std::function<void(const Result&)>& report) {
  SoakCounts counts;
  for (uint64_t i = 0; i < options.seeds; ++i) {
    const Result result = PlaySeed(options, options.first_seed + i);
    switch (result.verdict) {
      case Verdict::kHeld:
        ++counts.held;
        break;
      case Verdict::kBroken:
        ++counts.broken;
        break;
      case Verdict::kVoid:
        ++counts.unjudged;
        break;
    }
    report(result);
  }
  return counts;
}

std::string SoakLine(const Result& result, SoakMix mix) {
  std::string line = fmt::format("seed {}: {}", result.seed, NameOf(result.verdict));
  if (!result.broken.empty()) {
    line += fmt::format(", {} ({} in all{})", result.broken.front(), result.broken_count(),
                        SpanOfBreaches(result.counts));
  } else if (!result.late.empty()) {
    line += ", " + result.late.front();
  }
  if (!result.broken_without_verdict.empty()) {
    line += fmt::format("; before, without a verdict: {} ({} in all)",
                        result.broken_without_verdict.front(),
                        std::max<uint64_t>(result.broken_count_without_verdict,
                                           result.broken_without_verdict.size()));
  }
  return line + fmt::format("; excused: {} | paddlestile lab soak{} --seed {} --seeds 1",
                            DescribeExcused(result.counts),
                            mix == SoakMix::kWide ? " --mix wide" : "", result.seed);
}

}  // namespace paddlestile::lab
