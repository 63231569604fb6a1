// `paddlestile migrate`: writes a configuration file for a gateway beside every client process.
#ifndef PADDLESTILE_CLI_MIGRATE_COMMAND_H_
#define PADDLESTILE_CLI_MIGRATE_COMMAND_H_

#include "cli/subcommand.h"

namespace paddlestile {

Subcommand AddMigrateCommand(CLI::App& app);

}  // namespace paddlestile

#endif  // PADDLESTILE_CLI_MIGRATE_COMMAND_H_
