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

namespace paddlestile::net {

// One call to the member at `at`, waited for: its answer, or nothing where none came in time.
std::optional<nlohmann::json> CallMember(const Address& at, const nlohmann::json& call,
                                         Duration within);

// The call that asks a member for its state.
nlohmann::json StatusCall();

// Adds the commands; what it gives runs the one that was parsed: an exit code, or -1 for none.
std::function<int()> AddBankCommands(CLI::App& app);

}  // namespace paddlestile::net

#endif  // PADDLESTILE_CLI_CLUSTER_COMMANDS_H_
