// Tests the output and exit code of bench/regression with a fake of the operators' bench.
#include <gtest/gtest.h>
#include <sys/wait.h>
#include <unistd.h>

#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <string>

namespace paddlestile {
namespace {

namespace fs = std::filesystem;

class RegressionTest : public ::testing::Test {
 protected:
  RegressionTest() {
    fs::create_directories(root_ / "main/bench");
    fs::create_directories(root_ / "given/kit/sites");
    fs::copy_file(fs::path(PADDLESTILE_SOURCE) / "bench/regression",
                  root_ / "main/bench/regression");
    std::ofstream(root_ / "main/bench/figures.txt")
        << "# a comment\nday 0.900 ops --quick\nfleet 0.860 mass --quick\nfleet-full 0.800 mass\n";
    std::ofstream(root_ / "given/kit/sites/padana-main.toml") << "\n";
    CreateBench("ops", "score of the real nodes 0.905 (mean)");
    CreateBench("mass", "score of the real nodes 0.861 (mean)\nGATE passed");
  }
  ~RegressionTest() override { fs::remove_all(root_); }

  // Creates the bench `name`, which prints `text`.
  void CreateBench(const std::string& name, const std::string& text) {
    const fs::path folder = root_ / "given/kit/more" / name / "bin";
    fs::create_directories(folder);
    std::ofstream(folder / "lbreal") << "#!/bin/sh\ncat <<'END'\n" << text << "\nEND\n";
    fs::permissions(folder / "lbreal", fs::perms::owner_all);
  }
  int RunRegression(const std::string& panel = "") {
    const std::string out = root_ / "out";
    const std::string command = root_ / "main/bench/regression";
    const int status = std::system((command + " " + panel + " >" + out + " 2>&1").c_str());
    std::ifstream file(out);
    text_.assign(std::istreambuf_iterator<char>(file), std::istreambuf_iterator<char>());
    return WEXITSTATUS(status);
  }
  const fs::path root_ =
      fs::path(::testing::TempDir()) / ("paddlestile-regression-" + std::to_string(getpid()));
  std::string text_;
};

TEST_F(RegressionTest, RunsFullPanelsOnlyByName) {
  EXPECT_EQ(RunRegression(), 0) << text_;
  EXPECT_EQ(text_,
            "regression: day: 0.905, kept 0.900: holds\n"
            "regression: fleet: 0.861, kept 0.860: holds\n");
  EXPECT_EQ(RunRegression("fleet-full"), 0) << text_;
  EXPECT_EQ(text_, "regression: fleet-full: 0.861, kept 0.800: holds\n");
}

// Guards against passing a version that fails the operators' gate: such a version is not deployed,
// whatever its score.
TEST_F(RegressionTest, ReportsAFailedGateWhateverTheScore) {
  CreateBench("mass",
              "score of the real nodes 0.999 (mean)\nGATE failed: drains kept, on herd+mass");
  EXPECT_EQ(RunRegression(), 1);
  EXPECT_NE(text_.find("fleet: 0.999, kept 0.860, GATE failed: drains kept, on herd+mass\n"),
            std::string::npos)
      << text_;
}

TEST_F(RegressionTest, ReportsABrokenRuleALowScoreAndAMissingScore) {
  CreateBench("ops", "day BROKEN: lost\nscore of the real nodes 0.950 (mean)");
  EXPECT_EQ(RunRegression("day"), 1);
  EXPECT_NE(text_.find("BROKEN: lost"), std::string::npos) << text_;
  CreateBench("ops", "score of the real nodes 0.860 (mean)");
  EXPECT_EQ(RunRegression("day"), 1);
  EXPECT_NE(text_.find("fell by more than 0.03"), std::string::npos) << text_;
  CreateBench("ops", "it does not build");
  EXPECT_EQ(RunRegression("day"), 1);
  EXPECT_EQ(text_, "regression: day: no figure: it does not build\n");
}

TEST_F(RegressionTest, MissingKitOrUnknownPanelExitsWithTwo) {
  EXPECT_EQ(RunRegression("days"), 2);
  EXPECT_NE(text_.find("no panel 'days', expected one of: day fleet fleet-full"), std::string::npos)
      << text_;
  fs::remove_all(root_ / "given/kit/more/mass");
  EXPECT_EQ(RunRegression("fleet"), 2) << text_;
}

}  // namespace
}  // namespace paddlestile
