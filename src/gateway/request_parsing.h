// Extracts from a client's HTTP request the data that the load balancer needs. No I/O.
#ifndef PADDLESTILE_GATEWAY_REQUEST_PARSING_H_
#define PADDLESTILE_GATEWAY_REQUEST_PARSING_H_

#include <string>

#include "balancer/load_balancer.h"
#include "base/time.h"
#include "config/gateway_config.h"
#include "http/proxied_request.h"

namespace paddlestile {

struct ParsedRequest {
  RequestArrived arrival;  // valid if error_status is 0
  int error_status = 0;    // HTTP status for rejecting the request; 0 if it is valid
  std::string reason;      // error text for the log and the response body
};

// Validates the method and headers, and looks up the request class (first path segment) and the
// tenant (X-Caller) in `names`. The deadline is `now` plus the budget. Keeps no reference to its
// arguments.
ParsedRequest ParseRequest(const BufferedMessage& request, const NameTables& names,
                           const Settings& settings, Time now);

}  // namespace paddlestile

#endif  // PADDLESTILE_GATEWAY_REQUEST_PARSING_H_
