#include "base/address.h"

#include <arpa/inet.h>
#include <fmt/format.h>

#include <charconv>

#include "base/config_error.h"
#include "base/parse_number.h"

namespace paddlestile {

Address ParseAddress(std::string_view text) {
  const size_t colon = text.rfind(':');
  const auto invalid_address = [&] {
    return ConfigError(fmt::format("no address and port: '{}'", text));
  };
  if (colon == std::string_view::npos) {
    throw invalid_address();
  }
  in_addr host{};
  const std::string ip(text.substr(0, colon));
  const auto port = ParseWholeNumber(text.substr(colon + 1));
  if (inet_pton(AF_INET, ip.c_str(), &host) != 1 || !port || *port == 0 || *port > 65535) {
    throw invalid_address();
  }
  return {ntohl(host.s_addr), static_cast<uint16_t>(*port)};
}

std::string ToText(const Address& address) {
  return fmt::format("{}.{}.{}.{}:{}", address.host >> 24, address.host >> 16 & 255,
                     address.host >> 8 & 255, address.host & 255, address.port);
}

}  // namespace paddlestile
