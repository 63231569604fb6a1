// How fast the body of a request arrives, and whether that is too slow. No I/O, no clock.
#ifndef PADDLESTILE_GATEWAY_UPLOAD_PROGRESS_H_
#define PADDLESTILE_GATEWAY_UPLOAD_PROGRESS_H_

#include <algorithm>
#include <chrono>
#include <cstddef>

#include "base/time.h"

namespace paddlestile {

class UploadProgress {
 public:
  // Before the body of the next request. The time of the last byte stays.
  void Reset() {
    started_at_ = Time(0);
    received_bytes_ = 0;
  }

  [[nodiscard]] bool started() const { return started_at_ != Time(0); }
  // The head is complete.
  void Start(Time now) { started_at_ = now; }

  // So many bytes of the body have come in all.
  void SetReceived(size_t total_bytes, Time now) {
    if (total_bytes > received_bytes_) {
      last_byte_at_ = now;
    }
    received_bytes_ = std::max(received_bytes_, total_bytes);
  }
  void AddReceived(size_t bytes, Time now) {
    received_bytes_ += bytes;
    if (bytes > 0) {
      last_byte_at_ = now;
    }
  }

  // The client waits for the gateway, which has not passed on yet what came: no fault of its own.
  void ExcuseUntil(Time now) {
    last_byte_at_ = now;
    started_at_ = std::max(started_at_, now - kGrace);
  }

  // Below the minimum rate since the start, or paused for longer than the grace time.
  [[nodiscard]] bool IsTooSlow(Time now) const {
    const Duration measured = now - started_at_ - kGrace;
    const double due_bytes = kMinBytesPerSecond * static_cast<double>(measured.count()) / 1e6;
    return static_cast<double>(received_bytes_) < due_bytes || now - last_byte_at_ > kGrace;
  }

 private:
  // The slowest clients that are to be served send four times as much.
  static constexpr double kMinBytesPerSecond = 16'000;
  // Before the rate counts; also the longest pause.
  static constexpr Duration kGrace = std::chrono::seconds(1);

  Time started_at_{0};  // 0: no body has begun
  Time last_byte_at_{0};
  size_t received_bytes_ = 0;  // of the body
};

}  // namespace paddlestile

#endif  // PADDLESTILE_GATEWAY_UPLOAD_PROGRESS_H_
