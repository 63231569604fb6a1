// The hello: the first frame on a connection among members, by which both ends identify themselves.
// The side that connected sends it first.
#ifndef PADDLESTILE_PEER_HELLO_H_
#define PADDLESTILE_PEER_HELLO_H_

#include <cstdint>
#include <nlohmann/json.hpp>
#include <string>

namespace paddlestile::peer {

// Version of all that members send each other. Members of different versions do not connect.
inline constexpr int kProtocolVersion = 1;

struct Hello {
  std::string cluster_name;
  std::string from;            // name of the sender
  std::string to;              // name of the member that it wants to reach
  uint64_t incarnation = 0;    // of the sender's storage
  uint64_t restart_count = 0;  // starts of the sender with that storage
};

// The keys are those of the wire and differ from the names of the fields.
// `claim`: what the sender knows of the receiver's storage; null: nothing.
nlohmann::json EncodeHello(const Hello& hello, const nlohmann::json& claim);

// These throw nlohmann::json::exception for a malformed value.
Hello DecodeHello(const nlohmann::json& value);
// The version of a hello, as sent: any JSON value.
const nlohmann::json& VersionOfHello(const nlohmann::json& value);
// Null where the sender knows nothing.
nlohmann::json ClaimOfHello(const nlohmann::json& value);

}  // namespace paddlestile::peer

#endif  // PADDLESTILE_PEER_HELLO_H_
