#include "gateway/serve.h"

#include <sys/resource.h>
#include <sys/signalfd.h>
#include <unistd.h>

#include <algorithm>
#include <chrono>
#include <csignal>
#include <cstdlib>
#include <exception>
#include <functional>
#include <memory>
#include <optional>
#include <stdexcept>
#include <string>
#include <utility>

#include "base/log.h"
#include "base/metrics.h"
#include "config/gateway_config.h"
#include "config/operator_config.h"
#include "event/event_loop.h"
#include "gateway/admin.h"
#include "gateway/cluster_agent.h"
#include "gateway/gateway.h"
#include "gateway/hot_restart.h"
#include "gateway/hot_restart_new_process.h"
#include "gateway/hot_restart_old_process.h"
#include "gateway/learned_state_codec.h"
#include "gateway/lifecycle.h"

namespace paddlestile {
namespace {

using std::chrono::milliseconds;

// The file may still be incomplete when SIGHUP arrives, and no second signal follows once it is
// complete. An invalid file is therefore read again several times.
constexpr Duration kReloadRetryInterval = milliseconds(200);
constexpr int kMaxReloadRetries = 15;
constexpr Duration kReadyCheckInterval = milliseconds(100);  // before the process is ready

// The gateway and, if it is a member of a cluster, its agent.
struct ServedGateway {
  Gateway& gateway;
  std::unique_ptr<ClusterAgent>& cluster_agent;  // null if the gateway is not a member
};

void LogCounters(const ServedGateway& served) {
  const std::string cluster_state =
      served.cluster_agent ? ' ' + served.cluster_agent->DescribeState() : "";
  LogLine(LogLevel::kInfo, "counters: " + served.gateway.DescribeState() + cluster_state);
}

// Logs the counters whenever the wall clock is at a multiple of the interval, so that the counters
// of all gateways refer to the same times and can be added up.
class CounterLogger {
 public:
  CounterLogger(EventLoop& loop, const ServedGateway& served, Duration interval)
      : loop_(loop), served_(served), interval_(interval) {
    if (interval_ > Duration(0)) {
      ScheduleNext();
    }
  }
  CounterLogger(const CounterLogger&) = delete;
  CounterLogger& operator=(const CounterLogger&) = delete;
  ~CounterLogger() { loop_.CancelTimer(timer_); }

 private:
  void ScheduleNext() {
    const auto since_multiple = std::chrono::duration_cast<Duration>(
        std::chrono::system_clock::now().time_since_epoch() % interval_);
    timer_ = loop_.RunAfter(interval_ - since_multiple, [this] {
      LogCounters(served_);
      ScheduleNext();
    });
  }

  EventLoop& loop_;
  ServedGateway served_;
  Duration interval_;
  EventLoop::TimerId timer_;
};

// SIGTERM and SIGINT drain, SIGUSR1 logs the counters, SIGHUP reloads the configuration.
class SignalHandler final : public EventLoop::Handler {
 public:
  // Blocks the signals. Must be called first, so that no signal kills the process before it is
  // handled.
  static sigset_t Block() {
    sigset_t signals;
    sigemptyset(&signals);
    for (const int signal : {SIGTERM, SIGINT, SIGUSR1, SIGHUP}) {
      sigaddset(&signals, signal);
    }
    sigprocmask(SIG_BLOCK, &signals, nullptr);
    return signals;
  }

  // Throws std::runtime_error if the signals cannot be received.
  SignalHandler(EventLoop& loop, const ServedGateway& served, const sigset_t& signals)
      : loop_(loop), served_(served) {
    fd_ = FileDescriptor(signalfd(-1, &signals, SFD_NONBLOCK | SFD_CLOEXEC));
    uint64_t token = 0;
    if (!fd_ || !loop_.Watch(fd_.get(), this, token)) {
      throw std::runtime_error("cannot watch for signals");
    }
  }

  void OnEvents(uint32_t) override {
    signalfd_siginfo info{};
    while (read(fd_.get(), &info, sizeof(info)) == static_cast<ssize_t>(sizeof(info))) {
      if (info.ssi_signo == SIGUSR1) {
        LogCounters(served_);
      } else if (info.ssi_signo == SIGHUP) {
        Reload(kMaxReloadRetries);
      } else {
        Drain();
      }
    }
  }

  // `before_drain` runs when the process is told to exit, before it drains.
  void set_before_drain(std::function<void()> before_drain) {
    before_drain_ = std::move(before_drain);
  }

  // Stops the event loop once the gateway has drained. Does nothing if it already drains.
  void Drain() {
    if (std::exchange(draining_, true)) {
      return;
    }
    Log(LogLevel::kInfo, "draining");
    if (before_drain_) {
      before_drain_();
    }
    served_.gateway.Drain([this] { loop_.Stop(); });
  }

 private:
  // Keeps the current configuration if the new one is invalid. Reloads even while the gateway
  // drains, because the endpoint list keeps changing.
  void Reload(int remaining_retries) {
    loop_.CancelTimer(reload_timer_);
    ++GlobalCounters().config_rereads;
    try {
      ReloadConfig();
    } catch (const std::exception& error) {
      ++GlobalCounters().config_rejected;
      if (remaining_retries == kMaxReloadRetries || remaining_retries == 0) {
        Log(LogLevel::kWarning, "configuration kept as it was: {}", error.what());
      }
      if (remaining_retries > 0) {
        reload_timer_ = loop_.RunAfter(
            kReloadRetryInterval, [this, remaining_retries] { Reload(remaining_retries - 1); });
      }
    }
  }

  // Throws if the file is invalid.
  void ReloadConfig() {
    ClusterAgent* const cluster_agent = served_.cluster_agent.get();
    const GatewayConfig& previous =
        cluster_agent != nullptr ? cluster_agent->file() : served_.gateway.config();
    GatewayConfig reloaded = ReloadGatewayConfig(previous, loop_.Now(), [&](double unix_ms) {
      return loop_.clock().FromUnixMillis(unix_ms);
    });
    const std::string changes = DescribeChanges(previous, reloaded);
    if (cluster_agent != nullptr) {
      Log(LogLevel::kInfo, "bank: settings of the agreed version take precedence over the file");
      cluster_agent->set_file(std::move(reloaded));
    } else {
      served_.gateway.ApplyConfig(std::move(reloaded));
    }
    Log(LogLevel::kInfo, "configuration read again: {}",
        changes.empty() ? "nothing of note is new" : changes);
  }

  EventLoop& loop_;
  ServedGateway served_;
  EventLoop::TimerId reload_timer_;
  FileDescriptor fd_;
  bool draining_ = false;
  std::function<void()> before_drain_;
};

// Reads the configuration that the LB_* variables name. Limits its sockets to RLIMIT_NOFILE.
GatewayConfig ReadConfigFromEnvironment(const EventLoop& loop) {
  GatewayConfig config =
      ReadGatewayConfig([](const char* name) { return std::getenv(name); },
                        [&](double unix_ms) { return loop.clock().FromUnixMillis(unix_ms); });
  rlimit limit{};
  if (getrlimit(RLIMIT_NOFILE, &limit) == 0) {
    config.max_sockets = std::min<size_t>(config.max_sockets, limit.rlim_cur);
  }
  return config;
}

// Returns nullopt if no operator's file is given.
std::optional<ClusterConfig> ReadOperatorFile(const ServeOptions& options,
                                              const std::string& gateway_name) {
  std::string path = options.operator_file;
  const char* const from_environment = std::getenv("LB_OPERATOR");
  if (path.empty() && from_environment != nullptr) {
    path = from_environment;
  }
  if (path.empty()) {
    return std::nullopt;
  }
  return ReadClusterConfig(path, gateway_name);
}

void LogUnsupportedSettings(const Settings& settings) {
  for (const std::string& line : UnsupportedSettings(settings)) {
    Log(LogLevel::kWarning, "unsupported setting: {}", line);
  }
}

// Replaces the endpoint list of the file by that of the old process, unless the file's is newer.
// The old process may have been told of drains that the file lacks, and while discovery is down
// nothing else tells the new process of them.
void AdoptEndpointList(const std::string& learned_state, const EventLoop& loop,
                       GatewayConfig& config) {
  auto list = DecodeHandedOverList(learned_state, config.names, [&](double unix_ms) {
    return loop.clock().FromUnixMillis(unix_ms);
  });
  if (!list || list->revision < config.initial_endpoints.revision) {
    return;
  }
  Log(LogLevel::kInfo, "hot restart: endpoint list of the old process adopted, revision {:.0f}",
      list->revision);
  config.initial_endpoints = std::move(*list);
}

void ImportLearnedState(const std::string& text, Gateway& gateway) {
  if (text.empty()) {
    return;
  }
  if (gateway.ImportLearnedState(text)) {
    Log(LogLevel::kInfo, "hot restart: learned state of the old process imported");
  } else {
    Log(LogLevel::kWarning, "hot restart: ignored malformed learned state of the old process");
  }
}

std::unique_ptr<ClusterAgent> MakeClusterAgent(const ServeOptions& options, EventLoop& loop,
                                               ClusterConfig cluster, Gateway& gateway,
                                               Lifecycle& lifecycle, GatewayConfig file) {
  if (options.make_cluster_agent) {
    return options.make_cluster_agent(loop, std::move(cluster), gateway, lifecycle,
                                      std::move(file));
  }
  return std::make_unique<ClusterAgent>(loop, std::move(cluster), gateway, lifecycle,
                                        std::move(file));
}

// Runs the event loop until the process can serve. Returns false if it was told to exit meanwhile.
bool WaitUntilReady(EventLoop& loop, const Lifecycle& lifecycle) {
  while (!lifecycle.accepts() && !loop.stopped()) {
    loop.RunOnce(kReadyCheckInterval);
  }
  return !loop.stopped() && lifecycle.stage() != LifecycleStage::kEnding;
}

// Makes the process drain and exit if the old process revokes it.
void DrainWhenRevoked(NewProcess& new_process, Lifecycle& lifecycle,
                      SignalHandler& signal_handler) {
  new_process.set_on_revoked([&] {
    lifecycle.set_replaced(true);  // the old process accepts connections from now on
    signal_handler.Drain();
  });
}

// The processes of the hot restarts that this process takes part in. Both may be there at once.
struct HotRestartPeers {
  std::optional<NewProcess> new_process;  // this process, if it took over from another one
  std::optional<OldProcess> old_process;  // this process, once another one can take over from it

  void ReportRequest(const std::string& id) {
    if (new_process) {
      new_process->ReportRequest(id);
    }
    if (old_process) {
      old_process->ReportRequest(id);
    }
  }
};

// Sets `peers.old_process`: from now on a newer process can take over from this one.
void AllowHotRestart(EventLoop& loop, const std::string& path, Lifecycle& lifecycle,
                     Gateway& gateway, HotRestartPeers& peers) {
  const auto add_request_id = [&](const std::string& id) {
    gateway.AddAdmittedRequestId(id);
    if (peers.new_process) {
      peers.new_process->ReportRequest(id);
    }
  };
  const auto on_replaced = [&](bool replaced) {
    if (peers.new_process) {
      peers.new_process->ReportReplaced(replaced);
    }
  };
  peers.old_process.emplace(
      loop, path, lifecycle, gateway.downstream(), gateway.budget(),
      OldProcess::Exchange{[&gateway] { return gateway.ExportLearnedState(); },
                           [&gateway] { return gateway.AdmittedRequestIds(); }, add_request_id,
                           on_replaced});
}

// Takes part in the hot restart as the new process.
void ConnectNewProcess(Lifecycle& lifecycle, Gateway& gateway, SignalHandler& signal_handler,
                       HotRestartPeers& peers) {
  peers.new_process->set_on_old_ended([&] { lifecycle.set_ready(); });
  peers.new_process->set_on_request_taken([&](const std::string& id) {
    gateway.AddAdmittedRequestId(id);
    if (peers.old_process) {
      peers.old_process->ReportRequest(id);
    }
  });
  DrainWhenRevoked(*peers.new_process, lifecycle, signal_handler);
}

// Reports to the other processes of a hot restart that this process was told to exit.
void ReportEndOfProcess(Lifecycle& lifecycle, HotRestartPeers& peers) {
  // Once handed back, new connections wait in the accept queue for the old process.
  if (peers.new_process && !lifecycle.replaced() && peers.new_process->HandBack()) {
    lifecycle.set_replaced(true);
  }
  if (peers.old_process) {
    peers.old_process->ReportEnding();
  }
}

void RunGateway(const ServeOptions& options, const sigset_t& signals) {
  EventLoop loop;
  GatewayConfig config = ReadConfigFromEnvironment(loop);
  const std::string name = config.name;
  std::optional<ClusterConfig> cluster = ReadOperatorFile(options, name);
  GatewayConfig file;  // unmodified, for the cluster agent
  if (cluster) {
    file = config;
  }
  LogUnsupportedSettings(config.settings);

  // A second process may be started beside this one only if there is an admin interface.
  const std::optional<Address> admin_address = config.admin;
  const std::string hot_restart_path =
      admin_address ? HotRestartSocketPath(std::getenv("TMPDIR"), config.listen) : std::string();
  HotRestartState inherited = RequestHotRestart(hot_restart_path, config.listen);
  AdoptEndpointList(inherited.learned_state, loop, config);
  const size_t known_endpoints = config.initial_endpoints.endpoints.size();
  Lifecycle lifecycle(!inherited.listening_socket);
  Gateway gateway(loop, std::move(config), lifecycle, std::move(inherited.listening_socket),
                  admin_address.has_value());
  ImportLearnedState(inherited.learned_state, gateway);
  std::optional<Admin> admin;
  if (admin_address) {
    admin.emplace(loop, *admin_address, lifecycle);
  }
  HotRestartPeers peers;
  if (inherited.channel) {
    peers.new_process.emplace(loop, std::move(inherited), gateway.budget());
  }
  std::unique_ptr<ClusterAgent> cluster_agent;
  if (cluster) {
    cluster_agent =
        MakeClusterAgent(options, loop, std::move(*cluster), gateway, lifecycle, std::move(file));
  }
  const ServedGateway served{gateway, cluster_agent};
  gateway.SetAdmissionCallback([&](const std::string& id) { peers.ReportRequest(id); });
  // A new process may be started as soon as this one is known to listen.
  const bool serves_at_once = lifecycle.accepts();
  if (admin_address && serves_at_once) {
    AllowHotRestart(loop, hot_restart_path, lifecycle, gateway, peers);
  }
  Log(LogLevel::kInfo, "{} listens on {}, {} hosts known", name, ToText(gateway.address()),
      known_endpoints);
  SignalHandler signal_handler(loop, served, signals);
  if (peers.new_process) {
    ConnectNewProcess(lifecycle, gateway, signal_handler, peers);
  }
  // If this process is told to exit before it is ready, the old process keeps serving.
  const bool serves = WaitUntilReady(loop, lifecycle);
  // The Unix socket must exist before ReportReady, because an old process that serves again
  // replaces it.
  if (admin_address && serves && !serves_at_once) {
    AllowHotRestart(loop, hot_restart_path, lifecycle, gateway, peers);
  }
  if (peers.new_process && serves) {
    peers.new_process->ReportReady();
  }
  signal_handler.set_before_drain([&] { ReportEndOfProcess(lifecycle, peers); });
  const CounterLogger counter_logger(loop, served, options.counters_every);
  loop.Run();
  LogCounters(served);
}

}  // namespace

int Serve(const ServeOptions& options) {
  std::signal(SIGPIPE, SIG_IGN);
  const sigset_t signals = SignalHandler::Block();
  try {
    RunGateway(options, signals);
    return 0;
  } catch (const std::exception& error) {
    LogLine(LogLevel::kError, std::string("paddlestile: ") + error.what());
    return 1;
  }
}

}  // namespace paddlestile
