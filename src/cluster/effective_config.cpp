#include "cluster/effective_config.h"

namespace paddlestile::cluster {

const char* StatusNameOf(EffectiveConfig::Kind kind) {
  switch (kind) {
    case EffectiveConfig::Kind::kAgreed:
      return "agreed";
    case EffectiveConfig::Kind::kInTransition:
      return "between";
    case EffectiveConfig::Kind::kIsolated:
      break;
  }
  return "alone";
}

Duration MaxDisagreement(const raft::RaftTiming& timing, Duration detection_delay) {
  return raft::LeaseWaitDuration(timing) + detection_delay;
}

}  // namespace paddlestile::cluster
