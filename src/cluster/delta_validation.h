// Reading a delta's text. No I/O.
#ifndef PADDLESTILE_CLUSTER_DELTA_VALIDATION_H_
#define PADDLESTILE_CLUSTER_DELTA_VALIDATION_H_

#include <nlohmann/json.hpp>
#include <string>
#include <string_view>
#include <vector>

namespace paddlestile::cluster {

struct ParsedDelta {
  nlohmann::json value;             // an object, where there are no faults
  std::vector<std::string> faults;  // as of ValidateDelta
};
ParsedDelta ParseDelta(std::string_view text);

}  // namespace paddlestile::cluster

#endif  // PADDLESTILE_CLUSTER_DELTA_VALIDATION_H_
