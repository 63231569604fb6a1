#include "lab/processor_time.h"

#include <fmt/format.h>

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <fstream>

namespace paddlestile::lab {
namespace {

constexpr Duration kKept{4'000'000};  // beyond the longest deadline and its slack

double Millis(Duration duration) {
  return std::chrono::duration<double, std::milli>(duration).count();
}

}  // namespace

void ProcessorTime::Sample(Time now, std::string_view name, pid_t pid) {
  // Of the main thread, which has the event loop: ns on a processor, ns in the run queue.
  std::ifstream file(fmt::format("/proc/{}/schedstat", pid));
  int64_t ran_ns = 0, waited_ns = 0;
  if (!(file >> ran_ns >> waited_ns)) {
    return;
  }
  const Duration ran = std::chrono::duration_cast<Duration>(std::chrono::nanoseconds(ran_ns));
  const Duration waited = std::chrono::duration_cast<Duration>(std::chrono::nanoseconds(waited_ns));
  Account& account = accounts_[pid];
  if (!account.name.empty()) {
    account.recent.push_back(
        {now, now - account.sampled_at, ran - account.ran, waited - account.waited});
  }
  account.name = name;
  account.sampled_at = now;
  account.ran = ran;
  account.waited = waited;
  while (!account.recent.empty() && account.recent.front().to < now - kKept) {
    account.recent.pop_front();
  }
}

std::string ProcessorTime::Describe(const Account& account) {
  Duration length{0}, ran{0}, waited{0}, most_ran{0}, most_waited{0}, idle{0}, most_idle{0};
  Time idle_until{0};
  for (const Interval& interval : account.recent) {
    length += interval.length;
    ran += interval.ran;
    waited += interval.waited;
    most_ran = std::max(most_ran, interval.ran);
    most_waited = std::max(most_waited, interval.waited);
    const bool is_idle = interval.ran == Duration(0) && interval.waited == Duration(0);
    idle = is_idle ? idle + interval.length : Duration(0);
    if (idle > most_idle) {
      most_idle = idle;
      idle_until = interval.to;
    }
  }
  return fmt::format(
      "{}: in the last {:.0f} ms {:.0f} ms on a processor ({:.0f} at most in one sample), {:.0f} "
      "ms "
      "waiting for one ({:.0f} at most); neither for {:.0f} ms until {:.3f} s\n",
      account.name, Millis(length), Millis(ran), Millis(most_ran), Millis(waited),
      Millis(most_waited), Millis(most_idle), std::chrono::duration<double>(idle_until).count());
}

std::string ProcessorTime::Describe() const {
  Time newest{0};
  for (const auto& [pid, account] : accounts_) {
    newest = std::max(newest, account.sampled_at);
  }
  std::string text;
  for (const auto& [pid, account] : accounts_) {
    if (account.sampled_at + kKept >= newest) {
      text += Describe(account);
    }
  }
  return text;
}

}  // namespace paddlestile::lab
