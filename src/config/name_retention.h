// Keeps the positions of names when the settings of a running gateway change.
//
// The decision module and the requests in flight refer to classes, tenants, zones and kinds by
// position. New settings are therefore rearranged to the positions in use: a name in both settings
// keeps its position, and a new name gets the position after the last. A name that is no longer in
// the settings is retired: it keeps its position and its last values, and is accepted for a while.
#ifndef PADDLESTILE_CONFIG_NAME_RETENTION_H_
#define PADDLESTILE_CONFIG_NAME_RETENTION_H_

#include <cstddef>
#include <string_view>

#include "config/gateway_config.h"

namespace paddlestile {

// How long a retired name is accepted, which is long enough for requests already on their way.
inline constexpr Duration kRetiredNameAcceptedFor{1'000'000};  // us

// Rearranges the newly parsed `config` to the positions of `previous`. Throws ConfigError if too
// many names would be retired.
void KeepNamePositions(const GatewayConfig& previous, Time now, GatewayConfig& config);

// Throws ConfigError if names are added (`grows`) while more than the permitted number of names are
// retired, since a retired name uses memory until a restart. `list_name` is used in the error.
void CheckRetiredNames(std::string_view list_name, bool grows, ptrdiff_t retired);

}  // namespace paddlestile

#endif  // PADDLESTILE_CONFIG_NAME_RETENTION_H_
