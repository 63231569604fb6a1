// `paddlestile lab capacity`.
#include <fmt/format.h>

#include <fstream>
#include <iterator>
#include <memory>

#include "cli/exit_codes.h"
#include "cli/lab_commands.h"
#include "cli/lab_output.h"
#include "lab/capacity.h"

namespace paddlestile::lab {
namespace {

struct CapacityCommandOptions {
  std::string target = "lab/capacity/target.toml";
  std::string rows = "lab/capacity/rows.toml";
  std::string slopes = "lab/capacity/slopes.json";
  std::string fit;   // a folder of runs to fit; if empty, the slopes are read
  std::string page;  // a file to write the tables into; if empty, they are printed
  bool as_json = false;
};

std::string ReadText(const std::string& path) {
  std::ifstream file(path);
  std::string text((std::istreambuf_iterator<char>(file)), std::istreambuf_iterator<char>());
  if (!file) {
    throw CapacityError(fmt::format("{}: can't be read, expected a file", path));
  }
  return text;
}

int Fit(const CapacityCommandOptions& options) {
  const CapacityRows rows = ParseRows(ReadText(options.rows), options.rows);
  const CapacitySlopes slopes = FitRuns(rows, ReadRuns(options.fit));
  WriteText(options.slopes, ToJson(slopes, rows));
  fmt::print("{}: written, {} rows of {} runs\n", options.slopes, slopes.fits.size(),
             slopes.runs.size());
  return kExitDone;
}

int PrintCapacity(const CapacityCommandOptions& options) {
  const CapacityTarget target = ParseTarget(ReadText(options.target), options.target);
  const CapacityRows rows = ParseRows(ReadText(options.rows), options.rows);
  const CapacitySlopes slopes = ParseSlopes(ReadText(options.slopes), options.slopes, rows);
  const Capacity capacity = WeighCapacity(target, rows, slopes);
  if (options.page.empty()) {
    fmt::print("{}", options.as_json ? ToJson(capacity) : ToMarkdown(capacity));
    return kExitDone;
  }
  WriteText(options.page, WithTables(ReadText(options.page), ToMarkdown(capacity), options.page));
  fmt::print("{}: written\n", options.page);
  return kExitDone;
}

}  // namespace

Subcommand AddCapacityCommand(CLI::App& lab) {
  const auto options = std::make_shared<CapacityCommandOptions>();
  CLI::App* const capacity = lab.add_subcommand(
      "capacity", "Estimate the resources that the operators' target needs, from stored runs");
  capacity->add_option("--target", options->target, "file with the operators' target")
      ->capture_default_str();
  capacity->add_option("--rows", options->rows, "file with the rows to estimate")
      ->capture_default_str();
  capacity->add_option("--slopes", options->slopes, "file with the slopes fitted to the runs")
      ->capture_default_str();
  CLI::Option* const fit = capacity->add_option(
      "--fit", options->fit, "fit the slopes to the runs in this folder and write them");
  capacity->add_option("--page", options->page, "write the tables between the markers of this file")
      ->excludes(fit);
  capacity->add_flag("--json", options->as_json, "print JSON instead of tables")
      ->excludes(fit)
      ->excludes("--page");
  capacity->footer(
      "Exit codes: 0 done, whatever the shares are; 2 wrong usage or a file that is not good.\n\n"
      "Examples:\n  paddlestile lab capacity --fit lab/capacity/runs\n"
      "  paddlestile lab capacity --page docs/CAPACITY.md");
  return {capacity, [options] {
            return options->fit.empty() ? PrintCapacity(*options) : Fit(*options);
          }};
}

}  // namespace paddlestile::lab
