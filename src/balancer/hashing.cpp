#include "balancer/hashing.h"

namespace paddlestile {

uint64_t HashOfId(const std::string& text) {
  uint64_t hash = 0xcbf29ce484222325;
  for (const char c : text) {
    hash = (hash ^ static_cast<unsigned char>(c)) * 0x100000001b3;
  }
  return hash;
}

double UniformFromHashes(uint64_t first, uint64_t second) {
  uint64_t hash = first ^ second;
  hash = (hash ^ (hash >> 30)) * 0xbf58476d1ce4e5b9;
  hash = (hash ^ (hash >> 27)) * 0x94d049bb133111eb;
  return (static_cast<double>((hash ^ (hash >> 31)) >> 11) + 0.5) * 0x1p-53;
}

}  // namespace paddlestile
