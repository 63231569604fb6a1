// Tests fitting, evaluation, error messages and the command, and that the committed runs, slopes
// and capacity page agree.
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

const std::string kCapacityDirectory = std::string(PADDLESTILE_SOURCE) + "/lab/capacity/";

std::string ReadFile(const std::string& path) {
  std::ifstream file(path);
  EXPECT_TRUE(file) << path;
  return {std::istreambuf_iterator<char>(file), std::istreambuf_iterator<char>()};
}

std::string ReplaceFirst(std::string text, const std::string& from, const std::string& to) {
  const size_t at = text.find(from);
  EXPECT_NE(at, std::string::npos) << from;
  return text.replace(at, from.size(), to);
}

// Independent of the committed target, so that a change of that one does not affect these tests.
const std::string kTargetToml =
    "gateways = 7_500\nhosts = 99_000\nservices = 2_900\nrequests_per_s = 1_200_000\n"
    "requests_per_s_per_gateway = 160\nroutes = 120_000\ntenants = 240_000\n"
    "added_p99_ms = 1.4\nregions = 3\nzones_in_all = 7\nzones_in_each = 7\n"
    "changes_per_day = 19_000\nin_force_within_s = 16\ncontrol_machines = 18\n"
    "machines_failing_per_day = 230\nmachines_replaced_per_day = 18_000\n"
    "racks_lost_per_day = 1\nzones_lost_per_year = 6\nregions_parted_h = 1\n"
    "[control_gateway]\ncpu_core = 0.036\nmemory_mb = 64\nbytes_per_s = 3_000\n";

CapacityTarget TestTarget() {
  return ParseTarget(kTargetToml, "t.toml");
}
CapacityTarget CommittedTarget() {
  return ParseTarget(ReadFile(kCapacityDirectory + "target.toml"), "t.toml");
}
CapacityRows CommittedRows() {
  return ParseRows(ReadFile(kCapacityDirectory + "rows.toml"), "rows.toml");
}

template <typename Function>
std::string ErrorOf(Function&& function) {
  try {
    function();
    return "";
  } catch (const CapacityError& error) {
    return error.what();
  }
}

std::string TargetError(const std::string& text) {
  return ErrorOf([&] { ParseTarget(text, "t.toml"); });
}

// Returns a row in TOML with the given keys added.
std::string RowToml(const std::string& id, const std::string& more_keys) {
  return fmt::format(
      "[[row]]\nid = \"{}\"\nrole = \"gateway\"\nwhat = \"it\"\ntable = \"steady\"\n"
      "mechanism = \"src/balancer/load_balancer.cpp\"\n{}\n",
      id, more_keys);
}
const std::string kSlopeKeys =
    "kind = \"slope\"\nfigure = \"/gateway/cpu_core\"\nby = \"/members\"\nsize = \"gateways\"\n";
const std::string kLimitKeys =
    "kind = \"limit\"\nfigure = \"/list/taken\"\nby = \"/hosts\"\nsize = \"hosts\"\nholds = true\n";

// Covers all keys of the target, so that a file of a few rows can be evaluated.
std::string AssumptionCoveringAllKeys() {
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
  return FitRuns(ParseRows(RowToml("x", keys), "rows.toml"), runs).fits.at("x");
}

Capacity EvaluateRows(const std::string& text, const std::vector<CapacityRun>& runs) {
  const CapacityRows rows = ParseRows(text + AssumptionCoveringAllKeys(), "rows.toml");
  return WeighCapacity(TestTarget(), rows, FitRuns(rows, runs));
}

// ---- Fitting --------------------------------------------------------------------------------

TEST(CapacityFitTest, FindsLineResidualAndSpread) {
  // 0.002 + 0.0001 x members, off by 0.001 to either side at each size.
  std::vector<CapacityRun> runs;
  for (const double members : {400.0, 25.0, 100.0}) {
    const double cpu = 0.002 + 0.0001 * members;
    runs.push_back(ScaleRun(members, cpu - 0.001, "held", 1));
    runs.push_back(ScaleRun(members, cpu + 0.001, "held", 2));
  }
  const CapacityFit fit = FitOf(kSlopeKeys, runs);
  EXPECT_EQ(fit.sizes, (std::vector<double>{25, 100, 400}));
  EXPECT_EQ(fit.run_counts, (std::vector<size_t>{2, 2, 2}));
  EXPECT_NEAR(fit.intercept.value(), 0.002, 1e-9);
  EXPECT_NEAR(fit.slope.value(), 0.0001, 1e-9);
  EXPECT_NEAR(fit.rms_residual.value(), 0.001, 1e-9);
  EXPECT_NEAR(fit.spread.value(), 0.4444, 1e-9);  // 0.002 of 0.0045, at 25 members
  EXPECT_EQ(fit.files.size(), 6U);
  EXPECT_EQ(fit.files.front(), "scale-400-1.json");
  EXPECT_EQ(fit.seeds, (std::vector<uint64_t>{1, 2, 1, 2, 1, 2}));
}

TEST(CapacityFitTest, RoundsToFourDigits) {
  const CapacityFit fit = FitOf(kSlopeKeys, {ScaleRun(1, 1.0 / 3), ScaleRun(2, 2.0 / 3)});
  EXPECT_EQ(fit.slope, 0.3333);
}

// Otherwise, the committed slopes would differ from those fitted on another machine.
TEST(CapacityFitTest, RoundsFloatingPointErrorToZero) {
  std::vector<CapacityRun> runs;
  for (const double members : {25.0, 100.0, 400.0}) {
    runs.push_back(ScaleRun(members, 1e-5 * members));
  }
  CapacityFit fit = FitOf(kSlopeKeys, runs);
  EXPECT_EQ(fit.slope, 1e-5);
  EXPECT_EQ(fit.intercept, 0);
  EXPECT_EQ(fit.rms_residual, 0);
  runs.clear();
  for (const double members : {25.0, 100.0, 400.0}) {
    runs.push_back(ScaleRun(members, 0.004));
  }
  fit = FitOf(kSlopeKeys, runs);
  EXPECT_EQ(fit.slope, 0);
  EXPECT_EQ(fit.intercept, 0.004);
}

TEST(CapacityFitTest, HasNoSpreadWithoutRepeatedRuns) {
  EXPECT_EQ(FitOf(kSlopeKeys, {ScaleRun(1, 1), ScaleRun(2, 2)}).spread, std::nullopt);
}

TEST(CapacityFitTest, AddsTheFiguresOfARow) {
  const CapacityFit fit = FitOf(ReplaceFirst(kSlopeKeys, "\"/gateway/cpu_core\"",
                                             "[\"/gateway/bytes_in_s\", \"/gateway/bytes_out_s\"]"),
                                {ScaleRun(10, 10), ScaleRun(20, 20), ScaleRun(40, 40)});
  EXPECT_EQ(fit.slope, 4);
}

TEST(CapacityFitTest, ReplacesANegativeSlopeByZero) {
  const CapacityFit fit = FitOf(kSlopeKeys, {ScaleRun(10, 3), ScaleRun(20, 2), ScaleRun(40, 1)});
  EXPECT_EQ(fit.slope, 0);
  EXPECT_EQ(fit.intercept, 2);
}

TEST(CapacityFitTest, IgnoresFiguresOfVoidAndBrokenRuns) {
  const std::vector<CapacityRun> runs = {ScaleRun(10, 9, "void"), ScaleRun(20, 9, "broken")};
  const CapacityFit fit = FitOf(kSlopeKeys, runs);
  EXPECT_TRUE(fit.sizes.empty());
  EXPECT_FALSE(fit.intercept.has_value());
  const std::string page = ToMarkdown(EvaluateRows(RowToml("x", kSlopeKeys), runs));
  EXPECT_NE(page.find("| scale-10-1.json | void | the lab was late |"), std::string::npos) << page;
  EXPECT_NE(page.find("| scale-20-1.json | broken | a term |"), std::string::npos) << page;
}

TEST(CapacityFitTest, OnlyCountsRunsThatMeetTheConditions) {
  const std::string keys = kSlopeKeys + "where = { \"/tenants\" = 0 }\n";
  CapacityRun other_tenants = ScaleRun(20, 9);
  other_tenants.result["tenants"] = 100;
  CapacityRun without_tenants = ScaleRun(30, 9);
  without_tenants.result.erase("tenants");
  CapacityRun without_gateway = ScaleRun(40, 9);
  without_gateway.result["gateway"] = nullptr;
  EXPECT_EQ(FitOf(keys, {ScaleRun(10, 1), other_tenants, without_tenants, without_gateway}).sizes,
            (std::vector<double>{10}));
}

TEST(CapacityFitTest, ReportsAFigureThatIsNotANumber) {
  CapacityRun run = ScaleRun(10, 1);
  run.result["gateway"]["cpu_core"] = "much";
  EXPECT_EQ(ErrorOf([&] { FitOf(kSlopeKeys, {run}); }),
            "scale-10-1.json: /gateway/cpu_core: not a number, expected a number or null");
}

TEST(CapacityFitTest, SelectsTheEntryWithTheNearestRate) {
  const std::string keys = ReplaceFirst(kSlopeKeys, "/gateway/cpu_core", "/added/@160/p99_ms");
  CapacityRun run = ScaleRun(10, 1);
  run.result["added"] = {{{"rate", 40}, {"p99_ms", 1}},
                         {{"rate", 150}, {"p99_ms", 2}},
                         {{"rate", 640}, {"p99_ms", 3}}};
  EXPECT_EQ(FitOf(keys, {run}).intercept, 2);
  run.result["added"] = {{{"rate", 640}, {"p99_ms", 3}}};
  EXPECT_TRUE(FitOf(keys, {run}).sizes.empty()) << "measured at another rate altogether";
}

TEST(CapacityFitTest, LimitEndsBelowTheSmallestBrokenSize) {
  CapacityFit fit = FitOf(kLimitKeys, {ListRun(1000, true), ListRun(99000, false, "broken"),
                                       ListRun(25000, true), ListRun(200000, true)});
  EXPECT_EQ(fit.largest_met, 25000);
  EXPECT_EQ(fit.smallest_broken, 99000);
  EXPECT_TRUE(FitOf(kLimitKeys, {ListRun(0, false, "broken")}).sizes.empty());
  fit = FitOf(kLimitKeys, {ListRun(1000, true, "broken"), ListRun(2000, false, "void")});
  EXPECT_TRUE(fit.sizes.empty()) << "neither shows where the limit is";
}

TEST(CapacityFitTest, ReadsRunsInOrderOfTheirNames) {
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
  const auto error_of = [&](const std::string& text) {
    write("c.json", text);
    return ReplaceFirst(ErrorOf([&] { ReadRuns(folder); }), folder.string() + "/", "");
  };
  EXPECT_EQ(error_of("{"), "c.json: invalid JSON, expected what a lab command wrote with --json");
  EXPECT_EQ(error_of("[]"), "c.json: not an object, expected what a lab command wrote with --json");
  json run = ScaleRun(10, 1).result;
  run["verdict"] = "good";
  EXPECT_EQ(error_of(run.dump()), "c.json: verdict: wrong value, expected held, broken or void");
  run.erase("commit");
  EXPECT_EQ(error_of(run.dump()), "c.json: commit: missing, expected a string");
  run = ScaleRun(10, 1).result;
  run.erase("members");
  EXPECT_EQ(error_of(run.dump()),
            "c.json: members: missing, as is hosts, expected one of them as the size of the run");
  std::filesystem::remove_all(folder);
  EXPECT_NE(ErrorOf([&] { ReadRuns(folder); }).find("expected a folder of runs"),
            std::string::npos);
}

// ---- Evaluation -----------------------------------------------------------------------------

TEST(CapacityTest, OrdersRowsByShareOfTheAllowedValue) {
  const auto slope_keys = [](double times, const std::string& allowed) {
    return kSlopeKeys + fmt::format("times = {}\n", times) + allowed;
  };
  const std::vector<CapacityRun> runs = {ScaleRun(10, 11), ScaleRun(20, 21), ScaleRun(40, 41)};
  const Capacity capacity = EvaluateRows(
      RowToml("told", slope_keys(1, "")) + RowToml("room", slope_keys(1, "allowed = 15002\n")) +
          RowToml("over", slope_keys(2, "allowed = \"hosts / 99000 * 7501\"\n")) +
          RowToml("unmeasured",
                  "kind = \"slope\"\nfigure = \"/x\"\nby = \"/members\"\n"
                  "size = \"gateways\"\nallowed = 1\n") +
          RowToml("absent", "kind = \"none\"\n") +
          RowToml("sum",
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

TEST(CapacityTest, FitOfFewerThanThreeSizesIsAnAssumption) {
  const auto line = [](const std::vector<CapacityRun>& runs) {
    return EvaluateRows(RowToml("x", kSlopeKeys + "allowed = 1\n"), runs).lines.front();
  };
  EXPECT_FALSE(line({ScaleRun(10, 1), ScaleRun(20, 2), ScaleRun(40, 4)}).is_assumption);
  EXPECT_TRUE(line({ScaleRun(10, 1), ScaleRun(20, 2), ScaleRun(30, 3)}).is_assumption)
      << "three sizes, but not each double the last";
  const CapacityLine two = line({ScaleRun(10, 1), ScaleRun(20, 2)});
  EXPECT_TRUE(two.is_assumption);
  EXPECT_NEAR(two.at_target.value(), 750, 1e-9);
  const CapacityLine one = line({ScaleRun(10, 1)});
  EXPECT_TRUE(one.is_assumption);
  EXPECT_EQ(one.at_target, std::nullopt) << "one size says nothing of larger ones";
  EXPECT_EQ(one.share_kind, ShareKind::kUnknown);
  EXPECT_EQ(line({ScaleRun(7500, 1)}).at_target, 1) << "measured at the target itself";
  const std::string page =
      ToMarkdown(EvaluateRows(RowToml("x", kSlopeKeys), {ScaleRun(10, 1), ScaleRun(20, 2)}));
  EXPECT_NE(page.find("(`x`) | 750  | measured at 10; 20 alone"), std::string::npos) << page;
}

TEST(CapacityTest, PageShowsTheFormulaWithItsTerms) {
  const std::string page = ToMarkdown(EvaluateRows(
      RowToml("x", ReplaceFirst(kSlopeKeys, "\"gateways\"", "\"tenants * 41 + routes\"") +
                       "times = \"changes_per_day / 1000000\"\n"),
      {ScaleRun(10, 21), ScaleRun(20, 41), ScaleRun(40, 81)}));
  EXPECT_NE(
      page.find("| gateway | it | 378,480 | - | told | (1 + 2 x (tenants * 41 + routes)) x "
                "(changes_per_day / 1000000), off by 0 | 10; 20; 40 | 1; 1; 1 | - | 249,000 x "
                "| src/balancer/load_balancer.cpp | `x` |\n"),
      std::string::npos)
      << page;
}

TEST(CapacityTest, ShareOfALimitIsTargetOverLargestMetSize) {
  const auto line = [](const std::vector<CapacityRun>& runs) {
    return EvaluateRows(RowToml("x", kLimitKeys), runs).lines.front();
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

// ---- Invalid files --------------------------------------------------------------------------

TEST(CapacityFileTest, TargetErrorNamesFileLineAndKey) {
  const std::string& text = kTargetToml;
  EXPECT_EQ(TargetError(text), "");
  EXPECT_EQ(TargetError(ReplaceFirst(text, "gateways = 7_500", "")),
            "t.toml: gateways: missing, expected a whole number from 1 to 1000000");
  EXPECT_NE(
      TargetError(ReplaceFirst(text, "memory_mb = 64\n", "")).find("control_gateway.memory_mb: "),
      std::string::npos);
  EXPECT_EQ(TargetError("gatways = 1\n" + text)
                .rfind("t.toml:1: gatways: unknown key, expected one of added_p99_ms, ", 0),
            0U);
  EXPECT_EQ(TargetError(text + "cpu = 1\n"),
            fmt::format("t.toml:{}: control_gateway.cpu: unknown key, expected one of bytes_per_s, "
                        "cpu_core, memory_mb",
                        std::ranges::count(text, '\n') + 1));
  for (const auto& [value, what] : {std::pair{"\"many\"", "not a whole number"},
                                    {"7.5", "not a whole number"},
                                    {"true", "not a whole number"},
                                    {"0", "0 is out of range"},
                                    {"-3", "-3 is out of range"}}) {
    EXPECT_EQ(
        TargetError(ReplaceFirst(text, "7_500", value)),
        fmt::format("t.toml:1: gateways: {}, expected a whole number from 1 to 1000000", what));
  }
  EXPECT_EQ(TargetError("gateways = \n").rfind("t.toml:1: ", 0), 0U);
}

TEST(CapacityFileTest, RowsErrorNamesFileLineAndKey) {
  const auto error_of = [](const std::string& text) {
    return ErrorOf([&] { ParseRows(text, "rows.toml"); });
  };
  const std::string valid = RowToml("x", kSlopeKeys);
  EXPECT_EQ(error_of(valid), "");
  EXPECT_EQ(
      error_of(ReplaceFirst(valid, "by = ", "buy = ")).rfind("rows.toml:9: row[0].buy: unknown", 0),
      0U);
  EXPECT_EQ(error_of(ReplaceFirst(valid, "by = \"/members\"\n", "")),
            "rows.toml:1: row[0].by: missing, expected a pointer to the size");
  EXPECT_EQ(error_of(ReplaceFirst(valid, "\"gateway\"", "\"gate\"")),
            "rows.toml:3: row[0].role: 'gate', expected one of discovery's agent, gateway, leader, "
            "operator's command, relay, the lab, voter");
  EXPECT_EQ(error_of(ReplaceFirst(valid, "\"/members\"", "\"members\"")),
            "rows.toml:9: row[0].by: 'members', expected a pointer such as /leader/cpu_core");
  EXPECT_EQ(error_of(ReplaceFirst(valid, "\"it\"", "4")),
            "rows.toml:4: row[0].what: not a non-empty string, expected a string");
  EXPECT_EQ(error_of(valid + valid), "rows.toml: row 'x': duplicate id, expected a unique id");
  EXPECT_EQ(error_of(RowToml("s", "kind = \"sum\"\nwhole = [\"x\"]\n") + valid),
            "rows.toml: row 's': no row 'x', expected rows above it");
}

TEST(CapacityFileTest, ReportsAnInvalidQuantity) {
  const auto error_of = [](const std::string& size) {
    return ErrorOf([&] {
      EvaluateRows(RowToml("x", ReplaceFirst(kSlopeKeys, "\"gateways\"", "\"" + size + "\"")), {});
    });
  };
  EXPECT_EQ(error_of("tenants * 41 + routes * 120 / 2"), "");
  EXPECT_EQ(error_of("gatways"),
            "rows.toml:10: row[0].size: 'gatways', expected a number or a key of t.toml");
  EXPECT_EQ(error_of("hosts *"),
            "rows.toml:10: row[0].size: 'hosts *', expected a term at the end");
  EXPECT_EQ(error_of("hosts - 1"),
            "rows.toml:10: row[0].size: '-', expected *, / or + between terms");
}

TEST(CapacityFileTest, ReportsAnUncoveredTargetKey) {
  const CapacityTarget target = TestTarget();
  const auto error_of = [&](const std::string& covers) {
    const CapacityRows rows = ParseRows(RowToml("x", kSlopeKeys) + covers, "rows.toml");
    return ErrorOf([&] { WeighCapacity(target, rows, FitRuns(rows, {})); });
  };
  EXPECT_EQ(error_of(AssumptionCoveringAllKeys()), "");
  EXPECT_EQ(error_of(ReplaceFirst(AssumptionCoveringAllKeys(), "\"regions\", ", "")),
            fmt::format("t.toml:{}: regions: not covered, expected a row or an assumption of "
                        "rows.toml that covers it",
                        target.lines.at("regions")));
  EXPECT_EQ(error_of(ReplaceFirst(AssumptionCoveringAllKeys(), "regions", "lands")),
            "rows.toml: assumption 'a': covers: 'lands', expected a key of t.toml");
}

TEST(CapacityFileTest, RequiresSlopesThatMatchTheRows) {
  const CapacityRows rows = ParseRows(RowToml("x", kSlopeKeys), "rows.toml");
  const std::vector<CapacityRun> runs = {ScaleRun(10, 1.5), ScaleRun(20, 2, "void")};
  const std::string valid = ToJson(FitRuns(rows, runs), rows);
  EXPECT_EQ(ToJson(ParseSlopes(valid, "s.json", rows), rows), valid);
  const auto error_of = [&](const std::string& text, const CapacityRows& expected_rows) {
    return ErrorOf([&] { ParseSlopes(text, "s.json", expected_rows); });
  };
  EXPECT_EQ(error_of(valid, ParseRows("", "rows.toml")),
            "s.json: rows.x: no such row, expected a row of rows.toml");
  EXPECT_EQ(
      error_of(valid, ParseRows(RowToml("x", kSlopeKeys) + RowToml("y", kSlopeKeys), "rows.toml")),
      "s.json: rows.y: missing, expected a fit of this row; make it with --fit");
  EXPECT_EQ(error_of(ReplaceFirst(valid, "\"fixed\"", "\"fix\""), rows),
            "s.json: rows.x.fixed: missing, expected what --fit writes");
  EXPECT_EQ(error_of(ReplaceFirst(valid, "\"kind\"", "\"more\": 1, \"kind\""), rows),
            "s.json: rows.x.more: unknown key, expected what --fit writes");
  EXPECT_EQ(error_of(ReplaceFirst(valid, "1.5", "\"1.5\""), rows),
            "s.json: rows.x.fixed: wrong type, expected a number or null");
  EXPECT_EQ(error_of("{", rows), "s.json: invalid JSON, expected what lab capacity --fit writes");
}

TEST(CapacityFileTest, ReplacesOnlyTheTextBetweenTheMarkers) {
  const std::string page = "head\n<!-- tables: begin -->\nold\n<!-- tables: end -->\nfoot\n";
  const std::string updated = WithTables(page, "new\n", "p.md");
  EXPECT_EQ(updated, "head\n<!-- tables: begin -->\n\nnew\n\n<!-- tables: end -->\nfoot\n");
  EXPECT_EQ(WithTables(updated, "new\n", "p.md"), updated);
  EXPECT_EQ(ErrorOf([] { WithTables("head\n", "new\n", "p.md"); }).rfind("p.md: no markers", 0),
            0U);
}

// ---- The command ----------------------------------------------------------------------------

class CapacityCommandTest : public ::testing::Test {
 protected:
  CapacityCommandTest() {
    std::filesystem::create_directories(folder_ + "runs");
    WriteFile("target.toml", kTargetToml);
    WriteFile("rows.toml",
              RowToml("x", kSlopeKeys + "allowed = 1\n") + AssumptionCoveringAllKeys());
    WriteFile("runs/a.json", ScaleRun(10, 10).result.dump());
    WriteFile("runs/b.json", ScaleRun(20, 20).result.dump());
    WriteFile("page.md", "<!-- tables: begin -->\n<!-- tables: end -->\n");
  }
  ~CapacityCommandTest() override { std::filesystem::remove_all(folder_); }

  void WriteFile(const std::string& name, const std::string& text) {
    std::ofstream(folder_ + name) << text;
  }
  // Returns the exit code and stores the output, without the directory, in `output_`.
  int RunCommand(std::vector<std::string> arguments) {
    arguments.insert(arguments.begin(), {"lab", "capacity", "--rows", folder_ + "rows.toml",
                                         "--slopes", folder_ + "slopes.json"});
    testing::Child child;
    child.Start({}, arguments, [] { dup2(STDERR_FILENO, STDOUT_FILENO); });
    const int code = child.Wait();
    output_ = child.Text();
    for (size_t position; (position = output_.find(folder_)) != std::string::npos;) {
      output_.erase(position, folder_.size());
    }
    return code;
  }
  int RunFit() { return RunCommand({"--fit", folder_ + "runs"}); }
  int RunTables(std::vector<std::string> arguments = {}) {
    arguments.insert(arguments.begin(), {"--target", folder_ + "target.toml"});
    return RunCommand(arguments);
  }

  const std::string folder_ =
      ::testing::TempDir() + fmt::format("paddlestile-capacity-{}/", ::getpid());
  std::string output_;
};

TEST_F(CapacityCommandTest, FitsAndReportsAShareOverOne) {
  ASSERT_EQ(RunFit(), 0) << output_;
  ASSERT_EQ(RunTables(), 0) << output_;
  EXPECT_NE(output_.find("| **7,500 (assumption)** | 0 + 1 x gateways"), std::string::npos)
      << output_;
  const std::string tables = output_;
  ASSERT_EQ(RunTables({"--json"}), 0) << output_;
  EXPECT_EQ(json::parse(output_).at("rows")[0].at("share"), 7500.0);
  ASSERT_EQ(RunTables({"--page", folder_ + "page.md"}), 0) << output_;
  EXPECT_EQ(ReadFile(folder_ + "page.md"),
            "<!-- tables: begin -->\n\n" + tables + "\n<!-- tables: end -->\n");
}

TEST_F(CapacityCommandTest, InvalidInputGivesAOneLineErrorAndExitCodeTwo) {
  EXPECT_EQ(RunTables(), 2);
  EXPECT_EQ(output_, "slopes.json: can't be read, expected a file\n");
  ASSERT_EQ(RunFit(), 0) << output_;
  WriteFile("target.toml", "gateways = 0\n");
  EXPECT_EQ(RunTables(), 2);
  EXPECT_EQ(output_, "target.toml: control_gateway: missing, expected a table\n");
  WriteFile("target.toml", ReplaceFirst(kTargetToml, "7_500", "0"));
  EXPECT_EQ(RunTables(), 2);
  EXPECT_EQ(output_.rfind("target.toml:1: gateways: 0 is out of range, expected ", 0), 0U)
      << output_;
  WriteFile("runs/b.json", "{}");
  EXPECT_EQ(RunFit(), 2);
  EXPECT_EQ(output_, "runs/b.json: command: missing, expected a string\n");
  WriteFile("page.md", "no markers\n");
  WriteFile("target.toml", kTargetToml);
  EXPECT_EQ(RunTables({"--page", folder_ + "page.md"}), 2);
  EXPECT_EQ(output_.rfind("page.md: no markers for the tables, expected ", 0), 0U) << output_;
  EXPECT_EQ(ReadFile(folder_ + "page.md"), "no markers\n");
}

// ---- Committed files ------------------------------------------------------------------------

// The file must be as `paddlestile lab capacity --fit lab/capacity/runs` writes it.
TEST(CapacityPageTest, SlopesAgreeWithRuns) {
  const CapacityRows rows = CommittedRows();
  EXPECT_EQ(ReadFile(kCapacityDirectory + "slopes.json"),
            ToJson(FitRuns(rows, ReadRuns(kCapacityDirectory + "runs")), rows));
}

// The page must be as `paddlestile lab capacity --page docs/CAPACITY.md` writes it.
TEST(CapacityPageTest, PageAgreesWithSlopes) {
  const CapacityRows rows = CommittedRows();
  const CapacitySlopes slopes =
      ParseSlopes(ReadFile(kCapacityDirectory + "slopes.json"), "slopes.json", rows);
  const std::string page = ReadFile(std::string(PADDLESTILE_SOURCE) + "/docs/CAPACITY.md");
  EXPECT_EQ(page,
            WithTables(page, ToMarkdown(WeighCapacity(CommittedTarget(), rows, slopes)), "page"));
}

TEST(CapacityPageTest, MechanismsAreExistingFilesOrNone) {
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

// A row with a pointer that no command writes would never be measured.
TEST(CapacityPageTest, PointersNameFiguresThatTheCommandsWrite) {
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
    for (const std::string& figure : row.figure_pointers) {
      EXPECT_TRUE(known.contains(figure)) << figure;
    }
    for (const auto& [pointer, value] : row.conditions) {
      EXPECT_TRUE(known.contains(pointer)) << pointer;
    }
    if (!row.size_pointer.empty()) {
      EXPECT_TRUE(known.contains(row.size_pointer)) << row.size_pointer;
    }
  }
}

}  // namespace
}  // namespace paddlestile::lab
