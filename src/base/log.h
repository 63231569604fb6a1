// Log lines on standard error, at a limited rate: as text, or as one JSON object a line. Not
// thread-safe.
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

// Lines below the level are dropped; kInfo at first.
void SetLogLevel(LogLevel level);
[[nodiscard]] bool IsLogEnabled(LogLevel level);

// kText at first: "warning: text". kJson: {"time": ISO 8601 in UTC, "level": ..., "message": ...}.
void SetLogFormat(LogFormat format);

// Writes one line. Control characters in it become '?', so that no peer can forge a line. In JSON,
// invalid UTF-8 becomes U+FFFD.
void LogLine(LogLevel level, std::string_view text);

template <typename... Args>
void Log(LogLevel level, fmt::format_string<Args...> format, Args&&... args) {
  if (IsLogEnabled(level)) {
    LogLine(level, fmt::format(format, std::forward<Args>(args)...));
  }
}

}  // namespace paddlestile

#endif  // PADDLESTILE_BASE_LOG_H_
