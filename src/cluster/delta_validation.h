// Reading a delta's text. No I/O.
#ifndef PADDLESTILE_CLUSTER_DELTA_VALIDATION_H_
#define PADDLESTILE_CLUSTER_DELTA_VALIDATION_H_

#include <nlohmann/json.hpp>
#include <string>
#include <string_view>
#include <vector>

namespace paddlestile::cluster {

// The delta of a text: an object, where no fault is added. `faults`: as of ValidateDelta.
nlohmann::json ParseDelta(std::string_view text, std::vector<std::string>& faults);

}  // namespace paddlestile::cluster

#endif  // PADDLESTILE_CLUSTER_DELTA_VALIDATION_H_
