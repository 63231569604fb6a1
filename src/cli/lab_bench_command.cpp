// `paddlestile lab bench`.
#include <fmt/format.h>
#include <unistd.h>

#include <cerrno>
#include <cstring>
#include <filesystem>
#include <memory>

#include "cli/exit_codes.h"
#include "cli/lab_commands.h"
#include "cli/lab_output.h"
#include "lab/bench.h"

namespace paddlestile::lab {
namespace {

struct BenchCommandOptions {
  BenchOptions bench;
  std::string json;
  bool module = false;
};

// Replaces this process by the benchmark of the decision module; returns only on failure.
int ExecModuleBench() {
  const std::filesystem::path folder =
      std::filesystem::read_symlink("/proc/self/exe").parent_path();
  const std::string program = (folder / "paddlestile_module_bench").string();
  execl(program.c_str(), program.c_str(), "--benchmark_min_time=0.2", static_cast<char*>(nullptr));
  fmt::print(stderr, "paddlestile: {}: {}, expected the program of `make bench`\n", program,
             std::strerror(errno));
  return kExitWrongUsage;
}

int Bench(const BenchCommandOptions& options) {
  if (options.module) {
    return ExecModuleBench();
  }
  RequireWritable(options.json);
  const BenchResult result =
      RunBench(options.bench, [](const std::string& line) { fmt::print("{}\n", line); });
  fmt::print("{}", ToText(result));
  WriteText(options.json, ToJson(result));
  return kExitDone;
}

}  // namespace

Subcommand AddBenchCommand(CLI::App& lab) {
  const auto options = std::make_shared<BenchCommandOptions>();
  CLI::App* const bench =
      lab.add_subcommand("bench", "Weigh the gateway against the same load sent straight");
  bench->add_option("--seconds", options->bench.seconds, "of each part")
      ->check(CLI::Range(1.0, 60.0));
  bench->add_option("--rounds", options->bench.rounds, "straight and through, by turns")
      ->check(CLI::Range(1, 100));
  bench->add_option("--rate", options->bench.rate, "requests a second of the rounds")
      ->check(CLI::Range(1.0, 100'000.0));
  bench->add_option("--connections", options->bench.connections, "idle ones, to weigh one")
      ->check(CLI::Range(0, 20'000));
  bench->add_option("--seed", options->bench.seed, "of the arrivals");
  bench->add_option("--json", options->json, "write the figures here");
  bench->add_option("--gateway", options->bench.gateway,
                    "the words that start a gateway, instead of this program");
  bench->add_flag("--module", options->module, "the decision module alone (make bench builds it)");
  bench->footer("Example:\n  paddlestile lab bench --seconds 5 --json bench.json");
  return {bench, [options] {
            return Bench(*options);
          }};
}

}  // namespace paddlestile::lab
