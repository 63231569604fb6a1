// `paddlestile lab run` from outside: the rule-breaking gateway must be found out on every count,
// an honest one must not, and bad input gets one plain line.
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

struct Ran {
  int code = -1;
  std::string text;  // both its outputs
};

Ran Shell(const std::string& command) {
  Ran ran;
  FILE* const pipe = popen((command + " 2>&1").c_str(), "r");  // NOLINT: a fixed program
  std::array<char, 4096> part{};
  while (fgets(part.data(), part.size(), pipe) != nullptr) {
    ran.text += part.data();
  }
  const int status = pclose(pipe);
  ran.code = WIFEXITED(status) ? WEXITSTATUS(status) : 128 + WTERMSIG(status);
  return ran;
}

class LabRun : public ::testing::Test {
 protected:
  LabRun() : json_(::testing::TempDir() + "lab-" + std::to_string(getpid()) + ".json") {}
  ~LabRun() override { fs::remove(json_); }

  // Played again where the machine was too busy for a verdict.
  json Play(const std::string& more, int& code) {
    for (int turn = 0; turn < 3; ++turn) {
      const Ran ran = Shell(std::string(PADDLESTILE_PROGRAM) + " lab run " + file_ + " --json " +
                            json_ + " " + more);
      code = ran.code;
      std::ifstream file(json_);
      json result = json::parse(file, nullptr, false);
      if (result.is_discarded()) {
        ADD_FAILURE() << ran.text;
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

struct Breach {
  const char* how;
  const char* rule;  // as the verdict names it; the request's id and the time stand in its line
};

void PrintTo(const Breach& breach, std::ostream* out) {
  *out << breach.how;
}

class Broken : public LabRun, public ::testing::WithParamInterface<Breach> {};

TEST_P(Broken, IsFoundOutByName) {
  int code = 0;
  const json result =
      Play(std::string("--gateway ") + PADDLESTILE_FAULTY_GATEWAY + " " + GetParam().how, code);
  EXPECT_EQ(code, 1);
  EXPECT_EQ(result["verdict"], "broken");
  bool named = false;
  for (const std::string line : result["broken"]) {
    named = named || line.find(GetParam().rule) != std::string::npos;
    if (line.starts_with("rule: ") && !line.ends_with(" more")) {
      EXPECT_NE(line.find(" s, "), std::string::npos) << line;
    }
  }
  EXPECT_TRUE(named) << result["broken"].dump(1);
}

INSTANTIATE_TEST_SUITE_P(Gateway, Broken,
                         ::testing::Values(Breach{"lose", "rule: lost"},
                                           Breach{"twice", "rule: answered twice"},
                                           Breach{"key-late", "past its window"},
                                           Breach{"key-group", "outside the group"},
                                           Breach{"unsafe", "a class that may run once"},
                                           Breach{"at-once", "while an earlier copy was still out"},
                                           Breach{"drain", "rule: sent to a draining host"},
                                           Breach{"cold", "rule: a cold host fell over"},
                                           Breach{"swap", "rule: served another's answer"},
                                           Breach{"refuse", "rule: refused after it may have run"},
                                           Breach{"invent", "rule: sent what no client asked"},
                                           Breach{"crash", "gateway 0 crashed with 134"},
                                           Breach{"hang", "gateway 0 hangs"}, Breach{"leak", " MB"},
                                           Breach{"leak-fds", " descriptors"}),
                         [](const auto& info) {
                           std::string name = info.param.how;
                           std::ranges::replace(name, '-', '_');
                           return name;
                         });

// One that a process has and does not answer is told from one that nobody accepts.
TEST_F(LabRun, ALostRequestNamesWhereItsConnectionIs) {
  int code = 0;
  const json result = Play(std::string("--gateway ") + PADDLESTILE_FAULTY_GATEWAY + " hang", code);
  for (const char* const says : {"rule: lost .*, connection held by gateway 0",
                                 "rule: lost .*, connection in the accept queue"}) {
    const bool named = std::ranges::any_of(result["broken"], [&](const std::string line) {
      return std::regex_search(line, std::regex(says));
    });
    EXPECT_TRUE(named) << says << result["broken"].dump(1);
  }
}

// An operator's day with a gateway that knows of none: each is found out by its own name.
TEST_F(LabRun, AGatewayThatCannotBeOperatedIsFoundOut) {
  const std::pair<const char*, const char*> cases[] = {
      {"operators-drain", "gives no yes to POST /admin/quiesce"},
      {"new-settings", "crashed with"},  // by SIGHUP
      {"upgrade", "the new process ended with"}};
  for (const auto& [name, says] : cases) {
    file_ = std::string(PADDLESTILE_SOURCE) + "/lab/experiments/" + name + ".toml";
    int code = 0;
    const json result =
        Play(std::string("--seconds 6 --gateway ") + PADDLESTILE_FAULTY_GATEWAY + " honest", code);
    EXPECT_EQ(code, 1) << name;
    EXPECT_NE(result["broken"].dump().find(says), std::string::npos) << result["broken"].dump(1);
  }
}

// The other side of it: without a breach the same file holds, for the honest stand-in and for ours.
TEST_F(LabRun, HoldsWithoutABreach) {
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

TEST_F(LabRun, TheSameSeedPlaysTheSameArrivals) {
  int code = 0;
  const json first = Play("--seconds 1 --seed 5", code), again = Play("--seconds 1 --seed 5", code);
  const json other = Play("--seconds 1 --seed 6", code);
  EXPECT_EQ(first["clients"]["arrivals_digest"], again["clients"]["arrivals_digest"]);
  EXPECT_EQ(first["requests"]["asked"], again["requests"]["asked"]);
  ASSERT_FALSE(first["faults"][0]["hosts"].empty());
  EXPECT_EQ(first["faults"], again["faults"]);
  EXPECT_NE(first["clients"]["arrivals_digest"], other["clients"]["arrivals_digest"]);
}

// A lab that was itself late says nothing of the gateway, whatever it counted meanwhile.
TEST_F(LabRun, IsNoVerdictWhereTheLabWasLate) {
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
  EXPECT_EQ(result["requests"]["lost"], 0);  // what was late by the lab's doing is nobody's breach
}

// Ctrl-C: nothing is left running and no folder left lying.
TEST_F(LabRun, LeavesNothingBehindWhenItIsInterrupted) {
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

TEST_F(LabRun, BadInputGetsOnePlainLine) {
  const auto says = [&](const std::string& text, const std::string& expected) {
    const std::string path = ::testing::TempDir() + "bad-" + std::to_string(getpid()) + ".toml";
    std::ofstream(path) << text;
    const Ran ran = Shell(std::string(PADDLESTILE_PROGRAM) + " lab run " + path);
    EXPECT_EQ(ran.code, 2) << ran.text;
    EXPECT_NE(ran.text.find(expected), std::string::npos) << ran.text;
    EXPECT_EQ(std::ranges::count(ran.text, '\n'), 1) << ran.text;
    fs::remove(path);
  };
  std::ifstream file(file_);
  const std::string good((std::istreambuf_iterator<char>(file)), std::istreambuf_iterator<char>());
  says("sead = 4\n" + good, ":1: sead: unknown key, expected one of");
  says(good + "\n[[faults]]\nkind = \"slow\"\nat_s = 1\nnames = [\"east-1\"]\n",
       "no host 'east-1'");
  says("a = [", "expected TOML");
  testing::Port taken;
  says(good + "\n[gateway]\nlisten = \"" + taken.text() + "\"\n", "listen on " + taken.text());
  says(good + "\n[gateway]\nlisten = \"here\"\n", "no address and port");
  EXPECT_EQ(Shell(std::string(PADDLESTILE_PROGRAM) + " lab run").code, 2);
  EXPECT_EQ(Shell(std::string(PADDLESTILE_PROGRAM) + " lab run /no/such.toml").code, 2);
}

// The report: all in one file, nothing of a log or a file's words taken for markup; and without
// gnuplot it comes without plots and says so.
TEST_F(LabRun, ReportsComeWithOrWithoutPlots) {
  const std::string page = json_ + ".html", run = std::string(PADDLESTILE_PROGRAM) + " lab run " +
                                                  file_ + " --seconds 2 --json " + json_;
  const auto read = [&] {
    std::ifstream file(page);
    return std::string((std::istreambuf_iterator<char>(file)), std::istreambuf_iterator<char>());
  };
  Shell(run + " --html " + page);
  std::string text = read();
  EXPECT_NE(text.find("<svg"), std::string::npos);
  EXPECT_EQ(text.find("src="), std::string::npos);
  EXPECT_EQ(text.find("<!DOCTYPE svg"), std::string::npos);
  std::ifstream file(json_);
  json result = json::parse(file);
  result["about"] = "<script>";
  std::ofstream(json_) << result;
  const Ran ran = Shell("PATH=/nowhere " + std::string(PADDLESTILE_PROGRAM) + " lab report " +
                        json_ + " " + json_ + " --html " + page);
  EXPECT_EQ(ran.code, 0) << ran.text;
  EXPECT_NE(ran.text.find("no gnuplot here"), std::string::npos) << ran.text;
  text = read();
  EXPECT_EQ(text.find("<svg"), std::string::npos);
  EXPECT_EQ(text.find("<script"), std::string::npos);
  EXPECT_NE(text.find("Without plots"), std::string::npos);
  std::ofstream(json_) << "{}";
  const Ran bad =
      Shell(std::string(PADDLESTILE_PROGRAM) + " lab report " + json_ + " --html " + page);
  EXPECT_EQ(bad.code, 2) << bad.text;
  fs::remove(page);
}

// The sums from the gateways' logs are what the hosts and clients of the same run counted.
TEST_F(LabRun, TheKeptLogsAddUpToWhatTheLabCounted) {
  const std::string logs = ::testing::TempDir() + "lab-logs-" + std::to_string(getpid());
  fs::create_directories(logs);
  file_ = std::string(PADDLESTILE_SOURCE) + "/lab/experiments/calm.toml";
  int code = 0;
  const json result = Play("--seconds 3 --logs " + logs, code);
  EXPECT_EQ(code, 0);
  const Ran ran = Shell(std::string(PADDLESTILE_PROGRAM) + " lab fleet-report " + logs +
                        " --gateways 99 --json " + json_);
  EXPECT_EQ(ran.code, 0) << ran.text;
  EXPECT_NE(ran.text.find("gateways tell of themselves, expected 99\n"), std::string::npos);
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
