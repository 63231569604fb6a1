#include "base/log.h"

#include <spdlog/sinks/stdout_sinks.h>
#include <spdlog/spdlog.h>

#include <chrono>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>

namespace paddlestile {
namespace {

// A flooded log costs processor time, and a full pipe would block the event loop.
constexpr int kLinesPerSecond = 100;

struct State {
  State() { SetFormat(LogFormat::kText); }
  void SetFormat(LogFormat new_format) {
    format = new_format;
    // The message of a JSON line brings its own quotes.
    logger.set_pattern(new_format == LogFormat::kJson
                           ? R"({"time":"%Y-%m-%dT%H:%M:%S.%fZ","level":"%l","message":%v})"
                           : "%l: %v",
                       spdlog::pattern_time_type::utc);
    logger.set_level(spdlog::level::trace);  // IsLogEnabled has filtered already
    logger.flush_on(spdlog::level::trace);   // the last line before a crash must not be lost
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
  LogLevel minimum_level = LogLevel::kInfo;
  std::chrono::steady_clock::time_point second_began;
  int lines = 0;    // written in this second
  int dropped = 0;  // in this second, past the limit
};

State& GlobalState() {
  static State state;
  return state;
}

}  // namespace

void SetLogLevel(LogLevel level) {
  GlobalState().minimum_level = level;
}
bool IsLogEnabled(LogLevel level) {
  return level >= GlobalState().minimum_level;
}
void SetLogFormat(LogFormat format) {
  GlobalState().SetFormat(format);
}

void LogLine(LogLevel level, std::string_view text) {
  State& state = GlobalState();
  const auto now = std::chrono::steady_clock::now();
  if (now - state.second_began >= std::chrono::seconds(1)) {
    if (state.dropped > 0) {
      state.Write(LogLevel::kWarning, fmt::format("{} log lines dropped", state.dropped));
    }
    state.second_began = now;
    state.lines = 0;
    state.dropped = 0;
  }
  if (++state.lines > kLinesPerSecond) {
    ++state.dropped;
    return;
  }
  state.Write(level, text);
}

}  // namespace paddlestile
