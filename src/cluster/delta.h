// Deltas: the keyed parts that a change sets in a version and removes from it. A delta costs what
// it names, whatever the version's size. docs/bank.md has the format. No I/O.
#ifndef PADDLESTILE_CLUSTER_DELTA_H_
#define PADDLESTILE_CLUSTER_DELTA_H_

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

#include "cluster/version_content.h"

namespace paddlestile::cluster {

inline constexpr size_t kMaxDeltaBytes = 64 << 10;  // of one delta's text

// All faults of a delta's text, a line each with its key and what was expected; empty: none.
std::vector<std::string> ValidateDelta(std::string_view text);

// `base` with the parts that the delta sets and without those that it removes; to remove what is
// not there changes nothing. Items of `Classes` and `Tenants` keep their places, new ones follow in
// the order of their names. Throws std::invalid_argument with the first fault of the delta, or of
// the version that it makes.
VersionContent ApplyDelta(VersionContent base, std::string_view delta);

// The delta from `from` to `to`: ToText(ApplyDelta(from, ComputeDelta(from, to))) == ToText(to) for
// any two. It may be larger than `to`, or than kMaxDeltaBytes.
std::string ComputeDelta(const VersionContent& from, const VersionContent& to);

}  // namespace paddlestile::cluster

#endif  // PADDLESTILE_CLUSTER_DELTA_H_
