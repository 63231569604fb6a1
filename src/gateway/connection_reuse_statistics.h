// Failure statistics of reused upstream connections by idle time. No I/O, no clock.
#ifndef PADDLESTILE_GATEWAY_CONNECTION_REUSE_STATISTICS_H_
#define PADDLESTILE_GATEWAY_CONNECTION_REUSE_STATISTICS_H_

#include <array>
#include <cstddef>

#include "base/time.h"

namespace paddlestile {

// A network element on the path may drop the state of an idle connection, so that the next request
// on it fails. If too many connections that were idle for about the same time have failed recently,
// connections with such an idle time should not be reused.
class ConnectionReuseStatistics {
 public:
  // Records that a connection was reused after `idle_time`. `failed`: it broke before the first
  // byte of the response.
  void RecordReuse(Duration idle_time, bool failed, Time now);
  // Whether connections with this idle time fail too often to be reused.
  [[nodiscard]] bool IsTooOldToReuse(Duration idle_time, Time now);

 private:
  struct Bucket {
    double reuses = 0, failed = 0;  // reuses, exponentially decayed
    Time updated_at{0};
  };
  // Returns the bucket for `idle_time`, decayed to `now`.
  Bucket& DecayedBucket(Duration idle_time, Time now);

  std::array<Bucket, 16> buckets_;  // by log2 of the idle time in milliseconds
};

}  // namespace paddlestile

#endif  // PADDLESTILE_GATEWAY_CONNECTION_REUSE_STATISTICS_H_
