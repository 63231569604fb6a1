// The program: one binary for the gateway, the checks and the lab. With no arguments it serves, as
// the platform starts it.
#include <fmt/format.h>

#include <CLI/CLI.hpp>
#include <cmath>
#include <cstdio>
#include <cstdlib>
#include <exception>
#include <fstream>
#include <functional>
#include <iterator>
#include <string>
#include <string_view>
#include <vector>

#include "balancer/load_balancer.h"
#include "base/log.h"
#include "cli/cluster_commands.h"
#include "cli/lab_commands.h"
#include "config/gateway_config.h"
#include "config/migration.h"
#include "config/operator_config.h"
#include "gateway/serve.h"

namespace paddlestile {
namespace {

// Exit codes of all commands.
constexpr int kDone = 0;
constexpr int kWrongUsage = 2;

#ifndef PADDLESTILE_VERSION
#define PADDLESTILE_VERSION "unknown"
#endif

int CheckFile(const std::string& path) {
  std::vector<std::string> faults;
  // An experiment and an operator's file name themselves in each line.
  const bool toml = path.ends_with(".toml");
  if (toml) {
    std::ifstream file(path);
    const std::string text((std::istreambuf_iterator<char>(file)),
                           std::istreambuf_iterator<char>());
    const bool members = text.find("[[bank.members]]") != std::string::npos;
    faults = members ? ValidateClusterConfig(text, path) : lab::CheckExperiment(path);
  } else {
    faults = ValidateGatewayConfig(path);
  }
  for (const std::string& fault : faults) {
    fmt::print(stderr, "{}{}\n", toml ? "" : path + ": ", fault);
  }
  if (faults.empty()) {
    fmt::print("{}: good\n", path);
  }
  return faults.empty() ? kDone : kWrongUsage;
}

// The new file, or with no target what would be written; the notes go to standard error.
int MigrateFile(const std::string& from, const std::string& to, const MigrateOptions& options,
                bool replace) {
  Migration migration;
  try {
    migration = Migrate(from, options);
    if (!to.empty()) {
      WriteFileAtomically(to, migration.text, replace);
    }
  } catch (const ConfigError& error) {
    fmt::print(stderr, "{}\n", error.what());
    return kWrongUsage;
  }
  for (const std::string& note : migration.notes) {
    fmt::print(stderr, "{}\n", note);
  }
  fmt::print("{}", to.empty() ? migration.text : to + ": written\n");
  return kDone;
}

int Main(int argc, char** argv) {
  CLI::App app{"An HTTP load balancer: each proxy decides alone, by Prequal's hot-cold choice.",
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

  std::string log_format = "text", log_level = "info";
  if (const char* const level = std::getenv("LB_LOG"); level != nullptr) {
    if (std::string_view(level) == "debug") {
      log_level = level;
    }
  }
  app.add_option("--log-format", log_format, "text, or json: one object a line")
      ->check(CLI::IsMember({"text", "json"}));
  app.add_option("--log-level", log_level, "the least that is logged; LB_LOG=debug does the same")
      ->check(CLI::IsMember({"debug", "info", "warning", "error"}));

  CLI::App* const serve = app.add_subcommand("serve", "Run one gateway until SIGTERM");
  serve->footer(
      "Reads LB_NAME, LB_LISTEN, LB_DISCOVERY and LB_CONFIG from the environment.\n"
      "SIGTERM drains, SIGHUP reads the configuration again, SIGUSR1 prints the counters.\n\n"
      "Examples:\n  paddlestile --log-format json serve\n"
      "  paddlestile serve --counters-every 1");
  double counters_every = 0;
  serve
      ->add_option("--counters-every", counters_every,
                   "seconds between two lines of counters in the log, for lab fleet-report")
      ->check(CLI::Range(0.1, 3600.0));

  std::string operator_file;
  serve->add_option("--operator", operator_file,
                    "the operator's file (TOML): [bank]; LB_OPERATOR does the same");

  std::string file;
  CLI::App* const check = app.add_subcommand("check", "Say what is wrong in a file, all of it");
  check
      ->add_option("FILE", file,
                   "a gateway's configuration (JSON), an operator's file or an experiment (.toml)")
      ->required();
  check->footer(
      "Examples:\n  paddlestile check config.json\n  paddlestile check "
      "lab/experiments/calm.toml");

  std::string to;
  bool dry_run = false, replace = false;
  MigrateOptions options;
  CLI::App* const migrate =
      app.add_subcommand("migrate", "Write a file for a gateway beside every client process");
  migrate->add_option("FILE", file, "a configuration of a bank's proxy (JSON)")->required();
  migrate->add_option("--gateways", options.gateways, "client processes, each with a gateway")
      ->required()
      ->check(CLI::Range(1, 100'000));
  migrate->add_option("--sockets", options.sockets, "descriptors of one gateway")
      ->check(CLI::Range(64, 1'000'000))
      ->capture_default_str();
  migrate->add_flag("--warm-keys", options.warm_keys, "hosts do less work for a key met lately");
  CLI::Option* const target = migrate->add_option("--to", to, "the file to write");
  CLI::Option* const dry =
      migrate->add_flag("--dry-run", dry_run, "write nothing, print what would be written");
  migrate->add_flag("--replace", replace, "overwrite the target")->needs(target);
  dry->excludes(target);
  migrate->footer(
      "Says on standard error what changed, what is not read and what could not be carried "
      "over.\n\n"
      "Examples:\n  paddlestile migrate bank.json --gateways 900 --dry-run\n"
      "  paddlestile migrate bank.json --gateways 900 --warm-keys --to beside.json");

  const std::function<int()> lab = lab::AddCommands(app);
  const std::function<int()> bank = AddBankCommands(app);
  CLI::App* const version = app.add_subcommand("version", "Print the version");

  try {
    app.parse(argc, argv);
  } catch (const CLI::ParseError& error) {
    // Help is no error; all else gets one plain line.
    if (error.get_exit_code() == 0) {
      return app.exit(error);
    }
    fmt::print(stderr, "paddlestile: {}; see paddlestile --help\n", error.what());
    return kWrongUsage;
  }
  SetLogFormat(log_format == "json" ? LogFormat::kJson : LogFormat::kText);
  SetLogLevel(log_level == "debug"     ? LogLevel::kDebug
              : log_level == "warning" ? LogLevel::kWarning
              : log_level == "error"   ? LogLevel::kError
                                       : LogLevel::kInfo);
  if (version->parsed()) {
    fmt::print("paddlestile {}\n", PADDLESTILE_VERSION);
    return kDone;
  }
  if (check->parsed()) {
    return CheckFile(file);
  }
  if (migrate->parsed()) {
    if (!dry_run && to.empty()) {
      fmt::print(stderr, "paddlestile: migrate: no target, expected --to FILE or --dry-run\n");
      return kWrongUsage;
    }
    return MigrateFile(file, to, options, replace);
  }
  if (const int code = lab(); code >= 0) {
    return code;
  }
  if (const int code = bank(); code >= 0) {
    return code;
  }
  return Serve({Duration(std::llround(counters_every * 1e6)), operator_file, nullptr});
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
