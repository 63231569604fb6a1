// The checksum of an introduction: the first frame on a connection, which is a member's hello or an
// operator's call. It is a plain frame, as the sender does not know yet whether the other end knows
// checked frames; it has its checksum among its keys. An end that sends one knows checked frames.
//
// Builds without checksums ignore the key. Their own introductions have none and are accepted, but
// only with the keys that those builds send: one that lost its checksum on the way is not.
#ifndef PADDLESTILE_PEER_INTRODUCTION_H_
#define PADDLESTILE_PEER_INTRODUCTION_H_

#include <nlohmann/json.hpp>

namespace paddlestile::peer {

enum class IntroductionChecksum {
  kMatches,  // the other end sends and expects checked frames from now on
  kAbsent,   // a build without checksums: plain frames from now on
  kMismatch  // not what was sent: the connection cannot go on
};

// `introduction`, an object, with its checksum.
nlohmann::json WithChecksum(nlohmann::json introduction);

// `introduction` may be any value.
IntroductionChecksum VerifyChecksum(const nlohmann::json& introduction);

}  // namespace paddlestile::peer

#endif  // PADDLESTILE_PEER_INTRODUCTION_H_
