// `paddlestile bank ...`: an operator's calls to the members of the cluster, which the command line
// calls a bank. Each subcommand is in cluster_NAME_command.cpp.
#ifndef PADDLESTILE_CLI_CLUSTER_COMMANDS_H_
#define PADDLESTILE_CLI_CLUSTER_COMMANDS_H_

#include "cli/subcommand.h"

namespace paddlestile {

// Adds `bank` with all of its subcommands. Its exit codes: 0 done, 1 not done, 2 wrong usage.
Subcommand AddClusterCommands(CLI::App& app);

// Each function adds one subcommand to `bank`.
Subcommand AddClusterInitCommand(CLI::App& bank);
Subcommand AddClusterStatusCommand(CLI::App& bank);
Subcommand AddClusterHistoryCommand(CLI::App& bank);
Subcommand AddClusterDiffCommand(CLI::App& bank);
Subcommand AddClusterChangeCommand(CLI::App& bank);
Subcommand AddClusterVotersCommand(CLI::App& bank);

}  // namespace paddlestile

#endif  // PADDLESTILE_CLI_CLUSTER_COMMANDS_H_
