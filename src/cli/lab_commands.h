// `paddlestile lab ...`: the lab's part of the command line.
#ifndef PADDLESTILE_CLI_LAB_COMMANDS_H_
#define PADDLESTILE_CLI_LAB_COMMANDS_H_

#include <functional>
#include <string>
#include <vector>

namespace CLI {
class App;
}

namespace paddlestile::lab {

// Adds the subcommand `lab`. What is returned carries out what was parsed and gives the exit code:
// 0 done or held, 1 it did not hold, 2 wrong usage; nothing is carried out where `lab` was not
// asked for, and -1 comes back.
std::function<int()> AddCommands(CLI::App& app);

// All that is wrong in an experiment file, a line each; empty: it can be played.
std::vector<std::string> CheckExperiment(const std::string& path);

}  // namespace paddlestile::lab

#endif  // PADDLESTILE_CLI_LAB_COMMANDS_H_
