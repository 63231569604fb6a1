// Migration of an operator's configuration file: from a group of proxies, which clients share, to a
// gateway beside every client process. Nothing is dropped without a note.
#ifndef PADDLESTILE_CONFIG_MIGRATION_H_
#define PADDLESTILE_CONFIG_MIGRATION_H_

#include <cstddef>
#include <string>
#include <vector>

namespace paddlestile {

struct MigrateOptions {
  int gateways = 0;        // client processes, each with a gateway: 1 to 100,000
  bool warm_keys = false;  // endpoints do less work for a key that they served lately
  size_t sockets = 256;    // descriptors of one gateway, 64 or more; a proxy had more clients
};

struct Migration {
  std::string text;                // the new file
  std::vector<std::string> notes;  // a line each: what changed, is not read, was not carried over
};

// Makes the new file from the one at `path`, which is not changed. Throws ConfigError with one line
// (what, where, what was expected) where the file is invalid or was migrated already.
Migration Migrate(const std::string& path, const MigrateOptions& options);

// Writes a file completely or not at all: to a temporary file beside it first. A file that exists
// is overwritten only with `replace`. Throws ConfigError with one line, and then changes nothing.
void WriteFileAtomically(const std::string& path, const std::string& text, bool replace);

}  // namespace paddlestile

#endif  // PADDLESTILE_CONFIG_MIGRATION_H_
