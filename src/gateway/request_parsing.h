// Reads from a client's HTTP request what the load balancer decides by. No I/O.
#ifndef PADDLESTILE_GATEWAY_REQUEST_PARSING_H_
#define PADDLESTILE_GATEWAY_REQUEST_PARSING_H_

#include <string>

#include "balancer/load_balancer.h"
#include "base/time.h"
#include "config/gateway_config.h"
#include "http/proxied_request.h"

namespace paddlestile {

struct ParsedRequest {
  RequestArrived arrival;  // valid where error_status is 0
  int error_status = 0;    // HTTP status to reject the request with; 0: valid
  std::string reason;      // what is wrong, for the log and the response body
};

// Validates method and headers, and looks class (first path segment) and tenant (X-Caller) up in
// `names`. The deadline counts from `now`. Keeps no reference to its arguments.
ParsedRequest ParseRequest(const BufferedMessage& request, const NameTables& names,
                           const Settings& settings, Time now);

}  // namespace paddlestile

#endif  // PADDLESTILE_GATEWAY_REQUEST_PARSING_H_
