// `paddlestile bank voters add|remove|replace`.
#include <memory>
#include <utility>

#include "cli/cluster_client.h"
#include "cli/cluster_commands.h"
#include "cli/exit_codes.h"

namespace paddlestile {
namespace {

using cluster::ChangeRequest;

struct VoterOptions {
  SubmitOptions submit;
  std::string name;
};

int ChangeVoters(const VoterOptions& options, ChangeRequest::Kind kind) {
  ChangeRequest request;
  request.kind = kind;
  request.name = options.name;
  return SubmitChange(options.submit, std::move(request));
}

Subcommand AddVoterCommand(CLI::App& voters, const char* name, const char* description,
                           const char* example, ChangeRequest::Kind kind) {
  const auto options = std::make_shared<VoterOptions>();
  CLI::App* const command =
      AddClusterSubcommand(voters, name, description, example, options->submit.call.operator_file);
  AddSubmitOptions(*command, options->submit);
  command->add_option("NAME", options->name, "the member")->required();
  return {command, [options, kind] {
            return ChangeVoters(*options, kind);
          }};
}

}  // namespace

Subcommand AddClusterVotersCommand(CLI::App& bank) {
  CLI::App* const voters = bank.add_subcommand("voters", "Change which members vote");
  voters->require_subcommand(1);
  const std::vector<Subcommand> subcommands = {
      AddVoterCommand(*voters, "add", "Make a member a voter",
                      "  paddlestile bank voters add g7 --operator bank.toml",
                      ChangeRequest::Kind::kAddVoter),
      AddVoterCommand(*voters, "remove", "Make a voter a non-voting member",
                      "  paddlestile bank voters remove g7 --at 127.0.0.1:7000",
                      ChangeRequest::Kind::kRemoveVoter),
      AddVoterCommand(*voters, "replace",
                      "Make a voter that restarted with another disk a voter again",
                      "  paddlestile bank voters replace g1 --operator bank.toml",
                      ChangeRequest::Kind::kReplaceVoter)};
  return {voters, [subcommands] {
            return RunParsed(subcommands).value_or(kExitWrongUsage);
          }};
}

}  // namespace paddlestile
