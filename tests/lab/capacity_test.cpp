// The capacity page: lines through runs, shares of what is allowed, and that the page, the slopes
// and the runs that are committed agree.
#include "lab/capacity.h"

#include <fmt/format.h>
#include <gtest/gtest.h>
#include <unistd.h>

#include <algorithm>
#include <cmath>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <set>
#include <sstream>
#include <string>
#include <vector>

#include "gateway/child_process.h"

namespace paddlestile::lab {
namespace {

using nlohmann::json;

const std::string kFolder = std::string(PADDLESTILE_SOURCE) + "/lab/capacity/";

std::string TextOf(const std::string& path) {
  std::ifstream file(path);
  EXPECT_TRUE(file) << path;
  return {std::istreambuf_iterator<char>(file), std::istreambuf_iterator<char>()};
}

std::string Replaced(std::string text, const std::string& from, const std::string& to) {
  const size_t at = text.find(from);
  EXPECT_NE(at, std::string::npos) << from;
  return text.replace(at, from.size(), to);
}

// The tests' own, so that another target asks for another page and for no other tests.
const std::string kTarget =
    "gateways = 7_500\nhosts = 99_000\nservices = 2_900\nrequests_per_s = 1_200_000\n"
    "requests_per_s_per_gateway = 160\nroutes = 120_000\ntenants = 240_000\n"
    "added_p99_ms = 1.4\nregions = 3\nzones_in_all = 7\nzones_in_each = 7\n"
    "changes_per_day = 19_000\nin_force_within_s = 16\ncontrol_machines = 18\n"
    "machines_failing_per_day = 230\nmachines_replaced_per_day = 18_000\n"
    "racks_lost_per_day = 1\nzones_lost_per_year = 6\nregions_parted_h = 1\n"
    "[control_gateway]\ncpu_core = 0.036\nmemory_mb = 64\nbytes_per_s = 3_000\n";

CapacityTarget TestTarget() {
  return ParseTarget(kTarget, "t.toml");
}
CapacityTarget CommittedTarget() {
  return ParseTarget(TextOf(kFolder + "target.toml"), "t.toml");
}
CapacityRows CommittedRows() {
  return ParseRows(TextOf(kFolder + "rows.toml"), "rows.toml");
}

template <typename Do>
std::string FaultOf(Do&& act) {
  try {
    act();
    return "";
  } catch (const CapacityError& error) {
    return error.what();
  }
}

std::string TargetFault(const std::string& text) {
  return FaultOf([&] { ParseTarget(text, "t.toml"); });
}

// A row by the members, with what a test says of it besides.
std::string RowText(const std::string& id, const std::string& more) {
  return fmt::format(
      "[[row]]\nid = \"{}\"\nrole = \"gateway\"\nwhat = \"it\"\ntable = \"steady\"\n"
      "mechanism = \"src/balancer/load_balancer.cpp\"\n{}\n",
      id, more);
}
const std::string kSlopeKeys =
    "kind = \"slope\"\nfigure = \"/gateway/cpu_core\"\nby = \"/members\"\nsize = \"gateways\"\n";
const std::string kLimitKeys =
    "kind = \"limit\"\nfigure = \"/list/taken\"\nby = \"/hosts\"\nsize = \"hosts\"\nholds = true\n";

// All keys of the target, so that a file of a few rows can be weighed.
std::string CoversAll() {
  std::string covers;
  for (const auto& [key, figure] : TestTarget().figures) {
    covers += "\"" + key + "\", ";
  }
  return "[[assumption]]\nwhat = \"a\"\nvalue = 1\nwhy = \"a test\"\ncovers = [" + covers + "]\n";
}

CapacityRun ScaleRun(double members, double cpu, const std::string& verdict = "held",
                     uint64_t seed = 1) {
  return {fmt::format("scale-{}-{}.json", members, seed),
          json{{"command", "lab scale"},
               {"commit", "0"},
               {"seed", seed},
               {"verdict", verdict},
               {"members", members},
               {"tenants", 0},
               {"gateway", {{"cpu_core", cpu}, {"bytes_in_s", 3 * cpu}, {"bytes_out_s", cpu}}},
               {"void", verdict == "void" ? json{"the lab was late"} : json::array()},
               {"broken", verdict == "broken" ? json{"a term"} : json::array()}}};
}

CapacityRun ListRun(double hosts, bool taken, const std::string& verdict = "held") {
  return {fmt::format("gateway-{}.json", hosts), json{{"command", "lab gateway"},
                                                      {"commit", "0"},
                                                      {"seed", 1},
                                                      {"verdict", verdict},
                                                      {"hosts", hosts},
                                                      {"list", {{"taken", taken}}}}};
}

CapacityFit FitOf(const std::string& keys, const std::vector<CapacityRun>& runs) {
  return FitRuns(ParseRows(RowText("x", keys), "rows.toml"), runs).fits.at("x");
}

Capacity Weighed(const std::string& text, const std::vector<CapacityRun>& runs) {
  const CapacityRows rows = ParseRows(text + CoversAll(), "rows.toml");
  return WeighCapacity(TestTarget(), rows, FitRuns(rows, runs));
}

// ---- Fitting --------------------------------------------------------------------------------

TEST(CapacityFitTest, GivesTheKnownLineResidueAndSpread) {
  // 0.002 + 0.0001 x members, off by 0.001 to either side at each size.
  std::vector<CapacityRun> runs;
  for (const double members : {400.0, 25.0, 100.0}) {
    const double cpu = 0.002 + 0.0001 * members;
    runs.push_back(ScaleRun(members, cpu - 0.001, "held", 1));
    runs.push_back(ScaleRun(members, cpu + 0.001, "held", 2));
  }
  const CapacityFit fit = FitOf(kSlopeKeys, runs);
  EXPECT_EQ(fit.sizes, (std::vector<double>{25, 100, 400}));
  EXPECT_EQ(fit.runs, (std::vector<size_t>{2, 2, 2}));
  EXPECT_NEAR(fit.fixed.value(), 0.002, 1e-9);
  EXPECT_NEAR(fit.slope.value(), 0.0001, 1e-9);
  EXPECT_NEAR(fit.residue.value(), 0.001, 1e-9);
  EXPECT_NEAR(fit.spread.value(), 0.4444, 1e-9);  // 0.002 of 0.0045, at 25 members
  EXPECT_EQ(fit.files.size(), 6U);
  EXPECT_EQ(fit.files.front(), "scale-400-1.json");
  EXPECT_EQ(fit.seeds, (std::vector<uint64_t>{1, 2, 1, 2, 1, 2}));
}

TEST(CapacityFitTest, IsRoundedToFourDigits) {
  const CapacityFit fit = FitOf(kSlopeKeys, {ScaleRun(1, 1.0 / 3), ScaleRun(2, 2.0 / 3)});
  EXPECT_EQ(fit.slope, 0.3333);
}

// Else the slopes would part from the runs on another machine.
TEST(CapacityFitTest, WhatRoundingLeavesIsNothing) {
  std::vector<CapacityRun> runs;
  for (const double members : {25.0, 100.0, 400.0}) {
    runs.push_back(ScaleRun(members, 1e-5 * members));
  }
  CapacityFit fit = FitOf(kSlopeKeys, runs);
  EXPECT_EQ(fit.slope, 1e-5);
  EXPECT_EQ(fit.fixed, 0);
  EXPECT_EQ(fit.residue, 0);
  runs.clear();
  for (const double members : {25.0, 100.0, 400.0}) {
    runs.push_back(ScaleRun(members, 0.004));
  }
  fit = FitOf(kSlopeKeys, runs);
  EXPECT_EQ(fit.slope, 0);
  EXPECT_EQ(fit.fixed, 0.004);
}

TEST(CapacityFitTest, NothingRepeatedHasNoSpread) {
  EXPECT_EQ(FitOf(kSlopeKeys, {ScaleRun(1, 1), ScaleRun(2, 2)}).spread, std::nullopt);
}

TEST(CapacityFitTest, FiguresOfOneRowAreAdded) {
  const CapacityFit fit = FitOf(Replaced(kSlopeKeys, "\"/gateway/cpu_core\"",
                                         "[\"/gateway/bytes_in_s\", \"/gateway/bytes_out_s\"]"),
                                {ScaleRun(10, 10), ScaleRun(20, 20), ScaleRun(40, 40)});
  EXPECT_EQ(fit.slope, 4);
}

TEST(CapacityFitTest, ASlopeBelowZeroIsNoise) {
  const CapacityFit fit = FitOf(kSlopeKeys, {ScaleRun(10, 3), ScaleRun(20, 2), ScaleRun(40, 1)});
  EXPECT_EQ(fit.slope, 0);
  EXPECT_EQ(fit.fixed, 2);
}

TEST(CapacityFitTest, VoidAndBrokenRunsGiveNoFigure) {
  const std::vector<CapacityRun> runs = {ScaleRun(10, 9, "void"), ScaleRun(20, 9, "broken")};
  const CapacityFit fit = FitOf(kSlopeKeys, runs);
  EXPECT_TRUE(fit.sizes.empty());
  EXPECT_FALSE(fit.fixed.has_value());
  const std::string page = ToMarkdown(Weighed(RowText("x", kSlopeKeys), runs));
  EXPECT_NE(page.find("| scale-10-1.json | void | the lab was late |"), std::string::npos) << page;
  EXPECT_NE(page.find("| scale-20-1.json | broken | a term |"), std::string::npos) << page;
}

TEST(CapacityFitTest, OnlyRunsThatHaveWhatARowAsksCount) {
  const std::string keys = kSlopeKeys + "where = { \"/tenants\" = 0 }\n";
  CapacityRun other = ScaleRun(20, 9);
  other.result["tenants"] = 100;
  CapacityRun unsaid = ScaleRun(30, 9);
  unsaid.result.erase("tenants");
  CapacityRun null = ScaleRun(40, 9);
  null.result["gateway"] = nullptr;
  EXPECT_EQ(FitOf(keys, {ScaleRun(10, 1), other, unsaid, null}).sizes, (std::vector<double>{10}));
}

TEST(CapacityFitTest, AFigureThatIsNoNumberIsNamed) {
  CapacityRun run = ScaleRun(10, 1);
  run.result["gateway"]["cpu_core"] = "much";
  EXPECT_EQ(FaultOf([&] { FitOf(kSlopeKeys, {run}); }),
            "scale-10-1.json: /gateway/cpu_core: no number, expected a number or null");
}

TEST(CapacityFitTest, ARateLeadsToTheNearestEntry) {
  const std::string keys = Replaced(kSlopeKeys, "/gateway/cpu_core", "/added/@160/p99_ms");
  CapacityRun run = ScaleRun(10, 1);
  run.result["added"] = {{{"rate", 40}, {"p99_ms", 1}},
                         {{"rate", 150}, {"p99_ms", 2}},
                         {{"rate", 640}, {"p99_ms", 3}}};
  EXPECT_EQ(FitOf(keys, {run}).fixed, 2);
  run.result["added"] = {{{"rate", 640}, {"p99_ms", 3}}};
  EXPECT_TRUE(FitOf(keys, {run}).sizes.empty()) << "measured at another rate altogether";
}

TEST(CapacityFitTest, ALimitEndsBelowTheSmallestThatWasBroken) {
  CapacityFit fit = FitOf(kLimitKeys, {ListRun(1000, true), ListRun(99000, false, "broken"),
                                       ListRun(25000, true), ListRun(200000, true)});
  EXPECT_EQ(fit.held_to, 25000);
  EXPECT_EQ(fit.broken_from, 99000);
  EXPECT_TRUE(FitOf(kLimitKeys, {ListRun(0, false, "broken")}).sizes.empty());
  fit = FitOf(kLimitKeys, {ListRun(1000, true, "broken"), ListRun(2000, false, "void")});
  EXPECT_TRUE(fit.sizes.empty()) << "neither shows where the limit is";
}

TEST(CapacityFitTest, RunsAreReadByName) {
  const std::filesystem::path folder =
      std::filesystem::temp_directory_path() / fmt::format("capacity-{}", ::getpid());
  std::filesystem::create_directories(folder);
  const auto write = [&](const std::string& name, const std::string& text) {
    std::ofstream(folder / name) << text;
  };
  write("b.json", ScaleRun(10, 1).result.dump());
  write("a.json", ListRun(10, true).result.dump());
  write("README.md", "no run");
  const std::vector<CapacityRun> runs = ReadRuns(folder);
  ASSERT_EQ(runs.size(), 2U);
  EXPECT_EQ(runs[0].file, "a.json");
  const auto fault = [&](const std::string& text) {
    write("c.json", text);
    return Replaced(FaultOf([&] { ReadRuns(folder); }), folder.string() + "/", "");
  };
  EXPECT_EQ(fault("{"), "c.json: no JSON, expected what a lab command wrote with --json");
  EXPECT_EQ(fault("[]"), "c.json: no object, expected what a lab command wrote with --json");
  json run = ScaleRun(10, 1).result;
  run["verdict"] = "good";
  EXPECT_EQ(fault(run.dump()), "c.json: verdict: wrong value, expected held, broken or void");
  run.erase("commit");
  EXPECT_EQ(fault(run.dump()), "c.json: commit: missing, expected a text");
  run = ScaleRun(10, 1).result;
  run.erase("members");
  EXPECT_EQ(fault(run.dump()),
            "c.json: members: missing, and hosts as well, expected one of them, the run's size");
  std::filesystem::remove_all(folder);
  EXPECT_NE(FaultOf([&] { ReadRuns(folder); }).find("expected a folder of runs"),
            std::string::npos);
}

// ---- Weighing -------------------------------------------------------------------------------

TEST(CapacityTest, SharesAreOfWhatIsAllowedAndTheWorstIsFirst) {
  const auto weighed = [](double times, const std::string& allowed) {
    return kSlopeKeys + fmt::format("times = {}\n", times) + allowed;
  };
  const std::vector<CapacityRun> runs = {ScaleRun(10, 11), ScaleRun(20, 21), ScaleRun(40, 41)};
  const Capacity capacity =
      Weighed(RowText("told", weighed(1, "")) + RowText("room", weighed(1, "allowed = 15002\n")) +
                  RowText("over", weighed(2, "allowed = \"hosts / 99000 * 7501\"\n")) +
                  RowText("unmeasured",
                          "kind = \"slope\"\nfigure = \"/x\"\nby = \"/members\"\n"
                          "size = \"gateways\"\nallowed = 1\n") +
                  RowText("absent", "kind = \"none\"\n") +
                  RowText("sum",
                          "kind = \"sum\"\nwhole = [\"told\"]\ngrowth = [\"over\"]\n"
                          "allowed = \"gateways\"\n"),
              runs);
  std::vector<std::string> order;
  for (const CapacityLine& line : capacity.lines) {
    order.push_back(line.row.id);
  }
  EXPECT_EQ(order,
            (std::vector<std::string>{"absent", "sum", "over", "room", "unmeasured", "told"}));
  const json rows = json::parse(ToJson(capacity)).at("rows");
  EXPECT_EQ(rows[0]["share"], "none");
  EXPECT_EQ(rows[1]["at_target"], 7501 + 15000);
  EXPECT_EQ(rows[2]["share"], 2.0);
  EXPECT_EQ(rows[3]["share"], 0.5);
  EXPECT_EQ(rows[3]["at_target"], 7501.0);
  EXPECT_EQ(rows[3]["allowed"], 15002.0);
  EXPECT_EQ(rows[3]["role"], "gateway");
  EXPECT_EQ(rows[3]["what"], "it");
  EXPECT_EQ(rows[3]["mechanism"], "src/balancer/load_balancer.cpp");
  EXPECT_EQ(rows[3]["largest_measured"], 40.0);
  EXPECT_EQ(rows[3]["past_largest"], 187.5);
  EXPECT_EQ(rows[3]["assumption"], false);
  EXPECT_EQ(rows[4]["share"], nullptr);
  EXPECT_EQ(rows[5]["share"], nullptr);
}

TEST(CapacityTest, FewerThanThreeSizesAreAnAssumption) {
  const auto line = [](const std::vector<CapacityRun>& runs) {
    return Weighed(RowText("x", kSlopeKeys + "allowed = 1\n"), runs).lines.front();
  };
  EXPECT_FALSE(line({ScaleRun(10, 1), ScaleRun(20, 2), ScaleRun(40, 4)}).assumed);
  EXPECT_TRUE(line({ScaleRun(10, 1), ScaleRun(20, 2), ScaleRun(30, 3)}).assumed)
      << "three sizes, but not each double the last";
  const CapacityLine two = line({ScaleRun(10, 1), ScaleRun(20, 2)});
  EXPECT_TRUE(two.assumed);
  EXPECT_NEAR(two.at_target.value(), 750, 1e-9);
  const CapacityLine one = line({ScaleRun(10, 1)});
  EXPECT_TRUE(one.assumed);
  EXPECT_EQ(one.at_target, std::nullopt) << "one size says nothing of larger ones";
  EXPECT_EQ(one.share_kind, ShareKind::kUnknown);
  EXPECT_EQ(line({ScaleRun(7500, 1)}).at_target, 1) << "measured at the target itself";
  const std::string page =
      ToMarkdown(Weighed(RowText("x", kSlopeKeys), {ScaleRun(10, 1), ScaleRun(20, 2)}));
  EXPECT_NE(page.find("(`x`) | 750  | measured at 10; 20 alone"), std::string::npos) << page;
}

TEST(CapacityTest, ThePageTellsTheLineWithItsTerms) {
  const std::string page = ToMarkdown(
      Weighed(RowText("x", Replaced(kSlopeKeys, "\"gateways\"", "\"tenants * 41 + routes\"") +
                               "times = \"changes_per_day / 1000000\"\n"),
              {ScaleRun(10, 21), ScaleRun(20, 41), ScaleRun(40, 81)}));
  EXPECT_NE(
      page.find("| gateway | it | 378,480 | - | told | (1 + 2 x (tenants * 41 + routes)) x "
                "(changes_per_day / 1000000), off by 0 | 10; 20; 40 | 1; 1; 1 | - | 249,000 x "
                "| src/balancer/load_balancer.cpp | `x` |\n"),
      std::string::npos)
      << page;
}

TEST(CapacityTest, ALimitsShareIsTheTargetOverTheLargestThatHeld) {
  const auto line = [](const std::vector<CapacityRun>& runs) {
    return Weighed(RowText("x", kLimitKeys), runs).lines.front();
  };
  const CapacityLine over =
      line({ListRun(1000, true), ListRun(24750, true), ListRun(99000, false)});
  EXPECT_EQ(over.share_kind, ShareKind::kKnown);
  EXPECT_EQ(over.share, 4);
  EXPECT_EQ(over.allowed, 24750);
  EXPECT_EQ(line({ListRun(198000, true)}).share, 0.5);
  EXPECT_EQ(line({ListRun(1000, false)}).share_kind, ShareKind::kNone);
  EXPECT_EQ(line({}).share_kind, ShareKind::kUnknown);
}

// ---- Files that are not good ----------------------------------------------------------------

TEST(CapacityFileTest, AFaultOfTheTargetIsOneLineWithFileLineAndKey) {
  const std::string& text = kTarget;
  EXPECT_EQ(TargetFault(text), "");
  EXPECT_EQ(TargetFault(Replaced(text, "gateways = 7_500", "")),
            "t.toml: gateways: missing, expected a whole number from 1 to 1000000");
  EXPECT_NE(TargetFault(Replaced(text, "memory_mb = 64\n", "")).find("control_gateway.memory_mb: "),
            std::string::npos);
  EXPECT_EQ(TargetFault("gatways = 1\n" + text)
                .rfind("t.toml:1: gatways: unknown key, expected one of added_p99_ms, ", 0),
            0U);
  EXPECT_EQ(TargetFault(text + "cpu = 1\n"),
            fmt::format("t.toml:{}: control_gateway.cpu: unknown key, expected one of bytes_per_s, "
                        "cpu_core, memory_mb",
                        std::ranges::count(text, '\n') + 1));
  for (const auto& [value, what] : {std::pair{"\"many\"", "no whole number"},
                                    {"7.5", "no whole number"},
                                    {"true", "no whole number"},
                                    {"0", "0 is out of range"},
                                    {"-3", "-3 is out of range"}}) {
    EXPECT_EQ(
        TargetFault(Replaced(text, "7_500", value)),
        fmt::format("t.toml:1: gateways: {}, expected a whole number from 1 to 1000000", what));
  }
  EXPECT_EQ(TargetFault("gateways = \n").rfind("t.toml:1: ", 0), 0U);
}

TEST(CapacityFileTest, AFaultOfTheRowsIsOneLineWithFileLineAndKey) {
  const auto fault = [](const std::string& text) {
    return FaultOf([&] { ParseRows(text, "rows.toml"); });
  };
  const std::string good = RowText("x", kSlopeKeys);
  EXPECT_EQ(fault(good), "");
  EXPECT_EQ(fault(Replaced(good, "by = ", "buy = ")).rfind("rows.toml:9: row[0].buy: unknown", 0),
            0U);
  EXPECT_EQ(fault(Replaced(good, "by = \"/members\"\n", "")),
            "rows.toml:1: row[0].by: missing, expected a pointer to the size");
  EXPECT_EQ(fault(Replaced(good, "\"gateway\"", "\"gate\"")),
            "rows.toml:3: row[0].role: 'gate', expected one of discovery's agent, gateway, leader, "
            "operator's command, relay, the lab, voter");
  EXPECT_EQ(fault(Replaced(good, "\"/members\"", "\"members\"")),
            "rows.toml:9: row[0].by: 'members', expected a pointer such as /leader/cpu_core");
  EXPECT_EQ(fault(Replaced(good, "\"it\"", "4")),
            "rows.toml:4: row[0].what: no text, expected a text");
  EXPECT_EQ(fault(good + good), "rows.toml: row 'x': twice, expected an id of its own");
  EXPECT_EQ(fault(RowText("s", "kind = \"sum\"\nwhole = [\"x\"]\n") + good),
            "rows.toml: row 's': no row 'x', expected rows above it");
}

TEST(CapacityFileTest, AQuantityThatCantBeReckonedIsNamed) {
  const auto fault = [](const std::string& size) {
    return FaultOf([&] {
      Weighed(RowText("x", Replaced(kSlopeKeys, "\"gateways\"", "\"" + size + "\"")), {});
    });
  };
  EXPECT_EQ(fault("tenants * 41 + routes * 120 / 2"), "");
  EXPECT_EQ(fault("gatways"),
            "rows.toml:10: row[0].size: 'gatways', expected a number or a key of t.toml");
  EXPECT_EQ(fault("hosts *"), "rows.toml:10: row[0].size: 'hosts *', expected a term at its end");
  EXPECT_EQ(fault("hosts - 1"), "rows.toml:10: row[0].size: '-', expected *, / or + between terms");
}

TEST(CapacityFileTest, AKeyOfTheTargetThatNothingCoversIsNamed) {
  const CapacityTarget target = TestTarget();
  const auto fault = [&](const std::string& covers) {
    const CapacityRows rows = ParseRows(RowText("x", kSlopeKeys) + covers, "rows.toml");
    return FaultOf([&] { WeighCapacity(target, rows, FitRuns(rows, {})); });
  };
  EXPECT_EQ(fault(CoversAll()), "");
  EXPECT_EQ(fault(Replaced(CoversAll(), "\"regions\", ", "")),
            fmt::format("t.toml:{}: regions: not covered, expected a row or an assumption of "
                        "rows.toml that covers it",
                        target.lines.at("regions")));
  EXPECT_EQ(fault(Replaced(CoversAll(), "regions", "lands")),
            "rows.toml: assumption 'a': covers: 'lands', expected a key of t.toml");
}

TEST(CapacityFileTest, SlopesAndRowsGoTogether) {
  const CapacityRows rows = ParseRows(RowText("x", kSlopeKeys), "rows.toml");
  const std::vector<CapacityRun> runs = {ScaleRun(10, 1.5), ScaleRun(20, 2, "void")};
  const std::string good = ToJson(FitRuns(rows, runs), rows);
  EXPECT_EQ(ToJson(ParseSlopes(good, "s.json", rows), rows), good);
  const auto fault = [&](const std::string& text, const CapacityRows& of) {
    return FaultOf([&] { ParseSlopes(text, "s.json", of); });
  };
  EXPECT_EQ(fault(good, ParseRows("", "rows.toml")),
            "s.json: rows.x: no such row, expected a row of rows.toml");
  EXPECT_EQ(
      fault(good, ParseRows(RowText("x", kSlopeKeys) + RowText("y", kSlopeKeys), "rows.toml")),
      "s.json: rows.y: missing, expected a fit of this row; make it with --fit");
  EXPECT_EQ(fault(Replaced(good, "\"fixed\"", "\"fix\""), rows),
            "s.json: rows.x.fixed: missing, expected what --fit writes");
  EXPECT_EQ(fault(Replaced(good, "\"kind\"", "\"more\": 1, \"kind\""), rows),
            "s.json: rows.x.more: unknown key, expected what --fit writes");
  EXPECT_EQ(fault(Replaced(good, "1.5", "\"1.5\""), rows),
            "s.json: rows.x.fixed: wrong type, expected a number or null");
  EXPECT_EQ(fault("{", rows), "s.json: no JSON, expected what lab capacity --fit writes");
}

TEST(CapacityFileTest, TablesGoBetweenTheMarkersAndNowhereElse) {
  const std::string page = "head\n<!-- tables: begin -->\nold\n<!-- tables: end -->\nfoot\n";
  const std::string with = WithTables(page, "new\n", "p.md");
  EXPECT_EQ(with, "head\n<!-- tables: begin -->\n\nnew\n\n<!-- tables: end -->\nfoot\n");
  EXPECT_EQ(WithTables(with, "new\n", "p.md"), with);
  EXPECT_EQ(FaultOf([] { WithTables("head\n", "new\n", "p.md"); }).rfind("p.md: no place", 0), 0U);
}

// ---- The command ----------------------------------------------------------------------------

class CapacityCommandTest : public ::testing::Test {
 protected:
  CapacityCommandTest() {
    std::filesystem::create_directories(folder_ + "runs");
    Put("target.toml", kTarget);
    Put("rows.toml", RowText("x", kSlopeKeys + "allowed = 1\n") + CoversAll());
    Put("runs/a.json", ScaleRun(10, 10).result.dump());
    Put("runs/b.json", ScaleRun(20, 20).result.dump());
    Put("page.md", "<!-- tables: begin -->\n<!-- tables: end -->\n");
  }
  ~CapacityCommandTest() override { std::filesystem::remove_all(folder_); }

  void Put(const std::string& name, const std::string& text) {
    std::ofstream(folder_ + name) << text;
  }
  // The exit code; what it says is in `said`, with the folder left out.
  int Run(std::vector<std::string> words) {
    words.insert(words.begin(), {"lab", "capacity", "--rows", folder_ + "rows.toml", "--slopes",
                                 folder_ + "slopes.json"});
    testing::Child child;
    child.Start({}, words, [] { dup2(STDERR_FILENO, STDOUT_FILENO); });
    const int code = child.Wait();
    said = child.Text();
    for (size_t at; (at = said.find(folder_)) != std::string::npos;) {
      said.erase(at, folder_.size());
    }
    return code;
  }
  int Fit() { return Run({"--fit", folder_ + "runs"}); }
  int Weigh(std::vector<std::string> words = {}) {
    words.insert(words.begin(), {"--target", folder_ + "target.toml"});
    return Run(words);
  }

  const std::string folder_ =
      ::testing::TempDir() + fmt::format("paddlestile-capacity-{}/", ::getpid());
  std::string said;
};

TEST_F(CapacityCommandTest, FitsWeighsAndReportsWhatIsPastItsShare) {
  ASSERT_EQ(Fit(), 0) << said;
  ASSERT_EQ(Weigh(), 0) << said;
  EXPECT_NE(said.find("| **7,500 (assumption)** | 0 + 1 x gateways"), std::string::npos) << said;
  const std::string tables = said;
  ASSERT_EQ(Weigh({"--json"}), 0) << said;
  EXPECT_EQ(json::parse(said).at("rows")[0].at("share"), 7500.0);
  ASSERT_EQ(Weigh({"--page", folder_ + "page.md"}), 0) << said;
  EXPECT_EQ(TextOf(folder_ + "page.md"),
            "<!-- tables: begin -->\n\n" + tables + "\n<!-- tables: end -->\n");
}

TEST_F(CapacityCommandTest, WhatIsNotGoodIsOneLineAndTwo) {
  EXPECT_EQ(Weigh(), 2);
  EXPECT_EQ(said, "slopes.json: can't be read, expected a file\n");
  ASSERT_EQ(Fit(), 0) << said;
  Put("target.toml", "gateways = 0\n");
  EXPECT_EQ(Weigh(), 2);
  EXPECT_EQ(said, "target.toml: control_gateway: missing, expected a table\n");
  Put("target.toml", Replaced(kTarget, "7_500", "0"));
  EXPECT_EQ(Weigh(), 2);
  EXPECT_EQ(said.rfind("target.toml:1: gateways: 0 is out of range, expected ", 0), 0U) << said;
  Put("runs/b.json", "{}");
  EXPECT_EQ(Fit(), 2);
  EXPECT_EQ(said, "runs/b.json: command: missing, expected a text\n");
  Put("page.md", "no markers\n");
  Put("target.toml", kTarget);
  EXPECT_EQ(Weigh({"--page", folder_ + "page.md"}), 2);
  EXPECT_EQ(said.rfind("page.md: no place for the tables, expected ", 0), 0U) << said;
  EXPECT_EQ(TextOf(folder_ + "page.md"), "no markers\n");
}

// ---- What is committed ----------------------------------------------------------------------

// As `paddlestile lab capacity --fit lab/capacity/runs` writes it.
TEST(CapacityPageTest, SlopesAgreeWithRuns) {
  const CapacityRows rows = CommittedRows();
  EXPECT_EQ(TextOf(kFolder + "slopes.json"),
            ToJson(FitRuns(rows, ReadRuns(kFolder + "runs")), rows));
}

// As `paddlestile lab capacity --page docs/CAPACITY.md` writes it.
TEST(CapacityPageTest, PageAgreesWithSlopes) {
  const CapacityRows rows = CommittedRows();
  const CapacitySlopes slopes = ParseSlopes(TextOf(kFolder + "slopes.json"), "slopes.json", rows);
  const std::string page = TextOf(std::string(PADDLESTILE_SOURCE) + "/docs/CAPACITY.md");
  EXPECT_EQ(page,
            WithTables(page, ToMarkdown(WeighCapacity(CommittedTarget(), rows, slopes)), "page"));
}

TEST(CapacityPageTest, MechanismsAreFilesOrNone) {
  for (const CapacityRow& row : CommittedRows().rows) {
    EXPECT_EQ(row.mechanism == "none", row.kind == CapacityKind::kNone) << row.id;
    if (row.mechanism == "none") {
      continue;
    }
    std::istringstream files(row.mechanism);
    for (std::string file; std::getline(files >> std::ws, file, ',');) {
      EXPECT_TRUE(std::filesystem::is_regular_file(std::string(PADDLESTILE_SOURCE) + "/" + file))
          << row.id << ": " << file;
    }
  }
}

// A row that a run of its sort can't feed would stay "not measured" for ever.
TEST(CapacityPageTest, EveryFigureIsOneThatTheCommandsGive) {
  const std::vector<std::string> process = {"cpu_core",    "rss_mb",     "bytes_in_s",
                                            "bytes_out_s", "messages_s", "descriptors"};
  std::set<std::string> known = {"/members",
                                 "/hosts",
                                 "/tenants",
                                 "/verdict",
                                 "/leader_dies",
                                 "/changes",
                                 "/hollow_member/cpu_core",
                                 "/hollow_member/rss_mb",
                                 "/change/version_bytes",
                                 "/change/in_force_ms/p99",
                                 "/change/in_force_ms/most",
                                 "/change/faults_in_force_ms_most",
                                 "/change/slow_in_force_ms_most",
                                 "/change/told_ms/p99",
                                 "/operator/cpu_s",
                                 "/operator/memory_mb",
                                 "/change/bytes_each",
                                 "/change/cpu_ms_each",
                                 "/return/members",
                                 "/return/level_ms_most",
                                 "/return/slow_level_ms_most",
                                 "/return/bytes_each",
                                 "/contradiction_ms_most",
                                 "/unavailable_ms_most",
                                 "/requests/p99_ms",
                                 "/machine/rss_mb_most",
                                 "/machine/lab_cpu_core",
                                 "/machine/lab_late_ms_most",
                                 "/list/bytes",
                                 "/list/taken",
                                 "/list/asked_whole",
                                 "/list/ready_known_ms",
                                 "/list/taken_ms",
                                 "/list/loop_stand_ms_most",
                                 "/list/cpu_s",
                                 "/list/rss_mb",
                                 "/list_changes/cpu_core",
                                 "/list_changes/loop_stand_ms_most",
                                 "/list_changes/bytes_s",
                                 "/settings/ready_ms",
                                 "/settings/refused",
                                 "/settings/rss_mb",
                                 "/settings/reread_ms",
                                 "/settings/reread_cpu_s",
                                 "/settings/loop_stand_ms_most",
                                 "/added/@160/p99_ms",
                                 "/added/@640/p99_ms"};
  for (const std::string role : {"leader", "voter", "gateway"}) {
    for (const std::string& figure : process) {
      known.insert(fmt::format("/{}/{}", role, figure));
    }
  }
  for (const CapacityRow& row : CommittedRows().rows) {
    for (const std::string& figure : row.figure) {
      EXPECT_TRUE(known.contains(figure)) << figure;
    }
    for (const auto& [pointer, value] : row.where) {
      EXPECT_TRUE(known.contains(pointer)) << pointer;
    }
    if (!row.by.empty()) {
      EXPECT_TRUE(known.contains(row.by)) << row.by;
    }
  }
}

}  // namespace
}  // namespace paddlestile::lab
