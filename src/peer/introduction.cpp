#include "peer/introduction.h"

#include <xxhash.h>

#include <algorithm>
#include <array>
#include <cstdint>
#include <string>
#include <string_view>
#include <utility>

namespace paddlestile::peer {
namespace {

using nlohmann::json;

constexpr const char* kChecksumKey = "sum";

// The keys of hellos and calls that builds without checksums send. Never to be extended: builds
// that send new keys also send a checksum.
constexpr std::array<std::string_view, 8> kKeysWithoutChecksum = {"hello", "bank", "from",  "to",
                                                                  "life",  "boot", "known", "call"};

uint64_t ChecksumOf(const json& introduction) {
  std::string bytes;
  json::to_cbor(introduction, bytes);
  return XXH64(bytes.data(), bytes.size(), 0);
}

bool HasOnlyKeysWithoutChecksum(const json& introduction) {
  return std::ranges::all_of(introduction.items(), [](const auto& item) {
    return std::ranges::find(kKeysWithoutChecksum, item.key()) != kKeysWithoutChecksum.end();
  });
}

}  // namespace

json WithChecksum(json introduction) {
  const uint64_t checksum = ChecksumOf(introduction);
  introduction[kChecksumKey] = checksum;
  return introduction;
}

IntroductionChecksum VerifyChecksum(const json& introduction) {
  if (!introduction.is_object()) {
    return IntroductionChecksum::kAbsent;
  }
  const auto checksum = introduction.find(kChecksumKey);
  if (checksum == introduction.end()) {
    return HasOnlyKeysWithoutChecksum(introduction) ? IntroductionChecksum::kAbsent
                                                    : IntroductionChecksum::kMismatch;
  }
  json without_checksum = introduction;
  without_checksum.erase(kChecksumKey);
  return *checksum == ChecksumOf(without_checksum) ? IntroductionChecksum::kMatches
                                                   : IntroductionChecksum::kMismatch;
}

}  // namespace paddlestile::peer
