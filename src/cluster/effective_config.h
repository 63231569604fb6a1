// What a gateway may act on at a time: how far it knows the version in force. No I/O.
#ifndef PADDLESTILE_CLUSTER_EFFECTIVE_CONFIG_H_
#define PADDLESTILE_CLUSTER_EFFECTIVE_CONFIG_H_

#include <cstdint>

#include "raft/raft_node.h"

namespace paddlestile::cluster {

//   kind           lease  a later version is known  acts on
//   kAgreed        held   no                        the version in force
//   kInTransition  held   yes                       the stricter of both in each part
//   kIsolated      none   -                         what it last knew, with nothing retried
//
// A member whose content is not what was agreed is isolated even if it holds a lease.
struct EffectiveConfig {
  enum class Kind : uint8_t {
    kAgreed,
    kInTransition,
    kIsolated
  };
  Kind kind = Kind::kIsolated;
  uint64_t version_in_force = 0;  // 0: none, the platform's file alone
  uint64_t latest_version = 0;    // at least version_in_force
  Time valid_until{0};            // the lease's end, by the member's clock, unless it is renewed
  bool operator==(const EffectiveConfig&) const = default;
};

// Its name in operators' status and in the gateway's log line, where it must stay.
const char* StatusNameOf(EffectiveConfig::Kind kind);

// The longest that two gateways may act on versions that contradict each other: a lease that was
// granted at the last moment, and `detection_delay` until its holder notices that it has ended.
Duration MaxDisagreement(const raft::RaftTiming& timing, Duration detection_delay);

// How late a running process may notice the end of its lease.
inline constexpr Duration kDetectionDelay{250'000};  // us

}  // namespace paddlestile::cluster

#endif  // PADDLESTILE_CLUSTER_EFFECTIVE_CONFIG_H_
