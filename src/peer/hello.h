// The hello: the first frame on a connection between members, by which both ends identify
// themselves. The connecting side sends it first.
#ifndef PADDLESTILE_PEER_HELLO_H_
#define PADDLESTILE_PEER_HELLO_H_

#include <cstdint>
#include <nlohmann/json.hpp>
#include <string>

namespace paddlestile::peer {

// Version of the protocol between members. Members with different versions do not connect.
inline constexpr int kProtocolVersion = 1;

struct Hello {
  std::string cluster_name;
  std::string from;            // name of the sender
  std::string to;              // name of the intended receiver
  uint64_t incarnation = 0;    // of the sender's storage
  uint64_t restart_count = 0;  // starts of the sender with that storage
};

// The keys are part of the wire protocol and differ from the names of the fields. `claim` is the
// latest claim of the receiver's storage that the sender knows, or null.
nlohmann::json EncodeHello(const Hello& hello, const nlohmann::json& claim);

// These functions throw nlohmann::json::exception if `value` is malformed.
Hello DecodeHello(const nlohmann::json& value);
// Returns the protocol version as received, which may be any JSON value.
const nlohmann::json& VersionOfHello(const nlohmann::json& value);
// Returns the claim, or null if the sender knows none.
nlohmann::json ClaimOfHello(const nlohmann::json& value);

}  // namespace paddlestile::peer

#endif  // PADDLESTILE_PEER_HELLO_H_
