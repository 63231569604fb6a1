// Deltas: the keyed parts of a version that a change sets or removes. The cost of a delta depends
// only on these parts, not on the version's size. docs/bank.md describes the format. No I/O.
#ifndef PADDLESTILE_CLUSTER_DELTA_H_
#define PADDLESTILE_CLUSTER_DELTA_H_

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

#include "cluster/version_content.h"

namespace paddlestile::cluster {

inline constexpr size_t kMaxDeltaBytes = 64 << 10;  // of one delta's text

// Returns all errors in a delta's text, one line each with the key and the expected value.
std::vector<std::string> ValidateDelta(std::string_view text);

// Returns `base` with the parts that the delta sets and without those that it removes; removing an
// absent part has no effect. Items of `Classes` and `Tenants` keep their positions, and new ones
// follow in the order of their names. Throws std::invalid_argument with the first error of the
// delta or of the resulting version.
VersionContent ApplyDelta(VersionContent base, std::string_view delta);

// Returns the delta from `from` to `to`, so that ToText(ApplyDelta(from, ComputeDelta(from, to)))
// == ToText(to). It may be larger than `to` or than kMaxDeltaBytes.
std::string ComputeDelta(const VersionContent& from, const VersionContent& to);

}  // namespace paddlestile::cluster

#endif  // PADDLESTILE_CLUSTER_DELTA_H_
