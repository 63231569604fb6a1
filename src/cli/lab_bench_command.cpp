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

// Replaces this process with the benchmark of the decision module. Returns only on failure.
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
  CLI::App* const bench = lab.add_subcommand(
      "bench", "Compare the gateway with the same load sent directly to the hosts");
  bench->add_option("--seconds", options->bench.seconds, "duration of each part")
      ->check(CLI::Range(1.0, 60.0));
  bench
      ->add_option("--rounds", options->bench.rounds,
                   "rounds, each sent directly and through the gateway")
      ->check(CLI::Range(1, 100));
  bench->add_option("--rate", options->bench.rate, "requests per second in the rounds")
      ->check(CLI::Range(1.0, 100'000.0));
  bench
      ->add_option("--connections", options->bench.connections,
                   "idle connections, to measure the memory of one")
      ->check(CLI::Range(0, 20'000));
  bench->add_option("--seed", options->bench.seed, "random seed of the arrivals");
  bench->add_option("--json", options->json, "write the results to this file");
  bench->add_option("--gateway", options->bench.gateway,
                    "the command that starts a gateway, instead of this program");
  bench->add_flag("--module", options->module,
                  "benchmark only the decision module (built by make bench)");
  bench->footer("Example:\n  paddlestile lab bench --seconds 5 --json bench.json");
  return {bench, [options] {
            return Bench(*options);
          }};
}

}  // namespace paddlestile::lab
