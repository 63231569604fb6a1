#include "lab/soak.h"

#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <random>

#include "lab/runner.h"

namespace paddlestile::lab {
namespace {

constexpr uint64_t kClusterEvery = 3;  // seeds
constexpr uint64_t kCrowdEvery = 4;    // seeds without a cluster
constexpr int kMaxAttempts = 3;        // at a verdict

constexpr Duration kLength{16'000'000};
constexpr Duration kClusterLength{18'000'000};
constexpr Duration kFirstFault{1'000'000};
constexpr Duration kLastFaultBeforeEnd{4'000'000};
constexpr Duration kDeadline{1'500'000};
// From SIGTERM until the process has ended in any case.
constexpr Duration kTermTakes = kDeadline + Duration(1'000'000);
// From the start of a new process until the old one has ended.
constexpr Duration kUpgradeTakes = Duration(3'000'000) + kTermTakes;
constexpr Duration kStoppedFor{3'500'000};   // a new process; the old one serves again before
constexpr Duration kBackUpTakes{1'500'000};  // after a start, until the front has taken it in

constexpr size_t kSockets = 512;          // budget of a gateway
constexpr size_t kCrowdSockets = 160;     // the same where a crowd is to fill it
constexpr size_t kCrowd = 400;            // idle clients
constexpr double kDescriptorMargin = 64;  // beyond the budget: files, pipes, timers
constexpr double kMaxResidentMegabytes = 160;

class SoakScript {
 public:
  explicit SoakScript(uint64_t seed) : random_(seed * 0x9e37'79b9'7f4a'7c15ULL + 1) {
    e_.name = "soak";
    e_.about = "Faults in series, drawn from the seed.";
    e_.seed = seed;
    AddHostsAndClasses();
    AddLoad();
    const bool has_cluster = seed % kClusterEvery == 0;
    e_.length = has_cluster ? kClusterLength : kLength;
    if (has_cluster) {
      AddCluster();
    } else {
      AddGateways(seed % kCrowdEvery == 0);
    }
    AddListFault();
    e_.must.rss_mb_most = kMaxResidentMegabytes;
    e_.must.descriptors_most = static_cast<double>(e_.gateway.sockets) + kDescriptorMargin;
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
    e_.load.retries = 2;
    e_.load.retry_wait_ms = {50, 150};
    e_.load.leave_share = 0.01;
    e_.load.once_share = 0.05;
    e_.load.keeps_connections = true;
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
    fault.down = DrawMillis(300, 1500);
    if (Chance(0.4)) {
      fault.second_term_after = DrawMillis(0, 2000);
    }
    if (Chance(0.4)) {
      fault.hup_after = DrawMillis(0, 500);
    }
    return kTermTakes + fault.down + kBackUpTakes;
  }
  Duration AddHups(Duration at, size_t gateway) {
    Fault& fault = Add(FaultKind::kGatewayHup, "gateway-hup", at, gateway);
    fault.count = 1 + Pick(5);
    fault.every = DrawMillis(1, 200);
    return static_cast<int64_t>(fault.count) * fault.every;
  }
  Duration AddKill(Duration at, size_t gateway) {
    Fault& fault = Add(FaultKind::kGatewayKill, "gateway-kill", at, gateway);
    fault.down = DrawMillis(300, 2000);
    return fault.down + kBackUpTakes;
  }
  Duration AddStop(Duration at, size_t gateway) {
    Fault& fault = Add(FaultKind::kGatewayStop, "gateway-stop", at, gateway);
    fault.lasts = DrawMillis(50, 1500);
    return fault.lasts + kBackUpTakes;
  }
  // A new process is ready within a second and a half: killed or stopped before, just then or
  // after.
  Duration AddUpgrade(Duration at, size_t gateway) {
    Fault& fault = Add(FaultKind::kGatewayUpgrade, "gateway-upgrade", at, gateway);
    constexpr std::array kFates = {UpgradeFate::kTakesOver, UpgradeFate::kKilled,
                                   UpgradeFate::kStopped};
    fault.fate = kFates[Pick(kFates.size())];
    fault.fate_after = DrawMillis(0, 1500);
    fault.lasts = fault.fate == UpgradeFate::kStopped ? kStoppedFor : Duration(0);
    return fault.fate == UpgradeFate::kStopped ? kStoppedFor + kUpgradeTakes : kUpgradeTakes;
  }

  // ---- Gateways that agree ----
  void AddCluster() {
    e_.gateway.count = 5;
    e_.gateway.sockets = kSockets;
    e_.bank.on = true;
    e_.bank.deltas = Chance(0.5);
    bool disk_replaced = false;
    Duration at = kFirstFault + DrawMillis(500, 1500);
    while (IsTime(at)) {
      const size_t gateway = Pick(e_.gateway.count);
      at += Chance(0.6) ? AddLinkFault(at, gateway) : AddMemberFault(at, gateway, disk_replaced);
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
    fault.lasts = DrawMillis(500, 2500);
    fault.ways = static_cast<Ways>(Pick(3));
    fault.resets = Chance(0.5);
    fault.delay_ms = {5, Draw(10, 300)};
    fault.share = Draw(0.02, 0.2);
    return fault.lasts;
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
      e_.faults.back().disk = Chance(0.5) ? DiskIs::kOld : DiskIs::kNone;
      disk_replaced = true;
    }
    return takes;
  }

  void AddListFault() {
    if (Chance(0.5)) {
      Fault& fault = Add(FaultKind::kListSilent, "list-silent", kFirstFault, 0);
      fault.at += DrawMillis(0, 6000);
      fault.lasts = DrawMillis(500, 4000);
    }
  }

  std::mt19937_64 random_;
  Experiment e_;
};

Result PlaySeed(const SoakOptions& options, uint64_t seed) {
  RunOptions run;
  run.gateway = options.gateway;
  run.logs = options.logs;
  Result result;
  for (int attempt = 0; attempt < kMaxAttempts; ++attempt) {
    result = RunExperiment(DrawSoakExperiment(seed), run);
    if (result.verdict != Verdict::kVoid) {
      break;
    }
  }
  return result;
}

}  // namespace

Experiment DrawSoakExperiment(uint64_t seed) {
  return SoakScript(seed).Take();
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

std::string SoakLine(const Result& result) {
  std::string line = fmt::format("seed {}: {}", result.seed, NameOf(result.verdict));
  if (!result.broken.empty()) {
    line += fmt::format(", {} ({} in all)", result.broken.front(), result.broken.size());
  } else if (!result.late.empty()) {
    line += ", " + result.late.front();
  }
  return line + fmt::format(" | paddlestile lab soak --seed {} --seeds 1", result.seed);
}

}  // namespace paddlestile::lab
