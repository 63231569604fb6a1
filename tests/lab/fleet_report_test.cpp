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

  // A line of counters of a process that began at 100 s; times in seconds.
  static std::string Line(const std::string& gateway, double at, const std::string& counts,
                          const std::string& stage = "serving", const std::string& since = "100") {
    return "info: counters: clients=2 life=" + stage + " gateway=" + gateway + " since=" + since +
           " at=" + std::to_string(at) + " " + counts + "\n";
  }
  void Put(const std::string& name, const std::string& text) {
    std::ofstream(folder_ / name, std::ios::binary) << text;
  }
  FleetReport Read(FleetReportOptions options = {}) { return ReadFleet(folder_, options); }
  static double At(const FleetReport& r, size_t second, const std::string& counter) {
    const auto at = r.seconds.at(second).counts.find(counter);
    return at == r.seconds.at(second).counts.end() ? 0 : at->second;
  }
  static bool Says(const FleetReport& r, const std::string& what) {
    return std::ranges::any_of(
        r.remarks, [&](const std::string& line) { return line.find(what) != std::string::npos; });
  }
  std::string Refused(const std::string& folder) {
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

TEST_F(FleetReportTest, AddsUpBothFormatsBySecond) {
  Put("n1.log", "info: n1 listens on 127.0.0.1:1, 2 hosts known\n" +
                    Line("n1", 101.001, "attempts_started=10 discovery_watches=1") +
                    Line("n1", 102.001, "attempts_started=14 discovery_watches=1") +
                    Line("n1", 103.001, "attempts_started=14 discovery_watches=2", "ending"));
  const std::string line = Line("n2", 102.0, "attempts_started=6 unserved_at_concurrency_limit=3");
  const std::string message = line.substr(6, line.size() - 7);
  Put("n2.json", R"({"time":"2026-01-01T00:00:00.000Z","level":"info","message":")" + message +
                     "\"}\n" +
                     R"({"time":"2026-01-01T00:00:00.000Z","level":"info","message":"x"})" + "\n");
  const FleetReport r = Read();
  EXPECT_EQ(r.gateways, 2U);
  EXPECT_EQ(r.lines, 4U);
  EXPECT_TRUE(r.remarks.empty()) << r.remarks[0];
  ASSERT_EQ(r.seconds.size(), 3U);
  // n2 says nothing of its first second alone: its count is spread over both.
  EXPECT_NEAR(At(r, 0, "attempts_started"), 13, 0.02);
  EXPECT_NEAR(At(r, 1, "attempts_started"), 7, 0.02);
  EXPECT_NEAR(At(r, 2, "attempts_started"), 0, 0.01);
  EXPECT_NEAR(At(r, 1, "clients"), 4, 1e-9);  // of the moment: added over gateways, not over time
  EXPECT_EQ(r.seconds[1].stages.at("serving"), 2U);
  EXPECT_EQ(r.seconds[2].stages.at("ending"), 1U);
  EXPECT_NEAR(r.Sum("attempts_started", {"all", 0, 3}), 20, 1e-6);
  EXPECT_NEAR(r.Sum("attempts_started", {"half", 0, 1.5}), 16.5, 0.02);
  EXPECT_NE(ToText(r).find("2 gateways in 2 lives"), std::string::npos) << ToText(r);
  const auto json = nlohmann::json::parse(ToJson(r));
  EXPECT_NEAR(json["phases"][0]["counts"]["unserved_at_concurrency_limit"].get<double>(), 3, 1e-6);
  EXPECT_NE(ToHtml(r).find("Why requests were given up"), std::string::npos);
}

// A gateway that starts again counts from nothing: by its last line alone its first life is lost.
TEST_F(FleetReportTest, EachLifeOfAGatewayCounts) {
  Put("n1.log", Line("n1", 101, "attempts_started=10") + Line("n1", 102, "attempts_started=20") +
                    Line("n1", 103, "attempts_started=5", "serving", "102.4"));
  const FleetReport r = Read();
  EXPECT_EQ(r.gateways, 1U);
  EXPECT_EQ(r.lives, 2U);
  EXPECT_NEAR(r.Sum("attempts_started", r.phases[0]), 25, 1e-6);
}

// The same log collected twice, or several gateways written into one file in any order.
TEST_F(FleetReportTest, ALineCountsOnceWhereverItStands) {
  const std::string one = Line("n1", 101, "attempts_started=10"),
                    two = Line("n1", 102, "attempts_started=16");
  const std::string other = Line("n2", 101.5, "attempts_started=3");
  Put("all.log", two + other + one);
  Put("copy.log", one + two);
  const FleetReport r = Read();
  EXPECT_EQ(r.gateways, 2U);
  EXPECT_NEAR(r.Sum("attempts_started", r.phases[0]), 19, 1e-6);
}

// A crash cuts the last line, a full disk any; what a cut number was is not known.
TEST_F(FleetReportTest, CutAndForeignLinesAreSaidAndLeftOut) {
  const std::string whole = Line("n1", 101, "attempts_started=10");
  Put("cut.log", whole + Line("n1", 102, "attempts_started=200").substr(0, 60));
  Put("joined.log", Line("n2", 101, "attempts_started=1") + "info: counters: attempts_started=4 " +
                        Line("n2", 102, "attempts_started=9") +
                        Line("n2", 102, "attempts_started=x"));
  Put("old.log", "info: counters: clients=0 attempts_started=7\n");
  Put("noise.bin", std::string("\0\xff\n\n counters", 13));
  Put("bad.json", R"({"time":"x","level":"info","message":"counters: attempts_started=)"
                  "\n" +
                      whole);
  const FleetReport r = Read();
  EXPECT_NEAR(r.Sum("attempts_started", r.phases[0]), 11, 1e-6);
  EXPECT_TRUE(Says(r, "cut.log: 1 line cut or malformed, left out, the first is line 2"));
  EXPECT_TRUE(Says(r, "joined.log: 2 lines cut or malformed"));
  EXPECT_TRUE(Says(r, "old.log: 1 line of counters without gateway"));
  EXPECT_TRUE(Says(r, "noise.bin: no line of counters"));
  EXPECT_TRUE(Says(r, "bad.json: 1 line cut or malformed"));
  EXPECT_EQ(r.remarks.size(), 5U);
}

TEST_F(FleetReportTest, WhoIsMissingOrFallsSilentIsSaid) {
  std::string n1, n2, n3;
  for (int s = 101; s <= 120; ++s) {
    const std::string counts = "attempts_started=" + std::to_string(s);
    n1 += Line("n1", s, counts);
    if (s < 110) {
      n2 += Line("n2", s, counts);
    }
    if (s < 105 || s > 112) {
      n3 += Line("n3", s, counts);
    }
  }
  Put("n1.log", n1);
  Put("n2.log", n2);
  Put("n3.log", n3);
  const FleetReport r = Read({.phases = {{"late", 30, 40}}, .expected_gateways = 4});
  EXPECT_TRUE(Says(r, "3 gateways tell of themselves, expected 4"));
  EXPECT_TRUE(Says(r, "n2: says nothing after 9.0 s, it was serving"));
  EXPECT_TRUE(Says(r, "n3: says nothing from 4.0 to 13.0 s"));
  EXPECT_TRUE(Says(r, "phase late: begins at 30 s, the run has 20 s"));
  EXPECT_EQ(r.remarks.size(), 4U);
}

TEST_F(FleetReportTest, ABadFolderIsOneLine) {
  EXPECT_NE(Refused(folder_ / "none").find("expected a folder of gateways' logs"),
            std::string::npos);
  EXPECT_NE(Refused(folder_).find("no line of counters with its time in 0 files"),
            std::string::npos);
  Put("n1.log", Line("n1", 101, "attempts_started=1") + Line("n1", 1e6, "attempts_started=2"));
  EXPECT_NE(Refused(folder_).find("expected a day at most"), std::string::npos);
}

TEST_F(FleetReportTest, APhaseIsNameFromTo) {
  EXPECT_EQ(ParsePhase("restart=10-20.5").to_s, 20.5);
  for (const char* bad : {"", "x", "x=", "x=1", "x=2-1", "=1-2", "x=a-2", "x=1-nan", "x=-1-2"}) {
    EXPECT_THROW(ParsePhase(bad), std::runtime_error) << bad;
  }
}

}  // namespace
}  // namespace paddlestile::lab
