#include "cli/check_command.h"

#include <fmt/format.h>

#include <fstream>
#include <iterator>
#include <memory>
#include <string>

#include "cli/exit_codes.h"
#include "cli/lab_commands.h"
#include "config/gateway_config.h"
#include "config/operator_config.h"

namespace paddlestile {
namespace {

// A TOML file with a list of members is an operator's file. Any other is an experiment.
std::vector<std::string> CheckToml(const std::string& path) {
  std::ifstream file(path);
  const std::string text((std::istreambuf_iterator<char>(file)), std::istreambuf_iterator<char>());
  const bool has_members = text.find("[[bank.members]]") != std::string::npos;
  return has_members ? ValidateClusterConfig(text, path) : lab::CheckExperiment(path);
}

int CheckFile(const std::string& path) {
  // The faults of a TOML file already begin with its path.
  const bool is_toml = path.ends_with(".toml");
  const std::vector<std::string> faults = is_toml ? CheckToml(path) : ValidateGatewayConfig(path);
  for (const std::string& fault : faults) {
    fmt::print(stderr, "{}{}\n", is_toml ? "" : path + ": ", fault);
  }
  if (!faults.empty()) {
    return kExitWrongUsage;
  }
  fmt::print("{}: good\n", path);
  return kExitDone;
}

}  // namespace

Subcommand AddCheckCommand(CLI::App& app) {
  const auto file = std::make_shared<std::string>();
  CLI::App* const check = app.add_subcommand("check", "Check a file and print all of its faults");
  check
      ->add_option("FILE", *file,
                   "a gateway's configuration (JSON), an operator's file or an experiment (.toml)")
      ->required();
  check->footer(
      "Examples:\n  paddlestile check config.json\n  paddlestile check "
      "lab/experiments/calm.toml");
  return {check, [file] {
            return CheckFile(*file);
          }};
}

}  // namespace paddlestile
