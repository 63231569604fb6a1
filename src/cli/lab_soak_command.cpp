// `paddlestile lab soak`.
#include <fmt/format.h>

#include <cstdio>
#include <map>
#include <memory>
#include <string>

#include "cli/exit_codes.h"
#include "cli/lab_commands.h"
#include "lab/soak.h"

namespace paddlestile::lab {
namespace {

constexpr uint64_t kMaxSeeds = 100'000;

const std::map<std::string, SoakMix> kMixes = {
    {std::string(NameOf(SoakMix::kBase)), SoakMix::kBase},
    {std::string(NameOf(SoakMix::kWide)), SoakMix::kWide},
    {std::string(NameOf(SoakMix::kSlowPeers)), SoakMix::kSlowPeers}};

int Soak(const SoakOptions& options) {
  const SoakCounts counts = PlaySoak(options, [&options](const Result& result) {
    fmt::print("{}\n", SoakLine(result, options.mix));
    for (const std::string& log : result.logs) {
      fmt::print("  {}", log);
    }
    std::fflush(stdout);
  });
  fmt::print("{} held, {} broken, {} without a verdict\n", counts.held, counts.broken,
             counts.unjudged);
  return counts.broken + counts.unjudged == 0 ? kExitDone : kExitFailed;
}

}  // namespace

Subcommand AddSoakCommand(CLI::App& lab) {
  const auto options = std::make_shared<SoakOptions>();
  CLI::App* const soak = lab.add_subcommand(
      "soak", "Run random experiments from seeds, with a series of faults of all kinds");
  soak->add_option("--seed", options->first_seed, "random seed of the first experiment")
      ->capture_default_str();
  soak->add_option("--seeds", options->seeds,
                   "number of experiments, one after the other, about 20 s each")
      ->check(CLI::Range(uint64_t{1}, kMaxSeeds))
      ->capture_default_str();
  soak->add_option(
          "--mix", options->mix,
          "wide: also long requests, invalid clients, faulty lists and settings, and hot restarts "
          "in a cluster, about 30 s each; slow-peers: also hosts that pause or end within a "
          "response, and clients that write and read slowly")
      ->transform(CLI::Transformer(kMixes))
      ->default_str("base");
  soak->add_option("--logs", options->logs, "keep the gateways' logs in this folder")
      ->check(CLI::ExistingDirectory);
  soak->add_option("--gateway", options->gateway,
                   "the command that starts a gateway, instead of this program");
  soak->footer(
      "A line a seed: verdict, what broke first, and the command that repeats it.\n\n"
      "Exit codes: 0 all held, 1 one was broken or had no verdict, 2 wrong usage.\n\n"
      "Examples:\n  paddlestile lab soak --seed 100 --seeds 50\n"
      "  seq 100 149 | xargs -P 4 -I{} paddlestile lab soak --seed {} --seeds 1");
  return {soak, [options] {
            return Soak(*options);
          }};
}

}  // namespace paddlestile::lab
