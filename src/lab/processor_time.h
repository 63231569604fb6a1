// What the processes of gateways had of the processors: tells a process that stood by itself, or
// had nothing to do, from one that waited for a processor or was stopped. From the kernel's
// accounts under /proc.
#ifndef PADDLESTILE_LAB_PROCESSOR_TIME_H_
#define PADDLESTILE_LAB_PROCESSOR_TIME_H_

#include <sys/types.h>

#include <deque>
#include <map>
#include <string>
#include <string_view>

#include "base/time.h"

namespace paddlestile::lab {

// Between two samples of a process.
inline constexpr Duration kProcessorSampleInterval{50'000};

class ProcessorTime {
 public:
  // To be called for each process that lives, at that interval. `name`: that of its line.
  void Sample(Time now, std::string_view name, pid_t pid);
  // A line for each process sampled of late: over the last seconds, its time on a processor, the
  // time that it waited for one, the most of both in one sample, and the longest time with neither.
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
  static std::string Describe(const Account& account);

  std::map<pid_t, Account> accounts_;
};

}  // namespace paddlestile::lab

#endif  // PADDLESTILE_LAB_PROCESSOR_TIME_H_
