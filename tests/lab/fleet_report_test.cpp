#include "lab/fleet_report.h"

#include <gtest/gtest.h>
#include <unistd.h>

#include <algorithm>
#include <filesystem>
#include <fstream>
#include <nlohmann/json.hpp>
#include <stdexcept>
#include <string>

namespace paddlestile::lab {
namespace {

namespace fs = std::filesystem;

class FleetReportTest : public ::testing::Test {
 protected:
  FleetReportTest() { fs::create_directories(folder_); }
  ~FleetReportTest() override { fs::remove_all(folder_); }

  // A counter line of a process that started at 100 s; times in seconds.
  static std::string Line(const std::string& gateway, double at, const std::string& counts,
                          const std::string& stage = "serving", const std::string& since = "100") {
    return "info: counters: clients=2 life=" + stage + " gateway=" + gateway + " since=" + since +
           " at=" + std::to_string(at) + " " + counts + "\n";
  }
  void WriteFile(const std::string& name, const std::string& text) {
    std::ofstream(folder_ / name, std::ios::binary) << text;
  }
  FleetReport Read(FleetReportOptions options = {}) { return ReadFleet(folder_, options); }
  static double CountAt(const FleetReport& report, size_t second, const std::string& counter) {
    const auto at = report.seconds.at(second).counts.find(counter);
    return at == report.seconds.at(second).counts.end() ? 0 : at->second;
  }
  static bool HasRemark(const FleetReport& report, const std::string& text) {
    return std::ranges::any_of(report.remarks, [&](const std::string& line) {
      return line.find(text) != std::string::npos;
    });
  }
  std::string ReadError(const std::string& folder) {
    try {
      ReadFleet(folder, {});
    } catch (const std::runtime_error& error) {
      return error.what();
    }
    return "";
  }

  const fs::path folder_ =
      fs::path(::testing::TempDir()) / ("paddlestile-fleet-" + std::to_string(getpid()));
};

TEST_F(FleetReportTest, SumsTextAndJsonLogsPerSecond) {
  WriteFile("n1.log", "info: n1 listens on 127.0.0.1:1, 2 hosts known\n" +
                          Line("n1", 101.001, "attempts_started=10 discovery_watches=1") +
                          Line("n1", 102.001, "attempts_started=14 discovery_watches=1") +
                          Line("n1", 103.001, "attempts_started=14 discovery_watches=2", "ending"));
  const std::string line = Line("n2", 102.0, "attempts_started=6 unserved_at_concurrency_limit=3");
  const std::string message = line.substr(6, line.size() - 7);
  WriteFile("n2.json",
            R"({"time":"2026-01-01T00:00:00.000Z","level":"info","message":")" + message + "\"}\n" +
                R"({"time":"2026-01-01T00:00:00.000Z","level":"info","message":"x"})" + "\n");
  const FleetReport report = Read();
  EXPECT_EQ(report.gateways, 2U);
  EXPECT_EQ(report.lines, 4U);
  EXPECT_TRUE(report.remarks.empty()) << report.remarks[0];
  ASSERT_EQ(report.seconds.size(), 3U);
  // n2 has no line for its first second, so its count is spread over both.
  EXPECT_NEAR(CountAt(report, 0, "attempts_started"), 13, 0.02);
  EXPECT_NEAR(CountAt(report, 1, "attempts_started"), 7, 0.02);
  EXPECT_NEAR(CountAt(report, 2, "attempts_started"), 0, 0.01);
  EXPECT_NEAR(CountAt(report, 1, "clients"), 4,
              1e-9);  // momentary value: summed over gateways, not over time
  EXPECT_EQ(report.seconds[1].stages.at("serving"), 2U);
  EXPECT_EQ(report.seconds[2].stages.at("ending"), 1U);
  EXPECT_NEAR(report.Sum("attempts_started", {"all", 0, 3}), 20, 1e-6);
  EXPECT_NEAR(report.Sum("attempts_started", {"half", 0, 1.5}), 16.5, 0.02);
  EXPECT_NE(ToText(report).find("2 gateways in 2 processes"), std::string::npos) << ToText(report);
  const auto json = nlohmann::json::parse(ToJson(report));
  EXPECT_NEAR(json["phases"][0]["counts"]["unserved_at_concurrency_limit"].get<double>(), 3, 1e-6);
  EXPECT_NE(ToHtml(report).find("Reasons for unserved requests"), std::string::npos);
}

// A restarted gateway counts from 0 again. Reading only its last line would lose the counts of its
// first process.
TEST_F(FleetReportTest, CountsEachProcessOfARestartedGateway) {
  WriteFile("n1.log", Line("n1", 101, "attempts_started=10") +
                          Line("n1", 102, "attempts_started=20") +
                          Line("n1", 103, "attempts_started=5", "serving", "102.4"));
  const FleetReport report = Read();
  EXPECT_EQ(report.gateways, 1U);
  EXPECT_EQ(report.lives, 2U);
  EXPECT_NEAR(report.Sum("attempts_started", report.phases[0]), 25, 1e-6);
}

// A log may be collected twice, and several gateways may write to one file in any order.
TEST_F(FleetReportTest, CountsARepeatedLineOnce) {
  const std::string one = Line("n1", 101, "attempts_started=10"),
                    two = Line("n1", 102, "attempts_started=16");
  const std::string other = Line("n2", 101.5, "attempts_started=3");
  WriteFile("all.log", two + other + one);
  WriteFile("copy.log", one + two);
  const FleetReport report = Read();
  EXPECT_EQ(report.gateways, 2U);
  EXPECT_NEAR(report.Sum("attempts_started", report.phases[0]), 19, 1e-6);
}

// A crash truncates the last line and a full disk any line. A truncated number must not be counted.
TEST_F(FleetReportTest, SkipsAndReportsTruncatedAndForeignLines) {
  const std::string whole = Line("n1", 101, "attempts_started=10");
  WriteFile("cut.log", whole + Line("n1", 102, "attempts_started=200").substr(0, 60));
  WriteFile("joined.log",
            Line("n2", 101, "attempts_started=1") + "info: counters: attempts_started=4 " +
                Line("n2", 102, "attempts_started=9") + Line("n2", 102, "attempts_started=x"));
  WriteFile("old.log", "info: counters: clients=0 attempts_started=7\n");
  WriteFile("noise.bin", std::string("\0\xff\n\n counters", 13));
  WriteFile("bad.json", R"({"time":"x","level":"info","message":"counters: attempts_started=)"
                        "\n" +
                            whole);
  const FleetReport report = Read();
  EXPECT_NEAR(report.Sum("attempts_started", report.phases[0]), 11, 1e-6);
  EXPECT_TRUE(
      HasRemark(report, "cut.log: skipped 1 truncated or malformed line, the first is line 2"));
  EXPECT_TRUE(HasRemark(report, "joined.log: skipped 2 truncated or malformed lines"));
  EXPECT_TRUE(HasRemark(report, "old.log: skipped 1 counter line without gateway"));
  EXPECT_TRUE(HasRemark(report, "noise.bin: no counter lines"));
  EXPECT_TRUE(HasRemark(report, "bad.json: skipped 1 truncated or malformed line"));
  EXPECT_EQ(report.remarks.size(), 5U);
}

TEST_F(FleetReportTest, ReportsMissingAndSilentGateways) {
  std::string n1, n2, n3;
  for (int at_s = 101; at_s <= 120; ++at_s) {
    const std::string counts = "attempts_started=" + std::to_string(at_s);
    n1 += Line("n1", at_s, counts);
    if (at_s < 110) {
      n2 += Line("n2", at_s, counts);
    }
    if (at_s < 105 || at_s > 112) {
      n3 += Line("n3", at_s, counts);
    }
  }
  WriteFile("n1.log", n1);
  WriteFile("n2.log", n2);
  WriteFile("n3.log", n3);
  const FleetReport report = Read({.phases = {{"late", 30, 40}}, .expected_gateways = 4});
  EXPECT_TRUE(HasRemark(report, "3 gateways tell of themselves, expected 4"));
  EXPECT_TRUE(HasRemark(report, "n2: no counter lines after 9.0 s, its last state was serving"));
  EXPECT_TRUE(HasRemark(report, "n3: no counter lines from 4.0 to 13.0 s"));
  EXPECT_TRUE(HasRemark(report, "phase late: starts at 30 s, but the run lasts 20 s"));
  EXPECT_EQ(report.remarks.size(), 4U);
}

TEST_F(FleetReportTest, RejectsAnInvalidFolderWithOneLine) {
  EXPECT_NE(ReadError(folder_ / "none").find("expected a folder of gateways' logs"),
            std::string::npos);
  EXPECT_NE(ReadError(folder_).find("no line of counters with its time in 0 files"),
            std::string::npos);
  WriteFile("n1.log",
            Line("n1", 101, "attempts_started=1") + Line("n1", 1e6, "attempts_started=2"));
  EXPECT_NE(ReadError(folder_).find("expected at most a day"), std::string::npos);
}

TEST_F(FleetReportTest, ParsesNameAndPeriodOfAPhase) {
  EXPECT_EQ(ParsePhase("restart=10-20.5").to_s, 20.5);
  for (const char* malformed :
       {"", "x", "x=", "x=1", "x=2-1", "=1-2", "x=a-2", "x=1-nan", "x=-1-2"}) {
    EXPECT_THROW(ParsePhase(malformed), std::runtime_error) << malformed;
  }
}

}  // namespace
}  // namespace paddlestile::lab
