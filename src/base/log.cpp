#include "base/log.h"

#include <spdlog/sinks/stdout_sinks.h>
#include <spdlog/spdlog.h>

#include <chrono>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>

namespace paddlestile {
namespace {

// A log that floods would cost more than what it tells, and a full pipe would hold up the loop.
constexpr int kLinesPerSecond = 100;

struct State {
  State() { Use(LogFormat::kText); }
  void Use(LogFormat to) {
    format = to;
    // The message of a JSON line brings its own quotes.
    logger.set_pattern(to == LogFormat::kJson
                           ? R"({"time":"%Y-%m-%dT%H:%M:%S.%fZ","level":"%l","message":%v})"
                           : "%l: %v",
                       spdlog::pattern_time_type::utc);
    logger.set_level(spdlog::level::trace);  // what is dropped is dropped before
    logger.flush_on(spdlog::level::trace);   // the last line before a crash is the one that counts
  }
  void Write(LogLevel level, std::string_view text) {
    static constexpr spdlog::level::level_enum kLevels[] = {
        spdlog::level::debug, spdlog::level::info, spdlog::level::warn, spdlog::level::err};
    std::string line(text);
    for (char& c : line) {
      if (static_cast<unsigned char>(c) < 0x20 || c == 0x7f) {
        c = '?';
      }
    }
    if (format == LogFormat::kJson) {
      line = nlohmann::json(line).dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
    }
    logger.log(kLevels[static_cast<int>(level)], spdlog::string_view_t(line));
  }

  spdlog::logger logger{"paddlestile", std::make_shared<spdlog::sinks::stderr_sink_st>()};
  LogFormat format = LogFormat::kText;
  LogLevel least = LogLevel::kInfo;
  std::chrono::steady_clock::time_point second;
  int lines = 0;
  int dropped = 0;
};

State& state() {
  static State state;
  return state;
}

}  // namespace

void SetLogLevel(LogLevel level) {
  state().least = level;
}
bool IsLogEnabled(LogLevel level) {
  return level >= state().least;
}
void SetLogFormat(LogFormat format) {
  state().Use(format);
}

void LogLine(LogLevel level, std::string_view text) {
  State& s = state();
  const auto now = std::chrono::steady_clock::now();
  if (now - s.second >= std::chrono::seconds(1)) {
    if (s.dropped > 0) {
      s.Write(LogLevel::kWarning, fmt::format("{} log lines dropped", s.dropped));
    }
    s.second = now;
    s.lines = s.dropped = 0;
  }
  if (++s.lines > kLinesPerSecond) {
    ++s.dropped;
    return;
  }
  s.Write(level, text);
}

}  // namespace paddlestile
