// `paddlestile lab ...`: the lab's part of the command line. Each subcommand is in
// lab_NAME_command.cpp.
#ifndef PADDLESTILE_CLI_LAB_COMMANDS_H_
#define PADDLESTILE_CLI_LAB_COMMANDS_H_

#include <string>
#include <vector>

#include "cli/subcommand.h"

namespace paddlestile::lab {

// Adds `lab` with all of its subcommands. Its exit codes: 0 done or held, 1 failed or did not hold,
// 2 wrong usage.
Subcommand AddLabCommands(CLI::App& app);

// Returns the faults of the experiment file at `path`, one line each. If there are none, it can be
// run.
std::vector<std::string> CheckExperiment(const std::string& path);

// Each function adds one subcommand to `lab`.
Subcommand AddRunCommand(CLI::App& lab);
Subcommand AddListCommand(CLI::App& lab);
Subcommand AddReportCommand(CLI::App& lab);
Subcommand AddFleetReportCommand(CLI::App& lab);
Subcommand AddBenchCommand(CLI::App& lab);
Subcommand AddGatewayCommand(CLI::App& lab);
Subcommand AddWorldCommand(CLI::App& lab);
Subcommand AddSoakCommand(CLI::App& lab);
Subcommand AddScaleCommand(CLI::App& lab);
Subcommand AddHollowCommand(CLI::App& lab);
Subcommand AddCapacityCommand(CLI::App& lab);

}  // namespace paddlestile::lab

#endif  // PADDLESTILE_CLI_LAB_COMMANDS_H_
