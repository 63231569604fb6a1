// Interprets the responses of upstream endpoints: outcome and load report. No I/O.
#ifndef PADDLESTILE_GATEWAY_UPSTREAM_RESPONSE_H_
#define PADDLESTILE_GATEWAY_UPSTREAM_RESPONSE_H_

#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "balancer/load_balancer.h"
#include "http/http_parser.h"

namespace paddlestile {

// Parses a load report of the form `name=value`, with pairs separated by commas. Returns the values
// in the order of `fields` and ignores other names. Returns nullopt if a field is missing or its
// value is not a finite number.
std::optional<LoadReport> ParseLoadReport(std::string_view text,
                                          const std::vector<std::string>& fields);

// Returns the outcome of an attempt according to the status and headers of its response. `buffer`
// is the memory that `message` refers to.
Outcome OutcomeOfResponse(const HttpMessage& message, std::string_view buffer);

}  // namespace paddlestile

#endif  // PADDLESTILE_GATEWAY_UPSTREAM_RESPONSE_H_
