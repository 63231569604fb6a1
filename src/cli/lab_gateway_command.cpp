// `paddlestile lab gateway`.
#include <fmt/format.h>

#include <cstdio>
#include <filesystem>
#include <fstream>
#include <memory>

#include "cli/exit_codes.h"
#include "cli/lab_commands.h"
#include "cli/lab_output.h"
#include "lab/one_gateway.h"
#include "lab/result.h"

namespace paddlestile::lab {
namespace {

struct GatewayCommandOptions {
  OneGatewayOptions gateway;
  std::string json;
};

// Returns the command line of this process, with the program's file name instead of its path.
std::string CommandLine() {
  std::ifstream file("/proc/self/cmdline", std::ios::binary);
  std::string program;
  std::getline(file, program, '\0');
  std::string command = std::filesystem::path(program).filename().string();
  for (std::string argument; std::getline(file, argument, '\0');) {
    command += ' ' + argument;
  }
  return command;
}

int MeasureGateway(GatewayCommandOptions& options) {
  RequireWritable(options.json);
  options.gateway.command = CommandLine();
  const OneGatewayResult result = MeasureOneGateway(options.gateway, [](const std::string& line) {
    fmt::print("{}\n", line);
    std::fflush(stdout);
  });
  fmt::print("{}", ToText(result));
  WriteText(options.json, ToJson(result));
  return result.verdict == Verdict::kHeld ? kExitDone : kExitFailed;
}

void AddGatewayOptions(CLI::App& gateway, GatewayCommandOptions& options) {
  gateway.add_option("--hosts", options.gateway.hosts, "hosts in the list, up to 2,000,000")
      ->check(CLI::Range(1, 2'000'000))
      ->capture_default_str();
  gateway
      .add_option("--tenants", options.gateway.tenants,
                  "tenants with a quota each; with 0, settings are not measured")
      ->check(CLI::Range(0, 1'000'000))
      ->capture_default_str();
  gateway
      .add_option("--seconds", options.gateway.seconds,
                  "duration of each phase: idle, with changes, and each part of a rate")
      ->check(CLI::Range(1.0, 600.0))
      ->capture_default_str();
  gateway.add_option("--seed", options.gateway.seed, "random seed of changes and arrivals")
      ->capture_default_str();
  gateway.add_option("--changes", options.gateway.changes, "list entries changed per second")
      ->check(CLI::Range(0.0, 1000.0))
      ->capture_default_str();
  gateway
      .add_option("--rates", options.gateway.rates,
                  "requests per second at which the added latency is measured: 100,200,400")
      ->delimiter(',')
      ->check(CLI::Range(1.0, 100'000.0));
  gateway.add_option("--commit", options.gateway.commit,
                     "commit of the measured build, copied to the results");
  gateway.add_option("--json", options.json, "write the results to this file");
}

}  // namespace

Subcommand AddGatewayCommand(CLI::App& lab) {
  const auto options = std::make_shared<GatewayCommandOptions>();
  CLI::App* const gateway = lab.add_subcommand(
      "gateway", "Measure one gateway with many hosts and tenants, and the latency that it adds");
  AddGatewayOptions(*gateway, *options);
  gateway->footer(
      "Exit codes: 0 measured, 1 broken or void (the lab itself was late), 2 wrong usage.\n\n"
      "Examples:\n"
      "  paddlestile lab gateway --hosts 20000 --tenants 500 --json gateway.json\n"
      "  paddlestile lab gateway --rates 500,1000,2000,4000 --seconds 5");
  return {gateway, [options] {
            return MeasureGateway(*options);
          }};
}

}  // namespace paddlestile::lab
