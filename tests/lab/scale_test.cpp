// Tests of `lab scale`: the checks of hollow members' lines, the options that are rejected before
// anything runs, and one small cluster of hollow and real members, run as a process.
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

// ---- JudgeHollow --------------------------------------------------------------------------------

struct JudgeHollowTest : ::testing::Test {
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

  void AddLine(int64_t ms, size_t member, What what, uint64_t on = 0, uint64_t latest = 0) {
    lines.push_back({Ms(ms), member, what, on, latest});
  }
  void Judge() { JudgeHollow(lines, changes, terms, figures); }
  [[nodiscard]] bool HasBroken(const std::string& prefix) const {
    for (const std::string& line : figures.broken) {
      if (line.starts_with("scale: " + prefix)) {
        return true;
      }
    }
    return false;
  }
};

TEST_F(JudgeHollowTest, MeasuresWhenMembersActOnChanges) {
  terms.hollow = 2;
  changes = {{Ms(1000), Ms(1100), 1}, {Ms(2000), Ms(2100), 2}};
  for (const size_t member : {0, 1}) {
    AddLine(500, member, What::kUp);
    AddLine(600, member, What::kAgreed);
    AddLine(1040, member, What::kBetween, 0, 1);
    AddLine(1080 + 100 * static_cast<int64_t>(member), member, What::kAgreed, 1, 1);
    AddLine(2080, member, What::kAgreed, 2, 2);
  }
  Judge();
  EXPECT_TRUE(figures.broken.empty()) << figures.broken.front();
  EXPECT_EQ(figures.members_in_force, 2U);
  EXPECT_DOUBLE_EQ(figures.in_force_ms_most, 180);
  // Between two versions, a member acts on neither alone.
  EXPECT_DOUBLE_EQ(figures.contradiction_ms_most, 0);
  EXPECT_EQ(figures.returned, 0U);
}

// A member that is not up to date must not be hidden by a mean.
TEST_F(JudgeHollowTest, ReportsMemberThatIsNotUpToDate) {
  changes = {{Ms(1000), Ms(1100), 1}};
  AddLine(500, 0, What::kUp);
  AddLine(600, 0, What::kAgreed);
  terms.end = Ms(1200);
  Judge();
  EXPECT_TRUE(HasBroken("level"));
  EXPECT_EQ(figures.members_in_force, 0U);
}

TEST_F(JudgeHollowTest, ReportsMemberThatIsDownAtTheEnd) {
  AddLine(500, 0, What::kUp);
  AddLine(600, 0, What::kAgreed);
  AddLine(700, 0, What::kDown);
  Judge();
  EXPECT_TRUE(HasBroken("level"));
}

// A member that acts on a version for longer than the bound while others act on the next one is
// broken. The leader has no message from it and would not notice.
TEST_F(JudgeHollowTest, ReportsContradictionLongerThanTheBound) {
  for (const auto& [until, stalled, broken] :
       {std::tuple(2300, false, false), std::tuple(2400, false, true),
        std::tuple(2600, true, false), std::tuple(2800, true, true)}) {
    lines.clear();
    figures = {};
    terms.hollow = 2;
    terms.stalled_to = stalled ? 1 : 0;
    changes = {{Ms(900), Ms(1100), 1}};
    for (const size_t member : {0, 1}) {
      AddLine(500, member, What::kUp);
      AddLine(600, member, What::kAgreed);
    }
    AddLine(1050, 1, What::kAgreed, 1, 1);
    AddLine(until, 0, What::kAgreed, 1, 1);
    Judge();
    EXPECT_EQ(HasBroken("contradiction"), broken) << until << stalled;
  }
}

TEST_F(JudgeHollowTest, TimesRestartedMembersUntilUpToDate) {
  terms.faults = Ms(5000);
  changes = {{Ms(1000), Ms(1100), 1}, {Ms(6000), Ms(6100), 2}};
  AddLine(500, 0, What::kUp);
  AddLine(600, 0, What::kAgreed);
  AddLine(1050, 0, What::kAgreed, 1, 1);
  AddLine(5500, 0, What::kDown);
  AddLine(6500, 0, What::kUp);
  AddLine(6600, 0, What::kAgreed, 1, 1);
  AddLine(6900, 0, What::kAgreed, 2, 2);
  Judge();
  EXPECT_EQ(figures.returned, 1U);
  EXPECT_DOUBLE_EQ(figures.level_ms_most, 400);
  EXPECT_DOUBLE_EQ(figures.faults_in_force_ms_most, 400);  // since its restart
}

// The figures must include how long an operator waits for the confirmation of a change.
TEST_F(JudgeHollowTest, MeasuresConfirmationTimesBeforeTheFaults) {
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

TEST(HollowLineTest, ParsesWhatToTextWrites) {
  const SimulatedMemberRecord line{Ms(12), 7, What::kBetween, 3, 4};
  const auto parsed = ParseSimulatedMemberRecord(ToText(line));
  ASSERT_TRUE(parsed);
  EXPECT_EQ(ToText(*parsed), ToText(line));
  for (const char* const malformed :
       {"", "1 2 agreed 3", "1 2 nothing 3 4", "x 2 agreed 3 4", "1 2 agreed 3 4 5"}) {
    EXPECT_FALSE(ParseSimulatedMemberRecord(malformed)) << malformed;
  }
}

// ---- The command --------------------------------------------------------------------------------

struct CommandResult {
  int code = -1;
  std::string text;
};
CommandResult RunScaleCommand(const std::string& arguments) {
  FILE* const pipe =
      popen((std::string(PADDLESTILE_PROGRAM) + " lab scale " + arguments + " 2>&1").c_str(), "r");
  std::array<char, 4096> buffer{};
  CommandResult command_result;
  while (fgets(buffer.data(), buffer.size(), pipe) != nullptr) {
    command_result.text += buffer.data();
  }
  const int status = pclose(pipe);
  command_result.code = WIFEXITED(status) ? WEXITSTATUS(status) : -1;
  return command_result;
}

// A run that is too large for the machine must be rejected before it starts, or it would take the
// machine down.
TEST(ScaleRun, RejectsInvalidOptionsWithOneLine) {
  for (const auto& [arguments, message] :
       {std::pair("--members 0", "fewer than the 5 voters"),
        std::pair("--members 4", "fewer than the 5 voters"),
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
    const CommandResult command_result = RunScaleCommand(arguments);
    EXPECT_EQ(command_result.code, 2) << arguments;
    EXPECT_EQ(std::count(command_result.text.begin(), command_result.text.end(), '\n'), 1)
        << command_result.text;
    EXPECT_NE(command_result.text.find(message), std::string::npos)
        << arguments << ": " << command_result.text;
  }
}

// Returns the JSON of a run, which is repeated up to twice if the machine was too busy.
json RunUntilNotVoid(const std::string& arguments) {
  const std::string path = ::testing::TempDir() + "scale-" + std::to_string(getpid()) + ".json";
  json result;
  for (int attempt = 0; attempt < 3; ++attempt) {
    const CommandResult command_result = RunScaleCommand(arguments + " --json " + path);
    std::ifstream file(path);
    result = json::parse(file, nullptr, false);
    if (result.is_discarded()) {
      ADD_FAILURE() << command_result.text;
    }
    if (result.is_discarded() || result["verdict"] != "void") {
      EXPECT_EQ(command_result.code, 0) << command_result.text;
      break;
    }
  }
  std::filesystem::remove(path);
  return result;
}

// Hollow and real members agree through restarts, link cuts and stopped processes.
TEST(ScaleRun, SmallClusterHolds) {
  const json result = RunUntilNotVoid("--members 24 --real 6 --seconds 14 --seed 5 --rate 60");
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
  // Some of the changes were made with the operator's command.
  EXPECT_GE(result["operator"]["changes"], 1);
  EXPECT_GT(result["operator"]["cpu_s"], 0);
  EXPECT_GT(result["operator"]["memory_mb"], 0);
}

// A tenth of the hollow members reads more slowly than data is sent to it, and others are stopped
// for longer than a lease. Data queued for them must not be sent without end or delay other
// members.
TEST(ScaleRun, SlowReadersCatchUpOnceTheyReadAgain) {
  const json result = RunUntilNotVoid(
      "--members 30 --real 6 --seconds 17 --seed 6 --rate 60 --read-bytes-per-s 200 "
      "--stall-ms 1400");
  ASSERT_EQ(result["verdict"], "held") << result.dump(1);
  EXPECT_EQ(result["change"]["members_in_force"], 30);
  // Reported under another key than the figure of faults without slow members.
  EXPECT_TRUE(result["change"]["faults_in_force_ms_most"].is_null());
  EXPECT_GT(result["change"]["slow_in_force_ms_most"], 1000);
  EXPECT_EQ(result["requests"]["lost"], 0);
}

TEST(ScaleRun, WithoutClusterRunsTheSameGatewaysAndLoad) {
  ScaleOptions options;
  options.members = 24;
  options.real = 6;
  options.hosts = 30;
  const Experiment with_cluster = ScaleExperiment(options);
  options.bank = false;
  const Experiment without_cluster = ScaleExperiment(options);
  EXPECT_TRUE(with_cluster.cluster.enabled);
  EXPECT_FALSE(without_cluster.cluster.enabled);
  EXPECT_EQ(without_cluster.cluster.simulated_members, 0U);
  EXPECT_EQ(with_cluster.gateway.count, without_cluster.gateway.count);
  EXPECT_EQ(with_cluster.host_count(), 30U);
  EXPECT_EQ(without_cluster.host_count(), 30U);
  EXPECT_EQ(with_cluster.length, without_cluster.length);
  ASSERT_EQ(without_cluster.load.rate.size(), 1U);
  EXPECT_EQ(with_cluster.load.rate[0].requests_per_s, without_cluster.load.rate[0].requests_per_s);
  // Without a cluster its figures are null, so that no line can be fitted through them.
  Result result;
  result.gateways = 6;
  const json output = json::parse(ScaleJson(options, result, 0));
  for (const char* const key : {"members", "leader", "change", "contradiction_ms_most"}) {
    EXPECT_TRUE(output[key].is_null()) << key;
  }
  EXPECT_EQ(output["real"], 6);
}

}  // namespace
}  // namespace paddlestile::lab
