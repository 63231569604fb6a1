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
constexpr uint64_t kClusterEvery = 3;      // seeds
constexpr uint64_t kIdleClientsEvery = 4;  // seeds without a cluster
constexpr int kMaxAttempts = 3;            // runs until there is a verdict

constexpr Duration kLength{16'000'000};
constexpr Duration kClusterLength{18'000'000};
constexpr Duration kFirstFault{1'000'000};
constexpr Duration kLastFaultBeforeEnd{4'000'000};
constexpr Duration kDeadline{1'500'000};
constexpr Duration kTermMargin{1'000'000};     // after SIGTERM, in addition to the longest deadline
constexpr Duration kUpgradeMargin{3'000'000};  // in addition, from the start of the new process
// Of a new process; longer than the old one takes to serve again.
constexpr Duration kNewProcessStopDuration{3'500'000};
constexpr Duration kReadmissionTime{1'500'000};  // from the start of a process until clients use it

constexpr size_t kSockets = 512;                 // socket limit of a gateway
constexpr size_t kSocketsWithIdleClients = 160;  // the same, to be exhausted by idle clients
constexpr size_t kIdleClients = 400;             // more than kSocketsWithIdleClients
// The wide mix.
constexpr Duration kWideLength{26'000'000};
constexpr Duration kLongDeadline{6'000'000};  // longer than a hung new process stays undetected
constexpr UniformRange kLongWaitMs{3500, 5200};
constexpr UniformRange kLongShare{0.02, 0.12};  // up to more than the gateways can hold
constexpr uint64_t kLongShareStream = 1;
// Discovery that is slow. A change has 6 s, of which a silent watch may take over 2 s to be
// noticed.
constexpr double kMaxDiscoveryResponseMs = 3000;
constexpr size_t kMaxDiscoveryPieces = 8;
constexpr uint64_t kDiscoveryStream = 2;
// Peers that are slow.
constexpr uint64_t kSlowPeerStream = 3;
constexpr double kSlowClientShare = 0.1;  // of the requests, and of the responses
constexpr double kLongMessageShare = 0.1;
constexpr double kMaxRequestBytes = 200'000;
constexpr double kMaxResponseBytes = 300'000;
constexpr double kMaxWritingMs = 1000;              // leaves the rest of kDeadline for the work
constexpr double kMaxTruncatedShare = 0.05;         // of the responses
constexpr double kMisbehavingClientsPerSecond = 2;  // misbehaving clients of each kind
constexpr Duration kQuiesceDuration{6'000'000};     // from quiesce until the gateway is resumed
constexpr Duration kReloadAt{300'000};              // before any other fault
constexpr double kDescriptorMargin = 64;  // in addition to the socket limit: files, pipes, timers
constexpr double kMaxResidentMegabytes = 160;

class SoakScript {
 public:
  SoakScript(uint64_t seed, SoakMix mix)
      : random_(seed * kSeedMultiplier + 1),
        long_share_random_(seed * kSeedMultiplier + 1 + kLongShareStream),
        discovery_random_(seed * kSeedMultiplier + 1 + kDiscoveryStream),
        slow_peer_random_(seed * kSeedMultiplier + 1 + kSlowPeerStream),
        is_wide_(mix == SoakMix::kWide) {
    experiment_.name = "soak";
    experiment_.about = "Faults in series, drawn from the seed.";
    experiment_.seed = seed;
    const bool has_cluster = seed % kClusterEvery == 0;
    AddHostsAndClasses();
    AddLoad();
    if (is_wide_) {
      AddWideLoad(has_cluster);
    }
    experiment_.length = is_wide_ ? kWideLength : has_cluster ? kClusterLength : kLength;
    if (has_cluster) {
      AddCluster();
    } else {
      AddGateways(seed % kIdleClientsEvery == 0);
    }
    if (mix == SoakMix::kSlowPeers) {
      AddSlowPeers();
    }
    AddDiscoveryFault();
    AddSlowDiscovery();
    if (is_wide_) {
      AddWideFaults();
    }
    experiment_.requirements.max_rss_mb = kMaxResidentMegabytes;
    experiment_.requirements.max_descriptors =
        static_cast<double>(experiment_.gateway.sockets) + kDescriptorMargin;
  }

  Experiment TakeExperiment() { return std::move(experiment_); }

 private:
  double Draw(double low, double high) {
    return std::uniform_real_distribution<double>(low, high)(random_);
  }
  Duration DrawMillis(double low, double high) {
    return Duration(static_cast<int64_t>(Draw(low, high) * 1000));
  }
  size_t DrawIndex(size_t size) {
    return std::uniform_int_distribution<size_t>(0, size - 1)(random_);
  }
  bool DrawChance(double probability) { return Draw(0, 1) < probability; }

  void AddHostsAndClasses() {
    HostGroup hosts;
    hosts.name = "std";
    hosts.count = 10;
    hosts.speed = {0.85, 1.1};
    experiment_.hosts = {hosts};
    experiment_.zones = {hosts.zone};
    experiment_.kinds = {hosts.kind};
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
    experiment_.classes = {safe, keyed};
  }
  void AddLoad() {
    experiment_.load.rate = {{Duration(0), 250}};
    experiment_.load.max_retries = 2;
    experiment_.load.retry_delay_ms = {50, 150};
    experiment_.load.client_abort_share = 0.01;
    experiment_.load.close_after_response_share = 0.05;
    experiment_.load.keeps_open_connections = true;
  }
  Fault& AddFault(FaultKind kind, const char* name, Duration at, size_t gateway) {
    Fault& fault = experiment_.faults.emplace_back();
    fault.kind = kind;
    fault.name = name;
    fault.at = at;
    fault.gateway = gateway;
    return fault;
  }
  [[nodiscard]] bool AllowsFaultAt(Duration at) const {
    return at <= experiment_.length - kLastFaultBeforeEnd;
  }

  // The longest time from SIGTERM until a process has exited.
  [[nodiscard]] Duration MaxTerminationTime() const {
    Duration longest{0};
    for (const ClassSpec& request_class : experiment_.classes) {
      longest = std::max(longest, request_class.rules.deadline);
    }
    return longest + kTermMargin;
  }

  // ---- Additions of the wide mix -------
  // A cluster gets no long requests, because a quiesce has to finish before they would.
  void AddWideLoad(bool has_cluster) {
    if (!has_cluster) {
      ClassSpec long_class = experiment_.classes.front();
      long_class.name = "soak-long";
      long_class.rules.latency_objective = kLongDeadline;
      long_class.rules.deadline = kLongDeadline;
      long_class.share =
          std::uniform_real_distribution(kLongShare.low, kLongShare.high)(long_share_random_);
      long_class.wait_ms = kLongWaitMs;
      experiment_.classes.push_back(long_class);
    }
    for (int kind = 0; kind <= static_cast<int>(MisbehaviorKind::kByteByByte); ++kind) {
      if (static_cast<MisbehaviorKind>(kind) == MisbehaviorKind::kHugeLength) {
        continue;  // sending its large bodies would make the lab itself late
      }
      experiment_.load.misbehaving_clients.push_back({static_cast<MisbehaviorKind>(kind),
                                                      kMisbehavingClientsPerSecond, kFirstFault,
                                                      kWideLength - kDeadline});
    }
  }
  void AddWideFaults() {
    AddReload();
    AddHostFaults();
    struct DiscoveryFault {
      FaultKind kind;
      const char* name;
    };
    constexpr std::array<DiscoveryFault, 4> kDiscoveryFaults = {
        {{FaultKind::kDiscoveryMalformed, "list-malformed"},
         {FaultKind::kDiscoveryStale, "list-old"},
         {FaultKind::kDiscoveryLag, "list-lag"},
         {FaultKind::kDiscoveryMoved, "list-moved"}}};
    const DiscoveryFault& chosen = kDiscoveryFaults[DrawIndex(kDiscoveryFaults.size())];
    Fault& fault = AddFault(chosen.kind, chosen.name, kFirstFault + DrawMillis(7000, 15000), 0);
    fault.duration = DrawMillis(500, 2000);
    fault.discovery_lag = DrawMillis(200, 1500);
  }
  // Reloads settings that add a class.
  void AddReload() {
    ClassSpec new_class = experiment_.classes.front();
    new_class.name = "soak-late";
    new_class.share = 0.1;
    new_class.in_initial_settings = false;
    new_class.available_from = kReloadAt + kReloadCompletionDelay + kMaxReloadTime;
    experiment_.classes.push_back(new_class);
    Fault& fault = AddFault(FaultKind::kGatewayReload, "gateway-reload", kReloadAt, 0);
    fault.request_class = new_class.name;
  }
  void AddHostFaults() {
    Fault& drain = AddFault(FaultKind::kDrain, "drain", kFirstFault + DrawMillis(0, 8000), 0);
    drain.count = 1;
    drain.exit_delay = DrawMillis(2000, 4000);
    Fault& restart =
        AddFault(FaultKind::kRestart, "restart", kFirstFault + DrawMillis(9000, 16000), 0);
    restart.count = 1;
    restart.downtime = DrawMillis(500, 2000);
  }
  Duration AddQuiesce(Duration at, size_t gateway) {
    AddFault(FaultKind::kGatewayQuiesce, "gateway-quiesce", at, gateway).duration =
        kQuiesceDuration;
    return kQuiesceDuration + kReadmissionTime;
  }
  Duration AddFullDisk(Duration at, size_t gateway) {
    Fault& fault = AddFault(FaultKind::kGatewayDisk, "gateway-disk", at, gateway);
    fault.disk = DiskState::kFull;
    fault.duration = DrawMillis(500, 2000);
    return fault.duration;
  }
  Duration AddWideMemberFault(Duration at, size_t gateway) {
    switch (DrawIndex(3)) {
      case 0:
        return AddQuiesce(at, gateway);
      case 1:
        return AddFullDisk(at, gateway);
      default:
        return AddUpgrade(at, gateway);
    }
  }

  // ---- Independent gateways -----------
  void AddGateways(bool with_idle_clients) {
    experiment_.gateway.count = 2 + DrawIndex(2);
    experiment_.gateway.sockets = with_idle_clients ? kSocketsWithIdleClients : kSockets;
    experiment_.load.idle_connections = with_idle_clients ? kIdleClients : 0;
    for (size_t gateway = 0; gateway < experiment_.gateway.count; ++gateway) {
      Duration at = kFirstFault + DrawMillis(0, 2500);
      while (AllowsFaultAt(at)) {
        at += AddGatewayFault(at, gateway) + DrawMillis(100, 1500);
      }
    }
  }
  // Adds a fault and returns how long this gateway must have no other fault.
  Duration AddGatewayFault(Duration at, size_t gateway) {
    switch (DrawIndex(8)) {
      case 0:
      case 1:
        return AddTerm(at, gateway);
      case 2:
        return AddHangups(at, gateway);
      case 3:
        return AddKill(at, gateway);
      case 4:
        return AddStop(at, gateway);
      default:
        return AddUpgrade(at, gateway);
    }
  }
  Duration AddTerm(Duration at, size_t gateway) {
    Fault& fault = AddFault(FaultKind::kGatewayTerm, "gateway-term", at, gateway);
    fault.kill_at_earliest = true;
    fault.downtime = DrawMillis(300, 1500);
    if (DrawChance(0.4)) {
      fault.second_term_after = DrawMillis(0, 2000);
    }
    if (DrawChance(0.4)) {
      fault.hup_after = DrawMillis(0, 500);
    }
    return MaxTerminationTime() + fault.downtime + kReadmissionTime;
  }
  Duration AddHangups(Duration at, size_t gateway) {
    Fault& fault = AddFault(FaultKind::kGatewayHangup, "gateway-hup", at, gateway);
    fault.count = 1 + DrawIndex(5);
    fault.interval = DrawMillis(1, 200);
    return static_cast<int64_t>(fault.count) * fault.interval;
  }
  Duration AddKill(Duration at, size_t gateway) {
    Fault& fault = AddFault(FaultKind::kGatewayKill, "gateway-kill", at, gateway);
    fault.downtime = DrawMillis(300, 2000);
    return fault.downtime + kReadmissionTime;
  }
  Duration AddStop(Duration at, size_t gateway) {
    Fault& fault = AddFault(FaultKind::kGatewayStop, "gateway-stop", at, gateway);
    fault.duration = DrawMillis(50, 1500);
    return fault.duration + kReadmissionTime;
  }
  // A new process is ready within 1.5 s, so the delay places the kill or stop before, during or
  // after that.
  Duration AddUpgrade(Duration at, size_t gateway) {
    Fault& fault = AddFault(FaultKind::kGatewayUpgrade, "gateway-upgrade", at, gateway);
    constexpr std::array kOutcomes = {UpgradeOutcome::kTakesOver, UpgradeOutcome::kKilled,
                                      UpgradeOutcome::kStopped};
    fault.upgrade_outcome = kOutcomes[DrawIndex(kOutcomes.size())];
    fault.upgrade_outcome_delay = DrawMillis(0, 1500);
    fault.duration =
        fault.upgrade_outcome == UpgradeOutcome::kStopped ? kNewProcessStopDuration : Duration(0);
    const Duration busy_time = kUpgradeMargin + MaxTerminationTime();
    return fault.upgrade_outcome == UpgradeOutcome::kStopped ? kNewProcessStopDuration + busy_time
                                                             : busy_time;
  }

  // ---- Clusters ---------------
  void AddCluster() {
    experiment_.gateway.count = 5;
    experiment_.gateway.sockets = kSockets;
    experiment_.cluster.enabled = true;
    experiment_.cluster.uses_delta_changes = DrawChance(0.5);
    bool disk_replaced = false;
    Duration at = kFirstFault + DrawMillis(500, 1500);
    while (AllowsFaultAt(at)) {
      const size_t gateway = DrawIndex(experiment_.gateway.count);
      if (is_wide_ && DrawChance(0.4)) {
        at += AddWideMemberFault(at, gateway);
      } else {
        at += DrawChance(0.6) ? AddLinkFault(at, gateway)
                              : AddMemberFault(at, gateway, disk_replaced);
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
    const LinkFault& chosen = kLinkFaults[DrawIndex(kLinkFaults.size())];
    Fault& fault = AddFault(chosen.kind, chosen.name, at, gateway);
    fault.duration = DrawMillis(500, 2500);
    fault.link_direction = static_cast<LinkDirection>(DrawIndex(3));
    fault.reset_connections = DrawChance(0.5);
    fault.delay_ms = {5, Draw(10, 300)};
    fault.request_share = Draw(0.02, 0.2);
    return fault.duration;
  }
  // Replaces at most one disk: losing two of three voters' disks at the same time loses history.
  Duration AddMemberFault(Duration at, size_t gateway, bool& disk_replaced) {
    switch (DrawIndex(3)) {
      case 0:
        return AddStop(at, gateway);
      case 1:
        return AddTerm(at, gateway);
      default:
        break;
    }
    const Duration busy_time = AddKill(at, gateway);
    if (!disk_replaced && DrawChance(0.5)) {
      experiment_.faults.back().disk = DrawChance(0.5) ? DiskState::kRolledBack : DiskState::kEmpty;
      disk_replaced = true;
    }
    return busy_time;
  }

  void AddDiscoveryFault() {
    if (DrawChance(0.5)) {
      Fault& fault = AddFault(FaultKind::kDiscoverySilent, "list-silent", kFirstFault, 0);
      fault.at += DrawMillis(0, 6000);
      fault.duration = DrawMillis(500, 4000);
    }
  }

  void AddSlowPeers() {
    const auto draw = [this](double low, double high) {
      return std::uniform_real_distribution(low, high)(slow_peer_random_);
    };
    experiment_.load.slow_send_share = kSlowClientShare;
    experiment_.load.slow_read_share = kSlowClientShare;
    ClassSpec long_read = experiment_.classes[0];
    long_read.name = "soak-long-read";
    long_read.share = kLongMessageShare;
    long_read.response_bytes = {200, kMaxResponseBytes};
    ClassSpec long_write = experiment_.classes[1];
    long_write.name = "soak-long-write";
    long_write.share = kLongMessageShare;
    long_write.body_bytes = {0, kMaxRequestBytes};
    experiment_.classes.push_back(long_read);
    experiment_.classes.push_back(long_write);
    const Duration duration = experiment_.length - kFirstFault;
    Fault& slow = AddFault(FaultKind::kSlowResponses, "slow-writes", kFirstFault, 0);
    slow.host_share = 1;
    slow.duration = duration;
    slow.request_share = draw(0.05, 0.5);
    slow.stall_duration = Duration(static_cast<int64_t>(draw(0, kMaxWritingMs) * 1000));
    Fault& truncated = AddFault(FaultKind::kTruncatedResponses, "ends-early", kFirstFault, 0);
    truncated.host_share = 1;
    truncated.duration = duration;
    truncated.request_share = draw(0, kMaxTruncatedShare);
  }

  // In two of three experiments, discovery takes time to respond to a watch.
  void AddSlowDiscovery() {
    const auto draw = [this](double low, double high) {
      return std::uniform_real_distribution(low, high)(discovery_random_);
    };
    if (draw(0, 3) < 1) {
      return;
    }
    experiment_.discovery_response_ms = {0, draw(0, kMaxDiscoveryResponseMs)};
    experiment_.discovery_response_pieces =
        std::uniform_int_distribution<size_t>(1, kMaxDiscoveryPieces)(discovery_random_);
  }

  std::mt19937_64 random_;
  // Separate generators, so that these draws do not change the faults of a seed.
  std::mt19937_64 long_share_random_, discovery_random_, slow_peer_random_;
  bool is_wide_;
  Experiment experiment_;
};

// The time of the first and the last breach of a rule; empty if there was none.
std::string DescribeBreachPeriod(const Ledger::Counts& counts) {
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

std::string_view NameOf(SoakMix mix) {
  switch (mix) {
    case SoakMix::kBase:
      return "base";
    case SoakMix::kWide:
      return "wide";
    case SoakMix::kSlowPeers:
      return "slow-peers";
  }
  return "";
}

Experiment DrawSoakExperiment(uint64_t seed, SoakMix mix) {
  return SoakScript(seed, mix).TakeExperiment();
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
                        DescribeBreachPeriod(result.counts));
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
                            mix == SoakMix::kBase ? "" : fmt::format(" --mix {}", NameOf(mix)),
                            result.seed);
}

}  // namespace paddlestile::lab
