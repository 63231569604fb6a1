// `paddlestile lab run`.
#include <fmt/format.h>

#include <memory>
#include <optional>

#include "cli/exit_codes.h"
#include "cli/lab_commands.h"
#include "cli/lab_output.h"
#include "lab/experiment.h"
#include "lab/result.h"
#include "lab/runner.h"

namespace paddlestile::lab {
namespace {

struct RunCommandOptions {
  std::string file;
  std::optional<uint64_t> seed;
  std::optional<double> seconds;
  std::string json;
  std::string html;
  std::string logs;
  std::vector<std::string> gateway;
};

int Run(const RunCommandOptions& options) {
  RequireWritable(options.json);
  RequireWritable(options.html);
  const Result result =
      RunExperiment(ReadExperiment(options.file),
                    {options.seed, options.seconds, options.gateway, options.logs, false});
  fmt::print("{}", Summary(result));
  for (const std::string& log : result.logs) {
    fmt::print("  {}", log);
  }
  WriteText(options.json, ToJson(result));
  WriteReport(options.html, {result});
  return result.verdict == Verdict::kHeld ? kExitDone : kExitFailed;
}

}  // namespace

Subcommand AddRunCommand(CLI::App& lab) {
  const auto options = std::make_shared<RunCommandOptions>();
  CLI::App* const run = lab.add_subcommand("run", "Run one experiment and check its expectations");
  run->add_option("FILE", options->file, "an experiment (TOML)")->required();
  run->add_option("--seed", options->seed, "random seed, instead of the file's");
  run->add_option("--seconds", options->seconds, "run only the first seconds")
      ->check(CLI::Range(1.0, 3600.0));
  run->add_option("--json", options->json, "write the result to this file");
  run->add_option("--html", options->html, "write the HTML report to this file");
  run->add_option("--logs", options->logs, "keep the gateways' logs in this folder")
      ->check(CLI::ExistingDirectory);
  run->add_option("--gateway", options->gateway,
                  "the command that starts a gateway, instead of this program");
  run->footer(
      "Exit codes: 0 held, 1 broken or void (the lab itself was late), 2 wrong usage.\n\n"
      "Examples:\n"
      "  paddlestile lab run lab/experiments/troubles.toml --html troubles.html\n"
      "  paddlestile lab run lab/experiments/drain.toml --seed 7 --json drain.json");
  return {run, [options] {
            return Run(*options);
          }};
}

}  // namespace paddlestile::lab
