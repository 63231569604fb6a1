// From a bank of proxies to a gateway beside every client process: an operator's configuration file
// of the old shape becomes its counterpart for the new one. Nothing is dropped in silence.
#ifndef PADDLESTILE_CONFIG_MIGRATION_H_
#define PADDLESTILE_CONFIG_MIGRATION_H_

#include <cstddef>
#include <string>
#include <vector>

namespace paddlestile {

struct MigrateOptions {
  int gateways = 0;        // client processes, each with a gateway: 1 to 100,000
  bool warm_keys = false;  // hosts serve a key that they met lately with less work
  size_t sockets = 256;  // descriptors of one gateway, 64 or more; a bank's proxy had more clients
};

struct Migration {
  std::string text;                // the new file
  std::vector<std::string> notes;  // a line each: what changed, is not read, was not carried over
};

// The counterpart of a file's text. Throws ConfigError with one line (what, where, what was
// expected) where the text is no configuration, has faults, or is of the new shape already.
Migration Migrate(const std::string& path, const MigrateOptions& options);

// Writes a file whole or not at all, beside its place first. Throws ConfigError with one line; a
// file that is there is left as it was unless `replace`.
void WriteFileAtomically(const std::string& path, const std::string& text, bool replace);

}  // namespace paddlestile

#endif  // PADDLESTILE_CONFIG_MIGRATION_H_
