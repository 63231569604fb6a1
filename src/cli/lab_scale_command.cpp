// `paddlestile lab scale`.
#include <fmt/format.h>

#include <memory>
#include <optional>

#include "cli/exit_codes.h"
#include "cli/lab_commands.h"
#include "cli/lab_output.h"
#include "lab/result.h"
#include "lab/runner.h"
#include "lab/scale.h"

namespace paddlestile::lab {
namespace {

struct ScaleCommandOptions {
  ScaleOptions scale;
  std::string json;
  std::string logs;
};

int RunScale(const ScaleCommandOptions& options) {
  RequireWritable(options.json);
  const double machine_load = MachineLoad();
  const Result result = RunExperiment(ScaleExperiment(options.scale),
                                      {std::nullopt, std::nullopt, {}, options.logs, false});
  fmt::print("{}", ScaleText(result));
  WriteText(options.json, ScaleJson(options.scale, result, machine_load));
  return result.verdict == Verdict::kHeld ? kExitDone : kExitFailed;
}

void AddMemberOptions(CLI::App& app, ScaleOptions& scale) {
  app.add_option("--members", scale.members, "in all, five of them vote")->required();
  app.add_option("--real", scale.real, "of them, as processes of their own; 8 where none is given");
  app.add_option("--tenants", scale.tenants, "quotas that each version holds")
      ->check(CLI::Range(0, 1'000'000));
  app.add_option("--seconds", scale.seconds, "from all linked to the end")
      ->check(CLI::Range(kScaleLeastSeconds, 3600.0))
      ->capture_default_str();
  app.add_option("--seed", scale.seed, "of who restarts, is cut off and stops")
      ->capture_default_str();
  app.add_option("--rate", scale.rate, "requests a second, over the real ones")
      ->check(CLI::Range(1.0, 100'000.0))
      ->capture_default_str();
  app.add_flag("--leader-dies", scale.leader_dies, "while others restart");
  app.add_option("--hosts", scale.hosts, "emulated, that the real ones send to")
      ->check(CLI::Range(1, 2000))
      ->capture_default_str();
}

void AddFaultOptions(CLI::App& app, ScaleOptions& scale) {
  app.add_option("--stall-ms", scale.stall_ms,
                 "how long a tenth of the hollow ones stands still at a time")
      ->check(CLI::Range(10.0, kScaleStallMost))
      ->capture_default_str();
  app.add_option("--read-bytes-per-s", scale.read_bytes_per_s,
                 "what a tenth of the hollow ones reads of each voter for 4 s; 0: all");
  app.add_flag("!--no-bank", scale.bank,
               "the same real ones and requests without a bank, to compare");
  app.add_option("--commit", scale.commit, "of what is played, kept in the figures");
  app.add_flag("--deltas", scale.deltas, "changes go as deltas of the version before");
  app.add_flag("--calm", scale.calm, "nobody restarts, is cut off or stops");
}

}  // namespace

Subcommand AddScaleCommand(CLI::App& lab) {
  const auto options = std::make_shared<ScaleCommandOptions>();
  CLI::App* const scale = lab.add_subcommand(
      "scale", "Play a bank of many members, most of them hollow, and take its figures");
  AddMemberOptions(*scale, options->scale);
  AddFaultOptions(*scale, options->scale);
  scale->add_option("--json", options->json, "write the figures here");
  scale->add_option("--logs", options->logs, "a folder to keep the gateways' logs in")
      ->check(CLI::ExistingDirectory);
  scale->footer(
      "Exit codes: 0 held, 1 broken or void (the machine was too busy), 2 wrong usage.\n\n"
      "Example:\n  paddlestile lab scale --members 400 --seed 3 --json scale.json");
  return {scale, [options] {
            return RunScale(*options);
          }};
}

}  // namespace paddlestile::lab
