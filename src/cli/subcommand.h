// A subcommand of the command line and the function that runs it.
#ifndef PADDLESTILE_CLI_SUBCOMMAND_H_
#define PADDLESTILE_CLI_SUBCOMMAND_H_

#include <CLI/CLI.hpp>
#include <functional>
#include <optional>
#include <vector>

namespace paddlestile {

struct Subcommand {
  CLI::App* app = nullptr;   // owned by the application that it was added to
  std::function<int()> run;  // must be called after parsing; returns an exit code
};

// Runs the parsed subcommand and returns its exit code, or nullopt if none of them was parsed.
inline std::optional<int> RunParsed(const std::vector<Subcommand>& subcommands) {
  for (const Subcommand& subcommand : subcommands) {
    if (subcommand.app->parsed()) {
      return subcommand.run();
    }
  }
  return std::nullopt;
}

}  // namespace paddlestile

#endif  // PADDLESTILE_CLI_SUBCOMMAND_H_
