// Calls from an operator's command to a cluster member, with blocking sockets.
#ifndef PADDLESTILE_PEER_BLOCKING_CALL_H_
#define PADDLESTILE_PEER_BLOCKING_CALL_H_

#include <nlohmann/json.hpp>
#include <optional>

#include "base/address.h"
#include "base/time.h"

namespace paddlestile {

// Sends `call` to the member at `address` and waits for its reply. `timeout` limits each send and
// receive. Returns std::nullopt if the member cannot be reached, closes the connection or does not
// reply in time.
std::optional<nlohmann::json> CallMember(const Address& address, const nlohmann::json& call,
                                         Duration timeout);

// Returns the call that requests a member's status. The key is part of the wire protocol.
nlohmann::json StatusCall();

}  // namespace paddlestile

#endif  // PADDLESTILE_PEER_BLOCKING_CALL_H_
