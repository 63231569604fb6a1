// Tests .ci/check-layers on a copy of the sources: it passes for the unmodified sources and reports
// each kind of violation.
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

class LayersTest : public ::testing::Test {
 protected:
  LayersTest() {
    fs::create_directories(root_);
    const fs::path source = PADDLESTILE_SOURCE;
    fs::copy(source / "src", root_ / "src", fs::copy_options::recursive);
    fs::create_directories(root_ / "deploy");
    fs::copy_file(source / "deploy/balancer.toml", root_ / "deploy/balancer.toml");
  }
  ~LayersTest() override { fs::remove_all(root_); }

  // Runs the check, stores its output in text_ and returns its exit code.
  int Check() {
    const std::string out = root_ / "out";
    const std::string script = std::string(PADDLESTILE_SOURCE) + "/.ci/check-layers ";
    const int status = std::system((script + root_.string() + " >" + out + " 2>&1").c_str());
    text_ = Read(out);
    return WEXITSTATUS(status);
  }
  static std::string Read(const fs::path& path) {
    std::ifstream file(path);
    return {std::istreambuf_iterator<char>(file), std::istreambuf_iterator<char>()};
  }
  // Appends a line to a source file.
  void Append(const std::string& path, const std::string& line) {
    std::ofstream(root_ / path, std::ios::app) << line << "\n";
  }
  void Replace(const std::string& path, const std::string& from, const std::string& to) {
    std::string text = Read(root_ / path);
    const size_t at = text.find(from);
    ASSERT_NE(at, std::string::npos) << from;
    std::ofstream(root_ / path) << text.replace(at, from.size(), to);
  }
  void ExpectViolation(const std::string& line) {
    EXPECT_EQ(Check(), 1);
    EXPECT_NE(text_.find(line), std::string::npos) << text_;
  }

  const fs::path root_ =
      fs::path(::testing::TempDir()) / ("paddlestile-layers-" + std::to_string(getpid()));
  std::string text_;
};

TEST_F(LayersTest, UnmodifiedSourcesPass) {
  EXPECT_EQ(Check(), 0) << text_;
  EXPECT_EQ(text_, "");
}

TEST_F(LayersTest, ReportsIncludesFromHigherLayers) {
  for (const char* const folder : {"balancer", "raft", "cluster"}) {
    Append(std::string("src/") + folder + "/codec_extra.h", "#include \"gateway/gateway.h\"");
    ExpectViolation(std::string("codec_extra.h includes gateway/gateway.h, which src/") + folder +
                    " may not know");
    fs::remove(root_ / "src" / folder / "codec_extra.h");
  }
}

TEST_F(LayersTest, ReportsInputAndOutputInDecisionModules) {
  for (const char* const folder : {"balancer", "raft", "cluster"}) {
    const std::string path = std::string("src/") + folder + "/extra.h";
    for (const char* const line :
         {"#include <fstream>", "#include <thread>", "#include <sys/socket.h>", "#include <ctime>",
          "auto t = std::chrono::steady_clock::now();", "std::random_device seed;"}) {
      Append(path, line);
      ExpectViolation(path + ":1:" + line);
      fs::remove(root_ / path);
    }
  }
}

TEST_F(LayersTest, ReportsUnknownFolders) {
  fs::create_directories(root_ / "src/extra");
  Append("src/extra/extra.h", "");
  ExpectViolation("src/extra is no folder of the layers");
}

TEST_F(LayersTest, ReportsMissingPathsInTheDeployFile) {
  Replace("deploy/balancer.toml", "node = [\"", "node = [\"src/nothing\", \"");
  ExpectViolation("node names src/nothing, which does not exist");
}

TEST_F(LayersTest, ReportsMissingPolicyPaths) {
  Replace("deploy/balancer.toml", "policy = [\"", "policy = [\"src/balancer/nothing.cpp\", \"");
  ExpectViolation("policy names src/balancer/nothing.cpp, which does not exist");
}

TEST_F(LayersTest, ReportsBalancerSourcesMissingFromThePolicy) {
  Append("src/balancer/extra.cpp", "");
  ExpectViolation("policy does not name src/balancer/extra.cpp");
}

}  // namespace
}  // namespace paddlestile
