// `paddlestile lab list`.
#include <fmt/format.h>

#include <algorithm>
#include <filesystem>
#include <memory>

#include "cli/exit_codes.h"
#include "cli/lab_commands.h"
#include "lab/experiment.h"

namespace paddlestile::lab {
namespace {

namespace fs = std::filesystem;

void PrintExperiment(const Experiment& experiment) {
  fmt::print("{:<20} {:>4.0f} s  {:>5} hosts {:>3} gateways  {}\n", experiment.name,
             static_cast<double>(experiment.length.count()) / 1e6, experiment.host_count(),
             experiment.gateway.count, experiment.about);
}

int List(const std::string& folder) {
  std::vector<fs::path> files;
  std::error_code error;
  for (const auto& entry : fs::directory_iterator(folder, error)) {
    if (entry.path().extension() == ".toml") {
      files.push_back(entry.path());
    }
  }
  if (error) {
    fmt::print(stderr, "paddlestile: {}: {}, expected a folder\n", folder, error.message());
    return kExitWrongUsage;
  }
  std::ranges::sort(files);
  int exit_code = kExitDone;
  for (const fs::path& path : files) {
    try {
      PrintExperiment(ReadExperiment(path.string()));
    } catch (const ExperimentError& invalid) {
      fmt::print(stderr, "{}\n", invalid.what());
      exit_code = kExitWrongUsage;
    }
  }
  return exit_code;
}

}  // namespace

Subcommand AddListCommand(CLI::App& lab) {
  const auto folder = std::make_shared<std::string>("lab/experiments");
  CLI::App* const list = lab.add_subcommand("list", "List the experiments in a folder");
  list->add_option("FOLDER", *folder, "by default lab/experiments");
  list->footer("Example:\n  paddlestile lab list");
  return {list, [folder] {
            return List(*folder);
          }};
}

}  // namespace paddlestile::lab
