// Hash functions whose results, unlike those of std::hash, are the same on every gateway and in
// every build.
#ifndef PADDLESTILE_BALANCER_HASHING_H_
#define PADDLESTILE_BALANCER_HASHING_H_

#include <cstdint>
#include <string>

namespace paddlestile {

// FNV-1a.
uint64_t HashOfId(const std::string& text);

// Maps a pair of hashes to a pseudo-random number in (0, 1), using the finalizer of splitmix64.
double UniformFromHashes(uint64_t first, uint64_t second);

}  // namespace paddlestile

#endif  // PADDLESTILE_BALANCER_HASHING_H_
