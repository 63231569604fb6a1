// Where the time of one round of the event loop goes. A long round is logged with it, so that a
// loop that works too long is told from a process that was stopped or got no processor.
#ifndef PADDLESTILE_EVENT_ROUND_TIME_H_
#define PADDLESTILE_EVENT_ROUND_TIME_H_

#include <array>
#include <cstddef>

#include "base/time.h"

namespace paddlestile {

enum class RoundStep {
  kTasks,  // urgent events, and tasks left by the round before
  kEvent,  // the handler of one descriptor
  kTimer   // one timer
};
inline constexpr size_t kRoundSteps = 3;

// Not thread-safe. All times are of one monotonic clock.
class RoundTime {
 public:
  void Start(Time now);
  // The step that began with the one before, or with the round, is over.
  void EndStep(RoundStep step, Time now);
  // Logs a round of 250 ms or more: its length, the processor time of this thread in it, and of
  // each kind of step the count, the sum and the longest.
  void LogIfLong(Time now) const;

 private:
  struct StepTime {
    size_t count = 0;
    Duration total{0}, longest{0};
  };
  Time started_at_{0}, step_started_at_{0};
  Duration cpu_at_start_{0};
  std::array<StepTime, kRoundSteps> steps_;
};

}  // namespace paddlestile

#endif  // PADDLESTILE_EVENT_ROUND_TIME_H_
