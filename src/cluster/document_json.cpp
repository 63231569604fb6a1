#include "cluster/document_json.h"

#include <algorithm>

namespace paddlestile::cluster {

using nlohmann::json;

bool IsNamedList(std::string_view settings_key) {
  return std::ranges::find(kNamedListKeys, settings_key) != kNamedListKeys.end();
}

bool IsHostIdList(const json& value) {
  return value.is_array() && std::ranges::all_of(value, [](const json& id) {
           return id.is_string() && !id.get_ref<const std::string&>().empty();
         });
}

std::string DumpJson(const json& value) {
  return value.dump(-1, ' ', false, json::error_handler_t::replace);
}

}  // namespace paddlestile::cluster
