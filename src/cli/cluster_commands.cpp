#include "cli/cluster_commands.h"

#include <fmt/format.h>

#include <exception>

#include "base/config_error.h"
#include "cli/cluster_client.h"
#include "cli/exit_codes.h"

namespace paddlestile {
namespace {

// Runs the parsed subcommand. Prints an exception as one line and converts it to an exit code.
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
  CLI::App* const bank = app.add_subcommand(
      "bank", "Manage the settings and host lists that a cluster of gateways agrees on");
  bank->require_subcommand(1);
  // In the order of the help text.
  const std::vector<Subcommand> subcommands = {
      AddClusterInitCommand(*bank), AddClusterStatusCommand(*bank), AddClusterHistoryCommand(*bank),
      AddClusterDiffCommand(*bank), AddClusterChangeCommand(*bank), AddClusterVotersCommand(*bank)};
  return {bank, [subcommands] {
            return RunClusterCommand(subcommands);
          }};
}

}  // namespace paddlestile
