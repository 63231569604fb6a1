// Hashes that are the same at every gateway and in every build, unlike std::hash.
#ifndef PADDLESTILE_BALANCER_HASHING_H_
#define PADDLESTILE_BALANCER_HASHING_H_

#include <cstdint>
#include <string>

namespace paddlestile {

// FNV-1a.
uint64_t HashOfId(const std::string& text);

// A number in (0, 1) for a pair of hashes, spread as if drawn at random (the last steps of
// splitmix64).
double UniformFromHashes(uint64_t first, uint64_t second);

}  // namespace paddlestile

#endif  // PADDLESTILE_BALANCER_HASHING_H_
