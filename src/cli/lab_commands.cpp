#include "cli/lab_commands.h"

#include <fmt/format.h>

#include <exception>
#include <sstream>

#include "cli/exit_codes.h"
#include "lab/capacity.h"
#include "lab/experiment.h"
#include "lab/runner.h"

namespace paddlestile::lab {
namespace {

// Runs the parsed subcommand. Prints an exception as one line and converts it to an exit code.
int RunLabCommand(const std::vector<Subcommand>& subcommands) {
  try {
    return RunParsed(subcommands).value_or(kExitWrongUsage);
  } catch (const Interrupted& error) {
    fmt::print(stderr, "paddlestile: {}\n", error.what());
    return kExitFailed;
  } catch (const ExperimentError& error) {
    fmt::print(stderr, "{}\n", error.what());
    return kExitWrongUsage;
  } catch (const CapacityError& error) {
    fmt::print(stderr, "{}\n", error.what());
    return kExitWrongUsage;
  } catch (const std::exception& error) {  // for instance a port in use or an invalid result file
    fmt::print(stderr, "paddlestile: {}\n", error.what());
    return kExitWrongUsage;
  }
}

}  // namespace

std::vector<std::string> CheckExperiment(const std::string& path) {
  try {
    ReadExperiment(path);
    return {};
  } catch (const ExperimentError& error) {
    std::vector<std::string> lines;
    std::istringstream text(error.what());
    for (std::string line; std::getline(text, line);) {
      lines.push_back(line);
    }
    return lines;
  }
}

Subcommand AddLabCommands(CLI::App& app) {
  CLI::App* const lab = app.add_subcommand("lab", "Run experiments with emulated hosts");
  lab->require_subcommand(1);
  // In the order of the help text.
  const std::vector<Subcommand> subcommands = {
      AddRunCommand(*lab),         AddListCommand(*lab),    AddReportCommand(*lab),
      AddFleetReportCommand(*lab), AddBenchCommand(*lab),   AddGatewayCommand(*lab),
      AddWorldCommand(*lab),       AddSoakCommand(*lab),    AddScaleCommand(*lab),
      AddHollowCommand(*lab),      AddCapacityCommand(*lab)};
  return {lab, [subcommands] {
            return RunLabCommand(subcommands);
          }};
}

}  // namespace paddlestile::lab
