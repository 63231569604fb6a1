// The description of processor times that accompanies a breach.
#include "lab/processor_time.h"

#include <gtest/gtest.h>
#include <unistd.h>

#include <sstream>
#include <string>

namespace paddlestile::lab {
namespace {

// /proc/stat with this many ticks of steal time on the second processor.
std::string StatWithStolen(int64_t ticks) {
  return "cpu  9 0 9 9 9 9 9 " + std::to_string(ticks) + " 0 0\ncpu0 9 0 9 9 9 9 9 0 0 0\n" +
         "cpu1 9 0 9 9 9 9 9 " + std::to_string(ticks) + " 0 0\nintr 5 0\n";
}

TEST(ProcessorTime, ReportsTheProcessorWithStealTime) {
  ProcessorTime processor_time;
  EXPECT_EQ(processor_time.Describe(), "machine: the hypervisor took no processor time\n");
  const int64_t ticks_per_second = sysconf(_SC_CLK_TCK);
  const auto sample = [&](int64_t at_ms, int64_t stolen_ticks) {
    std::istringstream stat(StatWithStolen(stolen_ticks));
    processor_time.SampleMachine(Duration(at_ms * 1000), stat);
  };
  sample(100, ticks_per_second);
  EXPECT_EQ(processor_time.Describe(), "machine: the hypervisor took no processor time\n");
  sample(150, ticks_per_second + ticks_per_second / 2);
  sample(200, ticks_per_second + ticks_per_second / 2 + 1);
  EXPECT_EQ(
      processor_time.Describe(),
      "machine: the hypervisor took processor 1 away for 500 ms in one sample, until 0.150 s\n");
  constexpr int64_t kLongAfterMs = 5000;
  sample(kLongAfterMs, ticks_per_second + ticks_per_second / 2 + 1);
  EXPECT_EQ(processor_time.Describe(), "machine: the hypervisor took no processor time\n");
}

}  // namespace
}  // namespace paddlestile::lab
