#include "cli/migrate_command.h"

#include <fmt/format.h>

#include <memory>
#include <string>

#include "base/config_error.h"
#include "cli/exit_codes.h"
#include "config/migration.h"

namespace paddlestile {
namespace {

struct MigrateCommandOptions {
  MigrateOptions migrate;
  std::string file;
  std::string target;  // empty in a dry run, which prints the new file instead
  bool dry_run = false;
  bool replace = false;
};

// Prints the notes to standard error, so that the new file can be piped from standard output.
int MigrateFile(const MigrateCommandOptions& options) {
  if (!options.dry_run && options.target.empty()) {
    fmt::print(stderr, "paddlestile: migrate: no target, expected --to FILE or --dry-run\n");
    return kExitWrongUsage;
  }
  Migration migration;
  try {
    migration = Migrate(options.file, options.migrate);
    if (!options.target.empty()) {
      WriteFileAtomically(options.target, migration.text, options.replace);
    }
  } catch (const ConfigError& error) {
    fmt::print(stderr, "{}\n", error.what());
    return kExitWrongUsage;
  }
  for (const std::string& note : migration.notes) {
    fmt::print(stderr, "{}\n", note);
  }
  fmt::print("{}", options.target.empty() ? migration.text : options.target + ": written\n");
  return kExitDone;
}

}  // namespace

Subcommand AddMigrateCommand(CLI::App& app) {
  const auto options = std::make_shared<MigrateCommandOptions>();
  CLI::App* const migrate = app.add_subcommand(
      "migrate", "Write a configuration for a gateway beside every client process");
  migrate
      ->add_option("FILE", options->file, "the configuration of a proxy that clients share (JSON)")
      ->required();
  migrate
      ->add_option("--gateways", options->migrate.gateways,
                   "number of client processes, each with a gateway")
      ->required()
      ->check(CLI::Range(1, 100'000));
  migrate->add_option("--sockets", options->migrate.sockets, "descriptor limit of one gateway")
      ->check(CLI::Range(64, 1'000'000))
      ->capture_default_str();
  migrate->add_flag("--warm-keys", options->migrate.warm_keys,
                    "hosts do less work for a key that they served recently");
  CLI::Option* const target = migrate->add_option("--to", options->target, "the file to write");
  CLI::Option* const dry_run = migrate->add_flag("--dry-run", options->dry_run,
                                                 "write nothing, print what would be written");
  migrate->add_flag("--replace", options->replace, "overwrite the target")->needs(target);
  dry_run->excludes(target);
  migrate->footer(
      "Says on standard error what changed, what is not read and what could not be carried "
      "over.\n\n"
      "Examples:\n  paddlestile migrate bank.json --gateways 900 --dry-run\n"
      "  paddlestile migrate bank.json --gateways 900 --warm-keys --to beside.json");
  return {migrate, [options] {
            return MigrateFile(*options);
          }};
}

}  // namespace paddlestile
