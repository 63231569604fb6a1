// A library to be preloaded, which reports whether SIGTERM is blocked while its initializers run.
#include <unistd.h>

#include <csignal>
#include <string_view>

namespace {

[[gnu::constructor]] void ReportMask() {
  sigset_t mask;
  sigprocmask(SIG_BLOCK, nullptr, &mask);
  const std::string_view text =
      sigismember(&mask, SIGTERM) == 1 ? "probe: blocked\n" : "probe: not blocked\n";
  if (write(STDERR_FILENO, text.data(), text.size()) < 0) {
    _exit(1);
  }
}

}  // namespace
