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
  int code = 0;
  std::string out, err;
};

Result Drive(const std::string& text) {
  std::istringstream in(text);
  std::ostringstream out, err;
  Result result;
  result.code = RunAdapter(in, out, err);
  result.out = out.str();
  result.err = err.str();
  return result;
}

TEST(Host, AnswersEachBatchAndEndsCleanly) {
  const Result r = Drive(std::string("clock 1 1\neob\nclock 2 2\n") + kStart + kList +
                         "submit 3 id-1 900 0 0 0 - - 0\neob\n");
  EXPECT_EQ(r.code, 0);
  EXPECT_EQ(r.out.substr(0, 6), "end 1\n");
  EXPECT_NE(r.out.find("place 3 id-1 host.a"), std::string::npos);
  EXPECT_EQ(r.out.substr(r.out.size() - 6), "end 2\n");
  EXPECT_TRUE(r.err.empty());
}

TEST(Host, ARetiredInstanceKnowsNothingWhenItStartsAgain) {
  const Result r =
      Drive(std::string("clock 2 1\n") + kStart + kList + "eob\nclock 3 2\nretire 3\n" + kStart +
            "roster 0 0\nannounce 3 warm_copy 1 0\n" + "submit 3 id-1 900 0 0 0 - - 0\neob\n");
  EXPECT_EQ(r.code, 0);
  EXPECT_EQ(r.out.find("place"), std::string::npos);
}

TEST(Host, BadSettingsArePanicForThatInstanceAlone) {
  const Result r = Drive(std::string("clock 1 1\nstart 9 5 NInstances=0\n") + kStart + kList +
                         "submit 3 id-1 900 0 0 0 - - 0\neob\n");
  EXPECT_EQ(r.code, 0);
  EXPECT_NE(r.out.find("panic 9 setting out of range: NInstances"), std::string::npos);
  EXPECT_NE(r.out.find("place 3 id-1 host.a"), std::string::npos);
}

TEST(Host, MalformedInputIsOneLineAndANonZeroExit) {
  const Result r = Drive("clock 1 1\nbogus 3\neob\n");
  EXPECT_EQ(r.code, 1);
  EXPECT_NE(r.err.find("line 2"), std::string::npos);
  EXPECT_EQ(std::count(r.err.begin(), r.err.end(), '\n'), 1);
}

}  // namespace
}  // namespace paddlestile::simulator
