// Gateways of a cluster, run as processes: opened resources, invalid input, a platform file that
// contradicts the agreed version, hot restarts of a member, storage failures and a corrupt log.
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
#include <thread>
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

const char* const kPlatformFile =
    R"({"seed":"1f","limits":{"sockets":256},"known":{"revision":1,"complete":true,"members":[]},)"
    R"("settings":{"Classes":[{"Name":"read","Effect":"safe","Slo":400.0,"Deadline":1000.0}],)"
    R"("Allowed":{"SendCap":3,"ConnectTimeout":250.0}}})";

class ClusterAgentTest : public ::testing::Test {
 protected:
  ClusterAgentTest() {
    folder_ = ::testing::TempDir() + "bank-" + std::to_string(getpid());
    fs::create_directories(folder_);
    std::ofstream(folder_ + "/c.json") << kPlatformFile;
    WriteOperatorFile(3);
  }
  ~ClusterAgentTest() override { fs::remove_all(folder_); }

  // Returns an address that no other test process uses. Its port is `port` plus `member`.
  static std::string AddressOf(int member, int port) {
    return "127.109." + std::to_string(getpid() / 250 % 250) + "." +
           std::to_string(getpid() % 250 + 1) + ":" + std::to_string(port + member);
  }
  void WriteOperatorFile(int voters, const std::string& extra = "") {
    std::ofstream file(folder_ + "/bank.toml");
    file << "[bank]\nname = \"north\"\nfolder = \"" << folder_ << "/{name}\"\n" << extra;
    for (int i = 0; i < 4; ++i) {
      file << "[[bank.members]]\nname = \"g" << i << "\"\naddress = \"" << AddressOf(i, 7000)
           << "\"\nvotes = " << (i < voters ? "true" : "false") << "\n";
    }
  }
  std::map<std::string, std::string> EnvironmentOf(int i) {
    return {{"LB_NAME", "g" + std::to_string(i)}, {"LB_LISTEN", AddressOf(i, 5000)},
            {"LB_DISCOVERY", discovery_.text()},  {"LB_CONFIG", folder_ + "/c.json"},
            {"LB_ADMIN", AddressOf(i, 6000)},     {"TMPDIR", folder_}};
  }
  void StartMember(int i) {
    members_[i].Start(EnvironmentOf(i), {"serve", "--operator", folder_ + "/bank.toml"});
  }

  struct CommandResult {
    int code = -1;
    std::string text;
  };
  CommandResult RunCommand(const std::string& arguments) {
    CommandResult result;
    const std::string command = std::string(PADDLESTILE_PROGRAM) + " " + arguments + " 2>&1";
    FILE* const pipe = popen(command.c_str(), "r");  // NOLINT
    std::array<char, 4096> part{};
    while (fgets(part.data(), part.size(), pipe) != nullptr) {
      result.text += part.data();
    }
    result.code = WEXITSTATUS(pclose(pipe));
    return result;
  }
  CommandResult RunClusterCommand(const std::string& arguments) {
    return RunCommand("bank " + arguments + " --operator " + folder_ + "/bank.toml");
  }
  json StatusOf(int i) {
    const CommandResult result = RunCommand("bank status --json --at " + AddressOf(i, 7000));
    const json all = json::parse(result.text, nullptr, false);
    return all.is_array() && !all.empty() ? all[0] : json::object();
  }
  static bool WaitUntil(const std::function<bool()>& condition) {
    for (int i = 0; i < 400; ++i) {
      if (condition()) {
        return true;
      }
      usleep(25'000);
    }
    return false;
  }
  void StartCluster() {
    ASSERT_EQ(RunClusterCommand("init --name g0").code, 0);
    for (int i = 0; i < 3; ++i) {
      StartMember(i);
    }
    ASSERT_TRUE(WaitUntil([&] { return StatusOf(0).value("voters", json::array()).size() == 3; }));
  }
  CommandResult SubmitChange(const std::string& document, const std::string& extra = "") {
    std::ofstream(folder_ + "/rules.json") << document;
    return RunClusterCommand("change " + folder_ + "/rules.json --reason test " + extra);
  }

  Port discovery_;
  std::string folder_;
  std::array<Child, 4> members_;
};

size_t CountEntries(const std::string& path) {
  size_t count = 0;
  for ([[maybe_unused]] const auto& entry : fs::directory_iterator(path)) {
    ++count;
  }
  return count;
}

// Without an operator's file the gateway must not open any file, socket or thread for a cluster.
TEST_F(ClusterAgentTest, OpensNothingWithoutOperatorFile) {
  Child standalone;
  standalone.Start(EnvironmentOf(0), {"serve"});
  ASSERT_TRUE(standalone.WaitForOutput("listens on"));
  const std::string standalone_proc = "/proc/" + std::to_string(standalone.pid());
  EXPECT_EQ(CountEntries(standalone_proc + "/task"), 1U);
  for (const auto& fd : fs::directory_iterator(standalone_proc + "/fd")) {
    const std::string target = fs::read_symlink(fd.path()).string();
    EXPECT_EQ(target.find("eventfd"), std::string::npos);
    EXPECT_EQ(target.find(folder_ + "/g"), std::string::npos);
  }
  const size_t descriptors = CountEntries(standalone_proc + "/fd");
  standalone.Kill();
  StartMember(0);
  ASSERT_TRUE(members_[0].WaitForOutput("participates in"));
  const std::string member_proc = "/proc/" + std::to_string(members_[0].pid());
  // One more thread, for storage, and four more descriptors: the log, its lock, the eventfd of the
  // storage thread, and the socket that listens for the other members.
  EXPECT_EQ(CountEntries(member_proc + "/task"), 2U);
  EXPECT_GE(CountEntries(member_proc + "/fd"), descriptors + 4);
}

TEST_F(ClusterAgentTest, ChangeIsValidatedAndAppliedOnce) {
  StartCluster();
  const CommandResult invalid = SubmitChange(R"({"bared":[],"drain":1})");
  EXPECT_EQ(invalid.code, 2);
  EXPECT_NE(invalid.text.find("bared: expected"), std::string::npos) << invalid.text;
  EXPECT_NE(invalid.text.find("drain: expected"), std::string::npos) << invalid.text;
  // Valid by itself, but not together with this gateway's settings.
  const CommandResult not_applicable =
      SubmitChange(R"({"settings":{"Allowed":{"MaxRetryAfter":"soon"}}})");
  EXPECT_EQ(not_applicable.code, 1);
  EXPECT_NE(not_applicable.text.find("refused"), std::string::npos) << not_applicable.text;
  EXPECT_EQ(StatusOf(0)["version_latest"], 0);
  for (int attempt = 0; attempt < 2; ++attempt) {
    const CommandResult done = SubmitChange(R"({"barred":["h"]})", "--id one --expect 0");
    EXPECT_EQ(done.code, 0) << done.text;
    EXPECT_NE(done.text.find("version 1 is on"), std::string::npos) << done.text;
  }
  const CommandResult outdated = SubmitChange("{}", "--id two --expect 0");
  EXPECT_EQ(outdated.code, 1);
  EXPECT_NE(outdated.text.find("latest version is 1"), std::string::npos) << outdated.text;
  for (int i = 0; i < 3; ++i) {
    EXPECT_TRUE(WaitUntil([&] { return StatusOf(i)["version_on"] == 1; }));
  }
  const CommandResult diff = RunClusterCommand("diff 0 1");
  EXPECT_NE(diff.text.find("+ /barred/- \"h\""), std::string::npos) << diff.text;
  EXPECT_NE(RunClusterCommand("history").text.find("test"), std::string::npos);
}

// Changes are replicated as deltas, and operators may submit deltas. The versions that are read
// back are whole.
TEST_F(ClusterAgentTest, ReplicatesChangesAsDeltasIfConfigured) {
  WriteOperatorFile(3, "changes = \"delta\"\n");
  StartCluster();
  json document = {{"barred", {"h"}}};
  for (int i = 0; i < 200; ++i) {
    document["settings"]["Tenants"].push_back(
        {{"Name", "t" + std::to_string(i)}, {"QuotaPerS", i}});
  }
  ASSERT_EQ(SubmitChange(document.dump()).code, 0);
  document["settings"]["Tenants"][3]["QuotaPerS"] = 999;
  ASSERT_EQ(SubmitChange(document.dump()).code, 0);
  const json status = StatusOf(0);
  EXPECT_EQ(status["changes"], "delta");
  EXPECT_LT(status["change_bytes"], 100) << status.dump();
  EXPECT_GT(status["version_bytes"], 5000) << status.dump();
  EXPECT_NE(RunClusterCommand("status").text.find("changes delta; the last one"),
            std::string::npos);
  const std::string delta = R"({"settings":{"Tenants":{"t4":{"QuotaPerS":7}}},)"
                            R"("barred":{"add":["i"],"remove":["h"]}})";
  EXPECT_EQ(SubmitChange(delta, "--delta --expect 1").code, 1);
  const CommandResult done = SubmitChange(delta, "--delta --expect 2");
  EXPECT_NE(done.text.find("version 3 is on"), std::string::npos) << done.text;
  const CommandResult diff = RunClusterCommand("diff 2 3");
  EXPECT_NE(diff.text.find("+ /settings/Tenants/4/QuotaPerS 7"), std::string::npos) << diff.text;
  EXPECT_NE(diff.text.find("+ /barred/0 \"i\""), std::string::npos) << diff.text;
  const CommandResult not_a_delta = SubmitChange(R"({"barred":["h"]})", "--delta");
  EXPECT_EQ(not_a_delta.code, 2);
  EXPECT_NE(not_a_delta.text.find("barred: expected an object of add and remove"),
            std::string::npos);
  const CommandResult not_applicable =
      SubmitChange(R"({"settings":{"Allowed":{"MaxRetryAfter":"soon"}}})", "--delta");
  EXPECT_EQ(not_applicable.code, 1);
  EXPECT_NE(not_applicable.text.find("refused"), std::string::npos) << not_applicable.text;
  // A new member that is itself configured for whole changes can follow the deltas.
  WriteOperatorFile(3);
  StartMember(3);
  ASSERT_TRUE(WaitUntil([&] { return StatusOf(3)["version_on"] == 3; }));
  EXPECT_EQ(StatusOf(3)["changes"], "whole");
  EXPECT_EQ(StatusOf(3)["content"], "agreed");
  ASSERT_EQ(SubmitChange(R"({"drain":{"add":["j"]}})", "--delta").code, 0);
  ASSERT_TRUE(WaitUntil([&] { return StatusOf(3)["version_on"] == 4; }));
  EXPECT_EQ(StatusOf(3)["stance"], "agreed");
}

// Guards against valid deltas that a member refused for good just after it had returned without its
// data: it applied them to the content that it had, which lacked the rest of what they change.
TEST_F(ClusterAgentTest, MemberThatCatchesUpDoesNotRefuseDeltas) {
  WriteOperatorFile(3, "changes = \"delta\"\n");
  StartCluster();
  ASSERT_EQ(SubmitChange(R"({"settings":{"Classes":[{"Name":"read","Effect":"safe","Slo":300.0,)"
                         R"("Deadline":900.0}]}})")
                .code,
            0);
  for (int i = 0; i < 3; ++i) {
    members_[i].Kill();
  }
  fs::remove_all(folder_ + "/g2");
  StartMember(2);
  ASSERT_TRUE(members_[2].WaitForOutput("participates in"));
  const std::string delta = R"({"settings":{"Classes":{"read":{"Deadline":800.0}}}})";
  const std::string path = folder_ + "/delta.json";
  std::ofstream(path) << delta;
  const CommandResult early = RunCommand("bank change " + path + " --reason test --delta --id x" +
                                         " --within 1 --at " + AddressOf(2, 7000));
  EXPECT_EQ(early.code, 1);
  EXPECT_EQ(early.text.find("refused"), std::string::npos) << early.text;
  EXPECT_NE(early.text.find("submit it again with --id x"), std::string::npos) << early.text;
  StartMember(0);
  StartMember(1);
  ASSERT_TRUE(WaitUntil([&] { return StatusOf(2)["version_on"] == 1; }));
  const CommandResult done = SubmitChange(delta, "--delta --id x");
  EXPECT_EQ(done.code, 0) << done.text;
}

TEST_F(ClusterAgentTest, RefusesDeltaIfConfiguredForWholeChanges) {
  StartCluster();
  const CommandResult result = SubmitChange(R"({"barred":{"add":["i"]}})", "--delta");
  EXPECT_EQ(result.code, 1);
  EXPECT_NE(result.text.find("leads with whole changes, expected changes = \"delta\""),
            std::string::npos)
      << result.text;
  EXPECT_EQ(StatusOf(0)["version_latest"], 0);
  EXPECT_EQ(StatusOf(0)["changes"], "whole");
}

// Without a quorum there is no leader: a change fails with the time since there was one, and can
// be submitted again later. Requests are still served.
TEST_F(ClusterAgentTest, WithoutQuorumChangesFailAndRequestsAreServed) {
  StartCluster();
  members_[0].Kill();
  members_[1].Kill();
  ASSERT_TRUE(WaitUntil([&] { return StatusOf(2)["stance"] == "alone"; }));
  const CommandResult result = SubmitChange("{}", "--within 1 --id later");
  EXPECT_EQ(result.code, 1);
  EXPECT_NE(result.text.find("nobody has led for"), std::string::npos) << result.text;
  EXPECT_NE(result.text.find("--id later"), std::string::npos) << result.text;
  Peer client = Peer::To(ParseAddress(AddressOf(2, 5000)));
  client.Send("GET /_health HTTP/1.1\r\nHost: x\r\n\r\n");
  EXPECT_TRUE(WaitUntil([&] { return client.Has("200"); }));
  StartMember(0);
  EXPECT_TRUE(WaitUntil([&] { return StatusOf(2)["stance"] == "agreed"; }));
  EXPECT_EQ(SubmitChange("{}", "--id later").code, 0);
}

// The agreed version takes precedence over the platform's file, and the log states this.
TEST_F(ClusterAgentTest, ReloadedFileDoesNotOverrideTheAgreedVersion) {
  StartCluster();
  ASSERT_EQ(SubmitChange(R"({"settings":{"Allowed":{"SendCap":2}}})").code, 0);
  std::string text = kPlatformFile;
  text.replace(text.find("\"SendCap\":3"), 11, "\"SendCap\":5");
  std::ofstream(folder_ + "/c.json") << text;
  members_[1].Signal(SIGHUP);
  EXPECT_TRUE(members_[1].WaitForOutput("settings of the agreed version take precedence"));
  // The change of the file is still logged.
  EXPECT_TRUE(members_[1].WaitForOutput("attempts 3 to 5"));
  EXPECT_TRUE(WaitUntil([&] { return StatusOf(1)["version_on"] == 1; }));
}

// Only one process at a time may be the member, because two could vote twice in a term.
TEST_F(ClusterAgentTest, NewProcessOfHotRestartTakesOverMember) {
  StartCluster();
  Child new_process;
  auto environment = EnvironmentOf(1);
  environment["LB_ADMIN"] = AddressOf(9, 6000);
  new_process.Start(environment, {"serve", "--operator", folder_ + "/bank.toml"});
  EXPECT_TRUE(members_[1].WaitForOutput("stops participating, the new process takes over"));
  EXPECT_TRUE(new_process.WaitForOutput("participates in"));
  members_[1].Signal(SIGTERM);
  EXPECT_EQ(members_[1].Wait(), 0);
  EXPECT_TRUE(
      WaitUntil([&] { return StatusOf(1)["stance"] == "agreed" && StatusOf(1)["votes"] == true; }));
  EXPECT_EQ(SubmitChange("{}").code, 0);
}

// The new process of a hot restart applies its log version by version while it serves. Meanwhile it
// must act on the content that it had applied, not on superseded versions.
TEST_F(ClusterAgentTest, NewProcessExcludesHostsWhileCatchingUp) {
  Port host;
  std::string text = kPlatformFile;
  text.replace(text.find("\"members\":[]"), 12,
               R"("members":[{"id":"h","host_port":")" + host.text() + R"(","phase":"active"}])");
  std::ofstream(folder_ + "/c.json") << text;
  WriteOperatorFile(3, "changes = \"delta\"\n");
  StartCluster();
  json document;
  for (int i = 0; i < 900; ++i) {
    document["settings"]["Tenants"].push_back(
        {{"Name", "t" + std::to_string(i)}, {"QuotaPerS", i}});
  }
  std::vector<Peer> connections;
  const auto requests_at_host = [&] {
    while (Peer sent = host.TryAccept()) {
      connections.push_back(std::move(sent));
    }
    return std::ranges::count_if(connections, [](Peer& sent) { return sent.Has("GET /read"); });
  };
  const auto send_request = [&](const std::string& id) {
    Peer client = Peer::To(ParseAddress(AddressOf(1, 5000)));
    client.Send("GET /read HTTP/1.1\r\nX-Caller: t1\r\nX-Call-Id: " + id +
                "\r\nX-Budget-Ms: 300\r\n\r\n");
    return client;
  };
  for (int i = 0; i < 10; ++i) {
    document["settings"]["Tenants"][0]["QuotaPerS"] = 1000 + i;
    if (i == 9) {
      const Peer client = send_request("before");
      EXPECT_TRUE(WaitUntil([&] { return requests_at_host() == 1; }));
      document["barred"] = {"h"};
    }
    ASSERT_EQ(SubmitChange(document.dump()).code, 0);
  }
  ASSERT_TRUE(WaitUntil([&] { return StatusOf(1)["version_on"] == 10; }));
  Child new_process;
  auto environment = EnvironmentOf(1);
  environment["LB_ADMIN"] = AddressOf(9, 6000);
  new_process.Start(environment, {"serve", "--operator", folder_ + "/bank.toml"});
  // Sends requests until long after the hot restart, when both processes have read the log again.
  std::vector<Peer> clients;
  for (int i = 0; i < 600; ++i) {
    clients.push_back(send_request("c" + std::to_string(i)));
    if (clients.size() > 50) {
      clients.erase(clients.begin());
    }
    usleep(2'000);
    requests_at_host();
  }
  ASSERT_TRUE(new_process.WaitForOutput("participates in"));
  EXPECT_EQ(requests_at_host(), 1);
  members_[1].Signal(SIGTERM);
  EXPECT_TRUE(WaitUntil([&] { return StatusOf(1)["version_on"] == 10; }));
}

// A member whose disk fails restarts with an empty state. Until it has caught up, it must not send
// requests to hosts that the version it had applied before excludes.
TEST_F(ClusterAgentTest, MemberWithFailedStorageExcludesHostsWhileCatchingUp) {
  Port host;
  std::string text = kPlatformFile;
  text.replace(text.find("\"members\":[]"), 12,
               R"("members":[{"id":"h","host_port":")" + host.text() + R"(","phase":"active"}])");
  std::ofstream(folder_ + "/c.json") << text;
  // The second member's disk fails on command.
  WriteOperatorFile(3, "lab_disk = \"" + folder_ + "/disk\"\n");
  fs::rename(folder_ + "/bank.toml", folder_ + "/failing.toml");
  WriteOperatorFile(3);
  ASSERT_EQ(RunClusterCommand("init --name g0").code, 0);
  StartMember(0);
  members_[1].Start(EnvironmentOf(1), {"serve", "--operator", folder_ + "/failing.toml"});
  StartMember(2);
  ASSERT_TRUE(WaitUntil([&] { return StatusOf(0).value("voters", json::array()).size() == 3; }));
  ASSERT_EQ(SubmitChange(R"({"barred":["h"]})").code, 0);
  ASSERT_TRUE(WaitUntil([&] { return StatusOf(1)["version_on"] == 1; }));
  std::vector<Peer> connections, clients;
  const auto requests_at_host = [&] {
    while (Peer sent = host.TryAccept()) {
      connections.push_back(std::move(sent));
    }
    return std::ranges::count_if(connections, [](Peer& sent) { return sent.Has("GET /read"); });
  };
  std::ofstream(folder_ + "/disk") << "sync-fails";
  std::thread change_thread([&] { SubmitChange(R"({"barred":["h"],"drain":["x"]})"); });
  for (int i = 0; i < 500; ++i) {
    clients.push_back(Peer::To(ParseAddress(AddressOf(1, 5000))));
    clients.back().Send("GET /read HTTP/1.1\r\nX-Call-Id: c" + std::to_string(i) +
                        "\r\nX-Budget-Ms: 300\r\n\r\n");
    if (clients.size() > 50) {
      clients.erase(clients.begin());
    }
    usleep(2'000);
    requests_at_host();
  }
  change_thread.join();
  EXPECT_TRUE(members_[1].WaitForOutput("restarts as a non-voting member"));
  EXPECT_EQ(requests_at_host(), 0);
  EXPECT_TRUE(WaitUntil([&] { return StatusOf(1)["version_on"] == 2; }));
}

// A log that is corrupt before its end is renamed. Its member follows without a vote until an
// operator replaces the voter.
TEST_F(ClusterAgentTest, MemberWithCorruptLogDoesNotVote) {
  StartCluster();
  ASSERT_EQ(SubmitChange("{}").code, 0);
  members_[1].Kill();
  {
    std::fstream log(folder_ + "/g1/log", std::ios::in | std::ios::out | std::ios::binary);
    log.seekp(60);
    log.put('\x55');
  }
  StartMember(1);
  EXPECT_TRUE(members_[1].WaitForOutput("log at 24: a record that does not check out"));
  // The error is logged before the file is renamed.
  EXPECT_TRUE(WaitUntil([&] { return fs::exists(folder_ + "/g1/log.damaged"); }));
  ASSERT_TRUE(WaitUntil([&] { return StatusOf(1)["stance"] == "agreed"; }));
  EXPECT_EQ(StatusOf(1)["votes"], false);
  const CommandResult result = RunClusterCommand("voters replace g1 --reason disk");
  EXPECT_EQ(result.code, 0) << result.text;
  EXPECT_TRUE(WaitUntil([&] { return StatusOf(1)["votes"] == true; }));
}

// Each fault is reported in one line with file, line, key and what was expected.
TEST_F(ClusterAgentTest, ReportsFaultsOfOperatorFile) {
  const std::string head = "[bank]\nname = \"n\"\nfolder = \"f\"\n";
  const std::string member =
      "[[bank.members]]\nname = \"a\"\naddress = \"127.0.0.1:1\"\nvotes = true\n";
  const std::pair<std::string, std::string> invalid_files[] = {
      {"[bank", "f:1: "},
      {"x = 1", "f: bank: missing, expected a table [bank]"},
      {head, "f: bank.members: missing, expected [[bank.members]], one each"},
      {head + "lease_ms = 1\n" + member, "f:4: bank.lease_ms: out of range"},
      {head + "lease_ms = 200\n" + member, "f:4: bank.lease_ms: too short, expected 3 heartbeats"},
      {head + "lesae_ms = 1\n" + member, "f:4: bank.lesae_ms: unknown key, expected one of"},
      {head + "when_lost = \"panic\"\n" + member,
       "f:4: bank.when_lost: 'panic', expected serve or drain"},
      {head + "changes = \"small\"\n" + member,
       "f:4: bank.changes: 'small', expected whole or delta"},
      {head + member + member,
       "f:10: bank.members.1.address: used by another member, expected a unique address"},
      {head + member + "[[bank.members]]\nname = \"a\"\naddress = \"127.0.0.1:2\"\n",
       "f:9: bank.members.1.name: duplicate 'a', expected unique names"},
      {head + member + "[[bank.members]]\nname = \"b\"\naddress = \"127.0.0.1:2\"\nvotes = true\n",
       "2 members vote, expected an odd number"},
      {head + "[[bank.members]]\nname = \"a\"\naddress = \"here\"\nvotes = true\n",
       "f:6: bank.members.0.address: 'here', expected an address"}};
  for (const auto& [text, expected_fault] : invalid_files) {
    const auto faults = ValidateClusterConfig(text, "f");
    bool is_reported = false;
    for (const std::string& fault : faults) {
      is_reported = is_reported || fault.find(expected_fault) != std::string::npos;
    }
    EXPECT_TRUE(is_reported) << text << (faults.empty() ? "no fault" : faults.front());
  }
  EXPECT_TRUE(ValidateClusterConfig(head + member, "f").empty());
  EXPECT_EQ(RunCommand("check " PADDLESTILE_SOURCE "/deploy/bank.toml").code, 0);
}

TEST_F(ClusterAgentTest, FailedStartLogsOneLineAndChangesNothing) {
  const std::string operator_file = folder_ + "/bank.toml";
  const auto start = [&](int i) {
    StartMember(i);
    const int code = members_[i].Wait();
    return std::pair(code, members_[i].Text());
  };
  // The member's folder cannot be created.
  WriteOperatorFile(3);
  std::string text;
  {
    std::ifstream input(operator_file);
    text.assign(std::istreambuf_iterator<char>(input), {});
  }
  std::string missing_parent = text;
  missing_parent.replace(missing_parent.find(folder_ + "/{name}"), folder_.size() + 7,
                         folder_ + "/no/{name}");
  std::ofstream(operator_file) << missing_parent;
  auto [code, output] = start(0);
  EXPECT_EQ(code, 1);
  EXPECT_NE(output.find("/no/g0: No such file"), std::string::npos) << output;
  // The folder contains the log of another cluster.
  std::ofstream(operator_file) << text;
  ASSERT_EQ(RunClusterCommand("init --name g0").code, 0);
  EXPECT_EQ(RunClusterCommand("init --name g0").code, 2);  // fails the second time
  std::string other_cluster = text;
  other_cluster.replace(other_cluster.find("\"north\""), 7, "\"south\"");
  std::ofstream(operator_file) << other_cluster;
  std::tie(code, output) = start(0);
  EXPECT_EQ(code, 1);
  EXPECT_NE(output.find("the log of g0 in bank 'north', expected that of g0 in 'south'"),
            std::string::npos)
      << output;
  // The address is in use.
  std::ofstream(operator_file) << text;
  const FileDescriptor occupied = Listen(ParseAddress(AddressOf(0, 7000)), 1, false);
  ASSERT_TRUE(occupied);
  std::tie(code, output) = start(0);
  EXPECT_EQ(code, 1);
  EXPECT_NE(output.find("bank: listen on " + AddressOf(0, 7000)), std::string::npos) << output;
  // The gateway's name is not that of a member.
  auto environment = EnvironmentOf(0);
  environment["LB_NAME"] = "g9";
  members_[1].Start(environment, {"serve", "--operator", operator_file});
  EXPECT_EQ(members_[1].Wait(), 1);
  EXPECT_TRUE(members_[1].WaitForOutput("no 'g9', expected this gateway's LB_NAME"));
  EXPECT_EQ(RunCommand("bank status --operator " + folder_ + "/none.toml").code, 2);
  EXPECT_EQ(RunCommand("bank status").code, 2);
  EXPECT_EQ(RunCommand("bank change").code, 2);
}

}  // namespace
}  // namespace paddlestile
