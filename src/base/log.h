// Log lines on standard error, through spdlog: text, or one JSON object a line. At most 100 lines a
// second; how many were dropped is logged. Not thread-safe.
#ifndef PADDLESTILE_BASE_LOG_H_
#define PADDLESTILE_BASE_LOG_H_

#include <fmt/format.h>

#include <string_view>
#include <utility>

namespace paddlestile {

enum class LogLevel {
  kDebug,
  kInfo,
  kWarning,
  kError
};
enum class LogFormat {
  kText,
  kJson
};

// Lines below `level` are dropped. kInfo by default.
void SetLogLevel(LogLevel level);
// Whether a line of `level` would be written.
[[nodiscard]] bool IsLogEnabled(LogLevel level);

// kText, the default: "warning: text". kJson: {"time": ISO 8601 in UTC, "level": ..., "message":
// ...}.
void SetLogFormat(LogFormat format);

// Writes one line. Control characters become '?', so that no peer can forge a line; in JSON, bytes
// that are not UTF-8 become U+FFFD.
void LogLine(LogLevel level, std::string_view text);

// Formats and writes one line; the arguments are not formatted where the level is off.
template <typename... Args>
void Log(LogLevel level, fmt::format_string<Args...> format, Args&&... args) {
  if (IsLogEnabled(level)) {
    LogLine(level, fmt::format(format, std::forward<Args>(args)...));
  }
}

}  // namespace paddlestile

#endif  // PADDLESTILE_BASE_LOG_H_
