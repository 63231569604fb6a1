#include "cli/startup_signals.h"

#include <array>
#include <csignal>

namespace paddlestile {
namespace {

constexpr std::array kGatewaySignals = {SIGTERM, SIGINT, SIGUSR1, SIGHUP};

sigset_t inherited_mask;

void BlockGatewaySignals(int /*argc*/, char** /*argv*/, char** /*environment*/) {
  sigset_t signals;
  sigemptyset(&signals);
  for (const int signal : kGatewaySignals) {
    sigaddset(&signals, signal);
  }
  sigprocmask(SIG_BLOCK, &signals, &inherited_mask);
}

// The dynamic linker runs this before the initializers of any library.
[[gnu::section(".preinit_array"),
  gnu::used]] void (*const kBlockGatewaySignals)(int, char**, char**) = &BlockGatewaySignals;

}  // namespace

void RestoreInheritedSignalMask() {
  sigprocmask(SIG_SETMASK, &inherited_mask, nullptr);
}

}  // namespace paddlestile
