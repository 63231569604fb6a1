// The configuration that a gateway may currently act on, depending on its lease and on the versions
// that it knows. No I/O.
#ifndef PADDLESTILE_CLUSTER_EFFECTIVE_CONFIG_H_
#define PADDLESTILE_CLUSTER_EFFECTIVE_CONFIG_H_

#include <cstdint>

#include "raft/raft_node.h"

namespace paddlestile::cluster {

// The configuration that a gateway acts on:
//
//   kind           lease  knows a later version  acts on
//   kAgreed        held   no                     the version in force
//   kInTransition  held   yes                    the strictest of these versions in each part
//   kIsolated      none   -                      what it last knew, without retrying any request
//
// A member whose content differs from the agreed content is isolated even if it holds a lease.
struct EffectiveConfig {
  enum class Kind : uint8_t {
    kAgreed,
    kInTransition,
    kIsolated
  };
  Kind kind = Kind::kIsolated;
  uint64_t version_in_force = 0;  // 0: none; only the platform's file applies
  uint64_t latest_version = 0;    // at least version_in_force
  Time valid_until{0};            // end of the lease by the member's clock, unless it is renewed
  bool operator==(const EffectiveConfig&) const = default;
};

// Returns the name of `kind` in the operators' status and in the gateway's log, where it must not
// change.
const char* StatusNameOf(EffectiveConfig::Kind kind);

// Returns the longest time for which two gateways may act on contradicting versions: a lease that
// was granted at the last moment, plus `detection_delay` until its holder detects that it has
// expired.
Duration MaxDisagreement(const raft::RaftTiming& timing, Duration detection_delay);

// How long after the end of its lease a running process may detect it.
inline constexpr Duration kDetectionDelay{250'000};

}  // namespace paddlestile::cluster

#endif  // PADDLESTILE_CLUSTER_EFFECTIVE_CONFIG_H_
