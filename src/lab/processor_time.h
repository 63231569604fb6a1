// Records the processor time of gateway processes from /proc. Distinguishes a process that was idle
// from one that waited for a processor or was stopped, and from one whose processor was taken by
// the hypervisor (steal time).
#ifndef PADDLESTILE_LAB_PROCESSOR_TIME_H_
#define PADDLESTILE_LAB_PROCESSOR_TIME_H_

#include <sys/types.h>

#include <cstdint>
#include <deque>
#include <istream>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "base/time.h"

namespace paddlestile::lab {

// The interval between samples of a process.
inline constexpr Duration kProcessorSampleInterval{50'000};

class ProcessorTime {
 public:
  // Samples a process. Call it for each running process once per interval. `name` identifies the
  // process in Describe.
  void Sample(Time now, std::string_view name, pid_t pid);
  // Samples the steal time. Call it once per interval, with the content of /proc/stat.
  void SampleMachine(Time now, std::istream& stat);
  // One line per recently sampled process: its time on a processor and its time waiting for one
  // over the last seconds, the maximum of each in one sample, and the longest time with neither.
  // Then a line for the machine: the largest steal time of a processor in one sample. A process on
  // that processor makes no progress, although the kernel counts it as running.
  [[nodiscard]] std::string Describe() const;

 private:
  struct Interval {
    Time to{0};
    Duration length{0}, ran{0}, waited{0};
  };
  struct Account {
    std::string name;
    Time sampled_at{0};
    Duration ran{0}, waited{0};
    std::deque<Interval> recent;
  };
  struct Steal {
    Time to{0};
    size_t processor = 0;
    Duration taken{0};
  };
  static std::string Describe(const Account& account);
  [[nodiscard]] std::string DescribeMachine() const;

  std::map<pid_t, Account> accounts_;
  std::vector<int64_t> stolen_ticks_;  // by processor; at the last sample
  std::deque<Steal> recent_steals_;
};

}  // namespace paddlestile::lab

#endif  // PADDLESTILE_LAB_PROCESSOR_TIME_H_
