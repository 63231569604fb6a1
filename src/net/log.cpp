#include "net/log.h"

#include <unistd.h>

#include <chrono>
#include <string>

namespace paddlestile::net {
namespace {

// A log that floods would cost more than what it tells, and a full pipe would hold up the loop.
constexpr int kLinesPerSecond = 100;

struct State {
  Level least = Level::kInfo;
  std::chrono::steady_clock::time_point second;
  int lines = 0;
  int dropped = 0;
};

State& state() {
  static State state;
  return state;
}

void Write(std::string_view text) {
  while (!text.empty()) {
    const ssize_t n = write(STDERR_FILENO, text.data(), text.size());
    if (n <= 0) return;
    text.remove_prefix(static_cast<size_t>(n));
  }
}

}  // namespace

void SetLogLevel(Level level) { state().least = level; }
bool Logged(Level level) { return level >= state().least; }

void LogLine(Level level, std::string_view text) {
  static constexpr const char* kNames[] = {"debug", "info", "warning", "error"};
  State& s = state();
  const auto now = std::chrono::steady_clock::now();
  if (now - s.second >= std::chrono::seconds(1)) {
    if (s.dropped > 0) Write(fmt::format("warning: {} log lines dropped\n", s.dropped));
    s.second = now;
    s.lines = s.dropped = 0;
  }
  if (++s.lines > kLinesPerSecond) {
    ++s.dropped;
    return;
  }
  std::string line = fmt::format("{}: {}", kNames[static_cast<int>(level)], text);
  for (char& c : line) {
    if (static_cast<unsigned char>(c) < 0x20 || c == 0x7f) c = '?';
  }
  Write(line + '\n');
}

}  // namespace paddlestile::net
