// How upstream connections fare that are used again after an idle time. No I/O, no clock.
#ifndef PADDLESTILE_GATEWAY_CONNECTION_REUSE_STATISTICS_H_
#define PADDLESTILE_GATEWAY_CONNECTION_REUSE_STATISTICS_H_

#include <array>
#include <cstddef>

#include "base/time.h"

namespace paddlestile {

// A network element on the way may forget an idle connection and break it at its next request.
// Where too many of those that idled for about as long broke of late, others that old are not to be
// used.
class ConnectionReuseStatistics {
 public:
  // A connection that had idled for `idle_time` was used: `failed` where it broke before the first
  // byte of the response.
  void RecordReuse(Duration idle_time, bool failed, Time now);
  [[nodiscard]] bool IsTooOldToReuse(Duration idle_time, Time now);

 private:
  struct Bucket {
    double attempted = 0, failed = 0;  // connections, decayed
    Time updated_at{0};
  };
  // The bucket of an idle time, decayed to `now`.
  Bucket& DecayedBucket(Duration idle_time, Time now);

  std::array<Bucket, 16> buckets_;  // by the binary logarithm of the idle time in milliseconds
};

}  // namespace paddlestile

#endif  // PADDLESTILE_GATEWAY_CONNECTION_REUSE_STATISTICS_H_
