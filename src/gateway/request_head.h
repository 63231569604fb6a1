// Builds the head of a request to an upstream endpoint. No I/O.
#ifndef PADDLESTILE_GATEWAY_REQUEST_HEAD_H_
#define PADDLESTILE_GATEWAY_REQUEST_HEAD_H_

#include <string>

#include "base/time.h"
#include "http/proxied_request.h"

namespace paddlestile {

// Returns the request line, headers and the empty line that ends them. Headers are copied from the
// client's request, except hop-by-hop headers. X-Budget-Ms is set to `remaining`, the time to the
// deadline, but to 1 ms at least. Content-Length or Transfer-Encoding match the body that is sent.
std::string RequestHead(const BufferedMessage& request, Duration remaining);

}  // namespace paddlestile

#endif  // PADDLESTILE_GATEWAY_REQUEST_HEAD_H_
