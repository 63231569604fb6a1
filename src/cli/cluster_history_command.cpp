// `paddlestile bank history`.
#include <fmt/chrono.h>
#include <fmt/format.h>

#include <ctime>
#include <memory>

#include "cli/cluster_client.h"
#include "cli/cluster_commands.h"
#include "cli/exit_codes.h"

namespace paddlestile {
namespace {

using nlohmann::json;

void PrintVersion(const json& version) {
  const auto time = static_cast<std::time_t>(version["unix_s"].get<double>());
  fmt::print("{:>5} {} {:%Y-%m-%d %H:%M:%S}Z {} {}: {}\n", version["version"].get<uint64_t>(),
             version["hash"].get<std::string>(), fmt::gmtime(time),
             version["on"].get<bool>() ? "on   " : "taken", version["author"].get<std::string>(),
             version["reason"].get<std::string>());
}

int History(const MemberCallOptions& options) {
  json call = {{"what", "history"}};
  // The texts of the versions may be large. Only the JSON output contains them.
  if (!options.as_json) {
    call["texts"] = json::array();
  }
  const auto reply = CallAnyMember(options, call);
  if (!reply) {
    return FailNoReply();
  }
  const json& versions = (*reply)["versions"];
  if (options.as_json) {
    fmt::print("{}\n", versions.dump(2));
    return kExitDone;
  }
  for (const json& version : versions) {
    PrintVersion(version);
  }
  return kExitDone;
}

}  // namespace

Subcommand AddClusterHistoryCommand(CLI::App& bank) {
  const auto options = std::make_shared<MemberCallOptions>();
  CLI::App* const history = AddClusterSubcommand(
      bank, "history", "List the versions, the oldest first",
      "  paddlestile bank history --at 127.0.0.1:7000", options->operator_file);
  AddCallOptions(*history, *options);
  return {history, [options] {
            return History(*options);
          }};
}

}  // namespace paddlestile
