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

constexpr size_t kFirstGatewayAddress = 40'000;  // beyond the addresses of discovery
constexpr Duration kStartupTimeout{10'000'000};  // us; for a gateway to become healthy
// us; for the cluster to be formed and connected
constexpr Duration kClusterFormationTimeout{60'000'000};
constexpr Duration kHealthTimeout{3'000'000};  // us; without a response to /_health
constexpr Duration kHealthInterval{500'000};   // us
// us; from SIGTERM until clients stop using the gateway
constexpr Duration kRemovalFromRotationDelay{300'000};
// us; from SIGTERM to SIGKILL, in addition to the longest deadline
constexpr Duration kKillDelayBeyondDeadline{700'000};
// us; until the old process serves again if the new one hangs after becoming ready
constexpr Duration kOldProcessResumeTimeout{2'500'000};
// us; until clients stop using a gateway that died
constexpr Duration kFailureDetectionDelay{1'000'000};
constexpr Duration kUsageSampleInterval{250'000};  // us
constexpr Duration kLagSampleInterval{5'000};      // us
constexpr Duration kCheckInterval{20'000};  // us; between checks of the ledger and the processes
constexpr Duration kLagWindow{1'000'000};   // us; for how long lateness of the lab extends limits
constexpr Duration kEndMargin{3'000'000};   // us; after the last deadline, until the run is ended
constexpr Duration kQuiesceTimeout{4'000'000};     // us; until no connection is left after quiesce
constexpr Duration kResumeTimeout{2'000'000};      // us; until the gateway is healthy after resume
constexpr Duration kNewProcessTimeout{6'000'000};  // us; for a new process to become healthy
constexpr Duration kCallRetryInterval{50'000};     // us; between attempts of an admin call
constexpr Duration kMaxConnectionLookupTime{50'000};  // us; total, for lost requests of one run
constexpr size_t kLogTailLines = 20;

double Seconds(Duration duration) {
  return static_cast<double>(duration.count()) / 1e6;
}

struct GatewayState {
  Address address;
  std::string config_path, log_path;
  std::unique_ptr<Process> process;
  bool expected_to_end = false;  // a fault ends the process
  bool stopped = false;          // a fault has stopped the process
  bool up = false;
  Address admin_address;
  std::unique_ptr<Process> new_process, old_process;  // during a hot restart
  bool new_process_fails = false;                     // a fault kills or stops `new_process`
  uint64_t start_number = 0;                          // of `process`; increases with each start
  // Pending calls to /_health and the admin API.
  std::unique_ptr<HealthCall> health_call, admin_call;
  Time health_called_at{0};    // when /_health was called
  Process::Usage usage;        // at the last sample
  double previous_cpu_us = 0;  // CPU time of ended processes, minus that used before time 0
};

class Runner {
 public:
  Runner(Experiment experiment, const RunOptions& options)
      : experiment_(std::move(experiment)),
        options_(options),
        seed_(options.seed.value_or(experiment_.seed)),
        ledger_(LedgerRulesOf(experiment_, seed_)),
        fleet_(
            loop_, experiment_, ledger_, seed_,
            [this](const ListedHost& host, Duration lag) { directory_.OnHostChange(host, lag); }),
        directory_(loop_, ledger_, experiment_.gateway.count,
                   experiment_.discovery_keepalive_interval),
        signals_(loop_, [this] {
          interrupted_ = true;
          loop_.Stop();
        }) {}

  Result Run() {
    RaiseLimits();
    gateway_random_.seed(seed_ ^ 0x6a7e);
    fleet_.Start();
    directory_.SetResponseTime(experiment_.discovery_response_ms,
                               experiment_.discovery_response_pieces, seed_);
    directory_.Start(fleet_.ListHosts());
    std::vector<Address> targets;
    if (options_.straight) {
      for (const ListedHost& host : fleet_.ListHosts()) {
        targets.push_back(host.address);
      }
    } else {
      for (size_t i = 0; i < experiment_.gateway.count; ++i) {
        targets.push_back(PrepareGateway(i));
      }
      if (experiment_.cluster.enabled) {
        cluster_ = std::make_unique<ClusterExperiment>(
            loop_, experiment_, ledger_, folder_.path(), seed_ ^ 0xba9c,
            kFirstGatewayAddress + experiment_.gateway.count);
      }
      for (size_t i = 0; i < experiment_.gateway.count; ++i) {
        StartGateway(i);
      }
      if (!AwaitGateways()) {
        return Finish();
      }
      if (cluster_ && (experiment_.cluster.measured || experiment_.cluster.simulated_members > 0) &&
          !AwaitCluster()) {
        return Finish();
      }
    }
    load_ = std::make_unique<Load>(loop_, experiment_, ledger_, seed_ ^ 0x10ad, targets);
    ledger_.set_delay_provider([this](size_t attempt) { return StopDelayOf(attempt); });
    ledger_.set_describe_connection([this](size_t attempt) { return DescribeConnection(attempt); });
    if (options_.straight) {
      result_.faults.clear();
    }
    start_time_ = loop_.Now();
    for (GatewayState& gateway : gateways_) {
      gateway.usage = gateway.process->Measure();
      gateway.previous_cpu_us = -gateway.usage.cpu_us;
    }
    rusage own{};
    getrusage(RUSAGE_SELF, &own);
    lab_cpu_at_start_us_ = CpuUs(own);
    fleet_.SetStartTime(start_time_);
    directory_.SetStartTime(start_time_);
    lag_due_ = loop_.Now() + kLagSampleInterval;
    loop_.RunAfter(kLagSampleInterval, [this] { MeasureLag(); });
    RunEvery(kUsageSampleInterval, [this] { SampleUsage(); });
    RunEvery(kCheckInterval, [this] { CheckProgress(); });
    RunEvery(kProcessorSampleInterval, [this] { WatchProcesses(); });
    if (!options_.straight) {
      RunEvery(kHealthInterval, [this] { CheckAllHealth(); });
    }
    // Scheduled in file order before the start, independent of what happens during the run.
    for (const Fault& fault : experiment_.faults) {
      ScheduleFault(fault);
    }
    if (cluster_) {
      cluster_->Begin(start_time_, fleet_.ListHosts());
    }
    load_->Start(start_time_);
    loop_.Run();
    if (interrupted_) {
      throw Interrupted("interrupted; all processes were stopped");
    }
    return Finish();
  }

 private:
  static LedgerRules LedgerRulesOf(const Experiment& experiment, uint64_t seed) {
    LedgerRules rules;
    for (const ClassSpec& request_class : experiment.classes) {
      rules.classes.push_back(request_class.rules);
    }
    rules.drain_grace = experiment.drain_grace;
    rules.id_prefix = fmt::format("r{:x}", seed);
    return rules;
  }
  static double CpuUs(const rusage& usage) {
    return static_cast<double>(usage.ru_utime.tv_sec + usage.ru_stime.tv_sec) * 1e6 +
           static_cast<double>(usage.ru_utime.tv_usec + usage.ru_stime.tv_usec);
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

  [[nodiscard]] Time Now() const { return loop_.Now() - start_time_; }
  void RunEvery(Duration interval, std::function<void()> task) {
    loop_.RunAfter(interval, [this, interval, then = std::move(task)] {
      then();
      RunEvery(interval, then);
    });
  }
  void RunAt(Duration at, std::function<void()> task) {
    loop_.RunAfter(at - Now(), std::move(task));
  }

  // ---- Gateways -----------------------------------------------------------------------------
  Address PrepareGateway(size_t i) {
    GatewayState& gateway = gateways_.emplace_back();
    gateway.address = i == 0 && !experiment_.gateway.listen.empty()
                          ? ParseAddress(experiment_.gateway.listen)
                          : LoopbackAddress(kFirstGatewayAddress + i);
    // Fails here, before the run starts, if the port is in use.
    const Listener taken(loop_, gateway.address, [](const FileDescriptor&) {});
    gateway.config_path = fmt::format("{}/gateway-{}.json", folder_.path(), i);
    gateway.log_path =
        fmt::format("{}/gateway-{}.log", options_.logs.empty() ? folder_.path() : options_.logs, i);
    return gateway.address;
  }

  void WriteConfig(size_t i) { WriteConfig(i, directory_.FullList(i)); }
  void WriteConfig(size_t i, const std::string& known_list) {
    using nlohmann::json;
    GatewayState& gateway = gateways_[i];
    const json config = {{"name", fmt::format("g{}", i)},
                         {"listen", ToText(gateway.address)},
                         {"discovery", ToText(directory_.AddressOf(i))},
                         {"seed", fmt::format("{:x}", seed_ * 1000 + i + process_starts_)},
                         {"limits", {{"cores", 1.0}, {"sockets", experiment_.gateway.sockets}}},
                         {"known", json::parse(known_list)},
                         {"settings", json::parse(SettingsJson(experiment_, i))}};
    // Replaced atomically, since the gateway may read the file at any time.
    const std::string part = gateway.config_path + ".part";
    std::ofstream(part) << config.dump();
    std::filesystem::rename(part, gateway.config_path);
  }

  void StartGateway(size_t i) {
    GatewayState& gateway = gateways_[i];
    ledger_.OnGatewayRestarted(i);
    WriteConfig(i);
    gateway.start_number = ++process_starts_;
    gateway.process = StartProcess(i);
    gateway.expected_to_end = gateway.up = false;
    gateway.health_call.reset();
    gateway.usage = {};
  }

  std::unique_ptr<Process> StartProcess(size_t i) {
    GatewayState& gateway = gateways_[i];
    std::vector<std::string> command = options_.gateway;
    if (command.empty()) {
      command = {std::filesystem::read_symlink("/proc/self/exe").string(), "serve"};
      // fleet-report needs the counters in the kept logs.
      if (!options_.logs.empty()) {
        command.insert(command.end(), {"--counters-every", "1"});
      }
    }
    std::vector<std::pair<std::string, std::string>> env = {
        {"LB_NAME", fmt::format("g{}", i)},
        {"LB_LISTEN", ToText(gateway.address)},
        {"LB_DISCOVERY", ToText(directory_.AddressOf(i))},
        {"LB_CONFIG", gateway.config_path}};
    if (cluster_) {
      env[0].second = fmt::format("g{:03}", i);
      env.emplace_back("LB_OPERATOR", cluster_->ConfigFileOf(i));
    }
    const auto is_operator_fault = [](const Fault& fault) {
      return fault.kind > FaultKind::kGatewayHang && fault.kind <= FaultKind::kGatewayUpgrade;
    };
    if (std::ranges::any_of(experiment_.faults, is_operator_fault)) {
      // A new port for each start, since two processes of a gateway may run at the same time.
      gateway.admin_address = {
          gateway.address.host,
          static_cast<uint16_t>(gateway.address.port + 1 + process_starts_ % 100)};
      env.emplace_back("LB_ADMIN", ToText(gateway.admin_address));
      env.emplace_back("TMPDIR", folder_.path());
    }
    return std::make_unique<Process>(command, env, gateway.log_path, Process::Signals::kBlocked);
  }

  bool AwaitGateways() {
    const Time until = loop_.Now() + kStartupTimeout;
    while (!interrupted_) {
      bool all = true;
      for (size_t i = 0; i < gateways_.size(); ++i) {
        GatewayState& gateway = gateways_[i];
        if (const auto code = gateway.process->ExitCode()) {
          ReportBroken(i, fmt::format("gateway {} exited with {} before it was healthy", i, *code));
          return false;
        }
        if (!gateway.up && !gateway.health_call) {
          CheckHealth(i);
        }
        all = all && gateway.up;
      }
      if (all) {
        return true;
      }
      if (loop_.Now() > until) {
        result_.broken.emplace_back("a gateway did not become healthy within 10 s");
        AddAllLogs();
        return false;
      }
      loop_.RunOnce(Duration(10'000));
    }
    throw Interrupted("interrupted; all processes were stopped");
  }

  // Waits until a leader is connected to all members of the cluster.
  bool AwaitCluster() {
    cluster_->StartSimulatedMembers([this](size_t i) {
      const GatewayState& gateway = gateways_[i];
      return gateway.process ? gateway.process->Measure() : Process::Usage{};
    });
    const Time until = loop_.Now() + kClusterFormationTimeout;
    while (!cluster_->AllMembersConnected()) {
      if (interrupted_) {
        throw Interrupted("interrupted; all processes were stopped");
      }
      if (loop_.Now() > until) {
        result_.broken.emplace_back("no leader was connected to all cluster members within 60 s");
        AddAllLogs();
        return false;
      }
      loop_.RunOnce(Duration(10'000));
    }
    return true;
  }

  void CheckHealth(size_t i) {
    GatewayState& gateway = gateways_[i];
    gateway.health_called_at = loop_.Now();
    gateway.health_call =
        std::make_unique<HealthCall>(loop_, gateway.address, [this, i](bool succeeded) {
          GatewayState& state = gateways_[i];
          state.health_call.reset();
          if (succeeded && !std::exchange(state.up, true) && load_) {
            // Clients use it again.
            load_->SetDown(i, false);
            load_->SetInRotation(i, true);
          }
        });
  }
  void CheckAllHealth() {
    if (finishing_) {
      return;
    }
    for (size_t i = 0; i < gateways_.size(); ++i) {
      GatewayState& gateway = gateways_[i];
      if (gateway.expected_to_end || gateway.stopped || !gateway.process) {
        continue;
      }
      if (!gateway.health_call) {
        CheckHealth(i);
      } else if (loop_.Now() - gateway.health_called_at > kHealthTimeout + recent_lag_) {
        ReportBroken(i, fmt::format("gateway {} hangs: no response to /_health for 3 s", i));
        loop_.Stop();
      }
    }
  }

  void ReportBroken(size_t gateway, const std::string& what) {
    result_.broken.push_back(
        fmt::format("{} at {:.1f} s", what, start_time_ > Time(0) ? Seconds(Now()) : 0));
    result_.logs.push_back(fmt::format("gateway {}:\n{}", gateway,
                                       TailOf(gateways_[gateway].log_path, kLogTailLines)));
  }
  void AddAllLogs() {
    for (size_t i = 0; i < gateways_.size(); ++i) {
      result_.logs.push_back(
          fmt::format("gateway {}:\n{}", i, TailOf(gateways_[i].log_path, kLogTailLines)));
    }
  }

  // ---- Faults -------------------------------------------------------------------------------
  void ScheduleFault(const Fault& fault) {
    if (fault.at > experiment_.length) {
      return;
    }
    const double to = Seconds(fault.at + fault.duration);
    result_.faults.push_back({Seconds(fault.at), to, fault.name, {}});
    const size_t record = result_.faults.size() - 1;
    RunAt(fault.at, [this, &fault, record] { PlayFault(fault, record); });
  }

  void PlayFault(const Fault& fault, size_t record) {
    switch (fault.kind) {
      case FaultKind::kDiscoverySilent:
        directory_.SetSilent(true);
        return RunAt(fault.at + fault.duration, [this] { directory_.SetSilent(false); });
      case FaultKind::kDiscoveryLag:
        directory_.SetLag(fault.discovery_lag);
        return RunAt(fault.at + fault.duration, [this] { directory_.SetLag(Duration(0)); });
      case FaultKind::kDiscoveryMalformed:
        directory_.SetMalformed(true);
        return RunAt(fault.at + fault.duration, [this] { directory_.SetMalformed(false); });
      case FaultKind::kDiscoveryStale:
        directory_.SetStale(true);
        return RunAt(fault.at + fault.duration, [this] { directory_.SetStale(false); });
      case FaultKind::kDiscoveryMoved:
        directory_.MoveAgents();
        for (size_t i = 0; i < gateways_.size(); ++i) {
          WriteConfig(i);
          // Both processes of a hot restart, since only one of them will remain.
          for (const auto* const process : {&gateways_[i].process, &gateways_[i].new_process}) {
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
        return cluster_->InjectFault(fault);
      case FaultKind::kGatewayQuiesce:
        return PlayQuiesce(fault);
      case FaultKind::kGatewayReload:
        return PlayReload(fault);
      case FaultKind::kGatewayUpgrade:
        return PlayUpgrade(fault);
      case FaultKind::kGatewayHangup:
        return PlayHangups(fault);
      default:
        break;
    }
    const std::vector<size_t> chosen = fleet_.ChooseHosts(fault);
    const auto listed = fleet_.ListHosts();
    for (const size_t host : chosen) {
      const auto at = std::ranges::find(listed, host, &ListedHost::host_index);
      if (at != listed.end()) {
        result_.faults[record].hosts.push_back(at->id);
      }
    }
    fleet_.BeginFault(fault, chosen);
    if (fault.duration > Duration(0)) {
      RunAt(fault.at + fault.duration, [this, &fault, chosen] { fleet_.EndFault(fault, chosen); });
    }
  }

  // Applies the fault to the gateways named in it, or to as many as it asks for, chosen by the
  // seed.
  void PlayGateways(const Fault& fault) {
    std::set<size_t> chosen(fault.gateway_list.begin(), fault.gateway_list.end());
    if (!fault.random_gateway_count && chosen.empty()) {
      chosen.insert(fault.gateway);
    }
    while (fault.random_gateway_count && chosen.size() < *fault.random_gateway_count) {
      chosen.insert(
          std::uniform_int_distribution<size_t>(0, gateways_.size() - 1)(gateway_random_));
    }
    for (const size_t i : chosen) {
      PlayGateway(fault, i);
    }
  }
  void PlayGateway(const Fault& fault, size_t i) {
    GatewayState& gateway = gateways_[i];
    if (!gateway.process || gateway.stopped || gateway.expected_to_end) {
      return;
    }
    if (fault.kind == FaultKind::kGatewayHang || fault.kind == FaultKind::kGatewayStop) {
      const bool is_planned = fault.kind == FaultKind::kGatewayStop;
      if (is_planned) {
        // Requests in progress may be delayed by the duration of the stop. Clients notice and stop
        // using the gateway.
        const size_t stop = StopServing(i, fault.duration);
        if (fault.duration > kFailureDetectionDelay) {
          loop_.RunAfter(kFailureDetectionDelay,
                         [this, i] { load_->SetInRotation(i, !gateways_[i].stopped); });
        }
        if (cluster_) {
          cluster_->SetDown(i, true);
        }
        loop_.RunAfter(fault.duration, [this, i, stop] {
          stopped_.Continue(stop, Now());
          load_->SetInRotation(i, true);
          if (cluster_) {
            cluster_->SetDown(i, false);
          }
        });
      }
      gateway.stopped = true;
      gateway.process->Signal(SIGSTOP);
      loop_.RunAfter(fault.duration, [this, i] {
        gateways_[i].stopped = false;
        gateways_[i].health_call.reset();
        // The process may have become the old one of a hot restart in the meantime.
        for (const auto* const process : {&gateways_[i].process, &gateways_[i].old_process}) {
          if (*process) {
            (*process)->Signal(SIGCONT);
          }
        }
      });
      return;
    }
    gateway.usage = gateway.process->Measure();
    gateway.expected_to_end = true;
    load_->SetDown(i, true);
    if (fault.kind == FaultKind::kGatewayKill) {
      KillServing(i);
      if (cluster_) {
        cluster_->SetDown(i, true);
      }
      loop_.RunAfter(kFailureDetectionDelay,
                     [this, i] { load_->SetInRotation(i, gateways_[i].up); });
    } else {
      gateway.process->Signal(SIGTERM);
      loop_.RunAfter(kRemovalFromRotationDelay, [this, i] { load_->SetInRotation(i, false); });
      SendSignalsAfterTerm(fault, i);
    }
    gateway.up = false;
    const Duration longest = LongestDeadline();
    const bool killed = fault.kind == FaultKind::kGatewayKill;
    loop_.RunAfter(fault.downtime, [this, i, killed, disk = fault.disk,
                                    until = loop_.Now() + longest + seconds(1)] {
      if (cluster_ && killed) {
        cluster_->ReplaceDisk(i, disk);
        cluster_->SetDown(i, false);
      }
      Restart(i, until);
    });
  }

  // Stops the serving process for `duration` and records the permitted delays. Returns the number
  // of the stop.
  size_t StopServing(size_t i, Duration duration) {
    GatewayState& gateway = gateways_[i];
    gateway.process->Stop();
    if (!gateway.new_process && !gateway.old_process) {
      return stopped_.StopGateway(i, Now(), Now() + duration);
    }
    return stopped_.StopHotRestartProcess(
        i, Now(), Now() + duration, AcceptedConnections(gateway.process->pid(), gateway.address),
        duration);
  }
  // Kills the serving process. This ends the connections it had accepted and, if it is the only
  // process of its gateway, also those in the accept queue.
  void KillServing(size_t i) {
    GatewayState& gateway = gateways_[i];
    if (gateway.new_process || gateway.old_process) {
      gateway.process->Stop();
      load_->MarkConnectionsKilled(i, AcceptedConnections(gateway.process->pid(), gateway.address));
      gateway.process->Kill();
      return;
    }
    gateway.process->Kill();
    load_->MarkAllConnectionsKilled(i);
  }

  // Sends a signal to the current process of a gateway, unless another process has started by then.
  void SignalAfter(Duration after, size_t i, int signal) {
    loop_.RunAfter(after, [this, i, signal, start = gateways_[i].start_number] {
      GatewayState& gateway = gateways_[i];
      if (!finishing_ && gateway.process && gateway.start_number == start &&
          !gateway.process->ExitCode()) {
        gateway.process->Signal(signal);
      }
    });
  }
  void SendSignalsAfterTerm(const Fault& fault, size_t i) {
    if (fault.second_term_after) {
      SignalAfter(*fault.second_term_after, i, SIGTERM);
    }
    if (fault.hup_after) {
      SignalAfter(*fault.hup_after, i, SIGHUP);
    }
    if (fault.kill_at_earliest) {
      loop_.RunAfter(LongestDeadline() + kKillDelayBeyondDeadline,
                     [this, i, start = gateways_[i].start_number] {
                       GatewayState& gateway = gateways_[i];
                       if (!finishing_ && gateway.process && gateway.start_number == start) {
                         gateway.process->Kill();
                       }
                     });
    }
  }
  void PlayHangups(const Fault& fault) {
    for (size_t k = 0; k < std::max<size_t>(fault.count, 1); ++k) {
      SignalAfter(static_cast<int64_t>(k) * fault.interval, fault.gateway, SIGHUP);
    }
  }

  // ---- Operator actions ---------------------------------------------------------------------
  // Repeats an admin call until it succeeds, then runs `on_accepted`. Reports a failure if it has
  // not succeeded by `until`.
  void CallUntilAccepted(size_t i, const std::string& call, const Address& address, Time until,
                         std::function<void()> on_accepted) {
    GatewayState& gateway = gateways_[i];
    gateway.admin_call = std::make_unique<HealthCall>(
        loop_, address,
        [this, i, call, address, until, then = std::move(on_accepted)](bool succeeded) {
          if (finishing_) {
            return;
          }
          if (succeeded) {
            return then();
          }
          if (loop_.Now() > until + recent_lag_) {
            ReportBroken(i, fmt::format("gateway {} does not accept {}", i, call));
            return loop_.Stop();
          }
          loop_.RunAfter(kCallRetryInterval, [this, i, call, address, until, then] {
            CallUntilAccepted(i, call, address, until, then);
          });
        },
        call);
  }

  void PlayQuiesce(const Fault& fault) {
    const size_t i = fault.gateway;
    CallUntilAccepted(
        i, "POST /admin/quiesce", gateways_[i].admin_address, loop_.Now() + seconds(1), [this, i] {
          loop_.RunAfter(kRemovalFromRotationDelay, [this, i] { load_->SetInRotation(i, false); });
          loop_.RunAfter(kQuiesceTimeout, [this, i] {
            if (const size_t open = load_->OpenConnectionsTo(i); open > 0 && !finishing_) {
              ReportBroken(
                  i, fmt::format("gateway {} still has {} connections 4 s after quiesce", i, open));
              loop_.Stop();
            }
            GatewayState& gateway = gateways_[i];
            gateway.admin_call =
                std::make_unique<HealthCall>(loop_, gateway.address, [this, i](bool succeeded) {
                  if (!succeeded || finishing_) {
                    return;
                  }
                  ReportBroken(
                      i, fmt::format("gateway {} still reports healthy 4 s after quiesce", i));
                  loop_.Stop();
                });
          });
        });
    loop_.RunAfter(std::max(fault.duration, kQuiesceTimeout + seconds(1)), [this, i] {
      const Time until = loop_.Now() + kResumeTimeout;
      CallUntilAccepted(i, "POST /admin/resume", gateways_[i].admin_address, until,
                        [this, i, until] {
                          CallUntilAccepted(i, "GET /_health", gateways_[i].address, until,
                                            [this, i] { load_->SetInRotation(i, true); });
                        });
    });
  }

  // Writes an incomplete file first, which must change nothing, and then the complete file.
  void PlayReload(const Fault& fault) {
    for (GatewayState& gateway : gateways_) {
      std::ofstream(gateway.config_path) << R"({"discovery":"127.0.0.1:1","settings":{"Classes":[)";
      if (gateway.process) {
        gateway.process->Signal(SIGHUP);
      }
    }
    loop_.RunAfter(kReloadCompletionDelay, [this, &fault] {
      std::ranges::find(experiment_.classes, fault.request_class, &ClassSpec::name)
          ->in_initial_settings = true;
      for (size_t i = 0; i < gateways_.size(); ++i) {
        WriteConfig(i);
        if (gateways_[i].process) {
          gateways_[i].process->Signal(SIGHUP);
        }
      }
    });
  }

  // Starts a second process next to the first. Once it is healthy, the first one gets SIGTERM.
  void PlayUpgrade(const Fault& fault) {
    const size_t i = fault.gateway;
    GatewayState& gateway = gateways_[i];
    if (!gateway.process || gateway.new_process || gateway.old_process) {
      return;
    }
    WriteConfig(i, fault.has_initial_list ? directory_.InitialList() : directory_.FullList(i));
    ++process_starts_;
    const Address admin = gateway.admin_address;
    gateway.new_process = StartProcess(i);
    gateway.new_process_fails = fault.upgrade_outcome != UpgradeOutcome::kTakesOver;
    if (gateway.new_process_fails) {
      gateway.admin_address = admin;
      loop_.RunAfter(fault.upgrade_outcome_delay, [this, &fault] { PlayUpgradeOutcome(fault); });
      return;
    }
    CallUntilAccepted(
        i, "GET /admin/health", gateway.admin_address, loop_.Now() + kNewProcessTimeout, [this, i] {
          GatewayState& state = gateways_[i];
          state.previous_cpu_us += state.process->Measure().cpu_us;
          state.old_process = std::exchange(state.process, std::move(state.new_process));
          state.start_number = ++process_starts_;
          state.old_process->Signal(SIGTERM);
          AwaitExit(i, &GatewayState::old_process, "old",
                    loop_.Now() + LongestDeadline() + seconds(1));
        });
  }
  // Kills or stops the new process of a hot restart, whatever state it has reached. Killing it
  // loses only the connections it had accepted. While it is stopped, requests on those connections
  // may be delayed, and queued connections may wait until the old process serves again. The old
  // process is judged throughout.
  void PlayUpgradeOutcome(const Fault& fault) {
    const size_t i = fault.gateway;
    GatewayState& gateway = gateways_[i];
    if (finishing_ || !gateway.new_process) {
      return;
    }
    if (const auto code = gateway.new_process->ExitCode()) {
      ReportBroken(i,
                   fmt::format("gateway {}: the new process exited with {} by itself", i, *code));
      return loop_.Stop();
    }
    gateway.health_call.reset();
    gateway.new_process->Stop();
    std::vector<Address> accepted =
        AcceptedConnections(gateway.new_process->pid(), gateway.address);
    if (fault.upgrade_outcome == UpgradeOutcome::kKilled) {
      load_->MarkConnectionsKilled(i, accepted);
      gateway.new_process->Kill();
      return AwaitExit(i, &GatewayState::new_process, "new", loop_.Now() + seconds(1));
    }
    const Duration stop_duration = std::max(fault.duration, kOldProcessResumeTimeout);
    const size_t stop = stopped_.StopHotRestartProcess(
        i, Now(), Now() + stop_duration, std::move(accepted), kOldProcessResumeTimeout);
    loop_.RunAfter(stop_duration, [this, i, stop] {
      stopped_.Continue(stop, Now());
      GatewayState& state = gateways_[i];
      if (finishing_ || !state.new_process) {
        return;
      }
      state.new_process->Signal(SIGCONT);
      state.new_process->Signal(SIGTERM);
      AwaitExit(i, &GatewayState::new_process, "new", loop_.Now() + LongestDeadline() + seconds(1));
    });
  }
  // Requires that a process of a hot restart exits by `until`, with 0 unless the lab killed it.
  void AwaitExit(size_t i, std::unique_ptr<Process> GatewayState::*which, std::string_view role,
                 Time until) {
    std::unique_ptr<Process>& process = gateways_[i].*which;
    if (finishing_ || !process) {
      return;
    }
    const auto code = process->ExitCode();
    if (!code && loop_.Now() <= until) {
      loop_.RunAfter(kCallRetryInterval,
                     [this, i, which, role, until] { AwaitExit(i, which, role, until); });
      return;
    }
    if (!code) {
      ReportBroken(i, fmt::format("gateway {}: the {} process did not exit", i, role));
    } else if (!IsExpectedExit(*process, *code)) {
      ReportBroken(i, fmt::format("gateway {}: the {} process exited with {}", i, role, *code));
    }
    process.reset();
  }
  // A process exits with 0 after SIGTERM; one killed by the lab ends by SIGKILL.
  static bool IsExpectedExit(const Process& process, int code) {
    return code == 0 || (process.killed() && code == 128 + SIGKILL);
  }

  void Restart(size_t i, Time until) {
    GatewayState& gateway = gateways_[i];
    if (!gateway.process->ExitCode()) {
      if (loop_.Now() > until) {
        ReportBroken(i, fmt::format("gateway {} did not exit after SIGTERM", i));
        return loop_.Stop();
      }
      loop_.RunAfter(Duration(50'000), [this, i, until] { Restart(i, until); });
      return;
    }
    CheckExitCode(i);
    gateway.previous_cpu_us += gateway.usage.cpu_us;
    StartGateway(i);
  }

  void CheckExitCode(size_t i) {
    Process& process = *gateways_[i].process;
    const int code = process.ExitCode().value_or(0);
    if (!IsExpectedExit(process, code)) {
      ReportBroken(i, fmt::format("gateway {} exited with {}", i, code));
    }
  }

  [[nodiscard]] Duration LongestDeadline() const {
    Duration longest{0};
    for (const ClassSpec& request_class : experiment_.classes) {
      longest = std::max(longest, request_class.rules.deadline);
    }
    return longest;
  }

  // ---- Monitoring ---------------------------------------------------------------------------
  void MeasureLag() {
    const Duration late = std::max(Duration(0), loop_.Now() - lag_due_);
    all_lags_us_.push_back(static_cast<uint32_t>(late.count()));
    max_lag_ = std::max(max_lag_, late);
    recent_lags_.emplace_back(loop_.Now(), late);
    while (loop_.Now() - recent_lags_.front().first > kLagWindow) {
      recent_lags_.pop_front();
    }
    recent_lag_ = Duration(0);
    for (const auto& [at, lag] : recent_lags_) {
      recent_lag_ = std::max(recent_lag_, lag);
    }
    lag_due_ = loop_.Now() + kLagSampleInterval;
    loop_.RunAfter(kLagSampleInterval, [this] { MeasureLag(); });
  }

  // Samples the accept queues of gateways in whose hot restart a process is stopped, and the
  // processor time of each gateway process. At the first breach, keeps a description of the
  // processor times.
  void WatchProcesses() {
    for (size_t i = 0; i < gateways_.size(); ++i) {
      const GatewayState& gateway = gateways_[i];
      if (stopped_.WatchesQueue(i, Now())) {
        stopped_.RecordQueued(i, Now(), QueuedConnections(i));
      }
      for (const GatewayProcess& running : ProcessesOf(gateway)) {
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
  // The running processes of a gateway, each with its role in a hot restart for use in messages.
  struct GatewayProcess {
    std::string_view role;
    const Process* process;
  };
  static std::vector<GatewayProcess> ProcessesOf(const GatewayState& gateway) {
    std::vector<GatewayProcess> processes = {{"", gateway.process.get()},
                                             {", new process", gateway.new_process.get()},
                                             {", old process", gateway.old_process.get()}};
    std::erase_if(processes, [](const GatewayProcess& each) { return each.process == nullptr; });
    return processes;
  }
  // The client addresses of the connections to a gateway that none of its processes has accepted.
  [[nodiscard]] std::vector<Address> QueuedConnections(size_t i) const {
    const GatewayState& gateway = gateways_[i];
    std::vector<Address> queued = load_->ClientAddressesOf(i);
    for (const GatewayProcess& running : ProcessesOf(gateway)) {
      const std::vector<Address> accepted =
          AcceptedConnections(running.process->pid(), gateway.address);
      std::erase_if(queued, [&](const Address& client) {
        return std::ranges::find(accepted, client) != accepted.end();
      });
    }
    return queued;
  }
  // Describes where the connection of an attempt is, to distinguish a gateway that did not accept
  // it from one that did not respond. Returns an empty string once the lookups have taken too long,
  // since they delay the lab and could void the verdict.
  std::string DescribeConnection(size_t attempt) {
    const auto client = load_->ClientAddressOf(attempt);
    if (!client || options_.straight || connection_lookup_time_ > kMaxConnectionLookupTime) {
      return "";
    }
    const Time started_at = loop_.Now();
    std::string holder = DescribeHolder(ledger_.GatewayOf(attempt), *client);
    connection_lookup_time_ += loop_.Now() - started_at;
    return holder;
  }
  // Describes which process has accepted the connection of this client to a gateway.
  [[nodiscard]] std::string DescribeHolder(size_t i, const Address& client) const {
    const GatewayState& gateway = gateways_[i];
    for (const GatewayProcess& running : ProcessesOf(gateway)) {
      const std::vector<Address> accepted =
          AcceptedConnections(running.process->pid(), gateway.address);
      if (std::ranges::find(accepted, client) != accepted.end()) {
        return fmt::format("held by gateway {}{}", i, running.role);
      }
    }
    return "in the accept queue";
  }
  // The delay of an attempt that is permitted because the lab stopped processes.
  [[nodiscard]] std::optional<Ledger::Delay> StopDelayOf(size_t attempt) const {
    const auto client = load_->ClientAddressOf(attempt);
    return client ? stopped_.DelayOf(ledger_.GatewayOf(attempt), *client, ledger_.SentAt(attempt),
                                     ledger_.DeadlineOf(attempt))
                  : std::nullopt;
  }

  void CheckProgress() {
    if (finishing_) {
      return;
    }
    const Time now = Now();
    ledger_.Advance(now, recent_lag_);
    for (size_t i = 0; i < gateways_.size(); ++i) {
      GatewayState& gateway = gateways_[i];
      if (gateway.new_process && !gateway.new_process_fails && gateway.new_process->ExitCode()) {
        ReportBroken(i, fmt::format("gateway {}: the new process exited with {}", i,
                                    *gateway.new_process->ExitCode()));
        return loop_.Stop();
      }
      if (gateway.expected_to_end || !gateway.process) {
        continue;
      }
      if (const auto code = gateway.process->ExitCode()) {
        ReportBroken(i, fmt::format("gateway {} crashed with {}", i, *code));
        return loop_.Stop();
      }
    }
    const Time last = experiment_.length + LongestDeadline() + kEndMargin;
    if ((now >= experiment_.length && load_->finished()) || now > last) {
      loop_.Stop();
    }
  }

  void SampleUsage() {
    const Time now = Now();
    double cpu = 0;
    uint64_t rss = 0, descriptors = 0;
    for (GatewayState& gateway : gateways_) {
      // Before exec, a child process still has the lab's own descriptors.
      if (gateway.process && gateway.up && !gateway.process->ExitCode() &&
          !gateway.expected_to_end) {
        gateway.usage = gateway.process->Measure();
      }
      cpu += gateway.previous_cpu_us + gateway.usage.cpu_us;
      rss += gateway.usage.rss_kb;
      descriptors += gateway.usage.descriptors;
      result_.rss_kb_max = std::max(result_.rss_kb_max, gateway.usage.rss_kb);
      result_.descriptors_max = std::max(result_.descriptors_max, gateway.usage.descriptors);
    }
    StopAtResourceLimits();
    const auto second = static_cast<size_t>(now.count() / 1'000'000);
    if (second >= samples_.size()) {
      samples_.resize(second + 1);
    }
    WindowResult& window = samples_[second];
    window.rss_kb = std::max(window.rss_kb, rss);
    window.descriptors = std::max(window.descriptors, descriptors);
    window.inflight = fleet_.InFlight();
    cpu_us_by_second_.resize(samples_.size(), cpu);
    cpu_us_by_second_[second] = cpu;
  }

  // Ends the run if a gateway exceeds its memory or descriptor limit, before a leak exhausts the
  // machine.
  void StopAtResourceLimits() {
    if (finishing_) {
      return;
    }
    for (size_t i = 0; i < gateways_.size(); ++i) {
      const Process::Usage& used = gateways_[i].usage;
      const double mb = static_cast<double>(used.rss_kb) / 1024;
      const auto open = static_cast<double>(used.descriptors);
      if (mb > experiment_.requirements.max_rss_mb.value_or(mb)) {
        ReportBroken(i, fmt::format("gateway {} uses {:.0f} MB", i, mb));
      } else if (open > experiment_.requirements.max_descriptors.value_or(open)) {
        ReportBroken(i, fmt::format("gateway {} uses {:.0f} descriptors", i, open));
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
    if (start_time_ > Time(0)) {
      ledger_.Advance(now, recent_lag_);
      SampleUsage();
    }
    double cpu = 0;
    for (GatewayState& gateway : gateways_) {
      cpu += gateway.previous_cpu_us + gateway.usage.cpu_us;
    }
    if (cluster_ && start_time_ > Time(0)) {
      result_.bank = cluster_->Finish(now);
      result_.scale = cluster_->FinishScaleFigures();
    }
    StopGateways();
    Result& result = result_;
    result.experiment = experiment_.name;
    result.about = experiment_.about;
    result.path = experiment_.path;
    result.seed = seed_;
    result.seconds = Seconds(experiment_.length);
    result.hosts = experiment_.host_count();
    result.gateways = options_.straight ? 0 : experiment_.gateway.count;
    result.counts = ledger_.counts();
    if (load_) {
      const Load::Counts& load_counts = load_->counts();
      result.arrivals_digest = load_->digest();
      result.client_connections = load_counts.connections;
      result.client_connections_most = load_counts.max_open;
      result.no_gateway = load_counts.no_gateway;
      result.bad_sent = load_counts.bad_sent;
      result.bad_unanswered = load_counts.bad_unanswered;
      result.bad_served = load_counts.bad_served;
      if (load_counts.over_connection_limit > 0) {
        result.late.push_back(fmt::format("the lab had no connection left for {} attempts",
                                          load_counts.over_connection_limit));
      }
      result.cpu_us_per_request =
          result.counts.attempts > 0 ? cpu / static_cast<double>(result.counts.attempts) : 0;
      result.lab_cpu_share =
          (CpuUs(own) - lab_cpu_at_start_us_) / std::max(1.0, static_cast<double>(now.count()));
    }
    std::vector<uint32_t> latencies;
    for (const Ledger::Window& window : ledger_.windows()) {
      latencies.insert(latencies.end(), window.latency_us.begin(), window.latency_us.end());
    }
    result.p50_us = Quantile(latencies, 0.5);
    result.p99_us = Quantile(latencies, 0.99);
    result.p999_us = Quantile(latencies, 0.999);
    result.lab_lag_ms_max = Seconds(max_lag_) * 1000;
    result.lab_lag_ms_p99 = Quantile(all_lags_us_, 0.99) / 1000.0;
    FillWindows();
    if (result.broken.empty() && ledger_.broken()) {
      AddAllLogs();
    }
    if (!processors_at_breach_.empty()) {
      result.logs.push_back("at the first breach:\n" + processors_at_breach_);
    }
    Judge(experiment_, ledger_.breaches(), result);
    return std::move(result);
  }

  void FillWindows() {
    const auto& ledger_windows = ledger_.windows();
    const auto end = static_cast<size_t>(Seconds(experiment_.length) + 0.999);
    uint64_t middle_rss_kb = 0, last_rss_kb = 0;
    for (size_t i = 0; i < std::min(end, std::max(ledger_windows.size(), samples_.size())); ++i) {
      WindowResult window = i < samples_.size() ? samples_[i] : WindowResult{};
      window.at_s = static_cast<double>(i);
      if (i < ledger_windows.size()) {
        window.counts = ledger_windows[i];
        window.p50_us = Quantile(window.counts.latency_us, 0.5);
        window.p99_us = Quantile(window.counts.latency_us, 0.99);
        window.counts.latency_us.clear();
      }
      const double previous_cpu_us =
          i > 0 && i - 1 < cpu_us_by_second_.size() ? cpu_us_by_second_[i - 1] : 0;
      if (i < cpu_us_by_second_.size()) {
        window.cpu_share = std::max(0.0, cpu_us_by_second_[i] - previous_cpu_us) / 1e6;
      }
      if (i * 4 >= end && i * 2 < end) {
        middle_rss_kb = std::max(middle_rss_kb, window.rss_kb);
      }
      if (i * 4 >= end * 3) {
        last_rss_kb = std::max(last_rss_kb, window.rss_kb);
      }
      result_.windows.push_back(std::move(window));
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
    result_.rss_kb_growth = last_rss_kb > middle_rss_kb ? last_rss_kb - middle_rss_kb : 0;
  }

  void StopGateways() {
    finishing_ = true;
    for (GatewayState& gateway : gateways_) {
      if (gateway.process) {
        gateway.process->Signal(SIGCONT);
        gateway.process->Signal(SIGTERM);
      }
    }
    const Time until = loop_.Now() + LongestDeadline() + seconds(3);
    for (size_t i = 0; i < gateways_.size(); ++i) {
      GatewayState& gateway = gateways_[i];
      // Hosts keep running meanwhile: a host that does not respond would delay the exit of a
      // gateway.
      while (gateway.process && !gateway.process->ExitCode() && loop_.Now() < until) {
        loop_.RunOnce(Duration(10'000));
      }
      if (!gateway.process || !result_.broken.empty()) {
        continue;
      }
      if (!gateway.process->ExitCode()) {
        ReportBroken(i, fmt::format("gateway {} did not exit after SIGTERM", i));
      } else {
        CheckExitCode(i);
      }
    }
  }

  Experiment experiment_;
  RunOptions options_;
  uint64_t seed_;
  EventLoop loop_;
  Ledger ledger_;
  Fleet fleet_;
  Directory directory_;
  SignalWatch signals_;
  TemporaryDirectory folder_;
  std::deque<GatewayState> gateways_;
  std::unique_ptr<ClusterExperiment> cluster_;
  std::unique_ptr<Load> load_;
  StoppedProcesses stopped_;
  ProcessorTime processor_time_;
  std::string processors_at_breach_;
  Duration connection_lookup_time_{0};  // for lost requests, so far
  std::mt19937_64 gateway_random_;      // chooses the gateways of a fault
  Result result_;
  Time start_time_{0};
  uint64_t process_starts_ = 0;
  bool interrupted_ = false, finishing_ = false;
  double lab_cpu_at_start_us_ = 0;
  Time lag_due_{0};
  Duration max_lag_{0}, recent_lag_{0};
  std::deque<std::pair<Time, Duration>> recent_lags_;
  std::vector<uint32_t> all_lags_us_;
  std::vector<WindowResult> samples_;
  std::vector<double> cpu_us_by_second_;
};

}  // namespace

Result RunExperiment(Experiment experiment, const RunOptions& options) {
  if (options.seconds) {
    experiment.length = Duration(static_cast<int64_t>(*options.seconds * 1e6));
    std::erase_if(experiment.faults,
                  [&](const Fault& fault) { return fault.at >= experiment.length; });
    std::erase_if(experiment.requirements.windows,
                  [&](const WindowRequirement& window) { return window.to > experiment.length; });
  }
  Runner runner(std::move(experiment), options);
  return runner.Run();
}

}  // namespace paddlestile::lab
