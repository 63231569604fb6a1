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

// The words of the command line are those of NameOf.
void TakeNames(WorldCommandOptions& options) {
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
  TakeNames(options);
  const WorldsResult result = PlayWorlds(options.worlds);
  fmt::print("{}", ToText(result, options.worlds));
  return result.broken == 0 ? kExitDone : kExitFailed;
}

void AddWorldOptions(CLI::App& world, WorldCommandOptions& options) {
  world.add_option("--schedules", options.worlds.schedules, "how many, each with the next seed")
      ->check(CLI::Range(1, 1'000'000'000))
      ->capture_default_str();
  world.add_option("--seed", options.worlds.world.seed, "of the first")->capture_default_str();
  world.add_option("--jobs", options.worlds.jobs, "threads")
      ->check(CLI::Range(1, 256))
      ->capture_default_str();
  world.add_option("--followers", options.worlds.world.followers, "beside three or five voters")
      ->check(CLI::Range(0, 10'000))
      ->capture_default_str();
  world.add_option("--faults", options.worlds.world.faults, "in each schedule")
      ->check(CLI::Range(0, 1000))
      ->capture_default_str();
  world
      .add_option("--seconds", options.worlds.world.seconds,
                  "with faults, of each schedule; then all is mended")
      ->check(CLI::Range(2.0, 600.0))
      ->capture_default_str();
  world.add_flag("--long-outages", options.worlds.world.long_outages,
                 "cuts and outages of 6 to 60 s; with --seconds 60 or more");
  world.add_option("--mischief", options.mischief, "members that break a term on purpose")
      ->check(CLI::IsMember(MischiefNames()))
      ->capture_default_str();
  world.add_option("--changes", options.changes, "whole, as deltas, or by turns")
      ->check(CLI::IsMember({"mixed", "whole", "delta"}))
      ->capture_default_str();
  world.add_flag("--trace", options.worlds.world.trace, "say what happens, on standard error");
}

}  // namespace

Subcommand AddWorldCommand(CLI::App& lab) {
  const auto options = std::make_shared<WorldCommandOptions>();
  CLI::App* const world = lab.add_subcommand(
      "world", "Play the bank's deciders in simulated time, a schedule of faults a seed");
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
