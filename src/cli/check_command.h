// `paddlestile check`: prints the faults of a file of any kind that the program reads.
#ifndef PADDLESTILE_CLI_CHECK_COMMAND_H_
#define PADDLESTILE_CLI_CHECK_COMMAND_H_

#include "cli/subcommand.h"

namespace paddlestile {

Subcommand AddCheckCommand(CLI::App& app);

}  // namespace paddlestile

#endif  // PADDLESTILE_CLI_CHECK_COMMAND_H_
