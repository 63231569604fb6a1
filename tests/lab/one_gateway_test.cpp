// Runs `paddlestile lab gateway` as a process: the results have all keys, a list over the size
// limit is reported as not applied, and invalid arguments give an error of one line.
#include <gtest/gtest.h>
#include <signal.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cstdio>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <initializer_list>
#include <nlohmann/json.hpp>
#include <string>

namespace paddlestile::lab {
namespace {

namespace fs = std::filesystem;
using nlohmann::json;

class OneGateway : public ::testing::Test {
 protected:
  OneGateway() : json_path_(::testing::TempDir() + "one-" + std::to_string(getpid()) + ".json") {}
  ~OneGateway() override { fs::remove(json_path_); }

  int RunCommand(const std::string& arguments) {
    const std::string command =
        std::string(PADDLESTILE_PROGRAM) + " lab gateway " + arguments + " 2>&1";
    FILE* const pipe = popen(command.c_str(), "r");  // NOLINT: a fixed program
    std::array<char, 4096> buffer{};
    output_.clear();
    while (fgets(buffer.data(), buffer.size(), pipe) != nullptr) {
      output_ += buffer.data();
    }
    const int status = pclose(pipe);
    return WIFEXITED(status) ? WEXITSTATUS(status) : 128 + WTERMSIG(status);
  }

  // Measures up to three times while the verdict is void because the machine was too busy.
  json Measure(const std::string& arguments) {
    json result;
    for (int attempt = 0; attempt < 3; ++attempt) {
      const int code = RunCommand(arguments + " --json " + json_path_);
      std::ifstream file(json_path_);
      result = json::parse(file, nullptr, false);
      if (result.is_discarded()) {
        ADD_FAILURE() << output_;
        return json::object();
      }
      EXPECT_EQ(code, result["verdict"] == "held" ? 0 : 1) << output_;
      EXPECT_EQ(result["verdict"] == "void", !result["void"].empty()) << result.dump(1);
      if (result["verdict"] != "void") {
        break;
      }
    }
    // A busy machine makes a measurement void, never broken.
    EXPECT_NE(result["verdict"], "broken") << output_;
    return result;
  }
  static void ExpectKeys(const json& object, std::initializer_list<const char*> keys) {
    for (const char* const key : keys) {
      EXPECT_TRUE(object.contains(key)) << key << object.dump(1);
    }
  }

  std::string json_path_, output_;
};

TEST_F(OneGateway, MeasuresEveryPhaseOfASmallGateway) {
  const json result = Measure(
      "--hosts 500 --tenants 50 --seconds 2 --changes 5 --rates 50,100 --seed 7 --commit abc");
  ExpectKeys(result, {"command", "commit", "seed", "load", "hosts", "tenants", "list",
                      "list_changes", "settings", "added", "machine", "verdict", "void"});
  ExpectKeys(result["list"], {"bytes", "taken", "asked_whole", "ready_known_ms", "taken_ms",
                              "loop_stand_ms_most", "cpu_s", "rss_mb_before", "rss_mb"});
  ExpectKeys(result["list_changes"], {"per_s", "cpu_core", "loop_stand_ms_most", "bytes_s"});
  ExpectKeys(result["settings"], {"bytes", "ready_ms", "refused", "reason", "rss_mb", "reread_ms",
                                  "reread_cpu_s", "loop_stand_ms_most"});
  ExpectKeys(result["machine"], {"rss_mb_most", "processes_most"});
  EXPECT_EQ(result["commit"], "abc");
  EXPECT_EQ(result["seed"], 7);
  EXPECT_EQ(result["hosts"], 500);
  EXPECT_EQ(result["tenants"], 50);
  EXPECT_TRUE(
      result["command"].get<std::string>().starts_with("paddlestile lab gateway --hosts 500"));
  const json& list = result["list"];
  EXPECT_TRUE(list["taken"].get<bool>()) << output_;
  EXPECT_EQ(list["asked_whole"], 1);
  EXPECT_GT(list["bytes"], 50'000);
  EXPECT_GT(list["ready_known_ms"], 0);
  EXPECT_GT(list["taken_ms"], 0);
  EXPECT_GT(list["loop_stand_ms_most"], 0);
  EXPECT_GT(list["rss_mb"], 0);
  EXPECT_NEAR(result["list_changes"]["per_s"].get<double>(), 5, 0.5);
  EXPECT_GT(result["list_changes"]["bytes_s"], 0);
  EXPECT_FALSE(result["settings"]["refused"].get<bool>()) << result["settings"].dump(1);
  EXPECT_GT(result["settings"]["ready_ms"], 0);
  EXPECT_GT(result["settings"]["reread_ms"], 0);
  EXPECT_EQ(result["machine"]["processes_most"], 2);
  ASSERT_GE(result["added"].size(), 1u);
  ExpectKeys(result["added"][0], {"rate", "straight_p50_ms", "straight_p99_ms", "through_p50_ms",
                                  "through_p99_ms", "p50_ms", "p99_ms", "void"});
  EXPECT_EQ(result["added"][0]["rate"], 50);
  EXPECT_GT(result["added"][0]["through_p50_ms"], 1);  // a host takes 1 ms per request
}

// Settings with more tenants than a gateway accepts are reported as rejected, with no reload time.
TEST_F(OneGateway, ReportsRejectedSettings) {
  const json result = Measure("--hosts 10 --tenants 100001 --seconds 1 --changes 0");
  EXPECT_TRUE(result["settings"]["refused"].get<bool>()) << result["settings"].dump(1);
  EXPECT_NE(result["settings"]["reason"].get<std::string>().find("100000"), std::string::npos)
      << result["settings"].dump(1);
  EXPECT_TRUE(result["settings"]["reread_ms"].is_null());
}

// The list is over the limit of 4 MiB.
TEST_F(OneGateway, ReportsAListThatIsNotApplied) {
  const json result = Measure("--hosts 40000 --seconds 1");
  const json& list = result["list"];
  EXPECT_GT(list["bytes"], 4 << 20);
  EXPECT_FALSE(list["taken"].get<bool>());
  EXPECT_TRUE(list["taken_ms"].is_null());
  EXPECT_GE(list["asked_whole"], 2);
  EXPECT_LE(list["asked_whole"], 8);  // LongLists tests the retry interval itself
  // A slow gateway, such as a debug build on a busy machine, may not reach the limit in time.
  const std::string reason = list["reason"];
  EXPECT_TRUE(reason.find("too long") != std::string::npos ||
              reason.find("silent") != std::string::npos)
      << reason;
  EXPECT_TRUE(result["list_changes"].is_null());
  EXPECT_TRUE(result["settings"].is_null());
  EXPECT_TRUE(result["added"].empty());
}

TEST_F(OneGateway, InvalidArgumentsGiveAOneLineError) {
  for (const char* const arguments :
       {"--hosts 0", "--hosts 2000001", "--hosts many", "--tenants -1", "--seconds 0",
        "--rates 100,0", "--rates fast", "--changes -1", "--json /no/such/folder/x.json",
        "--no-such"}) {
    EXPECT_EQ(RunCommand(arguments), 2) << arguments << output_;
    EXPECT_EQ(std::ranges::count(output_, '\n'), 1) << arguments << output_;
  }
}

// Stops the lab for 600 ms: its figures then say nothing about the gateway.
TEST_F(OneGateway, VerdictIsVoidIfTheLabWasLate) {
  const pid_t pid = fork();
  if (pid == 0) {
    execl(PADDLESTILE_PROGRAM, "paddlestile", "lab", "gateway", "--hosts", "20", "--seconds", "4",
          "--json", json_path_.c_str(), nullptr);
    _exit(127);
  }
  usleep(8'000'000);  // the phase with changes lasts from about 6 to 10 s
  kill(pid, SIGSTOP);
  usleep(600'000);
  kill(pid, SIGCONT);
  int status = 0;
  waitpid(pid, &status, 0);
  EXPECT_EQ(WEXITSTATUS(status), 1);
  std::ifstream file(json_path_);
  const json result = json::parse(file, nullptr, false);
  ASSERT_FALSE(result.is_discarded());
  EXPECT_EQ(result["verdict"], "void");
  EXPECT_NE(result["void"].dump().find("list_changes: the lab was"), std::string::npos)
      << result.dump(1);
  EXPECT_TRUE(result["broken"].empty()) << result.dump(1);
}

// An interrupted run stops its gateway and removes its temporary directory.
TEST_F(OneGateway, InterruptLeavesNoProcessAndNoFiles) {
  const std::string temp_directory = ::testing::TempDir() + "one-tmp-" + std::to_string(getpid());
  fs::create_directory(temp_directory);
  const pid_t pid = fork();
  if (pid == 0) {
    setenv("TMPDIR", temp_directory.c_str(), 1);
    execl(PADDLESTILE_PROGRAM, "paddlestile", "lab", "gateway", "--hosts", "20", nullptr);
    _exit(127);
  }
  usleep(2'000'000);
  std::ifstream file("/proc/" + std::to_string(pid) + "/task/" + std::to_string(pid) + "/children");
  pid_t child = 0;
  file >> child;
  EXPECT_GT(child, 0);
  kill(pid, SIGINT);
  int status = 0;
  waitpid(pid, &status, 0);
  EXPECT_EQ(WEXITSTATUS(status), 1);
  EXPECT_NE(kill(child, 0), 0);
  EXPECT_TRUE(fs::is_empty(temp_directory));
  fs::remove_all(temp_directory);
}

}  // namespace
}  // namespace paddlestile::lab
