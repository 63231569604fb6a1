#include "gateway/connection_reuse_statistics.h"

#include <algorithm>
#include <bit>
#include <cmath>
#include <cstdint>

namespace paddlestile {
namespace {

constexpr double kMaxFailedShare = 0.2;  // of the attempted reuses
constexpr double kMinReuses = 5;         // decayed count of reuses; below it the share is ignored
constexpr double kDecayTimeUs = 5e6;

}  // namespace

ConnectionReuseStatistics::Bucket& ConnectionReuseStatistics::DecayedBucket(Duration idle_time,
                                                                            Time now) {
  const auto idle_ms = static_cast<uint64_t>(std::max<int64_t>(idle_time.count() / 1000, 0));
  Bucket& bucket = buckets_[std::min<size_t>(std::bit_width(idle_ms), buckets_.size() - 1)];
  const auto elapsed_us = static_cast<double>((now - bucket.updated_at).count());
  const double remaining = std::exp(-elapsed_us / kDecayTimeUs);
  bucket.reuses *= remaining;
  bucket.failed *= remaining;
  bucket.updated_at = now;
  return bucket;
}

void ConnectionReuseStatistics::RecordReuse(Duration idle_time, bool failed, Time now) {
  Bucket& bucket = DecayedBucket(idle_time, now);
  bucket.reuses += 1;
  bucket.failed += failed ? 1 : 0;
}

bool ConnectionReuseStatistics::IsTooOldToReuse(Duration idle_time, Time now) {
  const Bucket& bucket = DecayedBucket(idle_time, now);
  return bucket.reuses >= kMinReuses && bucket.failed > kMaxFailedShare * bucket.reuses;
}

}  // namespace paddlestile
