// The learned state of the load balancer as text that one process hands another in a hot restart:
// JSON, by names and ids, points in time as ages. The keys are an outside format, read by processes
// of other versions. No I/O.
#ifndef PADDLESTILE_GATEWAY_LEARNED_STATE_CODEC_H_
#define PADDLESTILE_GATEWAY_LEARNED_STATE_CODEC_H_

#include <cstddef>
#include <optional>
#include <string>

#include "balancer/learned_state.h"
#include "config/gateway_config.h"

namespace paddlestile {

constexpr size_t kMaxLearnedStateBytes = 8U << 20;  // enough for some ten thousand endpoints

// Empty where the text would be longer than kMaxLearnedStateBytes.
std::string EncodeLearnedState(const LearnedState& learned, const NameTables& names, Time now);

// Nothing where the text is malformed or of another version. Classes and kinds that `names` lacks
// are left out; entries that the text lacks are empty.
std::optional<LearnedState> DecodeLearnedState(const std::string& text, const NameTables& names,
                                               Time now);

}  // namespace paddlestile

#endif  // PADDLESTILE_GATEWAY_LEARNED_STATE_CODEC_H_
