// The head of a request as it is written to an upstream endpoint. No I/O.
#ifndef PADDLESTILE_GATEWAY_REQUEST_HEAD_H_
#define PADDLESTILE_GATEWAY_REQUEST_HEAD_H_

#include <string>

#include "base/time.h"
#include "http/proxied_request.h"

namespace paddlestile {

// Request line and headers, with the empty line that ends them: the client's, without hop-by-hop
// ones. X-Budget-Ms carries `remaining`, the time to the deadline, in place of the client's value;
// at least 1 ms.
std::string RequestHead(const BufferedMessage& request, Duration remaining);

}  // namespace paddlestile

#endif  // PADDLESTILE_GATEWAY_REQUEST_HEAD_H_
