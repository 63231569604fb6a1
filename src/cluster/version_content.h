// A version's content by keyed parts, as history and gateways hold it: a copy shares what it has in
// common with its origin, a change costs what it changes, and two versions that came of one another
// are held against each other by what differs. No I/O.
#ifndef PADDLESTILE_CLUSTER_VERSION_CONTENT_H_
#define PADDLESTILE_CLUSTER_VERSION_CONTENT_H_

#include <cstddef>
#include <optional>
#include <string>
#include <vector>

#include "cluster/config_document.h"
#include "cluster/persistent_map.h"

namespace paddlestile::cluster {

struct VersionContent {
  VersionContent() = default;
  // All of it is read. Throws std::invalid_argument where a list of named objects is none.
  // NOLINTNEXTLINE(google-explicit-constructor): the same in another form
  VersionContent(const ConfigDocument& rules);
  // All of it is put together.
  [[nodiscard]] ConfigDocument ToDocument() const;

  // The list of the settings that is kept by names; null: the key has none of its own.
  [[nodiscard]] std::optional<PersistentMap>* NamedList(std::string_view key);
  [[nodiscard]] const std::optional<PersistentMap>* NamedList(std::string_view key) const;

  PersistentMap settings;                         // by key, but for the lists below
  std::optional<PersistentMap> classes, tenants;  // by name; none: the version does not say
  PersistentMap excluded, draining, zone_only;    // by host
  bool strict = false;                            // as in Rules

  // The same parts; the order of a list tells nothing.
  bool operator==(const VersionContent&) const = default;
};

// The very text of its rules; all of it is put together.
std::string ToText(const VersionContent& content);
// That text's size, without making it.
size_t TextBytes(const VersionContent& content);
// Of the parts, whatever the order of lists: 'p' and 32 hexadecimal digits. It costs nothing that
// grows with the content.
std::string HashOf(const VersionContent& content);

// Why two gateways must not act on the one and the other at a time, a line for each reason; empty:
// they may, and a change from one to the other needs no waiting.
std::vector<std::string> Contradictions(const VersionContent& a, const VersionContent& b);

// What contradicts neither: the stricter of the two in each.
VersionContent StricterOf(const VersionContent& a, const VersionContent& b);

// What contradicts no version that can come, but for hosts that one may bar.
VersionContent StrictestFor(const VersionContent& content);

}  // namespace paddlestile::cluster

#endif  // PADDLESTILE_CLUSTER_VERSION_CONTENT_H_
