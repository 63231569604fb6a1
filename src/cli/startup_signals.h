// Blocks the signals that a gateway handles before any library is initialized. A signal that
// arrives while the process starts stays pending until it is handled, and does not kill the
// process.
#ifndef PADDLESTILE_CLI_STARTUP_SIGNALS_H_
#define PADDLESTILE_CLI_STARTUP_SIGNALS_H_

namespace paddlestile {

// Restores the signal mask that the process was started with, for commands that do not serve.
// Pending signals then have their default action. Must be called once, while the process has only
// one thread.
void RestoreInheritedSignalMask();

}  // namespace paddlestile

#endif  // PADDLESTILE_CLI_STARTUP_SIGNALS_H_
