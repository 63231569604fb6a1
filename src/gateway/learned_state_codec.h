// Encodes the learned state of the load balancer as text (JSON) that the old process of a hot
// restart sends to the new one. Classes, machine kinds and endpoints are identified by name or id,
// and points in time are written as ages. Processes of other versions read the text, so its keys
// must not change. Does no I/O.
#ifndef PADDLESTILE_GATEWAY_LEARNED_STATE_CODEC_H_
#define PADDLESTILE_GATEWAY_LEARNED_STATE_CODEC_H_

#include <cstddef>
#include <optional>
#include <string>

#include "balancer/learned_state.h"
#include "config/gateway_config.h"

namespace paddlestile {

constexpr size_t kMaxLearnedStateBytes = 8U << 20;  // enough for some ten thousand endpoints

// Returns an empty string if the text would be longer than kMaxLearnedStateBytes.
std::string EncodeLearnedState(const LearnedState& learned, const NameTables& names, Time now);

// Returns nullopt if the text is malformed or of another format version. Classes and kinds that are
// not in `names` are ignored; classes and kinds that the text lacks have default values.
std::optional<LearnedState> DecodeLearnedState(const std::string& text, const NameTables& names,
                                               Time now);

}  // namespace paddlestile

#endif  // PADDLESTILE_GATEWAY_LEARNED_STATE_CODEC_H_
