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
  app.add_option("--members", scale.members, "number of members, of which five vote")->required();
  app.add_option("--real", scale.real,
                 "number of members that are real gateway processes; by default 8");
  app.add_option("--tenants", scale.tenants, "tenants with a quota in each version")
      ->check(CLI::Range(0, 1'000'000));
  app.add_option("--seconds", scale.seconds, "duration after all members are connected")
      ->check(CLI::Range(kScaleLeastSeconds, 3600.0))
      ->capture_default_str();
  app.add_option("--seed", scale.seed,
                 "random seed of which members restart, are disconnected and stop")
      ->capture_default_str();
  app.add_option("--rate", scale.rate, "requests per second, spread over the real members")
      ->check(CLI::Range(1.0, 100'000.0))
      ->capture_default_str();
  app.add_flag("--leader-dies", scale.leader_dies, "kill the leader while other members restart");
  app.add_option("--hosts", scale.hosts, "emulated hosts to which the real members send requests")
      ->check(CLI::Range(1, 2000))
      ->capture_default_str();
}

void AddFaultOptions(CLI::App& app, ScaleOptions& scale) {
  app.add_option("--stall-ms", scale.stall_ms,
                 "how long a tenth of the hollow members pauses at a time")
      ->check(CLI::Range(10.0, kScaleStallMost))
      ->capture_default_str();
  app.add_option("--read-bytes-per-s", scale.read_bytes_per_s,
                 "read rate of a tenth of the hollow members from each voter for 4 s; 0: no limit");
  app.add_flag("!--no-bank", scale.bank,
               "run the same real members and requests without a cluster, for comparison");
  app.add_option("--commit", scale.commit, "commit of the tested build, copied to the results");
  app.add_flag("--deltas", scale.deltas, "replicate changes as deltas of the previous version");
  app.add_flag("--calm", scale.calm, "no member restarts, is disconnected or stops");
}

}  // namespace

Subcommand AddScaleCommand(CLI::App& lab) {
  const auto options = std::make_shared<ScaleCommandOptions>();
  CLI::App* const scale =
      lab.add_subcommand("scale", "Run and measure a cluster of many members, most of them hollow");
  AddMemberOptions(*scale, options->scale);
  AddFaultOptions(*scale, options->scale);
  scale->add_option("--json", options->json, "write the results to this file");
  scale->add_option("--logs", options->logs, "keep the gateways' logs in this folder")
      ->check(CLI::ExistingDirectory);
  scale->footer(
      "Exit codes: 0 held, 1 broken or void (the machine was too busy), 2 wrong usage.\n\n"
      "Example:\n  paddlestile lab scale --members 400 --seed 3 --json scale.json");
  return {scale, [options] {
            return RunScale(*options);
          }};
}

}  // namespace paddlestile::lab
