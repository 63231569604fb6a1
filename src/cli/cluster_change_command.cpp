// `paddlestile bank change`.
#include <fmt/format.h>

#include <fstream>
#include <iterator>
#include <memory>
#include <utility>

#include "cli/cluster_client.h"
#include "cli/cluster_commands.h"
#include "cli/exit_codes.h"
#include "cluster/delta.h"

namespace paddlestile {
namespace {

struct ChangeOptions {
  SubmitOptions submit;
  std::string file;
  std::optional<uint64_t> expected_version;
  bool is_delta = false;
};

int Change(const ChangeOptions& options) {
  std::ifstream file(options.file, std::ios::binary);
  cluster::ChangeRequest request;
  request.change.document =
      std::string((std::istreambuf_iterator<char>(file)), std::istreambuf_iterator<char>());
  if (!file) {
    return FailClusterCommand(kExitWrongUsage,
                              options.file + ": cannot read it, expected a file of rules (JSON)");
  }
  const std::vector<std::string> faults = options.is_delta
                                              ? cluster::ValidateDelta(request.change.document)
                                              : cluster::ValidateDocument(request.change.document);
  for (const std::string& fault : faults) {
    fmt::print(stderr, "{}: {}\n", options.file, fault);
  }
  if (!faults.empty()) {
    return kExitWrongUsage;
  }
  request.change.is_delta = options.is_delta;
  request.change.expected_version = options.expected_version;
  return SubmitChange(options.submit, std::move(request));
}

}  // namespace

Subcommand AddClusterChangeCommand(CLI::App& bank) {
  const auto options = std::make_shared<ChangeOptions>();
  CLI::App* const change = AddClusterSubcommand(
      bank, "change", "Submit a whole new version, or a delta to the latest version",
      "  paddlestile bank change rules.json --operator bank.toml --reason 'h-3 burns' --expect 4",
      options->submit.call.operator_file);
  AddSubmitOptions(*change, options->submit);
  change->add_option("FILE", options->file, "settings, barred, drain, zone_only (JSON)")
      ->required();
  change->add_option("--expect", options->expected_version,
                     "refuse the change unless this is the latest version");
  change->add_flag("--delta", options->is_delta,
                   "FILE tells what to set and remove in the latest version (changes = \"delta\")");
  return {change, [options] {
            return Change(*options);
          }};
}

}  // namespace paddlestile
