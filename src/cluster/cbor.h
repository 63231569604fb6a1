// JSON values as CBOR bytes, as log entries and snapshots hold them.
#ifndef PADDLESTILE_CLUSTER_CBOR_H_
#define PADDLESTILE_CLUSTER_CBOR_H_

#include <nlohmann/json.hpp>
#include <string>

namespace paddlestile::cluster {

std::string EncodeCbor(const nlohmann::json& value);

// An empty object where the bytes are no CBOR object.
nlohmann::json DecodeCborObject(const std::string& bytes);

}  // namespace paddlestile::cluster

#endif  // PADDLESTILE_CLUSTER_CBOR_H_
