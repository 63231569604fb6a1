// `paddlestile lab world`.
#include <fmt/format.h>

#include <memory>

#include "cli/exit_codes.h"
#include "cli/lab_commands.h"
#include "lab/cluster_simulation.h"

namespace paddlestile::lab {
namespace {

struct WorldCommandOptions {
  WorldsOptions worlds;
  std::string mischief = "none";
  std::string changes = "mixed";
};

std::vector<std::string> MischiefNames() {
  std::vector<std::string> names;
  names.reserve(kMischiefs);
  for (int i = 0; i < kMischiefs; ++i) {
    names.emplace_back(NameOf(static_cast<Mischief>(i)));
  }
  return names;
}

// Sets the options that the command line gives by name. The names are those of NameOf.
void ApplyNames(WorldCommandOptions& options) {
  for (const WorldChanges changes :
       {WorldChanges::kMixed, WorldChanges::kWhole, WorldChanges::kDelta}) {
    if (options.changes == NameOf(changes)) {
      options.worlds.changes = changes;
    }
  }
  for (int i = 0; i < kMischiefs; ++i) {
    const auto mischief = static_cast<Mischief>(i);
    if (options.mischief == NameOf(mischief)) {
      options.worlds.world.mischief = mischief;
    }
  }
}

int SimulateWorlds(WorldCommandOptions& options) {
  ApplyNames(options);
  const WorldsResult result = PlayWorlds(options.worlds);
  fmt::print("{}", ToText(result, options.worlds));
  return result.broken == 0 ? kExitDone : kExitFailed;
}

void AddWorldOptions(CLI::App& world, WorldCommandOptions& options) {
  world
      .add_option("--schedules", options.worlds.schedules,
                  "number of schedules, each with the next seed")
      ->check(CLI::Range(1, 1'000'000'000))
      ->capture_default_str();
  world.add_option("--seed", options.worlds.world.seed, "random seed of the first schedule")
      ->capture_default_str();
  world.add_option("--jobs", options.worlds.jobs, "threads")
      ->check(CLI::Range(1, 256))
      ->capture_default_str();
  world
      .add_option("--followers", options.worlds.world.followers,
                  "members without a vote, besides the three or five voters")
      ->check(CLI::Range(0, 10'000))
      ->capture_default_str();
  world.add_option("--faults", options.worlds.world.faults, "faults in each schedule")
      ->check(CLI::Range(0, 1000))
      ->capture_default_str();
  world
      .add_option("--seconds", options.worlds.world.seconds,
                  "duration of the faults in each schedule, after which all are repaired")
      ->check(CLI::Range(2.0, 600.0))
      ->capture_default_str();
  world.add_flag("--long-outages", options.worlds.world.long_outages,
                 "cuts and outages of 6 to 60 s; with --seconds 60 or more");
  world.add_option("--mischief", options.mischief, "make members violate a rule on purpose")
      ->check(CLI::IsMember(MischiefNames()))
      ->capture_default_str();
  world.add_option("--changes", options.changes, "replicate changes whole, as deltas, or mixed")
      ->check(CLI::IsMember({"mixed", "whole", "delta"}))
      ->capture_default_str();
  world.add_flag("--trace", options.worlds.world.trace, "print the events to standard error");
}

}  // namespace

Subcommand AddWorldCommand(CLI::App& lab) {
  const auto options = std::make_shared<WorldCommandOptions>();
  CLI::App* const world = lab.add_subcommand(
      "world",
      "Test the cluster's protocol in simulated time, with one schedule of faults per seed");
  AddWorldOptions(*world, *options);
  world->footer(
      "Exit codes: 0 all held, 1 a term was broken: each seed with the command that plays it.\n\n"
      "Examples:\n  paddlestile lab world --schedules 100000 --jobs 8\n"
      "  paddlestile lab world --schedules 100 --mischief acts-on");
  return {world, [options] {
            return SimulateWorlds(*options);
          }};
}

}  // namespace paddlestile::lab
