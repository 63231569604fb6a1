// The frames of an operator's call to a member: the call and its single reply.
#ifndef PADDLESTILE_PEER_CALL_H_
#define PADDLESTILE_PEER_CALL_H_

#include <nlohmann/json.hpp>
#include <string>

#include "event/buffer.h"
#include "peer/framing.h"

namespace paddlestile::peer {

// Returns the plain frame of a call, which is the caller's introduction (peer/introduction.h).
std::string EncodeCall(const nlohmann::json& call);

// Takes the reply off `input`. It is a checked frame, or a plain one from a build without
// checksums.
FrameStatus TakeReply(Buffer& input, nlohmann::json& value);

}  // namespace paddlestile::peer

#endif  // PADDLESTILE_PEER_CALL_H_
