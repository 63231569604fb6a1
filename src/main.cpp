// One gateway: reads what it is told, serves, and leaves in good order on SIGTERM.
#include <sys/signalfd.h>
#include <unistd.h>

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
  Signals(EventLoop& loop, Gateway& gateway) : loop_(loop), gateway_(gateway) {
    sigset_t set;
    sigemptyset(&set);
    for (const int signal : {SIGTERM, SIGINT, SIGUSR1}) sigaddset(&set, signal);
    sigprocmask(SIG_BLOCK, &set, nullptr);
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
  try {
    EventLoop loop;
    Config config = ReadConfig([](const char* name) { return std::getenv(name); },
                               [&](double ms) { return loop.clock().FromWall(ms); });
    Log(Level::kInfo, "{} listens on {}, {} hosts known", config.name, ToText(config.listen),
        config.known.members.size());
    Gateway gateway(loop, std::move(config));
    Signals signals(loop, gateway);
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
