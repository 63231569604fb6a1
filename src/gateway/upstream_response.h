// What the response of an upstream endpoint says of the endpoint. No I/O.
#ifndef PADDLESTILE_GATEWAY_UPSTREAM_RESPONSE_H_
#define PADDLESTILE_GATEWAY_UPSTREAM_RESPONSE_H_

#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "balancer/load_balancer.h"
#include "http/http_parser.h"

namespace paddlestile {

// Reads a load report: `name=value` pairs separated by commas. The values are in the order of
// `fields`, other names are ignored. Nothing where a field is missing or not a finite number.
std::optional<LoadReport> ParseLoadReport(std::string_view text,
                                          const std::vector<std::string>& fields);

// The outcome of an attempt by status and headers of its response; `base` is the buffer that
// `message` refers to.
Outcome OutcomeOfResponse(const HttpMessage& message, std::string_view base);

}  // namespace paddlestile

#endif  // PADDLESTILE_GATEWAY_UPSTREAM_RESPONSE_H_
