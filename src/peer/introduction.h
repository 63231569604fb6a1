// The checksum of an introduction, which is the first frame on a connection: a member's hello or an
// operator's call. An introduction is a plain frame, because the sender does not know yet whether
// the other end supports checked frames. Its checksum is one of its keys, and shows that the sender
// supports checked frames.
//
// Builds without checksums ignore the key. Their own introductions have no checksum and are
// accepted only if they have no other keys than those that such builds send. This detects
// introductions whose checksum key was corrupted in transit.
#ifndef PADDLESTILE_PEER_INTRODUCTION_H_
#define PADDLESTILE_PEER_INTRODUCTION_H_

#include <nlohmann/json.hpp>

namespace paddlestile::peer {

enum class IntroductionChecksum {
  kMatches,  // the other end sends and expects checked frames from now on
  kAbsent,   // a build without checksums, which sends and expects plain frames from now on
  kMismatch  // differs from the introduction that was sent; the connection must be closed
};

// Returns `introduction`, which must be an object, with its checksum added.
nlohmann::json WithChecksum(nlohmann::json introduction);

// `introduction` may be any JSON value.
IntroductionChecksum VerifyChecksum(const nlohmann::json& introduction);

}  // namespace paddlestile::peer

#endif  // PADDLESTILE_PEER_INTRODUCTION_H_
