// Lines on standard error, through spdlog, at most so many a second: text for people, or one JSON
// object a line. One thread logs at a time.
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

// Lines below this are dropped; kInfo at first.
void SetLogLevel(LogLevel level);
[[nodiscard]] bool IsLogEnabled(LogLevel level);

// kText at first: "warning: words". kJson: {"time": ISO 8601 in UTC, "level": ..., "message": ...}.
void SetLogFormat(LogFormat format);

// Writes one line. Control characters in it become '?', so that no peer can forge a line; in JSON,
// what is no UTF-8 becomes U+FFFD.
void LogLine(LogLevel level, std::string_view text);

template <typename... Args>
void Log(LogLevel level, fmt::format_string<Args...> format, Args&&... args) {
  if (IsLogEnabled(level)) {
    LogLine(level, fmt::format(format, std::forward<Args>(args)...));
  }
}

}  // namespace paddlestile

#endif  // PADDLESTILE_BASE_LOG_H_
