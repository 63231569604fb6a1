// Calls of an operator's command to a member of the cluster, with blocking sockets.
#ifndef PADDLESTILE_PEER_BLOCKING_CALL_H_
#define PADDLESTILE_PEER_BLOCKING_CALL_H_

#include <nlohmann/json.hpp>
#include <optional>

#include "base/address.h"
#include "base/time.h"

namespace paddlestile {

// Sends `call` to the member at `address` and waits for its reply. `timeout` bounds each send and
// receive. Nothing if the member cannot be reached, ends the connection or does not reply in time.
std::optional<nlohmann::json> CallMember(const Address& address, const nlohmann::json& call,
                                         Duration timeout);

// The call that asks a member for its status. The key is that of the wire.
nlohmann::json StatusCall();

}  // namespace paddlestile

#endif  // PADDLESTILE_PEER_BLOCKING_CALL_H_
