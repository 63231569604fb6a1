#include "cluster/cbor.h"

namespace paddlestile::cluster {

using nlohmann::json;

std::string EncodeCbor(const json& value) {
  std::string bytes;
  json::to_cbor(value, bytes);
  return bytes;
}

json DecodeCborObject(const std::string& bytes) {
  json value = json::from_cbor(bytes, true, false);
  return value.is_object() ? value : json::object();
}

}  // namespace paddlestile::cluster
