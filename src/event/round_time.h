// Records how the time of one round of the event loop is spent. Long rounds are logged with these
// figures, to distinguish a loop that does too much work from a process that was stopped or did not
// get a CPU.
#ifndef PADDLESTILE_EVENT_ROUND_TIME_H_
#define PADDLESTILE_EVENT_ROUND_TIME_H_

#include <array>
#include <cstddef>

#include "base/time.h"

namespace paddlestile {

enum class RoundStep {
  kTasks,  // urgent events, and tasks left from the previous round
  kEvent,  // the handler of one descriptor
  kTimer   // one timer
};
inline constexpr size_t kRoundSteps = 3;

// Not thread-safe. All times must be from the same monotonic clock.
class RoundTime {
 public:
  void Start(Time now);
  // Ends a step, which started when the previous step ended or the round started.
  void EndStep(RoundStep step, Time now);
  // Logs a round of 250 ms or more: its duration, the CPU time of this thread, and the count, total
  // and longest time of each kind of step.
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
