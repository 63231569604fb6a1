// `paddlestile bank`: an operator's calls to the members of a bank.
#ifndef PADDLESTILE_CLI_CLUSTER_COMMANDS_H_
#define PADDLESTILE_CLI_CLUSTER_COMMANDS_H_

#include <functional>
#include <nlohmann/json.hpp>
#include <optional>

#include "config/gateway_config.h"

namespace CLI {
class App;
}

namespace paddlestile {

// Adds the commands; what it gives runs the one that was parsed: an exit code, or -1 for none.
std::function<int()> AddBankCommands(CLI::App& app);

}  // namespace paddlestile

#endif  // PADDLESTILE_CLI_CLUSTER_COMMANDS_H_
