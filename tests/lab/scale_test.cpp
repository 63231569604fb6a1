// Runs at size: the judge of hollow members' lines, what is refused before anything is played, and
// one small bank, hollow and real, from outside.
#include "lab/scale.h"

#include <gtest/gtest.h>
#include <sys/wait.h>
#include <unistd.h>

#include <array>
#include <cstdio>
#include <filesystem>
#include <fstream>
#include <nlohmann/json.hpp>
#include <string>
#include <tuple>
#include <vector>

#include "lab/scale_figures.h"
#include "lab/simulated_member.h"

namespace paddlestile::lab {
namespace {

using nlohmann::json;
using What = SimulatedMemberRecord::State;

Duration Ms(int64_t ms) {
  return Duration(ms * 1000);
}

// ---- The judge ----------------------------------------------------------------------------------

struct HollowJudge : ::testing::Test {
  std::vector<SimulatedMemberRecord> lines;
  std::vector<ToldChange> changes;
  HollowTerms terms{.hollow = 1,
                    .faults = Ms(50'000),
                    .end = Ms(60'000),
                    .bound = Ms(1270),
                    .stalled_from = 0,
                    .stalled_to = 0,
                    .stalled = Ms(400)};
  ScaleFigures figures;

  void Line(int64_t ms, size_t member, What what, uint64_t on = 0, uint64_t latest = 0) {
    lines.push_back({Ms(ms), member, what, on, latest});
  }
  void Judge() { JudgeHollow(lines, changes, terms, figures); }
  [[nodiscard]] bool Says(const std::string& term) const {
    for (const std::string& line : figures.broken) {
      if (line.starts_with("scale: " + term)) {
        return true;
      }
    }
    return false;
  }
};

TEST_F(HollowJudge, SaysWhoActedOnWhatWhen) {
  terms.hollow = 2;
  changes = {{Ms(1000), Ms(1100), 1}, {Ms(2000), Ms(2100), 2}};
  for (const size_t m : {0, 1}) {
    Line(500, m, What::kUp);
    Line(600, m, What::kAgreed);
    Line(1040, m, What::kBetween, 0, 1);
    Line(1080 + 100 * static_cast<int64_t>(m), m, What::kAgreed, 1, 1);
    Line(2080, m, What::kAgreed, 2, 2);
  }
  Judge();
  EXPECT_TRUE(figures.broken.empty()) << figures.broken.front();
  EXPECT_EQ(figures.members_in_force, 2U);
  EXPECT_DOUBLE_EQ(figures.in_force_ms_most, 180);
  EXPECT_DOUBLE_EQ(figures.contradiction_ms_most, 0);  // between both it acts on neither alone
  EXPECT_EQ(figures.returned, 0U);
}

// The trouble: a member that is not level counts in a mean and is missed.
TEST_F(HollowJudge, AMemberThatStaysBehindIsNamed) {
  changes = {{Ms(1000), Ms(1100), 1}};
  Line(500, 0, What::kUp);
  Line(600, 0, What::kAgreed);
  terms.end = Ms(1200);
  Judge();
  EXPECT_TRUE(Says("level"));
  EXPECT_EQ(figures.members_in_force, 0U);
}

TEST_F(HollowJudge, AMemberThatIsGoneAtTheEndIsNamed) {
  Line(500, 0, What::kUp);
  Line(600, 0, What::kAgreed);
  Line(700, 0, What::kDown);
  Judge();
  EXPECT_TRUE(Says("level"));
}

// The trouble: one that acts on a version beside others that act on the next breaks the bound, and
// the leader, which has no word of it, believes all is well.
TEST_F(HollowJudge, ActingOnPastTheBoundIsAContradiction) {
  for (const auto& [until, stalled, broken] :
       {std::tuple(2300, false, false), std::tuple(2400, false, true),
        std::tuple(2600, true, false), std::tuple(2800, true, true)}) {
    lines.clear();
    figures = {};
    terms.hollow = 2;
    terms.stalled_to = stalled ? 1 : 0;
    changes = {{Ms(900), Ms(1100), 1}};
    for (const size_t m : {0, 1}) {
      Line(500, m, What::kUp);
      Line(600, m, What::kAgreed);
    }
    Line(1050, 1, What::kAgreed, 1, 1);
    Line(until, 0, What::kAgreed, 1, 1);
    Judge();
    EXPECT_EQ(Says("contradiction"), broken) << until << stalled;
  }
}

TEST_F(HollowJudge, ThoseThatCameBackAreTimedUntilTheyAreLevel) {
  terms.faults = Ms(5000);
  changes = {{Ms(1000), Ms(1100), 1}, {Ms(6000), Ms(6100), 2}};
  Line(500, 0, What::kUp);
  Line(600, 0, What::kAgreed);
  Line(1050, 0, What::kAgreed, 1, 1);
  Line(5500, 0, What::kDown);
  Line(6500, 0, What::kUp);
  Line(6600, 0, What::kAgreed, 1, 1);
  Line(6900, 0, What::kAgreed, 2, 2);
  Judge();
  EXPECT_EQ(figures.returned, 1U);
  EXPECT_DOUBLE_EQ(figures.level_ms_most, 400);
  EXPECT_DOUBLE_EQ(figures.faults_in_force_ms_most, 400);  // since it was up
}

// The trouble: what an operator waits for was in no figure.
TEST_F(HollowJudge, SaysHowLongSubmittersWaitedBeforeTheFaults) {
  terms.from = Ms(1500);
  terms.faults = Ms(5000);
  changes = {{Ms(1000), Ms(1900), 1},
             {Ms(2000), Ms(2010), 2},
             {Ms(3000), Ms(3030), 3},
             {Ms(4000), Ms(4020), 4},
             {Ms(6000), Ms(6900), 5}};
  Judge();
  EXPECT_DOUBLE_EQ(figures.told_ms_p50, 20);
  EXPECT_DOUBLE_EQ(figures.told_ms_most, 30);
}

TEST(HollowLines, AreReadAsTheyAreWritten) {
  const SimulatedMemberRecord line{Ms(12), 7, What::kBetween, 3, 4};
  const auto read = ParseSimulatedMemberRecord(ToText(line));
  ASSERT_TRUE(read);
  EXPECT_EQ(ToText(*read), ToText(line));
  for (const char* const bad :
       {"", "1 2 agreed 3", "1 2 nothing 3 4", "x 2 agreed 3 4", "1 2 agreed 3 4 5"}) {
    EXPECT_FALSE(ParseSimulatedMemberRecord(bad)) << bad;
  }
}

// ---- From outside -------------------------------------------------------------------------------

struct Ended {
  int code = -1;
  std::string text;
};
Ended Play(const std::string& words) {
  FILE* const pipe =
      popen((std::string(PADDLESTILE_PROGRAM) + " lab scale " + words + " 2>&1").c_str(), "r");
  std::array<char, 4096> part{};
  Ended ended;
  while (fgets(part.data(), part.size(), pipe) != nullptr) {
    ended.text += part.data();
  }
  const int status = pclose(pipe);
  ended.code = WIFEXITED(status) ? WEXITSTATUS(status) : -1;
  return ended;
}

// The trouble: a run that the machine cannot bear takes the machine with it.
TEST(ScaleRun, WhatMakesNoSenseIsOneLineAndPlaysNothing) {
  for (const auto& [words, says] :
       {std::pair("--members 0", "fewer than the 5 that vote"),
        std::pair("--members 4", "fewer than the 5 that vote"),
        std::pair("--members 10 --real 4", "--real 4"),
        std::pair("--members 10 --real 11", "--real"),
        std::pair("--members 1000 --real 300", "200 processes"),
        std::pair("--members 9000000", "half of the machine's memory"),
        std::pair("--members 10 --seconds 1", "--seconds"), std::pair("--members ten", "--members"),
        std::pair("--members 10 --hosts 0", "--hosts"),
        std::pair("--members 10 --stall-ms 5", "--stall-ms"),
        std::pair("--members 30 --stall-ms 2000 --seconds 14",
                  "--stall-ms 2000: expected --seconds"),
        std::pair("", "--members")}) {
    const Ended ended = Play(words);
    EXPECT_EQ(ended.code, 2) << words;
    EXPECT_EQ(std::count(ended.text.begin(), ended.text.end(), '\n'), 1) << ended.text;
    EXPECT_NE(ended.text.find(says), std::string::npos) << words << ": " << ended.text;
  }
}

// Its JSON; again where the machine was too busy.
json PlayHeld(const std::string& words) {
  const std::string path = ::testing::TempDir() + "scale-" + std::to_string(getpid()) + ".json";
  json result;
  for (int turn = 0; turn < 3; ++turn) {
    const Ended ended = Play(words + " --json " + path);
    std::ifstream file(path);
    result = json::parse(file, nullptr, false);
    if (result.is_discarded()) {
      ADD_FAILURE() << ended.text;
    }
    if (result.is_discarded() || result["verdict"] != "void") {
      EXPECT_EQ(ended.code, 0) << ended.text;
      break;
    }
  }
  std::filesystem::remove(path);
  return result;
}

// Hollow and real ones agree, through restarts, cuts and stops.
TEST(ScaleRun, ASmallBankHolds) {
  const json result = PlayHeld("--members 24 --real 6 --seconds 14 --seed 5 --rate 60");
  ASSERT_EQ(result["verdict"], "held") << result.dump(1);
  EXPECT_EQ(result["change"]["members_in_force"], 24);
  EXPECT_EQ(result["hollow"], 18);
  EXPECT_GE(result["return"]["members"], 3);
  EXPECT_GT(result["change"]["count"], 4);
  EXPECT_EQ(result["requests"]["lost"], 0);
  EXPECT_EQ(result["requests"]["answered_twice"], 0);
  EXPECT_GT(result["requests"]["asked"], 100);
  EXPECT_GT(result["leader"]["messages_s"], result["gateway"]["messages_s"]);
  EXPECT_GT(result["gateway"]["bytes_in_s"], 0);
  EXPECT_LE(result["machine"]["processes_most"], 200);
  // Some of the changes went by the operator's command.
  EXPECT_GE(result["operator"]["changes"], 1);
  EXPECT_GT(result["operator"]["cpu_s"], 0);
  EXPECT_GT(result["operator"]["memory_mb"], 0);
}

// A tenth reads less than is sent to it, and others stand still for longer than a lease. The
// trouble: what waits for them is sent for ever after, or holds up those that read.
TEST(ScaleRun, SlowReadersAreLevelOnceTheyReadAgain) {
  const json result = PlayHeld(
      "--members 30 --real 6 --seconds 17 --seed 6 --rate 60 --read-bytes-per-s 200 "
      "--stall-ms 1400");
  ASSERT_EQ(result["verdict"], "held") << result.dump(1);
  EXPECT_EQ(result["change"]["members_in_force"], 30);
  // Apart from what faults take without them.
  EXPECT_TRUE(result["change"]["faults_in_force_ms_most"].is_null());
  EXPECT_GT(result["change"]["slow_in_force_ms_most"], 1000);
  EXPECT_EQ(result["requests"]["lost"], 0);
}

TEST(ScaleRun, WithoutABankTheSameGatewaysServeTheSame) {
  ScaleOptions options;
  options.members = 24;
  options.real = 6;
  options.hosts = 30;
  const Experiment with = ScaleExperiment(options);
  options.bank = false;
  const Experiment without = ScaleExperiment(options);
  EXPECT_TRUE(with.cluster.enabled);
  EXPECT_FALSE(without.cluster.enabled);
  EXPECT_EQ(without.cluster.simulated_members, 0U);
  EXPECT_EQ(with.gateway.count, without.gateway.count);
  EXPECT_EQ(with.host_count(), 30U);
  EXPECT_EQ(without.host_count(), 30U);
  EXPECT_EQ(with.length, without.length);
  ASSERT_EQ(without.load.rate.size(), 1U);
  EXPECT_EQ(with.load.rate[0].requests_per_s, without.load.rate[0].requests_per_s);
  // No figure of a bank that was not there, nor one that a line could go through.
  Result result;
  result.gateways = 6;
  const json told = json::parse(ScaleJson(options, result, 0));
  for (const char* const key : {"members", "leader", "change", "contradiction_ms_most"}) {
    EXPECT_TRUE(told[key].is_null()) << key;
  }
  EXPECT_EQ(told["real"], 6);
}

}  // namespace
}  // namespace paddlestile::lab
