#include "cli/cluster_commands.h"

#include <fmt/format.h>

#include <exception>

#include "base/config_error.h"
#include "cli/cluster_client.h"
#include "cli/exit_codes.h"

namespace paddlestile {
namespace {

// Runs the parsed subcommand and turns what it throws into one line and an exit code.
int RunClusterCommand(const std::vector<Subcommand>& subcommands) {
  try {
    return RunParsed(subcommands).value_or(kExitWrongUsage);
  } catch (const ConfigError& error) {
    fmt::print(stderr, "{}\n", error.what());
    return kExitWrongUsage;
  } catch (const std::exception& error) {
    return FailClusterCommand(kExitFailed, error.what());
  }
}

}  // namespace

Subcommand AddClusterCommands(CLI::App& app) {
  CLI::App* const bank = app.add_subcommand("bank", "Settings and lists that gateways agree on");
  bank->require_subcommand(1);
  // The order is that of the help text.
  const std::vector<Subcommand> subcommands = {
      AddClusterInitCommand(*bank), AddClusterStatusCommand(*bank), AddClusterHistoryCommand(*bank),
      AddClusterDiffCommand(*bank), AddClusterChangeCommand(*bank), AddClusterVotersCommand(*bank)};
  return {bank, [subcommands] {
            return RunClusterCommand(subcommands);
          }};
}

}  // namespace paddlestile
