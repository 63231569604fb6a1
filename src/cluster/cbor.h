// Converts JSON values to and from CBOR, the encoding of log entries and snapshots.
#ifndef PADDLESTILE_CLUSTER_CBOR_H_
#define PADDLESTILE_CLUSTER_CBOR_H_

#include <nlohmann/json.hpp>
#include <string>

namespace paddlestile::cluster {

std::string EncodeCbor(const nlohmann::json& value);

// Returns an empty object if `bytes` are not a valid CBOR object.
nlohmann::json DecodeCborObject(const std::string& bytes);

}  // namespace paddlestile::cluster

#endif  // PADDLESTILE_CLUSTER_CBOR_H_
