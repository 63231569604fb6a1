// `paddlestile lab ...`: the lab's part of the command line. Each subcommand has a file of its own,
// lab_NAME_command.cpp.
#ifndef PADDLESTILE_CLI_LAB_COMMANDS_H_
#define PADDLESTILE_CLI_LAB_COMMANDS_H_

#include <string>
#include <vector>

#include "cli/subcommand.h"

namespace paddlestile::lab {

// Adds `lab` with all of its subcommands. Its exit codes: 0 done or held, 1 it did not hold, 2
// wrong usage.
Subcommand AddLabCommands(CLI::App& app);

// All faults of the experiment file at `path`, a line each; empty: it can be run.
std::vector<std::string> CheckExperiment(const std::string& path);

// One function a subcommand, which adds it to `lab`.
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
