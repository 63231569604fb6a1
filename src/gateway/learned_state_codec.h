// What a module has learned, as a text that one process hands another: JSON, by names and ids,
// times as ages. What was handed by a process of another version, or broken on the way, is told as
// that.
#ifndef PADDLESTILE_GATEWAY_LEARNED_STATE_CODEC_H_
#define PADDLESTILE_GATEWAY_LEARNED_STATE_CODEC_H_

#include <cstddef>
#include <optional>
#include <string>

#include "balancer/learned_state.h"
#include "config/gateway_config.h"

namespace paddlestile {

constexpr size_t kMaxLearnedStateBytes = 8U << 20;  // bytes; some ten thousand hosts

// Empty where it would be longer than that.
std::string EncodeLearnedState(const LearnedState& learned, const NameTables& names, Time now);

// Nothing where any of it makes no sense. Classes and kinds that `names` lacks are left out.
std::optional<LearnedState> DecodeLearnedState(const std::string& text, const NameTables& names,
                                               Time now);

}  // namespace paddlestile

#endif  // PADDLESTILE_GATEWAY_LEARNED_STATE_CODEC_H_
