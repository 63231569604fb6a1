// Measures the arrival rate of a request body and detects uploads that are too slow. No I/O, no
// clock.
#ifndef PADDLESTILE_GATEWAY_UPLOAD_PROGRESS_H_
#define PADDLESTILE_GATEWAY_UPLOAD_PROGRESS_H_

#include <algorithm>
#include <chrono>
#include <cstddef>

#include "base/time.h"

namespace paddlestile {

class UploadProgress {
 public:
  // Prepares for the body of the next request. Keeps the time of the last byte.
  void Reset() {
    started_at_ = Time(0);
    received_bytes_ = 0;
  }

  [[nodiscard]] bool started() const { return started_at_ != Time(0); }
  // Starts measuring, when the request head is complete.
  void Start(Time now) { started_at_ = now; }

  // Sets the total number of body bytes received so far.
  void SetReceived(size_t total_bytes, Time now) {
    if (total_bytes > received_bytes_) {
      last_byte_at_ = now;
    }
    received_bytes_ = std::max(received_bytes_, total_bytes);
  }
  // Adds to the number of body bytes received.
  void AddReceived(size_t bytes, Time now) {
    received_bytes_ += bytes;
    if (bytes > 0) {
      last_byte_at_ = now;
    }
  }

  // Excludes the time up to `now` from the measurement, because the client is waiting for the
  // gateway to forward what it has already received.
  void ExcludeGatewayDelay(Time now) {
    last_byte_at_ = now;
    started_at_ = std::max(started_at_, now - kGracePeriod);
  }

  // Whether the average rate is below the minimum, or the client has paused for longer than the
  // grace period.
  [[nodiscard]] bool IsTooSlow(Time now) const {
    const Duration measured_time = now - started_at_ - kGracePeriod;
    const double expected_bytes =
        kMinBytesPerSecond * static_cast<double>(measured_time.count()) / 1e6;
    return static_cast<double>(received_bytes_) < expected_bytes ||
           now - last_byte_at_ > kGracePeriod;
  }

 private:
  // A quarter of the rate of the slowest clients that must be served.
  static constexpr double kMinBytesPerSecond = 16'000;
  // Time before the rate is checked; also the longest permitted pause.
  static constexpr Duration kGracePeriod = std::chrono::seconds(1);

  Time started_at_{0};  // 0: no body has started
  Time last_byte_at_{0};
  size_t received_bytes_ = 0;  // of the current body
};

}  // namespace paddlestile

#endif  // PADDLESTILE_GATEWAY_UPLOAD_PROGRESS_H_
