// One gateway: reads what it is told, serves, and leaves in good order on SIGTERM.
#include <sys/resource.h>
#include <sys/signalfd.h>
#include <unistd.h>

#include <algorithm>
#include <csignal>
#include <cstdlib>
#include <cstring>
#include <exception>
#include <memory>

#include "net/config.h"
#include "net/counters.h"
#include "net/event_loop.h"
#include "net/gateway.h"
#include "net/log.h"

namespace paddlestile::net {
namespace {

void PrintCounters(const Gateway& gateway) {
  LogLine(Level::kInfo, "counters: " + gateway.StateText());
}

// SIGTERM and SIGINT drain, SIGUSR1 prints the counters.
class Signals final : public EventLoop::Handler {
 public:
  // Blocks them; done before anything else, so that none ends the program between.
  static sigset_t Block() {
    sigset_t set;
    sigemptyset(&set);
    for (const int signal : {SIGTERM, SIGINT, SIGUSR1}) sigaddset(&set, signal);
    sigprocmask(SIG_BLOCK, &set, nullptr);
    return set;
  }

  Signals(EventLoop& loop, Gateway& gateway, const sigset_t& set) : loop_(loop), gateway_(gateway) {
    fd_ = Fd(signalfd(-1, &set, SFD_NONBLOCK | SFD_CLOEXEC));
    uint64_t token = 0;
    if (!fd_ || !loop_.Watch(fd_.get(), this, token)) {
      throw std::runtime_error("cannot watch for signals");
    }
  }

  void OnEvents(uint32_t) override {
    signalfd_siginfo info{};
    while (read(fd_.get(), &info, sizeof(info)) == static_cast<ssize_t>(sizeof(info))) {
      if (info.ssi_signo == SIGUSR1) {
        PrintCounters(gateway_);
      } else if (!draining_) {
        draining_ = true;
        Log(Level::kInfo, "draining");
        gateway_.Drain([this] { loop_.Stop(); });
      }
    }
  }

 private:
  EventLoop& loop_;
  Gateway& gateway_;
  Fd fd_;
  bool draining_ = false;
};

int Main() {
  if (const char* const level = std::getenv("LB_LOG"); level && std::strcmp(level, "debug") == 0) {
    SetLogLevel(Level::kDebug);
  }
  std::signal(SIGPIPE, SIG_IGN);
  const sigset_t signals_set = Signals::Block();
  try {
    EventLoop loop;
    Config config = ReadConfig([](const char* name) { return std::getenv(name); },
                               [&](double ms) { return loop.clock().FromWall(ms); });
    // What the system grants may be less than what was promised.
    rlimit limit{};
    if (getrlimit(RLIMIT_NOFILE, &limit) == 0) {
      config.sockets = std::min<size_t>(config.sockets, limit.rlim_cur);
    }
    const std::string name = config.name;
    const size_t known = config.known.members.size();
    Gateway gateway(loop, std::move(config));
    Log(Level::kInfo, "{} listens on {}, {} hosts known", name, ToText(gateway.address()), known);
    const Signals signals(loop, gateway, signals_set);
    loop.Run();
    PrintCounters(gateway);
    return 0;
  } catch (const std::exception& error) {
    LogLine(Level::kError, std::string("paddlestile: ") + error.what());
    return 1;
  }
}

}  // namespace
}  // namespace paddlestile::net

int main() { return paddlestile::net::Main(); }
