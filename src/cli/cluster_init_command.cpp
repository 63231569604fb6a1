// `paddlestile bank init`.
#include <fmt/format.h>

#include <memory>

#include "cli/cluster_client.h"
#include "cli/cluster_commands.h"
#include "cli/exit_codes.h"
#include "config/operator_config.h"
#include "gateway/cluster_agent.h"

namespace paddlestile {
namespace {

struct InitOptions {
  std::string operator_file;
  std::string name;  // of the cluster's first member
};

int Init(const InitOptions& options) {
  if (options.operator_file.empty()) {
    return FailClusterCommand(kExitWrongUsage, "no file, expected --operator FILE");
  }
  const ClusterConfig config = ReadClusterConfig(options.operator_file, options.name);
  if (!config.members.at(options.name).votes) {
    return FailClusterCommand(kExitWrongUsage,
                              options.name + ": does not vote, expected one of the voters");
  }
  InitCluster(config, options.name);
  fmt::print("{}: created; start the members, the other voters join automatically\n",
             config.folder);
  return kExitDone;
}

}  // namespace

Subcommand AddClusterInitCommand(CLI::App& bank) {
  const auto options = std::make_shared<InitOptions>();
  CLI::App* const init = AddClusterSubcommand(
      bank, "init", "Create the state of a new cluster's first voter",
      "  paddlestile bank init --operator bank.toml --name g0", options->operator_file);
  init->add_option("--name", options->name, "the name of that voter")->required();
  return {init, [options] {
            return Init(*options);
          }};
}

}  // namespace paddlestile
