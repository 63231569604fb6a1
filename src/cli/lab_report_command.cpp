// `paddlestile lab report`.
#include <fmt/format.h>

#include <memory>

#include "cli/exit_codes.h"
#include "cli/lab_commands.h"
#include "cli/lab_output.h"
#include "lab/result.h"

namespace paddlestile::lab {
namespace {

struct ReportCommandOptions {
  std::vector<std::string> results;  // files that `lab run --json` wrote
  std::string html;
};

int Report(const ReportCommandOptions& options) {
  RequireWritable(options.html);
  std::vector<Result> results;
  for (const std::string& path : options.results) {
    results.push_back(ResultFromJson(path));
  }
  for (const Result& result : results) {
    fmt::print("{}", Summary(result));
  }
  WriteReport(options.html, results);
  return kExitDone;
}

}  // namespace

Subcommand AddReportCommand(CLI::App& lab) {
  const auto options = std::make_shared<ReportCommandOptions>();
  CLI::App* const report =
      lab.add_subcommand("report", "Write an HTML page of one result, or of two side by side");
  report->add_option("RESULT", options->results, "what lab run wrote with --json")
      ->required()
      ->expected(1, 2);
  report->add_option("--html", options->html, "write the HTML page to this file")->required();
  report->footer("Example:\n  paddlestile lab report before.json after.json --html both.html");
  return {report, [options] {
            return Report(*options);
          }};
}

}  // namespace paddlestile::lab
