#include "lab/runner.h"

#include <fmt/format.h>
#include <sys/resource.h>

#include <algorithm>
#include <csignal>
#include <deque>
#include <filesystem>
#include <fstream>
#include <functional>
#include <memory>
#include <nlohmann/json.hpp>
#include <random>
#include <set>
#include <string_view>
#include <utility>

#include "event/event_loop.h"
#include "lab/cluster_experiment.h"
#include "lab/directory.h"
#include "lab/fleet.h"
#include "lab/health_call.h"
#include "lab/ledger.h"
#include "lab/listener.h"
#include "lab/load.h"
#include "lab/process.h"
#include "lab/process_sockets.h"
#include "lab/processor_time.h"
#include "lab/signal_watch.h"
#include "lab/stopped_processes.h"

namespace paddlestile::lab {
namespace {

using std::chrono::seconds;

constexpr size_t kGatewayPlaces = 40'000;      // addresses behind those of the sources
constexpr Duration kUpWithin{10'000'000};      // us; for a gateway to come up
constexpr Duration kLinkedWithin{60'000'000};  // us; for a bank to be formed and linked
constexpr Duration kHangAfter{3'000'000};      // us; without an answer to /_health
constexpr Duration kHealthEvery{500'000};      // us
constexpr Duration kFrontTakesOut{300'000};    // us; after SIGTERM
constexpr Duration kKillAllowance{700'000};    // us; from SIGTERM to SIGKILL beyond a deadline
// us; until the old process serves again where a new one that was ready hangs.
constexpr Duration kRevokedWithin{2'500'000};
constexpr Duration kFrontNotices{1'000'000};  // us; that one has died
constexpr Duration kSampleEvery{250'000};     // us
constexpr Duration kLagEvery{5'000};          // us
constexpr Duration kLookEvery{20'000};        // us; at the ledger and the processes
constexpr Duration kLagSpan{1'000'000};       // us; lateness is excused for so long after it
constexpr Duration kEndSpare{3'000'000};      // us; beyond the last deadline
constexpr Duration kEmptyWithin{4'000'000};   // us; after an operator's drain
constexpr Duration kBackWithin{2'000'000};    // us; after its end
constexpr Duration kNewWithin{6'000'000};     // us; for a new process to say yes
constexpr Duration kOperateAgain{50'000};     // us; between two of an operator's calls
constexpr Duration kMaxLookingForConnections{50'000};  // us; of lost requests, in a play
constexpr size_t kTailLines = 20;

double Seconds(Duration d) {
  return static_cast<double>(d.count()) / 1e6;
}

struct GatewayState {
  Address address;
  std::string config_path, log_path;
  std::unique_ptr<Process> process;
  bool expected_to_end = false;  // the script has it so
  bool stopped = false;          // the script has stopped it
  bool up = false;
  Address admin;                                // where operators call
  std::unique_ptr<Process> next, before;        // of an upgrade: that which comes, that which goes
  bool next_fails = false;                      // the script has `next` killed or stopped
  uint64_t start = 0;                           // of `process`: grows with each
  std::unique_ptr<HealthCall> health, operate;  // the second an operator's
  Time asked{0};                                // when /_health was asked
  Process::Usage used;                          // at the last look
  double cpu_before = 0;  // of processes that have ended, less what was used before time 0
};

class Runner {
 public:
  Runner(Experiment experiment, const RunOptions& options)
      : e_(std::move(experiment)),
        options_(options),
        seed_(options.seed.value_or(e_.seed)),
        ledger_(ContentOf(e_, seed_)),
        fleet_(
            loop_, e_, ledger_, seed_,
            [this](const ListedHost& host, Duration lag) { directory_.OnHostChange(host, lag); }),
        directory_(loop_, ledger_, e_.gateway.count, e_.discovery_keepalive_interval),
        signals_(loop_, [this] {
          interrupted_ = true;
          loop_.Stop();
        }) {}

  Result Run() {
    RaiseLimits();
    random_.seed(seed_ ^ 0x6a7e);
    fleet_.Start();
    directory_.Start(fleet_.ListHosts());
    std::vector<Address> targets;
    if (options_.straight) {
      for (const ListedHost& host : fleet_.ListHosts()) {
        targets.push_back(host.address);
      }
    } else {
      for (size_t i = 0; i < e_.gateway.count; ++i) {
        targets.push_back(Prepare(i));
      }
      if (e_.cluster.enabled) {
        bank_ = std::make_unique<BankLab>(loop_, e_, ledger_, folder_.path(), seed_ ^ 0xba9c,
                                          kGatewayPlaces + e_.gateway.count);
      }
      for (size_t i = 0; i < e_.gateway.count; ++i) {
        StartGateway(i);
      }
      if (!AwaitGateways()) {
        return Finish();
      }
      if (bank_ && (e_.cluster.measured || e_.cluster.simulated_members > 0) && !AwaitBank()) {
        return Finish();
      }
    }
    load_ = std::make_unique<Load>(loop_, e_, ledger_, seed_ ^ 0x10ad, targets);
    ledger_.set_delay_provider([this](size_t n) { return DelayOf(n); });
    ledger_.set_describe_connection([this](size_t n) { return DescribeConnection(n); });
    if (options_.straight) {
      result_.faults.clear();
    }
    zero_ = loop_.Now();
    for (GatewayState& g : gateways_) {
      g.used = g.process->Measure();
      g.cpu_before = -g.used.cpu_us;
    }
    rusage own{};
    getrusage(RUSAGE_SELF, &own);
    lab_cpu_before_ = CpuUs(own);
    fleet_.SetStartTime(zero_);
    directory_.SetStartTime(zero_);
    lag_due_ = loop_.Now() + kLagEvery;
    loop_.RunAfter(kLagEvery, [this] { MeasureLag(); });
    Every(kSampleEvery, [this] { Sample(); });
    Every(kLookEvery, [this] { Look(); });
    Every(kProcessorSampleInterval, [this] { WatchProcesses(); });
    if (!options_.straight) {
      Every(kHealthEvery, [this] { AskHealth(); });
    }
    // Drawn now and in their order, whatever happens meanwhile.
    for (const Fault& fault : e_.faults) {
      Script(fault);
    }
    if (bank_) {
      bank_->Begin(zero_, fleet_.ListHosts());
    }
    load_->Start(zero_);
    loop_.Run();
    if (interrupted_) {
      throw Interrupted("interrupted; nothing is left running");
    }
    return Finish();
  }

 private:
  static LedgerRules ContentOf(const Experiment& e, uint64_t seed) {
    LedgerRules rules;
    for (const ClassSpec& c : e.classes) {
      rules.classes.push_back(c.rules);
    }
    rules.drain_grace = e.drain_grace;
    rules.id_prefix = fmt::format("r{:x}", seed);
    return rules;
  }
  static double CpuUs(const rusage& u) {
    return static_cast<double>(u.ru_utime.tv_sec + u.ru_stime.tv_sec) * 1e6 +
           static_cast<double>(u.ru_utime.tv_usec + u.ru_stime.tv_usec);
  }
  static void RaiseLimits() {
    rlimit files{};
    if (getrlimit(RLIMIT_NOFILE, &files) != 0) {
      return;
    }
    files.rlim_cur = files.rlim_max;
    setrlimit(RLIMIT_NOFILE, &files);
    std::signal(SIGPIPE, SIG_IGN);
  }

  [[nodiscard]] Time Now() const { return loop_.Now() - zero_; }
  void Every(Duration every, std::function<void()> then) {
    loop_.RunAfter(every, [this, every, then = std::move(then)] {
      then();
      Every(every, then);
    });
  }
  void At(Duration at, std::function<void()> then) { loop_.RunAfter(at - Now(), std::move(then)); }

  // ---- Gateways -----------------------------------------------------------------------------
  Address Prepare(size_t i) {
    GatewayState& g = gateways_.emplace_back();
    g.address = i == 0 && !e_.gateway.listen.empty() ? ParseAddress(e_.gateway.listen)
                                                     : LoopbackAddress(kGatewayPlaces + i);
    // A port in use is said before anything is played.
    const Listener taken(loop_, g.address, [](const FileDescriptor&) {});
    g.config_path = fmt::format("{}/gateway-{}.json", folder_.path(), i);
    g.log_path =
        fmt::format("{}/gateway-{}.log", options_.logs.empty() ? folder_.path() : options_.logs, i);
    return g.address;
  }

  void WriteConfig(size_t i) {
    using nlohmann::json;
    GatewayState& g = gateways_[i];
    const json config = {{"name", fmt::format("g{}", i)},
                         {"listen", ToText(g.address)},
                         {"discovery", ToText(directory_.AddressOf(i))},
                         {"seed", fmt::format("{:x}", seed_ * 1000 + i + starts_)},
                         {"limits", {{"cores", 1.0}, {"sockets", e_.gateway.sockets}}},
                         {"known", json::parse(directory_.FullList(i))},
                         {"settings", json::parse(SettingsJson(e_, i))}};
    // Whole or not at all: the gateway may read it at any time.
    const std::string part = g.config_path + ".part";
    std::ofstream(part) << config.dump();
    std::filesystem::rename(part, g.config_path);
  }

  void StartGateway(size_t i) {
    GatewayState& g = gateways_[i];
    ledger_.OnGatewayRestarted(i);
    WriteConfig(i);
    g.start = ++starts_;
    g.process = Run(i);
    g.expected_to_end = g.up = false;
    g.health.reset();
    g.used = {};
  }

  std::unique_ptr<Process> Run(size_t i) {
    GatewayState& g = gateways_[i];
    std::vector<std::string> words = options_.gateway;
    if (words.empty()) {
      words = {std::filesystem::read_symlink("/proc/self/exe").string(), "serve"};
      // Kept logs can be added up by fleet-report.
      if (!options_.logs.empty()) {
        words.insert(words.end(), {"--counters-every", "1"});
      }
    }
    std::vector<std::pair<std::string, std::string>> env = {
        {"LB_NAME", fmt::format("g{}", i)},
        {"LB_LISTEN", ToText(g.address)},
        {"LB_DISCOVERY", ToText(directory_.AddressOf(i))},
        {"LB_CONFIG", g.config_path}};
    if (bank_) {
      env[0].second = fmt::format("g{:03}", i);
      env.emplace_back("LB_OPERATOR", bank_->FileOf(i));
    }
    const auto operated = [](const Fault& f) {
      return f.kind > FaultKind::kGatewayHang && f.kind <= FaultKind::kGatewayUpgrade;
    };
    if (std::ranges::any_of(e_.faults, operated)) {
      // Another one for each start: two run at a time.
      g.admin = {g.address.host, static_cast<uint16_t>(g.address.port + 1 + starts_ % 100)};
      env.emplace_back("LB_ADMIN", ToText(g.admin));
      env.emplace_back("TMPDIR", folder_.path());
    }
    return std::make_unique<Process>(words, env, g.log_path, Process::Signals::kBlocked);
  }

  bool AwaitGateways() {
    const Time until = loop_.Now() + kUpWithin;
    while (!interrupted_) {
      bool all = true;
      for (size_t i = 0; i < gateways_.size(); ++i) {
        GatewayState& g = gateways_[i];
        if (const auto code = g.process->ExitCode()) {
          Broken(i, fmt::format("gateway {} ended with {} before it was up", i, *code));
          return false;
        }
        if (!g.up && !g.health) {
          AskHealth(i);
        }
        all = all && g.up;
      }
      if (all) {
        return true;
      }
      if (loop_.Now() > until) {
        result_.broken.emplace_back("a gateway did not come up within 10 s");
        AddLogs();
        return false;
      }
      loop_.RunOnce(Duration(10'000));
    }
    throw Interrupted("interrupted; nothing is left running");
  }

  // Until one leads all members of the bank.
  bool AwaitBank() {
    bank_->StartHollow([this](size_t i) {
      const GatewayState& g = gateways_[i];
      return g.process ? g.process->Measure() : Process::Usage{};
    });
    const Time until = loop_.Now() + kLinkedWithin;
    while (!bank_->Linked()) {
      if (interrupted_) {
        throw Interrupted("interrupted; nothing is left running");
      }
      if (loop_.Now() > until) {
        result_.broken.emplace_back("nobody led all members of the bank within 60 s");
        AddLogs();
        return false;
      }
      loop_.RunOnce(Duration(10'000));
    }
    return true;
  }

  void AskHealth(size_t i) {
    GatewayState& g = gateways_[i];
    g.asked = loop_.Now();
    g.health = std::make_unique<HealthCall>(loop_, g.address, [this, i](bool good) {
      GatewayState& at = gateways_[i];
      at.health.reset();
      if (good && !std::exchange(at.up, true) && load_) {
        // The front takes it in again.
        load_->SetDown(i, false);
        load_->SetInRotation(i, true);
      }
    });
  }
  void AskHealth() {
    if (finishing_) {
      return;
    }
    for (size_t i = 0; i < gateways_.size(); ++i) {
      GatewayState& g = gateways_[i];
      if (g.expected_to_end || g.stopped || !g.process) {
        continue;
      }
      if (!g.health) {
        AskHealth(i);
      } else if (loop_.Now() - g.asked > kHangAfter + lag_recent_) {
        Broken(i, fmt::format("gateway {} hangs: no answer to /_health for 3 s", i));
        loop_.Stop();
      }
    }
  }

  void Broken(size_t gateway, const std::string& what) {
    result_.broken.push_back(
        fmt::format("{} at {:.1f} s", what, zero_ > Time(0) ? Seconds(Now()) : 0));
    result_.logs.push_back(
        fmt::format("gateway {}:\n{}", gateway, TailOf(gateways_[gateway].log_path, kTailLines)));
  }
  void AddLogs() {
    for (size_t i = 0; i < gateways_.size(); ++i) {
      result_.logs.push_back(
          fmt::format("gateway {}:\n{}", i, TailOf(gateways_[i].log_path, kTailLines)));
    }
  }

  // ---- The script ---------------------------------------------------------------------------
  void Script(const Fault& fault) {
    if (fault.at > e_.length) {
      return;
    }
    const double to = Seconds(fault.at + fault.duration);
    result_.faults.push_back({Seconds(fault.at), to, fault.name, {}});
    const size_t place = result_.faults.size() - 1;
    At(fault.at, [this, &fault, place] { Play(fault, place); });
  }

  void Play(const Fault& fault, size_t place) {
    switch (fault.kind) {
      case FaultKind::kDiscoverySilent:
        directory_.SetSilent(true);
        return At(fault.at + fault.duration, [this] { directory_.SetSilent(false); });
      case FaultKind::kDiscoveryLag:
        directory_.SetLag(fault.discovery_lag);
        return At(fault.at + fault.duration, [this] { directory_.SetLag(Duration(0)); });
      case FaultKind::kDiscoveryMalformed:
        directory_.SetMalformed(true);
        return At(fault.at + fault.duration, [this] { directory_.SetMalformed(false); });
      case FaultKind::kDiscoveryStale:
        directory_.SetStale(true);
        return At(fault.at + fault.duration, [this] { directory_.SetStale(false); });
      case FaultKind::kDiscoveryMoved:
        directory_.MoveAgents();
        for (size_t i = 0; i < gateways_.size(); ++i) {
          WriteConfig(i);
          // Both of a hot restart, as only one of them will be left.
          for (const auto* const process : {&gateways_[i].process, &gateways_[i].next}) {
            if (*process) {
              (*process)->Signal(SIGHUP);
            }
          }
        }
        return;
      case FaultKind::kGatewayTerm:
      case FaultKind::kGatewayKill:
      case FaultKind::kGatewayStop:
      case FaultKind::kGatewayHang:
        return PlayGateways(fault);
      case FaultKind::kGatewayDisk:
      case FaultKind::kLinkCut:
      case FaultKind::kLinkSlow:
      case FaultKind::kLinkFlap:
      case FaultKind::kLinkNoise:
        return bank_->Play(fault);
      case FaultKind::kGatewayQuiesce:
        return PlayQuiesce(fault);
      case FaultKind::kGatewayReload:
        return PlayReload(fault);
      case FaultKind::kGatewayUpgrade:
        return PlayUpgrade(fault);
      case FaultKind::kGatewayHangup:
        return PlayHups(fault);
      default:
        break;
    }
    const std::vector<size_t> chosen = fleet_.ChooseHosts(fault);
    const auto listed = fleet_.ListHosts();
    for (const size_t host : chosen) {
      const auto at = std::ranges::find(listed, host, &ListedHost::host_index);
      if (at != listed.end()) {
        result_.faults[place].hosts.push_back(at->id);
      }
    }
    fleet_.BeginFault(fault, chosen);
    if (fault.duration > Duration(0)) {
      At(fault.at + fault.duration, [this, &fault, chosen] { fleet_.EndFault(fault, chosen); });
    }
  }

  // The one that is named, or several that the seed draws.
  void PlayGateways(const Fault& fault) {
    std::set<size_t> chosen(fault.gateway_list.begin(), fault.gateway_list.end());
    if (!fault.random_gateway_count && chosen.empty()) {
      chosen.insert(fault.gateway);
    }
    while (fault.random_gateway_count && chosen.size() < *fault.random_gateway_count) {
      chosen.insert(std::uniform_int_distribution<size_t>(0, gateways_.size() - 1)(random_));
    }
    for (const size_t i : chosen) {
      PlayGateway(fault, i);
    }
  }
  void PlayGateway(const Fault& fault, size_t i) {
    GatewayState& g = gateways_[i];
    if (!g.process || g.stopped || g.expected_to_end) {
      return;
    }
    if (fault.kind == FaultKind::kGatewayHang || fault.kind == FaultKind::kGatewayStop) {
      const bool planned = fault.kind == FaultKind::kGatewayStop;
      if (planned) {
        // What it has in hand may be as much later; the front notices and takes it out.
        const size_t stop = StopServing(i, fault.duration);
        if (fault.duration > kFrontNotices) {
          loop_.RunAfter(kFrontNotices,
                         [this, i] { load_->SetInRotation(i, !gateways_[i].stopped); });
        }
        if (bank_) {
          bank_->Down(i, true);
        }
        loop_.RunAfter(fault.duration, [this, i, stop] {
          stopped_.Continue(stop, Now());
          load_->SetInRotation(i, true);
          if (bank_) {
            bank_->Down(i, false);
          }
        });
      }
      g.stopped = true;
      g.process->Signal(SIGSTOP);
      loop_.RunAfter(fault.duration, [this, i] {
        gateways_[i].stopped = false;
        gateways_[i].health.reset();
        // It may have become the old process of a hot restart meanwhile.
        for (const auto* const process : {&gateways_[i].process, &gateways_[i].before}) {
          if (*process) {
            (*process)->Signal(SIGCONT);
          }
        }
      });
      return;
    }
    g.used = g.process->Measure();
    g.expected_to_end = true;
    load_->SetDown(i, true);
    if (fault.kind == FaultKind::kGatewayKill) {
      KillServing(i);
      if (bank_) {
        bank_->Down(i, true);
      }
      loop_.RunAfter(kFrontNotices, [this, i] { load_->SetInRotation(i, gateways_[i].up); });
    } else {
      g.process->Signal(SIGTERM);
      loop_.RunAfter(kFrontTakesOut, [this, i] { load_->SetInRotation(i, false); });
      PlaySignalsAfterTerm(fault, i);
    }
    g.up = false;
    const Duration longest = Longest();
    const bool killed = fault.kind == FaultKind::kGatewayKill;
    loop_.RunAfter(fault.downtime, [this, i, killed, disk = fault.disk,
                                    until = loop_.Now() + longest + seconds(1)] {
      if (bank_ && killed) {
        bank_->ChangeDisk(i, disk);
        bank_->Down(i, false);
      }
      Restart(i, until);
    });
  }

  // Stops the process that serves, for so long, and notes what that must cost. The number of the
  // stop.
  size_t StopServing(size_t i, Duration lasts) {
    GatewayState& g = gateways_[i];
    g.process->Stop();
    if (!g.next && !g.before) {
      return stopped_.StopGateway(i, Now(), Now() + lasts);
    }
    return stopped_.StopHotRestartProcess(i, Now(), Now() + lasts,
                                          AcceptedConnections(g.process->pid(), g.address), lasts);
  }
  // Kills the process that serves. What it had accepted ends by that; where it is the only one of
  // its gateway, also what nobody had accepted.
  void KillServing(size_t i) {
    GatewayState& g = gateways_[i];
    if (g.next || g.before) {
      g.process->Stop();
      load_->MarkConnectionsKilled(i, AcceptedConnections(g.process->pid(), g.address));
      g.process->Kill();
      return;
    }
    g.process->Kill();
    load_->MarkAllConnectionsKilled(i);
  }

  // Sends a signal to the present process of a gateway, unless another one has started by then.
  void SignalAfter(Duration after, size_t i, int signal) {
    loop_.RunAfter(after, [this, i, signal, start = gateways_[i].start] {
      GatewayState& g = gateways_[i];
      if (!finishing_ && g.process && g.start == start && !g.process->ExitCode()) {
        g.process->Signal(signal);
      }
    });
  }
  void PlaySignalsAfterTerm(const Fault& fault, size_t i) {
    if (fault.second_term_after) {
      SignalAfter(*fault.second_term_after, i, SIGTERM);
    }
    if (fault.hup_after) {
      SignalAfter(*fault.hup_after, i, SIGHUP);
    }
    if (fault.kill_at_earliest) {
      loop_.RunAfter(Longest() + kKillAllowance, [this, i, start = gateways_[i].start] {
        GatewayState& g = gateways_[i];
        if (!finishing_ && g.process && g.start == start) {
          g.process->Kill();
        }
      });
    }
  }
  void PlayHups(const Fault& fault) {
    for (size_t k = 0; k < std::max<size_t>(fault.count, 1); ++k) {
      SignalAfter(static_cast<int64_t>(k) * fault.interval, fault.gateway, SIGHUP);
    }
  }

  // ---- What operators do --------------------------------------------------------------------
  // A call that has to be answered with yes, again and again until then.
  void Operate(size_t i, const std::string& call, const Address& to, Time until,
               std::function<void()> then) {
    GatewayState& g = gateways_[i];
    g.operate = std::make_unique<HealthCall>(
        loop_, to,
        [this, i, call, to, until, then = std::move(then)](bool good) {
          if (finishing_) {
            return;
          }
          if (good) {
            return then();
          }
          if (loop_.Now() > until + lag_recent_) {
            Broken(i, fmt::format("gateway {} gives no yes to {}", i, call));
            return loop_.Stop();
          }
          loop_.RunAfter(kOperateAgain,
                         [this, i, call, to, until, then] { Operate(i, call, to, until, then); });
        },
        call);
  }

  void PlayQuiesce(const Fault& fault) {
    const size_t i = fault.gateway;
    Operate(i, "POST /admin/quiesce", gateways_[i].admin, loop_.Now() + seconds(1), [this, i] {
      loop_.RunAfter(kFrontTakesOut, [this, i] { load_->SetInRotation(i, false); });
      loop_.RunAfter(kEmptyWithin, [this, i] {
        if (const size_t open = load_->OpenConnectionsTo(i); open > 0 && !finishing_) {
          Broken(i, fmt::format("gateway {} holds {} connections 4 s after quiesce", i, open));
          loop_.Stop();
        }
        GatewayState& g = gateways_[i];
        g.operate = std::make_unique<HealthCall>(loop_, g.address, [this, i](bool good) {
          if (!good || finishing_) {
            return;
          }
          Broken(i, fmt::format("gateway {} still wants clients 4 s after quiesce", i));
          loop_.Stop();
        });
      });
    });
    loop_.RunAfter(std::max(fault.duration, kEmptyWithin + seconds(1)), [this, i] {
      const Time until = loop_.Now() + kBackWithin;
      Operate(i, "POST /admin/resume", gateways_[i].admin, until, [this, i, until] {
        Operate(i, "GET /_health", gateways_[i].address, until,
                [this, i] { load_->SetInRotation(i, true); });
      });
    });
  }

  // Half a file first, which changes nothing; then the whole.
  void PlayReload(const Fault& fault) {
    for (GatewayState& g : gateways_) {
      std::ofstream(g.config_path) << R"({"discovery":"127.0.0.1:1","settings":{"Classes":[)";
      if (g.process) {
        g.process->Signal(SIGHUP);
      }
    }
    loop_.RunAfter(kReloadCompletionDelay, [this, &fault] {
      std::ranges::find(e_.classes, fault.request_class, &ClassSpec::name)->in_initial_settings =
          true;
      for (size_t i = 0; i < gateways_.size(); ++i) {
        WriteConfig(i);
        if (gateways_[i].process) {
          gateways_[i].process->Signal(SIGHUP);
        }
      }
    });
  }

  // A second process beside the first; once it says yes, the first is ended.
  void PlayUpgrade(const Fault& fault) {
    const size_t i = fault.gateway;
    GatewayState& g = gateways_[i];
    if (!g.process || g.next || g.before) {
      return;
    }
    WriteConfig(i);
    ++starts_;
    const Address admin = g.admin;
    g.next = Run(i);
    g.next_fails = fault.upgrade_outcome != UpgradeOutcome::kTakesOver;
    if (g.next_fails) {
      g.admin = admin;
      loop_.RunAfter(fault.upgrade_outcome_delay, [this, &fault] { PlayFate(fault); });
      return;
    }
    Operate(i, "GET /admin/health", g.admin, loop_.Now() + kNewWithin, [this, i] {
      GatewayState& now = gateways_[i];
      now.cpu_before += now.process->Measure().cpu_us;
      now.before = std::exchange(now.process, std::move(now.next));
      now.start = ++starts_;
      now.before->Signal(SIGTERM);
      AwaitEnd(i, &GatewayState::before, "old", loop_.Now() + Longest() + seconds(1));
    });
  }
  // The new process of an upgrade is killed or stopped, whatever it has reached. What it had
  // accepted is lost to its killing alone; what it holds while it is stopped may be later, and what
  // waits in the queue until the old process serves again. The old process is judged throughout.
  void PlayFate(const Fault& fault) {
    const size_t i = fault.gateway;
    GatewayState& g = gateways_[i];
    if (finishing_ || !g.next) {
      return;
    }
    if (const auto code = g.next->ExitCode()) {
      Broken(i, fmt::format("gateway {}: the new process ended with {} by itself", i, *code));
      return loop_.Stop();
    }
    g.health.reset();
    g.next->Stop();
    std::vector<Address> accepted = AcceptedConnections(g.next->pid(), g.address);
    if (fault.upgrade_outcome == UpgradeOutcome::kKilled) {
      load_->MarkConnectionsKilled(i, accepted);
      g.next->Kill();
      return AwaitEnd(i, &GatewayState::next, "new", loop_.Now() + seconds(1));
    }
    const Duration lasts = std::max(fault.duration, kRevokedWithin);
    const size_t stop = stopped_.StopHotRestartProcess(i, Now(), Now() + lasts, std::move(accepted),
                                                       kRevokedWithin);
    loop_.RunAfter(lasts, [this, i, stop] {
      stopped_.Continue(stop, Now());
      GatewayState& now = gateways_[i];
      if (finishing_ || !now.next) {
        return;
      }
      now.next->Signal(SIGCONT);
      now.next->Signal(SIGTERM);
      AwaitEnd(i, &GatewayState::next, "new", loop_.Now() + Longest() + seconds(1));
    });
  }
  // One of the two processes of a hot restart has to end by `until`, with 0 unless the lab killed
  // it.
  void AwaitEnd(size_t i, std::unique_ptr<Process> GatewayState::*which, std::string_view role,
                Time until) {
    std::unique_ptr<Process>& process = gateways_[i].*which;
    if (finishing_ || !process) {
      return;
    }
    const auto code = process->ExitCode();
    if (!code && loop_.Now() <= until) {
      loop_.RunAfter(kOperateAgain,
                     [this, i, which, role, until] { AwaitEnd(i, which, role, until); });
      return;
    }
    if (!code) {
      Broken(i, fmt::format("gateway {}: the {} process did not end", i, role));
    } else if (!IsEndAsItShould(*process, *code)) {
      Broken(i, fmt::format("gateway {}: the {} process ended with {}", i, role, *code));
    }
    process.reset();
  }
  // After SIGTERM a process leaves with 0; killed by the lab, with what SIGKILL gives.
  static bool IsEndAsItShould(const Process& process, int code) {
    return code == 0 || (process.killed() && code == 128 + SIGKILL);
  }

  void Restart(size_t i, Time until) {
    GatewayState& g = gateways_[i];
    if (!g.process->ExitCode()) {
      if (loop_.Now() > until) {
        Broken(i, fmt::format("gateway {} did not end after SIGTERM", i));
        return loop_.Stop();
      }
      loop_.RunAfter(Duration(50'000), [this, i, until] { Restart(i, until); });
      return;
    }
    CheckEnd(i);
    g.cpu_before += g.used.cpu_us;
    StartGateway(i);
  }

  void CheckEnd(size_t i) {
    Process& process = *gateways_[i].process;
    const int code = process.ExitCode().value_or(0);
    if (!IsEndAsItShould(process, code)) {
      Broken(i, fmt::format("gateway {} ended with {}", i, code));
    }
  }

  [[nodiscard]] Duration Longest() const {
    Duration longest{0};
    for (const ClassSpec& c : e_.classes) {
      longest = std::max(longest, c.rules.deadline);
    }
    return longest;
  }

  // ---- What is looked at --------------------------------------------------------------------
  void MeasureLag() {
    const Duration late = std::max(Duration(0), loop_.Now() - lag_due_);
    lags_.push_back(static_cast<uint32_t>(late.count()));
    lag_max_ = std::max(lag_max_, late);
    recent_.emplace_back(loop_.Now(), late);
    while (loop_.Now() - recent_.front().first > kLagSpan) {
      recent_.pop_front();
    }
    lag_recent_ = Duration(0);
    for (const auto& [at, lag] : recent_) {
      lag_recent_ = std::max(lag_recent_, lag);
    }
    lag_due_ = loop_.Now() + kLagEvery;
    loop_.RunAfter(kLagEvery, [this] { MeasureLag(); });
  }

  // Looks at the queues of gateways whose new process is stopped, and at what each process has of
  // the processors; a first breach is told beside that.
  void WatchProcesses() {
    for (size_t i = 0; i < gateways_.size(); ++i) {
      const GatewayState& g = gateways_[i];
      if (stopped_.WatchesQueue(i, Now())) {
        stopped_.RecordQueued(i, Now(), QueuedConnections(i));
      }
      for (const GatewayProcess& running : ProcessesOf(g)) {
        processor_time_.Sample(Now(), fmt::format("gateway {}{}", i, running.role),
                               running.process->pid());
      }
    }
    std::ifstream machine("/proc/stat");
    processor_time_.SampleMachine(Now(), machine);
    if (ledger_.broken() && processors_at_breach_.empty()) {
      processors_at_breach_ = processor_time_.Describe();
    }
  }
  // Those that there are, each with its role in a hot restart as told behind the gateway's number.
  struct GatewayProcess {
    std::string_view role;
    const Process* process;
  };
  static std::vector<GatewayProcess> ProcessesOf(const GatewayState& g) {
    std::vector<GatewayProcess> processes = {
        {"", g.process.get()}, {", new process", g.next.get()}, {", old process", g.before.get()}};
    std::erase_if(processes, [](const GatewayProcess& each) { return each.process == nullptr; });
    return processes;
  }
  // The clients' ends of the connections to a gateway that none of its processes has accepted.
  [[nodiscard]] std::vector<Address> QueuedConnections(size_t i) const {
    const GatewayState& g = gateways_[i];
    std::vector<Address> queued = load_->ClientAddressesOf(i);
    for (const GatewayProcess& running : ProcessesOf(g)) {
      const std::vector<Address> accepted = AcceptedConnections(running.process->pid(), g.address);
      std::erase_if(queued, [&](const Address& client) {
        return std::ranges::find(accepted, client) != accepted.end();
      });
    }
    return queued;
  }
  // Where a try's connection is, so that a gateway that did not accept is told from one that did
  // not answer. Empty once the looks have taken too long: a breach must not cost the verdict.
  std::string DescribeConnection(size_t n) {
    const auto client = load_->ClientAddressOf(n);
    if (!client || options_.straight || looking_for_connections_ > kMaxLookingForConnections) {
      return "";
    }
    const Time begun = loop_.Now();
    std::string holder = DescribeHolder(ledger_.GatewayOf(n), *client);
    looking_for_connections_ += loop_.Now() - begun;
    return holder;
  }
  // Who has the connection of this client to a gateway.
  [[nodiscard]] std::string DescribeHolder(size_t i, const Address& client) const {
    const GatewayState& g = gateways_[i];
    for (const GatewayProcess& running : ProcessesOf(g)) {
      const std::vector<Address> accepted = AcceptedConnections(running.process->pid(), g.address);
      if (std::ranges::find(accepted, client) != accepted.end()) {
        return fmt::format("held by gateway {}{}", i, running.role);
      }
    }
    return "in the accept queue";
  }
  // What the script's stops delay a try by.
  [[nodiscard]] std::optional<Ledger::Delay> DelayOf(size_t n) const {
    const auto client = load_->ClientAddressOf(n);
    return client ? stopped_.DelayOf(ledger_.GatewayOf(n), *client, ledger_.SentAt(n),
                                     ledger_.DeadlineOf(n))
                  : std::nullopt;
  }

  void Look() {
    if (finishing_) {
      return;
    }
    const Time now = Now();
    ledger_.Advance(now, lag_recent_);
    for (size_t i = 0; i < gateways_.size(); ++i) {
      GatewayState& g = gateways_[i];
      if (g.next && !g.next_fails && g.next->ExitCode()) {
        Broken(i, fmt::format("gateway {}: the new process ended with {}", i, *g.next->ExitCode()));
        return loop_.Stop();
      }
      if (g.expected_to_end || !g.process) {
        continue;
      }
      if (const auto code = g.process->ExitCode()) {
        Broken(i, fmt::format("gateway {} crashed with {}", i, *code));
        return loop_.Stop();
      }
    }
    const Time last = e_.length + Longest() + kEndSpare;
    if ((now >= e_.length && load_->finished()) || now > last) {
      loop_.Stop();
    }
  }

  void Sample() {
    const Time now = Now();
    double cpu = 0;
    uint64_t rss = 0, descriptors = 0;
    for (GatewayState& g : gateways_) {
      // One that is not up may still be this program, with the lab's own descriptors.
      if (g.process && g.up && !g.process->ExitCode() && !g.expected_to_end) {
        g.used = g.process->Measure();
      }
      cpu += g.cpu_before + g.used.cpu_us;
      rss += g.used.rss_kb;
      descriptors += g.used.descriptors;
      result_.rss_kb_max = std::max(result_.rss_kb_max, g.used.rss_kb);
      result_.descriptors_max = std::max(result_.descriptors_max, g.used.descriptors);
    }
    StopAtBounds();
    const auto second = static_cast<size_t>(now.count() / 1'000'000);
    if (second >= samples_.size()) {
      samples_.resize(second + 1);
    }
    WindowResult& w = samples_[second];
    w.rss_kb = std::max(w.rss_kb, rss);
    w.descriptors = std::max(w.descriptors, descriptors);
    w.inflight = fleet_.InFlight();
    cpu_at_.resize(samples_.size(), cpu);
    cpu_at_[second] = cpu;
  }

  // A gateway that leaks is stopped before it takes the machine with it.
  void StopAtBounds() {
    if (finishing_) {
      return;
    }
    for (size_t i = 0; i < gateways_.size(); ++i) {
      const Process::Usage& used = gateways_[i].used;
      const double mb = static_cast<double>(used.rss_kb) / 1024;
      const auto open = static_cast<double>(used.descriptors);
      if (mb > e_.requirements.max_rss_mb.value_or(mb)) {
        Broken(i, fmt::format("gateway {} holds {:.0f} MB", i, mb));
      } else if (open > e_.requirements.max_descriptors.value_or(open)) {
        Broken(i, fmt::format("gateway {} holds {:.0f} descriptors", i, open));
      } else {
        continue;
      }
      return loop_.Stop();
    }
  }

  Result Finish() {
    rusage own{};
    getrusage(RUSAGE_SELF, &own);
    const Time now = Now();
    if (zero_ > Time(0)) {
      ledger_.Advance(now, lag_recent_);
      Sample();
    }
    double cpu = 0;
    for (GatewayState& g : gateways_) {
      cpu += g.cpu_before + g.used.cpu_us;
    }
    if (bank_ && zero_ > Time(0)) {
      result_.bank = bank_->Finish(now);
      result_.scale = bank_->FinishScale();
    }
    StopGateways();
    Result& r = result_;
    r.experiment = e_.name;
    r.about = e_.about;
    r.path = e_.path;
    r.seed = seed_;
    r.seconds = Seconds(e_.length);
    r.hosts = e_.host_count();
    r.gateways = options_.straight ? 0 : e_.gateway.count;
    r.counts = ledger_.counts();
    if (load_) {
      const Load::Counts& l = load_->counts();
      r.arrivals_digest = load_->digest();
      r.client_connections = l.connections;
      r.client_connections_most = l.max_open;
      r.no_gateway = l.no_gateway;
      r.bad_sent = l.bad_sent;
      r.bad_unanswered = l.bad_unanswered;
      r.bad_served = l.bad_served;
      if (l.over_connection_limit > 0) {
        r.late.push_back(
            fmt::format("the lab had no connection left for {} tries", l.over_connection_limit));
      }
      r.cpu_us_per_request =
          r.counts.attempts > 0 ? cpu / static_cast<double>(r.counts.attempts) : 0;
      r.lab_cpu_share =
          (CpuUs(own) - lab_cpu_before_) / std::max(1.0, static_cast<double>(now.count()));
    }
    std::vector<uint32_t> latencies;
    for (const Ledger::Window& w : ledger_.windows()) {
      latencies.insert(latencies.end(), w.latency_us.begin(), w.latency_us.end());
    }
    r.p50_us = Quantile(latencies, 0.5);
    r.p99_us = Quantile(latencies, 0.99);
    r.p999_us = Quantile(latencies, 0.999);
    r.lab_lag_ms_max = Seconds(lag_max_) * 1000;
    r.lab_lag_ms_p99 = Quantile(lags_, 0.99) / 1000.0;
    FillWindows();
    if (r.broken.empty() && ledger_.broken()) {
      AddLogs();
    }
    if (!processors_at_breach_.empty()) {
      r.logs.push_back("at the first breach:\n" + processors_at_breach_);
    }
    Judge(e_, ledger_.breaches(), r);
    return std::move(r);
  }

  void FillWindows() {
    const auto& counted = ledger_.windows();
    const auto end = static_cast<size_t>(Seconds(e_.length) + 0.999);
    uint64_t middle = 0, last = 0;
    for (size_t i = 0; i < std::min(end, std::max(counted.size(), samples_.size())); ++i) {
      WindowResult w = i < samples_.size() ? samples_[i] : WindowResult{};
      w.at_s = static_cast<double>(i);
      if (i < counted.size()) {
        w.counts = counted[i];
        w.p50_us = Quantile(w.counts.latency_us, 0.5);
        w.p99_us = Quantile(w.counts.latency_us, 0.99);
        w.counts.latency_us.clear();
      }
      const double before = i > 0 && i - 1 < cpu_at_.size() ? cpu_at_[i - 1] : 0;
      if (i < cpu_at_.size()) {
        w.cpu_share = std::max(0.0, cpu_at_[i] - before) / 1e6;
      }
      if (i * 4 >= end && i * 2 < end) {
        middle = std::max(middle, w.rss_kb);
      }
      if (i * 4 >= end * 3) {
        last = std::max(last, w.rss_kb);
      }
      result_.windows.push_back(std::move(w));
    }
    constexpr size_t kSpan = 10;
    const auto& all = result_.windows;
    for (size_t from = 0; from + std::min(kSpan, all.size()) <= all.size() && !all.empty();
         ++from) {
      double asked = 0, served = 0;
      for (size_t i = from; i < std::min(from + kSpan, all.size()); ++i) {
        asked += all[i].counts.worth_asked;
        served += all[i].counts.worth_served;
      }
      if (asked > 0) {
        result_.worst_10s = std::min(result_.worst_10s, served / asked);
      }
    }
    result_.rss_kb_growth = last > middle ? last - middle : 0;
  }

  void StopGateways() {
    finishing_ = true;
    for (GatewayState& g : gateways_) {
      if (g.process) {
        g.process->Signal(SIGCONT);
        g.process->Signal(SIGTERM);
      }
    }
    const Time until = loop_.Now() + Longest() + seconds(3);
    for (size_t i = 0; i < gateways_.size(); ++i) {
      GatewayState& g = gateways_[i];
      // The stand-ins go on meanwhile: a host that answers nobody would keep a gateway waiting.
      while (g.process && !g.process->ExitCode() && loop_.Now() < until) {
        loop_.RunOnce(Duration(10'000));
      }
      if (!g.process || !result_.broken.empty()) {
        continue;
      }
      if (!g.process->ExitCode()) {
        Broken(i, fmt::format("gateway {} did not end after SIGTERM", i));
      } else {
        CheckEnd(i);
      }
    }
  }

  Experiment e_;
  RunOptions options_;
  uint64_t seed_;
  EventLoop loop_;
  Ledger ledger_;
  Fleet fleet_;
  Directory directory_;
  SignalWatch signals_;
  TemporaryDirectory folder_;
  std::deque<GatewayState> gateways_;
  std::unique_ptr<BankLab> bank_;
  std::unique_ptr<Load> load_;
  StoppedProcesses stopped_;
  ProcessorTime processor_time_;
  std::string processors_at_breach_;
  Duration looking_for_connections_{0};  // of lost requests, so far
  std::mt19937_64 random_;               // of the gateways that a fault befalls
  Result result_;
  Time zero_{0};
  uint64_t starts_ = 0;
  bool interrupted_ = false, finishing_ = false;
  double lab_cpu_before_ = 0;
  Time lag_due_{0};
  Duration lag_max_{0}, lag_recent_{0};
  std::deque<std::pair<Time, Duration>> recent_;
  std::vector<uint32_t> lags_;
  std::vector<WindowResult> samples_;
  std::vector<double> cpu_at_;
};

}  // namespace

Result RunExperiment(Experiment e, const RunOptions& options) {
  if (options.seconds) {
    e.length = Duration(static_cast<int64_t>(*options.seconds * 1e6));
    std::erase_if(e.faults, [&](const Fault& f) { return f.at >= e.length; });
    std::erase_if(e.requirements.windows,
                  [&](const WindowRequirement& w) { return w.to > e.length; });
  }
  Runner runner(std::move(e), options);
  return runner.Run();
}

}  // namespace paddlestile::lab
