// IPv4 addresses with a port.
#ifndef PADDLESTILE_BASE_ADDRESS_H_
#define PADDLESTILE_BASE_ADDRESS_H_

#include <cstdint>
#include <string>
#include <string_view>

namespace paddlestile {

struct Address {
  uint32_t host = 0;  // in host byte order
  uint16_t port = 0;
  bool operator==(const Address&) const = default;
};

// Parses an address such as "10.0.0.4:5000". Host names are not resolved. Throws ConfigError.
Address ParseAddress(std::string_view text);
// Formats an address as ParseAddress accepts it.
std::string ToText(const Address& address);

}  // namespace paddlestile

#endif  // PADDLESTILE_BASE_ADDRESS_H_
