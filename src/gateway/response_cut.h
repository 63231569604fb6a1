// Why a response ended early after its first byte. Log lines name the cause, so that the causes can
// be told apart.
#ifndef PADDLESTILE_GATEWAY_RESPONSE_CUT_H_
#define PADDLESTILE_GATEWAY_RESPONSE_CUT_H_

#include <string_view>

namespace paddlestile {

enum class ResponseCut {
  kHostClosed,       // the host closed or reset the connection
  kHostMalformed,    // the host sent data that cannot be parsed
  kHostPaused,       // the host sent nothing within the pause limit
  kDeadline,         // the attempt's deadline passed while the response was buffered
  kLoadBalancer,     // the load balancer cancelled the attempt
  kRequestFinished,  // the request had already been responded to or abandoned
  kClientClosed,     // the client closed its connection or its sending side
  kClientReset,      // the client reset its connection
  kClientTooSlow,    // the client read nothing within the write timeout
};

// Text for log lines.
inline std::string_view ToText(ResponseCut cut) {
  switch (cut) {
    case ResponseCut::kHostClosed:
      return "the host closed the connection";
    case ResponseCut::kHostMalformed:
      return "the host sent a malformed response";
    case ResponseCut::kHostPaused:
      return "the host paused for too long";
    case ResponseCut::kDeadline:
      return "the deadline of the attempt passed";
    case ResponseCut::kLoadBalancer:
      return "the load balancer cancelled the attempt";
    case ResponseCut::kRequestFinished:
      return "the request was already finished";
    case ResponseCut::kClientClosed:
      return "the client closed its connection";
    case ResponseCut::kClientReset:
      return "the client reset its connection";
    case ResponseCut::kClientTooSlow:
      return "the client read nothing within the write timeout";
  }
  return "";
}

}  // namespace paddlestile

#endif  // PADDLESTILE_GATEWAY_RESPONSE_CUT_H_
