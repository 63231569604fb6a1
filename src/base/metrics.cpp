#include "base/metrics.h"

#include <fmt/format.h>

#include "base/log.h"

namespace paddlestile {

std::string Counters::ToText() const {
  std::string text;
  const auto add = [&](const char* name, uint64_t value) {
    if (value == 0) {
      return;
    }
    if (!text.empty()) {
      text += ' ';
    }
    text += fmt::format("{}={}", name, value);
  };
#define PADDLESTILE_ADD(name) add(#name, name);
  PADDLESTILE_COUNTERS(PADDLESTILE_ADD)
#undef PADDLESTILE_ADD
  return text;
}

Counters& GlobalCounters() {
  static Counters counters;
  return counters;
}

bool CheckFailed(const char* condition, const char* file, int line) {
  constexpr uint64_t kMaxLoggedFailures = 20;
  if (++GlobalCounters().invariant_failures <= kMaxLoggedFailures) {
    Log(LogLevel::kError, "check failed: {} at {}:{}", condition, file, line);
  }
  return false;
}

}  // namespace paddlestile
