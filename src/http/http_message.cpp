#include "http/http_message.h"

#include <algorithm>
#include <cctype>

namespace paddlestile {

bool HeaderNamesEqual(std::string_view a, std::string_view b) {
  return std::ranges::equal(
      a, b, [](unsigned char x, unsigned char y) { return std::tolower(x) == std::tolower(y); });
}

std::string_view Trim(std::string_view text) {
  while (text.starts_with(' ') || text.starts_with('\t')) {
    text.remove_prefix(1);
  }
  while (text.ends_with(' ') || text.ends_with('\t')) {
    text.remove_suffix(1);
  }
  return text;
}

bool ListContains(std::string_view list, std::string_view element) {
  while (true) {
    const size_t comma = list.find(',');
    if (HeaderNamesEqual(Trim(list.substr(0, comma)), element)) {
      return true;
    }
    if (comma == std::string_view::npos) {
      return false;
    }
    list.remove_prefix(comma + 1);
  }
}

std::optional<std::string_view> HttpMessage::FindHeader(std::string_view base,
                                                        std::string_view name) const {
  for (const auto& [header_name, header_value] : headers) {
    if (HeaderNamesEqual(header_name.In(base), name)) {
      return header_value.In(base);
    }
  }
  return std::nullopt;
}

size_t HttpMessage::CountHeader(std::string_view base, std::string_view name) const {
  return static_cast<size_t>(std::ranges::count_if(
      headers, [&](const auto& header) { return HeaderNamesEqual(header.first.In(base), name); }));
}

bool IsHopByHop(const HttpMessage& message, std::string_view base, std::string_view name) {
  static constexpr std::string_view kNames[] = {
      "Connection", "Keep-Alive",      "Proxy-Authenticate", "Proxy-Authorization",
      "TE",         "Trailer",         "Transfer-Encoding",  "Upgrade",
      "Expect",     "Proxy-Connection"};
  const auto is_name = [&](std::string_view known) {
    return HeaderNamesEqual(known, name);
  };
  if (std::ranges::any_of(kNames, is_name)) {
    return true;
  }
  return std::ranges::any_of(message.headers, [&](const auto& header) {
    return HeaderNamesEqual(header.first.In(base), "Connection") &&
           ListContains(header.second.In(base), name);
  });
}

}  // namespace paddlestile
