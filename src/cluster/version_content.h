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

struct Content {
  Content() = default;
  // All of it is read. Throws std::invalid_argument where a list of named objects is none.
  // NOLINTNEXTLINE(google-explicit-constructor): the same in another form
  Content(const Rules& rules);
  // All of it is put together.
  [[nodiscard]] Rules ToRules() const;

  // The list of the settings that is kept by names; null: the key has none of its own.
  [[nodiscard]] std::optional<Parts>* ListOf(std::string_view key);
  [[nodiscard]] const std::optional<Parts>* ListOf(std::string_view key) const;

  Parts settings;                         // by key, but for the lists below
  std::optional<Parts> classes, tenants;  // by name; none: the version does not say
  Parts barred, drain, zone_only;         // by host
  bool strict = false;                    // as in Rules

  // The same parts; the order of a list tells nothing.
  bool operator==(const Content&) const = default;
};

// The very text of its rules; all of it is put together.
std::string ToText(const Content& content);
// That text's size, without making it.
size_t BytesOf(const Content& content);
// Of the parts, whatever the order of lists: 'p' and 32 hexadecimal digits. It costs nothing that
// grows with the content.
std::string HashOf(const Content& content);

// Why two gateways must not act on the one and the other at a time, a line for each reason; empty:
// they may, and a change from one to the other needs no waiting.
std::vector<std::string> Contradictions(const Content& a, const Content& b);

// What contradicts neither: the stricter of the two in each.
Content Stricter(const Content& a, const Content& b);

// What contradicts no version that can come, but for hosts that one may bar.
Content Strictest(const Content& content);

}  // namespace paddlestile::cluster

#endif  // PADDLESTILE_CLUSTER_VERSION_CONTENT_H_
