// The head of a response as it is written to a client. No I/O.
#ifndef PADDLESTILE_GATEWAY_RESPONSE_HEAD_H_
#define PADDLESTILE_GATEWAY_RESPONSE_HEAD_H_

#include <string>

#include "http/proxied_request.h"

namespace paddlestile {

// Status line and headers, with the empty line that ends them. An upstream message's headers are
// passed on, without hop-by-hop ones and without its load report. `keep_alive`: the connection
// stays open after the response. `to_http10`: the client does not know chunked bodies.
std::string ResponseHead(const Response& response, bool keep_alive, bool to_http10 = false);

}  // namespace paddlestile

#endif  // PADDLESTILE_GATEWAY_RESPONSE_HEAD_H_
