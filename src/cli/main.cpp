// The program, which contains the gateway, the checks of files, the calls to a cluster and the lab.
// Without a subcommand it serves, which is how the platform starts it.
#include <fmt/format.h>

#include <CLI/CLI.hpp>
#include <algorithm>
#include <cmath>
#include <cstdio>
#include <cstdlib>
#include <exception>
#include <string>
#include <string_view>
#include <vector>

#include "balancer/load_balancer.h"
#include "base/log.h"
#include "cli/check_command.h"
#include "cli/cluster_commands.h"
#include "cli/exit_codes.h"
#include "cli/lab_commands.h"
#include "cli/migrate_command.h"
#include "cli/startup_signals.h"
#include "cli/subcommand.h"
#include "gateway/serve.h"

namespace paddlestile {
namespace {

#ifndef PADDLESTILE_VERSION
#define PADDLESTILE_VERSION "unknown"
#endif

constexpr double kMicrosPerSecond = 1e6;

struct LogOptions {
  std::string format = "text";
  std::string level = "info";
};

struct ServeCommandOptions {
  double counters_every_s = 0;  // 0 means never
  std::string operator_file;
};

void AddLogOptions(CLI::App& app, LogOptions& options) {
  const char* const level = std::getenv("LB_LOG");
  if (level != nullptr && std::string_view(level) == "debug") {
    options.level = level;
  }
  app.add_option("--log-format", options.format, "text, or json with one object per line")
      ->check(CLI::IsMember({"text", "json"}));
  app.add_option("--log-level", options.level,
                 "the lowest level that is logged; LB_LOG=debug sets debug")
      ->check(CLI::IsMember({"debug", "info", "warning", "error"}));
}

LogLevel LevelOf(const std::string& name) {
  if (name == "debug") {
    return LogLevel::kDebug;
  }
  if (name == "warning") {
    return LogLevel::kWarning;
  }
  if (name == "error") {
    return LogLevel::kError;
  }
  return LogLevel::kInfo;
}

void ApplyLogOptions(const LogOptions& options) {
  SetLogFormat(options.format == "json" ? LogFormat::kJson : LogFormat::kText);
  SetLogLevel(LevelOf(options.level));
}

void AddServeCommand(CLI::App& app, ServeCommandOptions& options) {
  CLI::App* const serve = app.add_subcommand("serve", "Run one gateway until SIGTERM");
  serve->footer(
      "Reads LB_NAME, LB_LISTEN, LB_DISCOVERY and LB_CONFIG from the environment.\n"
      "SIGTERM drains, SIGHUP reads the configuration again, SIGUSR1 prints the counters.\n\n"
      "Examples:\n  paddlestile --log-format json serve\n"
      "  paddlestile serve --counters-every 1");
  serve
      ->add_option("--counters-every", options.counters_every_s,
                   "the interval in seconds at which counters are logged, for lab fleet-report")
      ->check(CLI::Range(0.1, 3600.0));
  serve->add_option(
      "--operator", options.operator_file,
      "the operator's file (TOML) with [bank]; by default the file that LB_OPERATOR names");
}

Subcommand AddVersionCommand(CLI::App& app) {
  CLI::App* const version = app.add_subcommand("version", "Print the version");
  const auto print = [] {
    fmt::print("paddlestile {}\n", PADDLESTILE_VERSION);
    return kExitDone;
  };
  return {version, print};
}

// Runs `serve`. The program serves without a subcommand too, so this is not a Subcommand.
int RunServe(const ServeCommandOptions& options) {
  const Duration counters_every(std::llround(options.counters_every_s * kMicrosPerSecond));
  return Serve({counters_every, options.operator_file, nullptr});
}

int Main(int argc, char** argv) {
  CLI::App app{
      "An HTTP load balancer whose proxies select hosts independently by Prequal's hot-cold rule.",
      "paddlestile"};
  app.footer(
      "Without a command: serve, as the platform starts it.\n"
      "Exit codes: 0 done, 1 it did not hold or could not start, 2 wrong usage.\n\n"
      "Examples:\n"
      "  LB_NAME=n1 LB_LISTEN=127.0.0.4:5000 LB_DISCOVERY=127.0.0.9:8500 LB_CONFIG=c.json "
      "paddlestile\n"
      "  paddlestile check c.json\n"
      "  paddlestile lab run lab/experiments/calm.toml --html calm.html");
  app.require_subcommand(0, 1);

  LogOptions log_options;
  AddLogOptions(app, log_options);
  ServeCommandOptions serve_options;
  AddServeCommand(app, serve_options);
  // In the order of the help text.
  const std::vector<Subcommand> subcommands = {AddCheckCommand(app), AddMigrateCommand(app),
                                               lab::AddLabCommands(app), AddClusterCommands(app),
                                               AddVersionCommand(app)};
  try {
    app.parse(argc, argv);
  } catch (const CLI::ParseError& error) {
    // CLI11 prints the help text. An error is printed as one line.
    if (error.get_exit_code() == 0) {
      return app.exit(error);
    }
    fmt::print(stderr, "paddlestile: {}; see paddlestile --help\n", error.what());
    return kExitWrongUsage;
  }
  ApplyLogOptions(log_options);
  const bool serves = std::ranges::none_of(
      subcommands, [](const Subcommand& subcommand) { return subcommand.app->parsed(); });
  if (serves) {
    return RunServe(serve_options);
  }
  RestoreInheritedSignalMask();
  return RunParsed(subcommands).value_or(kExitDone);
}

}  // namespace
}  // namespace paddlestile

int main(int argc, char** argv) {
  try {
    return paddlestile::Main(argc, argv);
  } catch (const std::exception& error) {
    std::fprintf(stderr, "paddlestile: %s\n", error.what());
    return 1;
  }
}
