// Rate-limited logging to standard error, as text or as one JSON object per line. Not thread-safe.
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

// Sets the minimum level of lines to write; kInfo by default.
void SetLogLevel(LogLevel level);
[[nodiscard]] bool IsLogEnabled(LogLevel level);

// kText, the default: "warning: text".
// kJson: {"time": ISO 8601 in UTC, "level": ..., "message": ...}.
void SetLogFormat(LogFormat format);

// Writes one line. Replaces control characters by '?', so that a peer cannot inject log lines. In
// JSON, replaces invalid UTF-8 by U+FFFD.
void LogLine(LogLevel level, std::string_view text);

template <typename... Args>
void Log(LogLevel level, fmt::format_string<Args...> format, Args&&... args) {
  if (IsLogEnabled(level)) {
    LogLine(level, fmt::format(format, std::forward<Args>(args)...));
  }
}

}  // namespace paddlestile

#endif  // PADDLESTILE_BASE_LOG_H_
