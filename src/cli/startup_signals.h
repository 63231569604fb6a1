// The signals that a gateway handles, blocked from the first instruction of the program on: one
// that comes while the process starts waits until it is handled, and does not end the process.
#ifndef PADDLESTILE_CLI_STARTUP_SIGNALS_H_
#define PADDLESTILE_CLI_STARTUP_SIGNALS_H_

namespace paddlestile {

// Restores the signal mask that the process was started with. For commands that do not serve: what
// was sent meanwhile then has its default effect. To be called once, from the only thread.
void RestoreInheritedSignalMask();

}  // namespace paddlestile

#endif  // PADDLESTILE_CLI_STARTUP_SIGNALS_H_
