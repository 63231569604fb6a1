// A version of the replicated configuration as operators write and read it: settings laid over the
// platform's, and lists of hosts. No I/O.
#ifndef PADDLESTILE_CLUSTER_CONFIG_DOCUMENT_H_
#define PADDLESTILE_CLUSTER_CONFIG_DOCUMENT_H_

#include <array>
#include <cstddef>
#include <map>
#include <nlohmann/json.hpp>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace paddlestile::cluster {

// The values of a class's `Effect`, each stricter than the one before.
inline constexpr std::array kIdempotencyLevels = {"safe", "keyed", "unsafe"};

inline constexpr size_t kMaxDocumentBytes = 256 << 10;  // of a version that is submitted whole
inline constexpr size_t kMaxVersionBytes = 3 << 20;     // of a version that deltas made

struct ConfigDocument {
  nlohmann::json settings = nlohmann::json::object();  // a merge patch (RFC 7396) of the platform's
  std::set<std::string> excluded;                      // ids of hosts that get no request
  std::set<std::string> draining;                      // ids of hosts that get no new request
  std::map<std::string, std::string> zone_only;        // host id to the one zone that may use it
  // No request is retried, whatever its class allows. In force while a gateway does not know which
  // version the others act on; never in a document's text.
  bool strict = false;
  bool operator==(const ConfigDocument&) const = default;
};

// All faults of a version's text, a line each with its key and what was expected; empty: none.
std::vector<std::string> ValidateDocument(std::string_view text);

// The fault of a version whose text has more than `max_bytes`, or none.
std::vector<std::string> ValidateSize(size_t bytes, size_t max_bytes);

// Each adds the faults of one part to `faults`; `path` names the part in them. A list of named
// objects, one object of such a list, and the value of `Allowed`.
void ValidateNamedList(const std::string& path, const nlohmann::json& list,
                       std::vector<std::string>& faults);
void ValidateNamedObject(const std::string& path, const nlohmann::json& item,
                         std::vector<std::string>& faults);
void ValidateAllowed(const nlohmann::json& allowed, std::vector<std::string>& faults);

// Throw std::invalid_argument with the first fault. ParseDocument takes up to kMaxDocumentBytes,
// ParseVersion up to kMaxVersionBytes.
ConfigDocument ParseDocument(std::string_view text);
ConfigDocument ParseVersion(std::string_view text);

// The canonical text: equal documents have the same one.
std::string ToText(const ConfigDocument& document);

// Of a version's text: 32 hexadecimal digits (XXH3, 128 bits).
std::string HashOf(std::string_view text);

}  // namespace paddlestile::cluster

#endif  // PADDLESTILE_CLUSTER_CONFIG_DOCUMENT_H_
