// What the bank agrees on: a patch of the platform's settings and lists of hosts, one whole version
// at a time; which two versions contradict each other, and what may be done while two are possible.
// No I/O. The table of what contradicts what stands in docs/bank.md.
#ifndef PADDLESTILE_BANK_RULES_H_
#define PADDLESTILE_BANK_RULES_H_

#include <cstddef>
#include <map>
#include <nlohmann/json.hpp>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace paddlestile::bank {

inline constexpr size_t kRulesMost = 256 << 10;  // bytes of one version

struct Rules {
  nlohmann::json settings = nlohmann::json::object();  // laid over the platform's, RFC 7396
  std::set<std::string> barred, drain;                 // ids of hosts
  std::map<std::string, std::string> zone_only;        // host to the one zone that may use it
  // Nothing is sent twice, whatever its class allows: what holds when it is not known which rules
  // the others act on.
  bool strict = false;
  bool operator==(const Rules&) const = default;
};

// All that is wrong in a version's text, a line each with its key and what was expected.
std::vector<std::string> CheckRules(std::string_view text);

// Of a text without faults; throws std::invalid_argument with the first fault otherwise.
Rules ParseRules(std::string_view text);

// The same rules have the same text.
std::string ToText(const Rules& rules);

// Of a version's text: 32 hexadecimal digits (XXH3, 128 bits).
std::string HashOf(std::string_view text);

// Why two gateways must not act on the one and the other at a time, a line for each reason; empty:
// they may, and a change from one to the other needs no waiting.
std::vector<std::string> Contradictions(const Rules& a, const Rules& b);

// What contradicts neither: the stricter of the two in each.
Rules Stricter(const Rules& a, const Rules& b);

// What contradicts no version that can come, but for hosts that one may bar.
Rules Strictest(const Rules& rules);

}  // namespace paddlestile::bank

#endif  // PADDLESTILE_BANK_RULES_H_
