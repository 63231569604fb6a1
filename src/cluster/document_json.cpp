#include "cluster/document_json.h"

#include <algorithm>

namespace paddlestile::cluster {
namespace {

constexpr int kMaxNestingDepth = 32;

// Returns the maximum nesting depth of the brackets outside of strings in `text`.
int MaxNestingDepth(std::string_view text) {
  int depth = 0;
  int max_depth = 0;
  bool in_string = false;
  for (size_t i = 0; i < text.size(); ++i) {
    const char character = text[i];
    if (in_string) {
      if (character == '\\') {
        ++i;  // the escaped character
      }
      if (character == '"') {
        in_string = false;
      }
    } else if (character == '"') {
      in_string = true;
    } else if (character == '{' || character == '[') {
      max_depth = std::max(max_depth, ++depth);
    } else if (character == '}' || character == ']') {
      --depth;
    }
  }
  return max_depth;
}

}  // namespace

using nlohmann::json;

bool IsNamedList(std::string_view settings_key) {
  return std::ranges::find(kNamedListKeys, settings_key) != kNamedListKeys.end();
}

bool IsHostIdList(const json& value) {
  return value.is_array() && std::ranges::all_of(value, [](const json& id) {
           return id.is_string() && !id.get_ref<const std::string&>().empty();
         });
}

std::vector<std::string> ValidateNesting(std::string_view text) {
  if (MaxNestingDepth(text) <= kMaxNestingDepth) {
    return {};
  }
  return {"nested more than " + std::to_string(kMaxNestingDepth) + " deep, expected less"};
}

std::string DumpJson(const json& value) {
  return value.dump(-1, ' ', false, json::error_handler_t::replace);
}

}  // namespace paddlestile::cluster
