// A version's content as used by histories and gateways: persistent maps of keyed parts, which
// copies share. Copying is cheap, and the cost of a change or a comparison depends on the changed
// or different parts only. No I/O.
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

// The text of each map entry is its JSON value in the document.
struct VersionContent {
  VersionContent() = default;
  // The cost is linear in the document's size. Throws std::invalid_argument if a list of named
  // objects is invalid.
  // NOLINTNEXTLINE(google-explicit-constructor): equivalent representation of the document
  VersionContent(const ConfigDocument& document);
  // The cost is linear in the content's size.
  [[nodiscard]] ConfigDocument ToDocument() const;

  // Returns `classes` or `tenants` given its key in the settings; null for any other key.
  [[nodiscard]] std::optional<PersistentMap>* NamedList(std::string_view settings_key);
  [[nodiscard]] const std::optional<PersistentMap>* NamedList(std::string_view settings_key) const;

  PersistentMap settings;                // by key, without the named lists
  std::optional<PersistentMap> classes;  // by name; nullopt: the platform's file decides
  std::optional<PersistentMap> tenants;  // by name; nullopt: the platform's file decides
  PersistentMap excluded, draining;      // by host ID
  PersistentMap zone_only;               // zone by host ID
  bool strict = false;                   // as in ConfigDocument

  // Ignores the order of the named lists.
  bool operator==(const VersionContent&) const = default;
};

// Returns the canonical text of the content's document. The cost is linear in the content's size.
std::string ToText(const VersionContent& content);
// Returns the size of that text without building it.
size_t TextBytes(const VersionContent& content);
// Returns the hash of the parts, which ignores the order of the named lists, as 'p' and 32
// hexadecimal digits. The cost is independent of the content's size.
std::string HashOf(const VersionContent& content);

// Returns the reasons why two gateways must not act on `a` and `b` at the same time, one line each.
// If there are none, a change from one to the other comes into force immediately.
std::vector<std::string> Contradictions(const VersionContent& a, const VersionContent& b);

// Returns content that contradicts neither `a` nor `b`: the stricter of the two in each part.
VersionContent StricterOf(const VersionContent& a, const VersionContent& b);

// Returns content that contradicts no possible later version, except for hosts that such a version
// may exclude.
VersionContent StrictestFor(const VersionContent& content);

}  // namespace paddlestile::cluster

#endif  // PADDLESTILE_CLUSTER_VERSION_CONTENT_H_
