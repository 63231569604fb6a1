// A version's content as histories and gateways hold it: maps of keyed parts that copies share. A
// copy costs nothing, a change what it changes, a comparison of two versions what differs. No I/O.
#ifndef PADDLESTILE_CLUSTER_VERSION_CONTENT_H_
#define PADDLESTILE_CLUSTER_VERSION_CONTENT_H_

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "cluster/config_document.h"
#include "cluster/persistent_map.h"

namespace paddlestile::cluster {

// Each entry's text is the JSON value that the document has for it.
struct VersionContent {
  VersionContent() = default;
  // Costs the document's size. Throws std::invalid_argument for a faulty list of named objects.
  // NOLINTNEXTLINE(google-explicit-constructor): the same in another form
  VersionContent(const ConfigDocument& document);
  // Costs the content's size.
  [[nodiscard]] ConfigDocument ToDocument() const;

  // `classes` or `tenants`, by its key in the settings; null for any other key.
  [[nodiscard]] std::optional<PersistentMap>* NamedList(std::string_view settings_key);
  [[nodiscard]] const std::optional<PersistentMap>* NamedList(std::string_view settings_key) const;

  PersistentMap settings;                // by key, without those of the named lists
  std::optional<PersistentMap> classes;  // by name; nothing: the platform's file decides
  std::optional<PersistentMap> tenants;  // by name; nothing: the platform's file decides
  PersistentMap excluded, draining;      // by host id
  PersistentMap zone_only;               // by host id: the zone
  bool strict = false;                   // as in ConfigDocument

  // Equal whatever the order of the named lists.
  bool operator==(const VersionContent&) const = default;
};

// The canonical text of its document; costs the content's size.
std::string ToText(const VersionContent& content);
// The size of that text, whose making it does not need.
size_t TextBytes(const VersionContent& content);
// Of the parts, whatever the order of the named lists: 'p' and 32 hexadecimal digits. Costs the
// same for any size.
std::string HashOf(const VersionContent& content);

// Why two gateways must not act on `a` and `b` at a time, a line for each reason; empty: they may,
// and a change from one to the other comes into force at once.
std::vector<std::string> Contradictions(const VersionContent& a, const VersionContent& b);

// What contradicts neither: the stricter of the two in each part.
VersionContent StricterOf(const VersionContent& a, const VersionContent& b);

// What contradicts no version that may follow, but for hosts that it may exclude.
VersionContent StrictestFor(const VersionContent& content);

}  // namespace paddlestile::cluster

#endif  // PADDLESTILE_CLUSTER_VERSION_CONTENT_H_
