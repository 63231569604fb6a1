#include "peer/call.h"

#include "peer/hello.h"
#include "peer/introduction.h"

namespace paddlestile::peer {

std::string EncodeCall(const nlohmann::json& call) {
  return EncodeFrame(WithChecksum({{"hello", kProtocolVersion}, {"call", call}}));
}

FrameStatus TakeReply(Buffer& input, nlohmann::json& value) {
  return BeginsWithCheckedFrame(input) ? TakeCheckedFrame(input, 0, value)
                                       : TakeFrame(input, value);
}

}  // namespace paddlestile::peer
