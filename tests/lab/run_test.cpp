// `paddlestile lab run` as a command: it detects each fault of the faulty gateway, reports none for
// a correct gateway, and prints one line for invalid input.
#include <gtest/gtest.h>
#include <signal.h>
#include <sys/wait.h>
#include <unistd.h>

#include <array>
#include <cstdio>
#include <filesystem>
#include <fstream>
#include <nlohmann/json.hpp>
#include <regex>
#include <string>

#include "gateway/test_peers.h"

namespace paddlestile::lab {
namespace {

namespace fs = std::filesystem;
using nlohmann::json;

struct ShellResult {
  int code = -1;
  std::string text;  // stdout and stderr
};

ShellResult RunShell(const std::string& command) {
  ShellResult result;
  FILE* const pipe = popen((command + " 2>&1").c_str(), "r");  // NOLINT: the command is fixed
  std::array<char, 4096> part{};
  while (fgets(part.data(), part.size(), pipe) != nullptr) {
    result.text += part.data();
  }
  const int status = pclose(pipe);
  result.code = WIFEXITED(status) ? WEXITSTATUS(status) : 128 + WTERMSIG(status);
  return result;
}

class LabRun : public ::testing::Test {
 protected:
  LabRun() : json_(::testing::TempDir() + "lab-" + std::to_string(getpid()) + ".json") {}
  ~LabRun() override { fs::remove(json_); }

  // Repeats the run if the machine was too busy for a verdict.
  json Play(const std::string& options, int& code) {
    for (int attempt = 0; attempt < 3; ++attempt) {
      const ShellResult shell_result = RunShell(std::string(PADDLESTILE_PROGRAM) + " lab run " +
                                                file_ + " --json " + json_ + " " + options);
      code = shell_result.code;
      std::ifstream file(json_);
      json result = json::parse(file, nullptr, false);
      if (result.is_discarded()) {
        ADD_FAILURE() << shell_result.text;
      }
      if (result.is_discarded() || result["verdict"] != "void") {
        return result;
      }
    }
    ADD_FAILURE() << "the machine was too busy three times";
    return {};
  }

  std::string file_ = std::string(PADDLESTILE_SOURCE) + "/tests/lab/breach.toml";
  std::string json_;
};

struct FaultyGatewayCase {
  const char* fault;
  // Expected in a line of "broken", which also has the request's id and the time.
  const char* expected;
};

void PrintTo(const FaultyGatewayCase& test_case, std::ostream* out) {
  *out << test_case.fault;
}

class LabRunWithFaultyGateway : public LabRun,
                                public ::testing::WithParamInterface<FaultyGatewayCase> {};

TEST_P(LabRunWithFaultyGateway, IsDetectedAndNamed) {
  int code = 0;
  const json result =
      Play(std::string("--gateway ") + PADDLESTILE_FAULTY_GATEWAY + " " + GetParam().fault, code);
  EXPECT_EQ(code, 1);
  EXPECT_EQ(result["verdict"], "broken");
  bool named = false;
  for (const std::string line : result["broken"]) {
    named = named || line.find(GetParam().expected) != std::string::npos;
    if (line.starts_with("rule: ") && !line.ends_with(" more")) {
      EXPECT_NE(line.find(" s, "), std::string::npos) << line;
    }
  }
  EXPECT_TRUE(named) << result["broken"].dump(1);
}

INSTANTIATE_TEST_SUITE_P(
    Gateway, LabRunWithFaultyGateway,
    ::testing::Values(FaultyGatewayCase{"lose", "rule: lost"},
                      FaultyGatewayCase{"twice", "rule: answered twice"},
                      FaultyGatewayCase{"key-late", "past its window"},
                      FaultyGatewayCase{"key-group", "outside the group"},
                      FaultyGatewayCase{"unsafe", "a class that may run once"},
                      FaultyGatewayCase{"at-once", "while an earlier copy was still out"},
                      FaultyGatewayCase{"drain", "rule: sent to a draining host"},
                      FaultyGatewayCase{"cold", "rule: a cold host fell over"},
                      FaultyGatewayCase{"swap", "rule: served another's answer"},
                      FaultyGatewayCase{"refuse", "rule: refused after it may have run"},
                      FaultyGatewayCase{"invent", "rule: sent what no client asked"},
                      FaultyGatewayCase{"crash", "gateway 0 crashed with 134"},
                      FaultyGatewayCase{"hang", "gateway 0 hangs"},
                      FaultyGatewayCase{"leak", " MB"},
                      FaultyGatewayCase{"leak-fds", " descriptors"}),
    [](const auto& info) {
      std::string name = info.param.fault;
      std::ranges::replace(name, '-', '_');
      return name;
    });

// A connection that a process accepted but does not answer is distinguished from one that was not
// accepted.
TEST_F(LabRun, LostRequestReportsWhereItsConnectionIs) {
  int code = 0;
  const json result = Play(std::string("--gateway ") + PADDLESTILE_FAULTY_GATEWAY + " hang", code);
  for (const char* const pattern : {"rule: lost .*, connection held by gateway 0",
                                    "rule: lost .*, connection in the accept queue"}) {
    const bool named = std::ranges::any_of(result["broken"], [&](const std::string line) {
      return std::regex_search(line, std::regex(pattern));
    });
    EXPECT_TRUE(named) << pattern << result["broken"].dump(1);
  }
}

// A gateway without the operators' functions is detected in each of the experiments that use them.
TEST_F(LabRun, GatewayWithoutOperatorFunctionsIsDetected) {
  const std::pair<const char*, const char*> cases[] = {
      {"operators-drain", "does not accept POST /admin/quiesce"},
      {"new-settings", "crashed with"},  // by SIGHUP
      {"upgrade", "the new process exited with"}};
  for (const auto& [name, expected] : cases) {
    file_ = std::string(PADDLESTILE_SOURCE) + "/lab/experiments/" + name + ".toml";
    int code = 0;
    const json result =
        Play(std::string("--seconds 6 --gateway ") + PADDLESTILE_FAULTY_GATEWAY + " honest", code);
    EXPECT_EQ(code, 1) << name;
    EXPECT_NE(result["broken"].dump().find(expected), std::string::npos)
        << result["broken"].dump(1);
  }
}

// The counterpart: the same file holds for a correct stand-in and for the real gateway.
TEST_F(LabRun, HoldsWithACorrectGateway) {
  for (const std::string& gateway :
       {std::string("--gateway ") + PADDLESTILE_FAULTY_GATEWAY + " honest", std::string()}) {
    int code = 0;
    const json result = Play(gateway, code);
    EXPECT_EQ(code, 0) << gateway << result["broken"].dump(1);
    EXPECT_EQ(result["verdict"], "held");
    EXPECT_GT(result["requests"]["served"], 1500);
    EXPECT_GE(result["receipts"]["total"], result["requests"]["served"]);
  }
}

TEST_F(LabRun, SameSeedGivesTheSameArrivals) {
  int code = 0;
  const json first = Play("--seconds 1 --seed 5", code), again = Play("--seconds 1 --seed 5", code);
  const json other = Play("--seconds 1 --seed 6", code);
  EXPECT_EQ(first["clients"]["arrivals_digest"], again["clients"]["arrivals_digest"]);
  EXPECT_EQ(first["requests"]["asked"], again["requests"]["asked"]);
  ASSERT_FALSE(first["faults"][0]["hosts"].empty());
  EXPECT_EQ(first["faults"], again["faults"]);
  EXPECT_NE(first["clients"]["arrivals_digest"], other["clients"]["arrivals_digest"]);
}

// A run in which the lab itself was late has no verdict, whatever was counted.
TEST_F(LabRun, HasNoVerdictIfTheLabWasLate) {
  const pid_t pid = fork();
  if (pid == 0) {
    execl(PADDLESTILE_PROGRAM, "paddlestile", "lab", "run", file_.c_str(), "--seconds", "3",
          "--json", json_.c_str(), nullptr);
    _exit(127);
  }
  usleep(2'000'000);
  kill(pid, SIGSTOP);
  usleep(600'000);
  kill(pid, SIGCONT);
  int status = 0;
  waitpid(pid, &status, 0);
  EXPECT_EQ(WEXITSTATUS(status), 1);
  std::ifstream file(json_);
  const json result = json::parse(file, nullptr, false);
  ASSERT_FALSE(result.is_discarded());
  EXPECT_EQ(result["verdict"], "void");
  EXPECT_NE(result["lab_late"].dump().find("ms late once"), std::string::npos)
      << result["lab_late"];
  EXPECT_EQ(result["requests"]["lost"], 0);  // lateness of the lab is not a breach
}

// After SIGINT, no process and no temporary directory is left.
TEST_F(LabRun, CleansUpAfterAnInterrupt) {
  const std::string temp = ::testing::TempDir() + "lab-tmp-" + std::to_string(getpid());
  fs::create_directory(temp);
  const pid_t pid = fork();
  if (pid == 0) {
    setenv("TMPDIR", temp.c_str(), 1);
    execl(PADDLESTILE_PROGRAM, "paddlestile", "lab", "run", file_.c_str(), nullptr);
    _exit(127);
  }
  usleep(1'500'000);
  const std::string children =
      "/proc/" + std::to_string(pid) + "/task/" + std::to_string(pid) + "/children";
  std::ifstream file(children);
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

TEST_F(LabRun, InvalidInputPrintsOneLine) {
  const auto expect_message = [&](const std::string& text, const std::string& expected) {
    const std::string path = ::testing::TempDir() + "bad-" + std::to_string(getpid()) + ".toml";
    std::ofstream(path) << text;
    const ShellResult shell_result =
        RunShell(std::string(PADDLESTILE_PROGRAM) + " lab run " + path);
    EXPECT_EQ(shell_result.code, 2) << shell_result.text;
    EXPECT_NE(shell_result.text.find(expected), std::string::npos) << shell_result.text;
    EXPECT_EQ(std::ranges::count(shell_result.text, '\n'), 1) << shell_result.text;
    fs::remove(path);
  };
  std::ifstream file(file_);
  const std::string good((std::istreambuf_iterator<char>(file)), std::istreambuf_iterator<char>());
  expect_message("sead = 4\n" + good, ":1: sead: unknown key, expected one of");
  expect_message(good + "\n[[faults]]\nkind = \"slow\"\nat_s = 1\nnames = [\"east-1\"]\n",
                 "no host 'east-1'");
  expect_message("a = [", "expected TOML");
  testing::Port taken;
  expect_message(good + "\n[gateway]\nlisten = \"" + taken.text() + "\"\n",
                 "listen on " + taken.text());
  expect_message(good + "\n[gateway]\nlisten = \"here\"\n", "no address and port");
  EXPECT_EQ(RunShell(std::string(PADDLESTILE_PROGRAM) + " lab run").code, 2);
  EXPECT_EQ(RunShell(std::string(PADDLESTILE_PROGRAM) + " lab run /no/such.toml").code, 2);
}

// The report is a single file, in which text from logs and files is escaped. Without gnuplot it has
// no plots and says so.
TEST_F(LabRun, ReportsWorkWithAndWithoutPlots) {
  const std::string page = json_ + ".html", run = std::string(PADDLESTILE_PROGRAM) + " lab run " +
                                                  file_ + " --seconds 2 --json " + json_;
  const auto read = [&] {
    std::ifstream file(page);
    return std::string((std::istreambuf_iterator<char>(file)), std::istreambuf_iterator<char>());
  };
  RunShell(run + " --html " + page);
  std::string text = read();
  EXPECT_NE(text.find("<svg"), std::string::npos);
  EXPECT_EQ(text.find("src="), std::string::npos);
  EXPECT_EQ(text.find("<!DOCTYPE svg"), std::string::npos);
  std::ifstream file(json_);
  json result = json::parse(file);
  result["about"] = "<script>";
  std::ofstream(json_) << result;
  const ShellResult shell_result =
      RunShell("PATH=/nowhere " + std::string(PADDLESTILE_PROGRAM) + " lab report " + json_ + " " +
               json_ + " --html " + page);
  EXPECT_EQ(shell_result.code, 0) << shell_result.text;
  EXPECT_NE(shell_result.text.find("no gnuplot here"), std::string::npos) << shell_result.text;
  text = read();
  EXPECT_EQ(text.find("<svg"), std::string::npos);
  EXPECT_EQ(text.find("<script"), std::string::npos);
  EXPECT_NE(text.find("Without plots"), std::string::npos);
  std::ofstream(json_) << "{}";
  const ShellResult invalid =
      RunShell(std::string(PADDLESTILE_PROGRAM) + " lab report " + json_ + " --html " + page);
  EXPECT_EQ(invalid.code, 2) << invalid.text;
  fs::remove(page);
}

// The sums from the gateways' logs equal the counts of the hosts and clients in the same run.
TEST_F(LabRun, KeptLogsAddUpToTheCountsOfTheLab) {
  const std::string logs = ::testing::TempDir() + "lab-logs-" + std::to_string(getpid());
  fs::create_directories(logs);
  file_ = std::string(PADDLESTILE_SOURCE) + "/lab/experiments/calm.toml";
  int code = 0;
  const json result = Play("--seconds 3 --logs " + logs, code);
  EXPECT_EQ(code, 0);
  const ShellResult shell_result =
      RunShell(std::string(PADDLESTILE_PROGRAM) + " lab fleet-report " + logs +
               " --gateways 99 --json " + json_);
  EXPECT_EQ(shell_result.code, 0) << shell_result.text;
  EXPECT_NE(shell_result.text.find("gateways tell of themselves, expected 99\n"),
            std::string::npos);
  std::ifstream file(json_);
  const json report = json::parse(file);
  const json& counts = report["phases"][0]["counts"];
  EXPECT_NEAR(counts["attempts_ok"].get<double>(), result["receipts"]["total"].get<double>(), 0.5);
  EXPECT_NEAR(counts["responses_served"].get<double>(), result["requests"]["served"].get<double>(),
              0.5);
  fs::remove_all(logs);
}

}  // namespace
}  // namespace paddlestile::lab
