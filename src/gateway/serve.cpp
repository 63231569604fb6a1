#include "gateway/serve.h"

#include <sys/resource.h>
#include <sys/signalfd.h>
#include <unistd.h>

#include <algorithm>
#include <chrono>
#include <csignal>
#include <cstdlib>
#include <exception>
#include <memory>
#include <optional>
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
#include "gateway/lifecycle.h"

namespace paddlestile {
namespace {

// What a gateway is made of beside its loop.
struct Parts {
  Gateway& gateway;
  std::unique_ptr<ClusterAgent>& membership;
};

void PrintCounters(const Parts& parts) {
  LogLine(LogLevel::kInfo, "counters: " + parts.gateway.DescribeState() +
                               (parts.membership ? ' ' + parts.membership->DescribeState() : ""));
}

// Lines of counters in step with the wall clock, so that those of a fleet can be added up.
class Beat {
 public:
  Beat(EventLoop& loop, const Parts& parts, Duration every)
      : loop_(loop), parts_(parts), every_(every) {
    if (every_ > Duration(0)) {
      Next();
    }
  }
  Beat(const Beat&) = delete;
  Beat& operator=(const Beat&) = delete;
  ~Beat() { loop_.CancelTimer(timer_); }

 private:
  void Next() {
    const auto into = std::chrono::duration_cast<Duration>(
        std::chrono::system_clock::now().time_since_epoch() % every_);
    timer_ = loop_.RunAfter(every_ - into, [this] {
      PrintCounters(parts_);
      Next();
    });
  }

  EventLoop& loop_;
  Parts parts_;
  Duration every_;
  EventLoop::TimerId timer_;
};

// A file that is being written may make no sense at the moment of the signal, and no second signal
// comes once it does: it is looked at again for a while.
constexpr Duration kRereadAgain{200'000};  // us
constexpr int kRereads = 15;
constexpr Duration kReadyLook{100'000};  // us

// SIGTERM and SIGINT drain, SIGUSR1 prints the counters, SIGHUP has the file read again.
class Signals final : public EventLoop::Handler {
 public:
  // Blocks them; done before anything else, so that none ends the program between.
  static sigset_t Block() {
    sigset_t set;
    sigemptyset(&set);
    for (const int signal : {SIGTERM, SIGINT, SIGUSR1, SIGHUP}) {
      sigaddset(&set, signal);
    }
    sigprocmask(SIG_BLOCK, &set, nullptr);
    return set;
  }

  Signals(EventLoop& loop, const Parts& parts, const sigset_t& set)
      : loop_(loop), parts_(parts), gateway_(parts.gateway) {
    fd_ = FileDescriptor(signalfd(-1, &set, SFD_NONBLOCK | SFD_CLOEXEC));
    uint64_t token = 0;
    if (!fd_ || !loop_.Watch(fd_.get(), this, token)) {
      throw std::runtime_error("cannot watch for signals");
    }
  }

  void OnEvents(uint32_t) override {
    signalfd_siginfo info{};
    while (read(fd_.get(), &info, sizeof(info)) == static_cast<ssize_t>(sizeof(info))) {
      if (info.ssi_signo == SIGUSR1) {
        PrintCounters(parts_);
      } else if (info.ssi_signo == SIGHUP) {
        Reread(kRereads);
      } else if (!draining_) {
        draining_ = true;
        Log(LogLevel::kInfo, "draining");
        gateway_.Drain([this] { loop_.Stop(); });
      }
    }
  }

 private:
  // What runs is kept where the file makes no sense. Also while draining: hosts go on changing.
  void Reread(int more) {
    loop_.CancelTimer(reread_);
    ++GlobalCounters().config_rereads;
    try {
      const GatewayConfig& was = parts_.membership ? parts_.membership->file() : gateway_.config();
      GatewayConfig next = ReloadGatewayConfig(
          was, loop_.Now(), [&](double ms) { return loop_.clock().FromUnixMillis(ms); });
      const std::string changes = DescribeChanges(was, next);
      if (parts_.membership) {
        Log(LogLevel::kInfo, "bank: what it has agreed on goes before the file, where both speak");
        parts_.membership->set_file(std::move(next));
      } else {
        gateway_.ApplyConfig(std::move(next));
      }
      Log(LogLevel::kInfo, "configuration read again: {}",
          changes.empty() ? "nothing of note is new" : changes);
    } catch (const std::exception& error) {
      ++GlobalCounters().config_rejected;
      // The first try and the last say so.
      if (more == kRereads || more == 0) {
        Log(LogLevel::kWarning, "configuration kept as it was: {}", error.what());
      }
      if (more > 0) {
        reread_ = loop_.RunAfter(kRereadAgain, [this, more] { Reread(more - 1); });
      }
    }
  }

  EventLoop& loop_;
  Parts parts_;
  Gateway& gateway_;
  EventLoop::TimerId reread_;
  FileDescriptor fd_;
  bool draining_ = false;
};

}  // namespace

int Serve(const ServeOptions& options) {
  std::signal(SIGPIPE, SIG_IGN);
  const sigset_t signals_set = Signals::Block();
  try {
    EventLoop loop;
    GatewayConfig config =
        ReadGatewayConfig([](const char* name) { return std::getenv(name); },
                          [&](double ms) { return loop.clock().FromUnixMillis(ms); });
    // What the system grants may be less than what was promised.
    rlimit limit{};
    if (getrlimit(RLIMIT_NOFILE, &limit) == 0) {
      config.max_sockets = std::min<size_t>(config.max_sockets, limit.rlim_cur);
    }
    const std::string name = config.name;
    std::optional<ClusterConfig> bank;
    std::string operator_file = options.operator_file;
    if (const char* const told = std::getenv("LB_OPERATOR");
        operator_file.empty() && told != nullptr) {
      operator_file = told;
    }
    if (!operator_file.empty()) {
      bank = ReadClusterConfig(operator_file, name);
    }
    GatewayConfig file;
    if (bank) {
      file = config;
    }
    const size_t known = config.initial_endpoints.endpoints.size();
    for (const std::string& line : UnsupportedSettings(config.settings)) {
      Log(LogLevel::kWarning, "not carried out: {}", line);
    }
    // Only where operators call may a second process be started beside this one.
    const std::optional<Address> admin_at = config.admin;
    const std::string path_over =
        admin_at ? HotRestartSocketPath(std::getenv("TMPDIR"), config.listen) : std::string();
    HotRestartState taken = RequestHotRestart(path_over, config.listen);
    Lifecycle life(!taken.listening_socket);
    Gateway gateway(loop, std::move(config), life, std::move(taken.listening_socket),
                    admin_at.has_value());
    if (!taken.learned_state.empty()) {
      const bool good = gateway.ImportLearnedState(taken.learned_state);
      Log(good ? LogLevel::kInfo : LogLevel::kWarning, "hand-over: {}",
          good ? "what the running process has learned is taken over"
               : "what the running process has learned makes no sense here, left out");
    }
    std::optional<Admin> admin;
    if (admin_at) {
      admin.emplace(loop, *admin_at, life);
    }
    std::optional<NewProcess> successor;
    if (taken.channel) {
      successor.emplace(loop, std::move(taken), gateway.budget());
    }
    std::unique_ptr<ClusterAgent> membership;
    if (bank && options.membership) {
      membership = options.membership(loop, std::move(*bank), gateway, life, std::move(file));
    } else if (bank) {
      membership =
          std::make_unique<ClusterAgent>(loop, std::move(*bank), gateway, life, std::move(file));
    }
    const Parts parts{gateway, membership};
    Log(LogLevel::kInfo, "{} listens on {}, {} hosts known", name, ToText(gateway.address()),
        known);
    const Signals signals(loop, parts, signals_set);
    while (!life.accepts() && !loop.stopped()) {
      loop.RunOnce(kReadyLook);
    }
    // One that was told to end meanwhile leaves the old one as it was.
    const bool serves = !loop.stopped() && life.stage() != LifecycleStage::kEnding;
    if (successor && serves) {
      successor->ReportReady();
    }
    // From now on this process can itself be followed by a newer one.
    std::optional<OldProcess> predecessor;
    if (admin_at && serves) {
      predecessor.emplace(loop, path_over, life, gateway.downstream(), gateway.budget(),
                          [&] { return gateway.ExportLearnedState(); });
    }
    const Beat beat(loop, parts, options.counters_every);
    loop.Run();
    PrintCounters(parts);
    return 0;
  } catch (const std::exception& error) {
    LogLine(LogLevel::kError, std::string("paddlestile: ") + error.what());
    return 1;
  }
}

}  // namespace paddlestile
