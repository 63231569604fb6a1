// A small logger: lines on standard error, through fmt, at most so many a second.
#ifndef PADDLESTILE_NET_LOG_H_
#define PADDLESTILE_NET_LOG_H_

#include <fmt/format.h>

#include <string_view>
#include <utility>

namespace paddlestile::net {

enum class Level { kDebug, kInfo, kWarning, kError };

// Lines below this are dropped; kInfo at first.
void SetLogLevel(Level level);
[[nodiscard]] bool Logged(Level level);

// Writes one line. Control characters in it become '?', so that no peer can forge a line.
void LogLine(Level level, std::string_view text);

template <typename... Args>
void Log(Level level, fmt::format_string<Args...> format, Args&&... args) {
  if (Logged(level)) LogLine(level, fmt::format(format, std::forward<Args>(args)...));
}

}  // namespace paddlestile::net

#endif  // PADDLESTILE_NET_LOG_H_
