// Migrates a configuration file from a group of proxies that clients share to a gateway beside
// every client process (a sidecar). Keys and values are not dropped without a note.
#ifndef PADDLESTILE_CONFIG_MIGRATION_H_
#define PADDLESTILE_CONFIG_MIGRATION_H_

#include <cstddef>
#include <string>
#include <vector>

namespace paddlestile {

struct MigrateOptions {
  int gateways = 0;        // number of client processes, each with a gateway: 1 to 100,000
  bool warm_keys = false;  // endpoints do less work for a key that they served recently
  size_t sockets = 256;    // descriptors of one gateway, at least 64; a shared proxy needs more
};

struct Migration {
  std::string text;                // the new file
  std::vector<std::string> notes;  // one line each: what changed, is not read or was not kept
};

// Creates the text of the new file from the file at `path`, which is not changed. Throws
// ConfigError with one line (what, where, what was expected) if the file is invalid or already
// migrated.
Migration Migrate(const std::string& path, const MigrateOptions& options);

// Writes a file atomically by way of a temporary file in the same folder. An existing file is
// overwritten only if `replace` is true. Throws ConfigError with one line; then nothing is changed.
void WriteFileAtomically(const std::string& path, const std::string& text, bool replace);

}  // namespace paddlestile

#endif  // PADDLESTILE_CONFIG_MIGRATION_H_
