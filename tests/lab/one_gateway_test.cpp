// `paddlestile lab gateway` from outside: its figures have all their keys, a list past the bound is
// told as not taken, and bad words get one plain line.
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
  OneGateway() : json_(::testing::TempDir() + "one-" + std::to_string(getpid()) + ".json") {}
  ~OneGateway() override { fs::remove(json_); }

  int Shell(const std::string& words) {
    const std::string command =
        std::string(PADDLESTILE_PROGRAM) + " lab gateway " + words + " 2>&1";
    FILE* const pipe = popen(command.c_str(), "r");  // NOLINT: a fixed program
    std::array<char, 4096> part{};
    text_.clear();
    while (fgets(part.data(), part.size(), pipe) != nullptr) {
      text_ += part.data();
    }
    const int status = pclose(pipe);
    return WIFEXITED(status) ? WEXITSTATUS(status) : 128 + WTERMSIG(status);
  }

  // Measured again where the machine was too busy for a verdict, which says so.
  json Measure(const std::string& words) {
    json result;
    for (int turn = 0; turn < 3; ++turn) {
      const int code = Shell(words + " --json " + json_);
      std::ifstream file(json_);
      result = json::parse(file, nullptr, false);
      if (result.is_discarded()) {
        ADD_FAILURE() << text_;
        return json::object();
      }
      EXPECT_EQ(code, result["verdict"] == "held" ? 0 : 1) << text_;
      EXPECT_EQ(result["verdict"] == "void", !result["void"].empty()) << result.dump(1);
      if (result["verdict"] != "void") {
        break;
      }
    }
    // What a busy machine leaves is void by name, and is never called broken.
    EXPECT_NE(result["verdict"], "broken") << text_;
    return result;
  }
  static void ExpectKeys(const json& in, std::initializer_list<const char*> keys) {
    for (const char* const key : keys) {
      EXPECT_TRUE(in.contains(key)) << key << in.dump(1);
    }
  }

  std::string json_, text_;
};

TEST_F(OneGateway, TellsAllOfASmallOne) {
  const json r = Measure(
      "--hosts 500 --tenants 50 --seconds 2 --changes 5 --rates 50,100 --seed 7 --commit abc");
  ExpectKeys(r, {"command", "commit", "seed", "load", "hosts", "tenants", "list", "list_changes",
                 "settings", "added", "machine", "verdict", "void"});
  ExpectKeys(r["list"], {"bytes", "taken", "asked_whole", "ready_known_ms", "taken_ms",
                         "loop_stand_ms_most", "cpu_s", "rss_mb_before", "rss_mb"});
  ExpectKeys(r["list_changes"], {"per_s", "cpu_core", "loop_stand_ms_most", "bytes_s"});
  ExpectKeys(r["settings"], {"bytes", "ready_ms", "refused", "reason", "rss_mb", "reread_ms",
                             "reread_cpu_s", "loop_stand_ms_most"});
  ExpectKeys(r["machine"], {"rss_mb_most", "processes_most"});
  EXPECT_EQ(r["commit"], "abc");
  EXPECT_EQ(r["seed"], 7);
  EXPECT_EQ(r["hosts"], 500);
  EXPECT_EQ(r["tenants"], 50);
  EXPECT_TRUE(r["command"].get<std::string>().starts_with("paddlestile lab gateway --hosts 500"));
  const json& list = r["list"];
  EXPECT_TRUE(list["taken"].get<bool>()) << text_;
  EXPECT_EQ(list["asked_whole"], 1);
  EXPECT_GT(list["bytes"], 50'000);
  EXPECT_GT(list["ready_known_ms"], 0);
  EXPECT_GT(list["taken_ms"], 0);
  EXPECT_GT(list["loop_stand_ms_most"], 0);
  EXPECT_GT(list["rss_mb"], 0);
  EXPECT_NEAR(r["list_changes"]["per_s"].get<double>(), 5, 0.5);
  EXPECT_GT(r["list_changes"]["bytes_s"], 0);
  EXPECT_FALSE(r["settings"]["refused"].get<bool>()) << r["settings"].dump(1);
  EXPECT_GT(r["settings"]["ready_ms"], 0);
  EXPECT_GT(r["settings"]["reread_ms"], 0);
  EXPECT_EQ(r["machine"]["processes_most"], 2);
  ASSERT_GE(r["added"].size(), 1u);
  ExpectKeys(r["added"][0], {"rate", "straight_p50_ms", "straight_p99_ms", "through_p50_ms",
                             "through_p99_ms", "p50_ms", "p99_ms", "void"});
  EXPECT_EQ(r["added"][0]["rate"], 50);
  EXPECT_GT(r["added"][0]["through_p50_ms"], 1);  // a host takes a millisecond
}

// Where the file with more tenants than a gateway takes is read again, that is told, not measured.
TEST_F(OneGateway, TellsOfSettingsThatAreRefused) {
  const json r = Measure("--hosts 10 --tenants 100001 --seconds 1 --changes 0");
  EXPECT_TRUE(r["settings"]["refused"].get<bool>()) << r["settings"].dump(1);
  EXPECT_NE(r["settings"]["reason"].get<std::string>().find("100000"), std::string::npos)
      << r["settings"].dump(1);
  EXPECT_TRUE(r["settings"]["reread_ms"].is_null());
}

// Past the bound of 4 MiB.
TEST_F(OneGateway, TellsOfAListThatIsNotTaken) {
  const json r = Measure("--hosts 40000 --seconds 1");
  const json& list = r["list"];
  EXPECT_GT(list["bytes"], 4 << 20);
  EXPECT_FALSE(list["taken"].get<bool>());
  EXPECT_TRUE(list["taken_ms"].is_null());
  EXPECT_GE(list["asked_whole"], 2);
  EXPECT_LE(list["asked_whole"], 8);  // LongLists tests the pace itself
  // A gateway that is slow, as a debug build on a busy machine, may not come to the bound in time.
  const std::string reason = list["reason"];
  EXPECT_TRUE(reason.find("too long") != std::string::npos ||
              reason.find("silent") != std::string::npos)
      << reason;
  EXPECT_TRUE(r["list_changes"].is_null());
  EXPECT_TRUE(r["settings"].is_null());
  EXPECT_TRUE(r["added"].empty());
}

TEST_F(OneGateway, BadWordsGetOnePlainLine) {
  for (const char* const words : {"--hosts 0", "--hosts 2000001", "--hosts many", "--tenants -1",
                                  "--seconds 0", "--rates 100,0", "--rates fast", "--changes -1",
                                  "--json /no/such/folder/x.json", "--no-such"}) {
    EXPECT_EQ(Shell(words), 2) << words << text_;
    EXPECT_EQ(std::ranges::count(text_, '\n'), 1) << words << text_;
  }
}

// A lab that was itself late says nothing of the gateway.
TEST_F(OneGateway, IsNoVerdictWhereTheLabWasLate) {
  const pid_t pid = fork();
  if (pid == 0) {
    execl(PADDLESTILE_PROGRAM, "paddlestile", "lab", "gateway", "--hosts", "20", "--seconds", "4",
          "--json", json_.c_str(), nullptr);
    _exit(127);
  }
  usleep(8'000'000);  // with changes, from about 6 to 10 s
  kill(pid, SIGSTOP);
  usleep(600'000);
  kill(pid, SIGCONT);
  int status = 0;
  waitpid(pid, &status, 0);
  EXPECT_EQ(WEXITSTATUS(status), 1);
  std::ifstream file(json_);
  const json r = json::parse(file, nullptr, false);
  ASSERT_FALSE(r.is_discarded());
  EXPECT_EQ(r["verdict"], "void");
  EXPECT_NE(r["void"].dump().find("list_changes: the lab was"), std::string::npos) << r.dump(1);
  EXPECT_TRUE(r["broken"].empty()) << r.dump(1);
}

// A run that is cut short leaves no process and no folder.
TEST_F(OneGateway, LeavesNothingBehindWhenItIsInterrupted) {
  const std::string temp = ::testing::TempDir() + "one-tmp-" + std::to_string(getpid());
  fs::create_directory(temp);
  const pid_t pid = fork();
  if (pid == 0) {
    setenv("TMPDIR", temp.c_str(), 1);
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
  EXPECT_TRUE(fs::is_empty(temp));
  fs::remove_all(temp);
}

}  // namespace
}  // namespace paddlestile::lab
