#include "event/round_time.h"

#include <algorithm>
#include <chrono>
#include <ctime>
#include <utility>

#include "base/log.h"

namespace paddlestile {
namespace {

constexpr Duration kLongRound = std::chrono::milliseconds(250);

// Returns the CPU time used by this thread.
Duration ThreadCpuTime() {
  timespec time{};
  clock_gettime(CLOCK_THREAD_CPUTIME_ID, &time);
  return std::chrono::duration_cast<Duration>(std::chrono::seconds(time.tv_sec) +
                                              std::chrono::nanoseconds(time.tv_nsec));
}

double Millis(Duration duration) {
  return std::chrono::duration<double, std::milli>(duration).count();
}

}  // namespace

void RoundTime::Start(Time now) {
  started_at_ = step_started_at_ = now;
  cpu_at_start_ = ThreadCpuTime();
  steps_ = {};
}

void RoundTime::EndStep(RoundStep step, Time now) {
  const Duration took = now - std::exchange(step_started_at_, now);
  StepTime& time = steps_[static_cast<size_t>(step)];
  ++time.count;
  time.total += took;
  time.longest = std::max(time.longest, took);
}

void RoundTime::LogIfLong(Time now) const {
  if (now - started_at_ < kLongRound) {
    return;
  }
  const auto describe = [this](RoundStep step) {
    const StepTime& time = steps_[static_cast<size_t>(step)];
    return fmt::format("{} in {:.0f} ms, longest {:.0f} ms", time.count, Millis(time.total),
                       Millis(time.longest));
  };
  Log(LogLevel::kWarning,
      "event loop: a round of {:.0f} ms, {:.0f} ms of CPU time; tasks: {}; events: {}; timers: {}",
      Millis(now - started_at_), Millis(ThreadCpuTime() - cpu_at_start_),
      describe(RoundStep::kTasks), describe(RoundStep::kEvent), describe(RoundStep::kTimer));
}

}  // namespace paddlestile
