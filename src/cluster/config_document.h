// A version of the replicated configuration as operators write and read it: settings that override
// those of the platform's file, and lists of hosts. No I/O.
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

// The values of a class's `Effect`, in order of increasing strictness.
inline constexpr std::array kIdempotencyLevels = {"safe", "keyed", "unsafe"};

inline constexpr size_t kMaxDocumentBytes = 256 << 10;  // of a version that is submitted whole
inline constexpr size_t kMaxVersionBytes = 3 << 20;     // of a version that results from deltas

struct ConfigDocument {
  nlohmann::json settings = nlohmann::json::object();  // a merge patch (RFC 7396) of the platform's
  std::set<std::string> excluded;                      // IDs of hosts that get no requests
  std::set<std::string> draining;                      // IDs of hosts that get no new requests
  std::map<std::string, std::string> zone_only;        // host ID to the only zone that may use it
  // No request is retried, even if its class allows it. Set while a gateway does not know which
  // version the others act on; never part of a document's text.
  bool strict = false;
  bool operator==(const ConfigDocument&) const = default;
};

// Returns all errors in a version's text, one line each with the key and the expected value.
std::vector<std::string> ValidateDocument(std::string_view text);

// Returns an error if `bytes`, the size of a version's text, is greater than `max_bytes`.
std::vector<std::string> ValidateSize(size_t bytes, size_t max_bytes);

// Validate a list of named objects, one object of such a list, and the value of `Allowed`. They
// append the errors to `errors`; `path` identifies the validated part in them.
void ValidateNamedList(const std::string& path, const nlohmann::json& list,
                       std::vector<std::string>& errors);
void ValidateNamedObject(const std::string& path, const nlohmann::json& item,
                         std::vector<std::string>& errors);
void ValidateAllowed(const nlohmann::json& allowed, std::vector<std::string>& errors);

// Throw std::invalid_argument with the first error. ParseDocument accepts up to kMaxDocumentBytes,
// ParseVersion up to kMaxVersionBytes.
ConfigDocument ParseDocument(std::string_view text);
ConfigDocument ParseVersion(std::string_view text);

// Returns the canonical text, which is the same for equal documents.
std::string ToText(const ConfigDocument& document);

// Returns the hash of a version's text (XXH3, 128 bits) as 32 hexadecimal digits.
std::string HashOf(std::string_view text);

}  // namespace paddlestile::cluster

#endif  // PADDLESTILE_CLUSTER_CONFIG_DOCUMENT_H_
