// One call of an operator's command to a member of the cluster, with blocking sockets.
#ifndef PADDLESTILE_PEER_BLOCKING_CALL_H_
#define PADDLESTILE_PEER_BLOCKING_CALL_H_

#include <nlohmann/json.hpp>
#include <optional>

#include "base/address.h"
#include "base/time.h"

namespace paddlestile {

// One call to the member at `at`, waited for: its answer, or nothing where none came in time.
std::optional<nlohmann::json> CallMember(const Address& at, const nlohmann::json& call,
                                         Duration within);

// The call that asks a member for its state.
nlohmann::json StatusCall();

}  // namespace paddlestile

#endif  // PADDLESTILE_PEER_BLOCKING_CALL_H_
