// Parses and validates a delta's text. No I/O.
#ifndef PADDLESTILE_CLUSTER_DELTA_VALIDATION_H_
#define PADDLESTILE_CLUSTER_DELTA_VALIDATION_H_

#include <nlohmann/json.hpp>
#include <string>
#include <string_view>
#include <vector>

namespace paddlestile::cluster {

// Parses a delta and stores all its errors, formatted as by ValidateDelta(), in `errors`, which
// must be empty. Returns a JSON object if there are no errors.
nlohmann::json ParseDelta(std::string_view text, std::vector<std::string>& errors);

}  // namespace paddlestile::cluster

#endif  // PADDLESTILE_CLUSTER_DELTA_VALIDATION_H_
