// Builds the head of a response to a client. No I/O.
#ifndef PADDLESTILE_GATEWAY_RESPONSE_HEAD_H_
#define PADDLESTILE_GATEWAY_RESPONSE_HEAD_H_

#include <string>

#include "http/proxied_request.h"

namespace paddlestile {

// Returns the status line, headers and the empty line that ends them. The headers of an upstream
// message are forwarded, except hop-by-hop headers and its load report. `keep_alive`: the
// connection stays open after the response. `to_http10`: the client does not support chunked
// bodies.
std::string ResponseHead(const Response& response, bool keep_alive, bool to_http10 = false);

}  // namespace paddlestile

#endif  // PADDLESTILE_GATEWAY_RESPONSE_HEAD_H_
