#include "lab/processor_time.h"

#include <fmt/format.h>
#include <unistd.h>

#include <algorithm>
#include <chrono>
#include <fstream>
#include <sstream>

namespace paddlestile::lab {
namespace {

constexpr Duration kHistoryLength{4'000'000};  // longer than the longest deadline and its tolerance
constexpr int64_t kMicrosecondsPerSecond = 1'000'000;

double Millis(Duration duration) {
  return std::chrono::duration<double, std::milli>(duration).count();
}

// The steal time of each processor so far, in clock ticks, from /proc/stat.
std::vector<int64_t> StolenTicks(std::istream& stat) {
  std::vector<int64_t> stolen;
  for (std::string line; std::getline(stat, line);) {
    // cpu3 user nice system idle iowait irq softirq steal ...
    std::istringstream fields(line);
    std::string name;
    int64_t user = 0, nice = 0, system = 0, idle = 0, iowait = 0, irq = 0, softirq = 0, steal = 0;
    fields >> name >> user >> nice >> system >> idle >> iowait >> irq >> softirq >> steal;
    const bool is_one_processor = name.starts_with("cpu") && name != "cpu";
    if (fields && is_one_processor) {
      stolen.push_back(steal);
    }
  }
  return stolen;
}

}  // namespace

void ProcessorTime::SampleMachine(Time now, std::istream& stat) {
  const int64_t ticks_per_second = sysconf(_SC_CLK_TCK);
  const std::vector<int64_t> stolen_ticks = StolenTicks(stat);
  for (size_t i = 0; i < std::min(stolen_ticks.size(), stolen_ticks_.size()); ++i) {
    const int64_t ticks = stolen_ticks[i] - stolen_ticks_[i];
    if (ticks > 0) {
      recent_steals_.push_back(
          {now, i, Duration(ticks * kMicrosecondsPerSecond / ticks_per_second)});
    }
  }
  stolen_ticks_ = stolen_ticks;
  while (!recent_steals_.empty() && recent_steals_.front().to < now - kHistoryLength) {
    recent_steals_.pop_front();
  }
}

std::string ProcessorTime::DescribeMachine() const {
  const auto longest = std::ranges::max_element(recent_steals_, {}, &Steal::taken);
  if (longest == recent_steals_.end()) {
    return "machine: the hypervisor took no processor time\n";
  }
  return fmt::format(
      "machine: the hypervisor took processor {} away for {:.0f} ms in one sample, until {:.3f} "
      "s\n",
      longest->processor, Millis(longest->taken),
      std::chrono::duration<double>(longest->to).count());
}

void ProcessorTime::Sample(Time now, std::string_view name, pid_t pid) {
  // Of the main thread, which runs the event loop: ns on a processor, ns in the run queue.
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
  while (!account.recent.empty() && account.recent.front().to < now - kHistoryLength) {
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
    if (account.sampled_at + kHistoryLength >= newest) {
      text += Describe(account);
    }
  }
  return text + DescribeMachine();
}

}  // namespace paddlestile::lab
