#include "base/log.h"

#include <spdlog/sinks/stdout_sinks.h>
#include <spdlog/spdlog.h>

#include <chrono>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>

namespace paddlestile {
namespace {

// Limits the time spent on logging, and avoids filling a pipe, which would block the event loop.
constexpr int kLinesPerSecond = 100;

struct Logger {
  Logger() { SetFormat(LogFormat::kText); }
  void SetFormat(LogFormat new_format) {
    format = new_format;
    // In JSON the message includes its quotes.
    logger.set_pattern(format == LogFormat::kJson
                           ? R"({"time":"%Y-%m-%dT%H:%M:%S.%fZ","level":"%l","message":%v})"
                           : "%l: %v",
                       spdlog::pattern_time_type::utc);
    logger.set_level(spdlog::level::trace);  // IsLogEnabled filters instead
    logger.flush_on(spdlog::level::trace);   // writes the last line before a crash
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
  LogLevel min_level = LogLevel::kInfo;
  std::chrono::steady_clock::time_point second_started_at;  // for the rate limit
  int lines = 0;                                            // lines in that second
  int dropped = 0;                                          // of those, lines dropped
};

Logger& GlobalLogger() {
  static Logger logger;
  return logger;
}

}  // namespace

void SetLogLevel(LogLevel level) {
  GlobalLogger().min_level = level;
}

bool IsLogEnabled(LogLevel level) {
  return level >= GlobalLogger().min_level;
}

void SetLogFormat(LogFormat format) {
  GlobalLogger().SetFormat(format);
}

void LogLine(LogLevel level, std::string_view text) {
  Logger& logger = GlobalLogger();
  const auto now = std::chrono::steady_clock::now();
  if (now - logger.second_started_at >= std::chrono::seconds(1)) {
    if (logger.dropped > 0) {
      logger.Write(LogLevel::kWarning, fmt::format("{} log lines dropped", logger.dropped));
    }
    logger.second_started_at = now;
    logger.lines = 0;
    logger.dropped = 0;
  }
  if (++logger.lines > kLinesPerSecond) {
    ++logger.dropped;
    return;
  }
  logger.Write(level, text);
}

}  // namespace paddlestile
