#include "simulator/adapter.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <sstream>
#include <string>

namespace paddlestile::simulator {
namespace {

constexpr const char* kStart =
    "start 3 5 NInstances=2 Classes.count=1 Classes.0.Effect=safe Classes.0.Slo=400 "
    "Classes.0.Deadline=1000 Allowed.Probes=true Allowed.SendCap=3 Stats.Source=probe "
    "Stats.Fields=inflight,latency_ms Obligations.ColdFrom=0.3\n";
constexpr const char* kList = "roster 0 1\nhost - host.a 0 0 1 0 up\nannounce 3 warm_copy 1 0\n";

struct Result {
  int exit_code = 0;
  std::string out, err;
};

Result RunWithInput(const std::string& text) {
  std::istringstream in(text);
  std::ostringstream out, err;
  Result result;
  result.exit_code = RunAdapter(in, out, err);
  result.out = out.str();
  result.err = err.str();
  return result;
}

TEST(Adapter, RepliesToEachBatchAndEndsCleanly) {
  const Result result = RunWithInput(std::string("clock 1 1\neob\nclock 2 2\n") + kStart + kList +
                                     "submit 3 id-1 900 0 0 0 - - 0\neob\n");
  EXPECT_EQ(result.exit_code, 0);
  EXPECT_EQ(result.out.substr(0, 6), "end 1\n");
  EXPECT_NE(result.out.find("place 3 id-1 host.a"), std::string::npos);
  EXPECT_EQ(result.out.substr(result.out.size() - 6), "end 2\n");
  EXPECT_TRUE(result.err.empty());
}

TEST(Adapter, RetiredInstanceStartsWithoutState) {
  const Result result = RunWithInput(
      std::string("clock 2 1\n") + kStart + kList + "eob\nclock 3 2\nretire 3\n" + kStart +
      "roster 0 0\nannounce 3 warm_copy 1 0\n" + "submit 3 id-1 900 0 0 0 - - 0\neob\n");
  EXPECT_EQ(result.exit_code, 0);
  EXPECT_EQ(result.out.find("place"), std::string::npos);
}

TEST(Adapter, InvalidSettingsFailThatInstanceAlone) {
  const Result result = RunWithInput(std::string("clock 1 1\nstart 9 5 NInstances=0\n") + kStart +
                                     kList + "submit 3 id-1 900 0 0 0 - - 0\neob\n");
  EXPECT_EQ(result.exit_code, 0);
  EXPECT_NE(result.out.find("panic 9 setting out of range: NInstances"), std::string::npos);
  EXPECT_NE(result.out.find("place 3 id-1 host.a"), std::string::npos);
}

TEST(Adapter, MalformedInputIsOneLineAndANonZeroExit) {
  const Result result = RunWithInput("clock 1 1\nbogus 3\neob\n");
  EXPECT_EQ(result.exit_code, 1);
  EXPECT_NE(result.err.find("line 2"), std::string::npos);
  EXPECT_EQ(std::count(result.err.begin(), result.err.end(), '\n'), 1);
}

}  // namespace
}  // namespace paddlestile::simulator
