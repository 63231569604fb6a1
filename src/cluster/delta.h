// A change by its own size: what a delta adds to a version and takes from it, by keyed parts. No
// I/O. What it looks like and what it cannot say stands in docs/bank.md.
#ifndef PADDLESTILE_CLUSTER_DELTA_H_
#define PADDLESTILE_CLUSTER_DELTA_H_

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

#include "cluster/version_content.h"

namespace paddlestile::cluster {

inline constexpr size_t kMaxDeltaBytes = 64 << 10;  // bytes of one delta

// All that is wrong in a delta's text, a line each with its key and what was expected.
std::vector<std::string> ValidateDelta(std::string_view text);

// `base` with the parts that the delta sets, without those that it removes; what is not there and
// is removed changes nothing. Items of `Classes` and `Tenants` keep their places, new ones come
// behind them in the order of their names. It costs what the delta names. Throws
// std::invalid_argument with the first fault of the delta, or of the version that it makes.
VersionContent ApplyDelta(VersionContent base, std::string_view delta);

// What makes `b` of `a`, so that ToText(ApplyDelta(a, Difference(a, b))) == ToText(b) for any two.
// It may be larger than `b`, or than a delta may be.
std::string ComputeDelta(const VersionContent& a, const VersionContent& b);

}  // namespace paddlestile::cluster

#endif  // PADDLESTILE_CLUSTER_DELTA_H_
