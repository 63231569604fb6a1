// What a module has learned, as a text that one process hands another: JSON, by names and ids,
// times as ages. What was handed by a process of another version, or broken on the way, is told as
// that.
#ifndef PADDLESTILE_NET_KNOWLEDGE_H_
#define PADDLESTILE_NET_KNOWLEDGE_H_

#include <cstddef>
#include <optional>
#include <string>

#include "brain_state.h"
#include "net/config.h"

namespace paddlestile::net {

constexpr size_t kMostKnowledge = 8U << 20;  // bytes; some ten thousand hosts

// Empty where it would be longer than that.
std::string KnowledgeText(const Records& learned, const Names& names, Time now);

// Nothing where any of it makes no sense. Classes and kinds that `names` lacks are left out.
std::optional<Records> ParseKnowledge(const std::string& text, const Names& names, Time now);

}  // namespace paddlestile::net

#endif  // PADDLESTILE_NET_KNOWLEDGE_H_
