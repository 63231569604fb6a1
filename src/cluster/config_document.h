// What the bank agrees on: a patch of the platform's settings and lists of hosts, one whole version
// at a time. No I/O. What contradicts what is told in bank/content.h and docs/bank.md.
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

// What a class may be, each stricter than the one before.
inline constexpr std::array kIdempotencyLevels = {"safe", "keyed", "unsafe"};

inline constexpr size_t kMaxDocumentBytes = 256 << 10;  // bytes of a version that is sent whole
inline constexpr size_t kMaxVersionBytes = 3 << 20;     // bytes of one that deltas made

struct ConfigDocument {
  nlohmann::json settings = nlohmann::json::object();  // laid over the platform's, RFC 7396
  std::set<std::string> excluded, draining;            // ids of hosts
  std::map<std::string, std::string> zone_only;        // host to the one zone that may use it
  // Nothing is sent twice, whatever its class allows: what holds when it is not known which rules
  // the others act on.
  bool strict = false;
  bool operator==(const ConfigDocument&) const = default;
};

// All that is wrong in a version's text, a line each with its key and what was expected.
std::vector<std::string> ValidateDocument(std::string_view text);

// What a version may hold, in bytes of its text: the fault, or none.
std::vector<std::string> ValidateSize(size_t bytes, size_t most);

// What is wrong in one part; `where` names it in the lines that are added. A list of objects by
// name, an object of such a list, the value of `Allowed`.
void ValidateNamedList(const std::string& where, const nlohmann::json& list,
                       std::vector<std::string>& faults);
void ValidateNamedObject(const std::string& where, const nlohmann::json& item,
                         std::vector<std::string>& faults);
void ValidateAllowed(const nlohmann::json& allowed, std::vector<std::string>& faults);

// Of a text without faults; throws std::invalid_argument with the first fault otherwise.
ConfigDocument ParseDocument(std::string_view text);
// The same of what deltas made, which may be larger.
ConfigDocument ParseVersion(std::string_view text);

// The same rules have the same text.
std::string ToText(const ConfigDocument& rules);

// Of a version's text: 32 hexadecimal digits (XXH3, 128 bits).
std::string HashOf(std::string_view text);

}  // namespace paddlestile::cluster

#endif  // PADDLESTILE_CLUSTER_CONFIG_DOCUMENT_H_
