// Names that keep their positions when the settings change under a running gateway.
//
// The decision module and the requests in flight know classes, tenants, zones and kinds by
// position. New settings are therefore rearranged to the positions in force: a name that stays
// keeps its position, a new name comes behind the last, and a name that is no longer in the
// settings is retired: it keeps its position and its last values, and is accepted for a while.
#ifndef PADDLESTILE_CONFIG_NAME_RETENTION_H_
#define PADDLESTILE_CONFIG_NAME_RETENTION_H_

#include <cstddef>
#include <string_view>

#include "config/gateway_config.h"

namespace paddlestile {

// How long a retired name is accepted: long enough for the requests that were on their way.
inline constexpr Duration kRetiredNameAcceptedFor{1'000'000};  // us

// Rearranges `config`, as it was parsed, to the positions of `previous`. Throws ConfigError where
// too many names would be retired.
void KeepNamePositions(const GatewayConfig& previous, Time now, GatewayConfig& config);

// Throws ConfigError where new names come (`grows`) while more than the permitted number of names
// are retired: each of them takes room until a restart. `what` names the list in the error.
void CheckRetiredNames(std::string_view what, bool grows, ptrdiff_t retired);

}  // namespace paddlestile

#endif  // PADDLESTILE_CONFIG_NAME_RETENTION_H_
