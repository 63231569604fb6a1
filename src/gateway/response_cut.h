// Who ended a response after its first byte had come, and by which limit. For the log: a response
// that is cut off is told apart there by its cause.
#ifndef PADDLESTILE_GATEWAY_RESPONSE_CUT_H_
#define PADDLESTILE_GATEWAY_RESPONSE_CUT_H_

#include <string_view>

namespace paddlestile {

enum class ResponseCut {
  kHostClosed,     // the host closed or reset the connection
  kHostMalformed,  // what the host sent cannot be parsed
  kHostPaused,     // the host sent nothing for the pause limit
  kDeadline,       // the attempt's deadline, while the response was buffered
  kLoadBalancer,   // the load balancer cancelled the attempt
  kRequestOver,    // the request had its response, or its client had left, before this one began
  kClientLeft,     // the client closed its connection, or its side of it
  kClientReset,    // the client reset its connection
  kClientTooSlow,  // the client took nothing for the write timeout
};

// For the log.
inline std::string_view ToText(ResponseCut cut) {
  switch (cut) {
    case ResponseCut::kHostClosed:
      return "the host closed";
    case ResponseCut::kHostMalformed:
      return "the host sent a malformed response";
    case ResponseCut::kHostPaused:
      return "the host paused for the limit";
    case ResponseCut::kDeadline:
      return "its deadline passed";
    case ResponseCut::kLoadBalancer:
      return "the load balancer cancelled it";
    case ResponseCut::kRequestOver:
      return "its request was over";
    case ResponseCut::kClientLeft:
      return "the client left";
    case ResponseCut::kClientReset:
      return "the client reset its connection";
    case ResponseCut::kClientTooSlow:
      return "the client took nothing for the limit";
  }
  return "";
}

}  // namespace paddlestile

#endif  // PADDLESTILE_GATEWAY_RESPONSE_CUT_H_
