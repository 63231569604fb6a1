// What the processes of gateways had of the processors: tells a process that stood by itself, or
// had nothing to do, from one that waited for a processor or was stopped, and from a processor that
// the host of a virtual machine took away. From the kernel's accounts under /proc.
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

// Between two samples of a process.
inline constexpr Duration kProcessorSampleInterval{50'000};

class ProcessorTime {
 public:
  // To be called for each process that lives, at that interval. `name`: that of its line.
  void Sample(Time now, std::string_view name, pid_t pid);
  // To be called at that interval, with the text of /proc/stat.
  void SampleMachine(Time now, std::istream& stat);
  // A line for each process sampled of late: over the last seconds, its time on a processor, the
  // time that it waited for one, the most of both in one sample, and the longest time with neither.
  // Then one for the machine: the most that its host took from one processor in one sample. The
  // process on that processor stands meanwhile, and by the kernel's account runs.
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
  std::vector<int64_t> stolen_ticks_;  // by processor, at the last sample
  std::deque<Steal> recent_steals_;
};

}  // namespace paddlestile::lab

#endif  // PADDLESTILE_LAB_PROCESSOR_TIME_H_
