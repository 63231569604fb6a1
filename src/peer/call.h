// The frames of an operator's call to a member: the call, and the one reply to it.
#ifndef PADDLESTILE_PEER_CALL_H_
#define PADDLESTILE_PEER_CALL_H_

#include <nlohmann/json.hpp>
#include <string>

#include "event/buffer.h"
#include "peer/framing.h"

namespace paddlestile::peer {

// The frame by which a caller introduces itself.
std::string EncodeCall(const nlohmann::json& call);

// Takes the reply off `input`, a checked frame, or a plain one from a build without checksums.
FrameStatus TakeReply(Buffer& input, nlohmann::json& value);

}  // namespace paddlestile::peer

#endif  // PADDLESTILE_PEER_CALL_H_
