// Gateways of a bank as processes: what is opened and what not, bad input, a platform file that
// contradicts, a newer process of the same member, a disk that is damaged.
#include <gtest/gtest.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <csignal>
#include <cstdio>
#include <filesystem>
#include <fstream>
#include <functional>
#include <iterator>
#include <map>
#include <nlohmann/json.hpp>
#include <string>
#include <tuple>
#include <utility>
#include <vector>

#include "config/operator_config.h"
#include "event/stream.h"
#include "gateway/child_process.h"
#include "gateway/test_peers.h"

namespace paddlestile {
namespace {

namespace fs = std::filesystem;
using nlohmann::json;
using testing::Child;
using testing::Peer;
using testing::Port;

const char* const kPlatform =
    R"({"seed":"1f","limits":{"sockets":256},"known":{"revision":1,"complete":true,"members":[]},)"
    R"("settings":{"Classes":[{"Name":"read","Effect":"safe","Slo":400.0,"Deadline":1000.0}],)"
    R"("Allowed":{"SendCap":3,"ConnectTimeout":250.0}}})";

class Bank : public ::testing::Test {
 protected:
  Bank() {
    folder_ = ::testing::TempDir() + "bank-" + std::to_string(getpid());
    fs::create_directories(folder_);
    std::ofstream(folder_ + "/c.json") << kPlatform;
    WriteFile(3);
  }
  ~Bank() override { fs::remove_all(folder_); }

  static std::string At(int member, int port) {
    return "127.109." + std::to_string(getpid() / 250 % 250) + "." +
           std::to_string(getpid() % 250 + 1) + ":" + std::to_string(port + member);
  }
  void WriteFile(int voters, const std::string& more = "") {
    std::ofstream file(folder_ + "/bank.toml");
    file << "[bank]\nname = \"north\"\nfolder = \"" << folder_ << "/{name}\"\n" << more;
    for (int i = 0; i < 4; ++i) {
      file << "[[bank.members]]\nname = \"g" << i << "\"\naddress = \"" << At(i, 7000)
           << "\"\nvotes = " << (i < voters ? "true" : "false") << "\n";
    }
  }
  std::map<std::string, std::string> Env(int i) {
    return {{"LB_NAME", "g" + std::to_string(i)},
            {"LB_LISTEN", At(i, 5000)},
            {"LB_DISCOVERY", discovery.text()},
            {"LB_CONFIG", folder_ + "/c.json"},
            {"LB_ADMIN", At(i, 6000)},
            {"TMPDIR", folder_}};
  }
  void Start(int i) { members_[i].Start(Env(i), {"serve", "--operator", folder_ + "/bank.toml"}); }

  struct Ran {
    int code = -1;
    std::string text;
  };
  Ran Run(const std::string& words) {
    Ran ran;
    FILE* const pipe =
        popen((std::string(PADDLESTILE_PROGRAM) + " " + words + " 2>&1").c_str(), "r");  // NOLINT
    std::array<char, 4096> part{};
    while (fgets(part.data(), part.size(), pipe) != nullptr)
      ran.text += part.data();
    ran.code = WEXITSTATUS(pclose(pipe));
    return ran;
  }
  Ran Of(const std::string& words) {
    return Run("bank " + words + " --operator " + folder_ + "/bank.toml");
  }
  json Status(int i) {
    const Ran ran = Run("bank status --json --at " + At(i, 7000));
    const json all = json::parse(ran.text, nullptr, false);
    return all.is_array() && !all.empty() ? all[0] : json::object();
  }
  static bool Until(const std::function<bool()>& that) {
    for (int i = 0; i < 400; ++i) {
      if (that())
        return true;
      usleep(25'000);
    }
    return false;
  }
  void Begin() {
    ASSERT_EQ(Of("init --name g0").code, 0);
    for (int i = 0; i < 3; ++i)
      Start(i);
    ASSERT_TRUE(Until([&] { return Status(0).value("voters", json::array()).size() == 3; }));
  }
  Ran Change(const std::string& rules, const std::string& more = "") {
    std::ofstream(folder_ + "/rules.json") << rules;
    return Of("change " + folder_ + "/rules.json --reason test " + more);
  }

  Port discovery;
  std::string folder_;
  std::array<Child, 4> members_;
};

size_t Entries(const std::string& path) {
  size_t count = 0;
  for ([[maybe_unused]] const auto& entry : fs::directory_iterator(path))
    ++count;
  return count;
}

// The platform's `run` must open nothing for the bank: not one file, socket or thread more.
TEST_F(Bank, WithoutAnOperatorsFileNothingIsOpened) {
  Child plain;
  plain.Start(Env(0), {"serve"});
  ASSERT_TRUE(plain.Says("listens on"));
  const std::string proc = "/proc/" + std::to_string(plain.pid());
  EXPECT_EQ(Entries(proc + "/task"), 1U);
  for (const auto& fd : fs::directory_iterator(proc + "/fd")) {
    const std::string to = fs::read_symlink(fd.path()).string();
    EXPECT_EQ(to.find("eventfd"), std::string::npos);
    EXPECT_EQ(to.find(folder_ + "/g"), std::string::npos);
  }
  const size_t descriptors = Entries(proc + "/fd");
  plain.Kill();
  Start(0);
  ASSERT_TRUE(members_[0].Says("takes part"));
  const std::string with = "/proc/" + std::to_string(members_[0].pid());
  // The disk's thread; the log, its lock, the thread's eventfd, the listener for the others.
  EXPECT_EQ(Entries(with + "/task"), 2U);
  EXPECT_GE(Entries(with + "/fd"), descriptors + 4);
}

TEST_F(Bank, AChangeIsCheckedWholeAndCountsOnce) {
  Begin();
  const Ran bad = Change(R"({"bared":[],"drain":1})");
  EXPECT_EQ(bad.code, 2);
  EXPECT_NE(bad.text.find("bared: expected"), std::string::npos) << bad.text;
  EXPECT_NE(bad.text.find("drain: expected"), std::string::npos) << bad.text;
  // Good in itself, and none that this gateway's settings can be laid under.
  const Ran unfit = Change(R"({"settings":{"Allowed":{"MaxRetryAfter":"soon"}}})");
  EXPECT_EQ(unfit.code, 1);
  EXPECT_NE(unfit.text.find("refused"), std::string::npos) << unfit.text;
  EXPECT_EQ(Status(0)["version_latest"], 0);
  for (int turn = 0; turn < 2; ++turn) {
    const Ran done = Change(R"({"barred":["h"]})", "--id one --expect 0");
    EXPECT_EQ(done.code, 0) << done.text;
    EXPECT_NE(done.text.find("version 1 is on"), std::string::npos) << done.text;
  }
  const Ran late = Change("{}", "--id two --expect 0");
  EXPECT_EQ(late.code, 1);
  EXPECT_NE(late.text.find("latest version is 1"), std::string::npos) << late.text;
  for (int i = 0; i < 3; ++i)
    EXPECT_TRUE(Until([&] { return Status(i)["version_on"] == 1; }));
  const Ran diff = Of("diff 0 1");
  EXPECT_NE(diff.text.find("+ /barred/- \"h\""), std::string::npos) << diff.text;
  EXPECT_NE(Of("history").text.find("test"), std::string::npos);
}

// A change by its own size, in the words that an operator uses; what is read back are whole
// versions.
TEST_F(Bank, AChangeGoesAsADeltaWhereTheFileSaysSo) {
  WriteFile(3, "changes = \"delta\"\n");
  Begin();
  json rules = {{"barred", {"h"}}};
  for (int i = 0; i < 200; ++i) {
    rules["settings"]["Tenants"].push_back({{"Name", "t" + std::to_string(i)}, {"QuotaPerS", i}});
  }
  ASSERT_EQ(Change(rules.dump()).code, 0);
  rules["settings"]["Tenants"][3]["QuotaPerS"] = 999;
  ASSERT_EQ(Change(rules.dump()).code, 0);
  const json status = Status(0);
  EXPECT_EQ(status["changes"], "delta");
  EXPECT_LT(status["change_bytes"], 100) << status.dump();
  EXPECT_GT(status["version_bytes"], 5000) << status.dump();
  EXPECT_NE(Of("status").text.find("changes delta; the last one"), std::string::npos);
  const std::string delta = R"({"settings":{"Tenants":{"t4":{"QuotaPerS":7}}},)"
                            R"("barred":{"add":["i"],"remove":["h"]}})";
  EXPECT_EQ(Change(delta, "--delta --expect 1").code, 1);
  const Ran done = Change(delta, "--delta --expect 2");
  EXPECT_NE(done.text.find("version 3 is on"), std::string::npos) << done.text;
  const Ran diff = Of("diff 2 3");
  EXPECT_NE(diff.text.find("+ /settings/Tenants/4/QuotaPerS 7"), std::string::npos) << diff.text;
  EXPECT_NE(diff.text.find("+ /barred/0 \"i\""), std::string::npos) << diff.text;
  const Ran odd = Change(R"({"barred":["h"]})", "--delta");
  EXPECT_EQ(odd.code, 2);
  EXPECT_NE(odd.text.find("barred: expected an object of add and remove"), std::string::npos);
  const Ran unfit = Change(R"({"settings":{"Allowed":{"MaxRetryAfter":"soon"}}})", "--delta");
  EXPECT_EQ(unfit.code, 1);
  EXPECT_NE(unfit.text.find("refused"), std::string::npos) << unfit.text;
  // A follower whose own changes are whole follows, and one that starts anew gets all.
  WriteFile(3);
  Start(3);
  ASSERT_TRUE(Until([&] { return Status(3)["version_on"] == 3; }));
  EXPECT_EQ(Status(3)["changes"], "whole");
  EXPECT_EQ(Status(3)["content"], "agreed");
  ASSERT_EQ(Change(R"({"drain":{"add":["j"]}})", "--delta").code, 0);
  ASSERT_TRUE(Until([&] { return Status(3)["version_on"] == 4; }));
  EXPECT_EQ(Status(3)["stance"], "agreed");
}

TEST_F(Bank, ADeltaIsRefusedWhereChangesAreWhole) {
  Begin();
  const Ran ran = Change(R"({"barred":{"add":["i"]}})", "--delta");
  EXPECT_EQ(ran.code, 1);
  EXPECT_NE(ran.text.find("leads with whole changes, expected changes = \"delta\""),
            std::string::npos)
      << ran.text;
  EXPECT_EQ(Status(0)["version_latest"], 0);
  EXPECT_EQ(Status(0)["changes"], "whole");
}

// Nobody leads: it is said at once, with since when, and nothing is lost by it.
TEST_F(Bank, WithTwoVotersOfThreeGoneAChangeIsRefusedAndServiceGoesOn) {
  Begin();
  members_[0].Kill();
  members_[1].Kill();
  ASSERT_TRUE(Until([&] { return Status(2)["stance"] == "alone"; }));
  const Ran ran = Change("{}", "--within 1 --id later");
  EXPECT_EQ(ran.code, 1);
  EXPECT_NE(ran.text.find("nobody has led for"), std::string::npos) << ran.text;
  EXPECT_NE(ran.text.find("--id later"), std::string::npos) << ran.text;
  Peer client = Peer::To(ParseAddress(At(2, 5000)));
  client.Say("GET /_health HTTP/1.1\r\nHost: x\r\n\r\n");
  EXPECT_TRUE(Until([&] { return client.Has("200"); }));
  Start(0);
  EXPECT_TRUE(Until([&] { return Status(2)["stance"] == "agreed"; }));
  EXPECT_EQ(Change("{}", "--id later").code, 0);
}

// One stated rule: what the bank has agreed on goes before the platform's file, and the log says
// so.
TEST_F(Bank, AFileReadAgainDoesNotUndoWhatIsAgreed) {
  Begin();
  ASSERT_EQ(Change(R"({"settings":{"Allowed":{"SendCap":2}}})").code, 0);
  std::string text = kPlatform;
  text.replace(text.find("\"SendCap\":3"), 11, "\"SendCap\":5");
  std::ofstream(folder_ + "/c.json") << text;
  members_[1].Signal(SIGHUP);
  EXPECT_TRUE(members_[1].Says("what it has agreed on goes before the file"));
  EXPECT_TRUE(members_[1].Says("attempts 3 to 5"));  // what the file says is taken note of
  EXPECT_TRUE(Until([&] { return Status(1)["version_on"] == 1; }));
}

// A newer process takes the member's place, once: two of them would vote twice.
TEST_F(Bank, ANewerProcessIsTheSameMemberOnce) {
  Begin();
  Child next;
  auto env = Env(1);
  env["LB_ADMIN"] = At(9, 6000);
  next.Start(env, {"serve", "--operator", folder_ + "/bank.toml"});
  EXPECT_TRUE(members_[1].Says("leaves it to the newer process"));
  EXPECT_TRUE(next.Says("takes part"));
  members_[1].Signal(SIGTERM);
  EXPECT_EQ(members_[1].Wait(), 0);
  EXPECT_TRUE(Until([&] { return Status(1)["stance"] == "agreed" && Status(1)["votes"] == true; }));
  EXPECT_EQ(Change("{}").code, 0);
}

// It works out again what its log holds, version by version, while it serves: meanwhile it must act
// on what it had, not on versions that have come and gone.
TEST_F(Bank, ANewerProcessKeepsOffWhatIsBarredWhileItCatchesUp) {
  Port host;
  std::string text = kPlatform;
  text.replace(text.find("\"members\":[]"), 12,
               R"("members":[{"id":"h","host_port":")" + host.text() + R"(","phase":"active"}])");
  std::ofstream(folder_ + "/c.json") << text;
  WriteFile(3, "changes = \"delta\"\n");
  Begin();
  json rules;
  for (int i = 0; i < 900; ++i) {
    rules["settings"]["Tenants"].push_back({{"Name", "t" + std::to_string(i)}, {"QuotaPerS", i}});
  }
  std::vector<Peer> taken;
  const auto reached = [&] {
    while (Peer sent = host.TryTake())
      taken.push_back(std::move(sent));
    return std::ranges::count_if(taken, [](Peer& sent) { return sent.Has("GET /read"); });
  };
  const auto ask = [&](const std::string& id) {
    Peer client = Peer::To(ParseAddress(At(1, 5000)));
    client.Say("GET /read HTTP/1.1\r\nX-Caller: t1\r\nX-Call-Id: " + id +
               "\r\nX-Budget-Ms: 300\r\n\r\n");
    return client;
  };
  for (int i = 0; i < 10; ++i) {
    rules["settings"]["Tenants"][0]["QuotaPerS"] = 1000 + i;
    if (i == 9) {
      const Peer client = ask("before");
      EXPECT_TRUE(Until([&] { return reached() == 1; }));
      rules["barred"] = {"h"};
    }
    ASSERT_EQ(Change(rules.dump()).code, 0);
  }
  ASSERT_TRUE(Until([&] { return Status(1)["version_on"] == 10; }));
  Child next;
  auto env = Env(1);
  env["LB_ADMIN"] = At(9, 6000);
  next.Start(env, {"serve", "--operator", folder_ + "/bank.toml"});
  // From before it takes over until long after: by then both processes have read the log anew.
  std::vector<Peer> clients;
  for (int i = 0; i < 600; ++i) {
    clients.push_back(ask("c" + std::to_string(i)));
    if (clients.size() > 50)
      clients.erase(clients.begin());
    usleep(2'000);
    reached();
  }
  ASSERT_TRUE(next.Says("takes part"));
  EXPECT_EQ(reached(), 1);
  members_[1].Signal(SIGTERM);
  EXPECT_TRUE(Until([&] { return Status(1)["version_on"] == 10; }));
}

// A disk that is damaged before its end is kept aside; its member follows until it is let in anew.
TEST_F(Bank, ADamagedDiskDoesNotVote) {
  Begin();
  ASSERT_EQ(Change("{}").code, 0);
  members_[1].Kill();
  {
    std::fstream log(folder_ + "/g1/log", std::ios::in | std::ios::out | std::ios::binary);
    log.seekp(60);
    log.put('\x55');
  }
  Start(1);
  EXPECT_TRUE(members_[1].Says("log at 24: a record that does not check out"));
  // It is told before it is put aside.
  EXPECT_TRUE(Until([&] { return fs::exists(folder_ + "/g1/log.damaged"); }));
  ASSERT_TRUE(Until([&] { return Status(1)["stance"] == "agreed"; }));
  EXPECT_EQ(Status(1)["votes"], false);
  const Ran ran = Of("voters replace g1 --reason disk");
  EXPECT_EQ(ran.code, 0) << ran.text;
  EXPECT_TRUE(Until([&] { return Status(1)["votes"] == true; }));
}

// One line each, with file, line, key and what was expected.
TEST_F(Bank, BadFilesAreNamed) {
  const std::string head = "[bank]\nname = \"n\"\nfolder = \"f\"\n";
  const std::string one =
      "[[bank.members]]\nname = \"a\"\naddress = \"127.0.0.1:1\"\nvotes = true\n";
  const std::pair<std::string, std::string> bad[] = {
      {"[bank", "f:1: "},
      {"x = 1", "f: bank: missing, expected a table [bank]"},
      {head, "f: bank.members: missing, expected [[bank.members]], one each"},
      {head + "lease_ms = 1\n" + one, "f:4: bank.lease_ms: out of range"},
      {head + "lease_ms = 200\n" + one, "f:4: bank.lease_ms: too short, expected 3 heartbeats"},
      {head + "lesae_ms = 1\n" + one, "f:4: bank.lesae_ms: unknown key, expected one of"},
      {head + "when_lost = \"panic\"\n" + one,
       "f:4: bank.when_lost: 'panic', expected serve or drain"},
      {head + "changes = \"small\"\n" + one, "f:4: bank.changes: 'small', expected whole or delta"},
      {head + one + one, "f:10: bank.members.1.address: another member has it, expected its own"},
      {head + one + "[[bank.members]]\nname = \"a\"\naddress = \"127.0.0.1:2\"\n",
       "f:9: bank.members.1.name: 'a' a second time, expected each member once"},
      {head + one + "[[bank.members]]\nname = \"b\"\naddress = \"127.0.0.1:2\"\nvotes = true\n",
       "2 members vote, expected an odd number"},
      {head + "[[bank.members]]\nname = \"a\"\naddress = \"here\"\nvotes = true\n",
       "f:6: bank.members.0.address: 'here', expected an address"}};
  for (const auto& [text, line] : bad) {
    const auto faults = ValidateClusterConfig(text, "f");
    bool named = false;
    for (const std::string& fault : faults)
      named = named || fault.find(line) != std::string::npos;
    EXPECT_TRUE(named) << text << (faults.empty() ? "no fault" : faults.front());
  }
  EXPECT_TRUE(ValidateClusterConfig(head + one, "f").empty());
  EXPECT_EQ(Run("check " PADDLESTILE_SOURCE "/deploy/bank.toml").code, 0);
}

TEST_F(Bank, ABadStartIsOneLineAndChangesNothing) {
  const std::string file = folder_ + "/bank.toml";
  const auto start = [&](int i) {
    Start(i);
    const int code = members_[i].Wait();
    return std::pair(code, members_[i].Text());
  };
  // A folder that is not there and cannot be made.
  WriteFile(3);
  std::string text;
  {
    std::ifstream in(file);
    text.assign(std::istreambuf_iterator<char>(in), {});
  }
  std::string nowhere = text;
  nowhere.replace(nowhere.find(folder_ + "/{name}"), folder_.size() + 7, folder_ + "/no/{name}");
  std::ofstream(file) << nowhere;
  auto [code, said] = start(0);
  EXPECT_EQ(code, 1);
  EXPECT_NE(said.find("/no/g0: No such file"), std::string::npos) << said;
  // The log of another bank.
  std::ofstream(file) << text;
  ASSERT_EQ(Of("init --name g0").code, 0);
  EXPECT_EQ(Of("init --name g0").code, 2);  // not a second time
  std::string other = text;
  other.replace(other.find("\"north\""), 7, "\"south\"");
  std::ofstream(file) << other;
  std::tie(code, said) = start(0);
  EXPECT_EQ(code, 1);
  EXPECT_NE(said.find("the log of g0 in bank 'north', expected that of g0 in 'south'"),
            std::string::npos)
      << said;
  // An address in use, a name that is no member.
  std::ofstream(file) << text;
  const FileDescriptor taken = Listen(ParseAddress(At(0, 7000)), 1, false);
  ASSERT_TRUE(taken);
  std::tie(code, said) = start(0);
  EXPECT_EQ(code, 1);
  EXPECT_NE(said.find("bank: listen on " + At(0, 7000)), std::string::npos) << said;
  auto env = Env(0);
  env["LB_NAME"] = "g9";
  members_[1].Start(env, {"serve", "--operator", file});
  EXPECT_EQ(members_[1].Wait(), 1);
  EXPECT_TRUE(members_[1].Says("no 'g9', expected this gateway's LB_NAME"));
  EXPECT_EQ(Run("bank status --operator " + folder_ + "/none.toml").code, 2);
  EXPECT_EQ(Run("bank status").code, 2);
  EXPECT_EQ(Run("bank change").code, 2);
}

}  // namespace
}  // namespace paddlestile
