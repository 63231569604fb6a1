// Exit codes of all commands; scripts rely on them.
#ifndef PADDLESTILE_CLI_EXIT_CODES_H_
#define PADDLESTILE_CLI_EXIT_CODES_H_

namespace paddlestile {

inline constexpr int kExitDone = 0;
inline constexpr int kExitFailed = 1;  // a check failed, or the work could not be done
inline constexpr int kExitWrongUsage = 2;

}  // namespace paddlestile

#endif  // PADDLESTILE_CLI_EXIT_CODES_H_
