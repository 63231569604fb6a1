// The program, run as a process: its command line, logs, signals, exit codes and memory.
#include <fcntl.h>
#include <fmt/format.h>
#include <gtest/gtest.h>
#include <sys/resource.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <csignal>
#include <cstdio>
#include <fstream>
#include <iterator>
#include <map>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "gateway/child_process.h"
#include "gateway/test_peers.h"

namespace paddlestile {
namespace {

using testing::Peer;
using testing::Port;

const std::string kConfig =
    R"({"name":"n1","seed":"1f","limits":{"sockets":256},"known":{"revision":1,"complete":true,)"
    R"("members":[]},"settings":{"Classes":[{"Name":"read","Effect":"safe","Slo":400.0,)"
    R"("Deadline":1000.0}],"Allowed":{"SendCap":3,"ConnectTimeout":250.0}}})";

class Program : public ::testing::Test {
 protected:
  Program() {
    path_ = ::testing::TempDir() + "paddlestile-main-" + std::to_string(getpid()) + ".json";
    // An address that no other test process uses. A free port of 127.0.0.1 could be taken by
    // another test before the program listens on it.
    address = {0x7f4d0000U | (static_cast<uint32_t>(getpid()) & 0xffffU), 5000};
    env_ = {{"LB_NAME", "n1"},
            {"LB_LISTEN", ToText(address)},
            {"LB_DISCOVERY", discovery.text()},
            {"LB_CONFIG", path_}};
    std::ofstream(path_) << kConfig;
  }
  ~Program() override { std::remove(path_.c_str()); }

  void Start() {
    child_.Kill();
    child_.Start(env_, arguments_);
  }
  const std::string& Text() { return child_.Text(); }
  bool WaitForOutput(const std::string& text) { return child_.WaitForOutput(text); }
  int Wait() { return child_.Wait(); }

  Port discovery;
  Address address;
  std::map<std::string, std::string> env_;
  std::vector<std::string> arguments_;  // after the program's name
  std::string path_;

 private:
  testing::Child child_;

 protected:
  [[nodiscard]] pid_t pid() const { return child_.pid(); }
  // Returns the list entries of `count` hosts at one port. A host of unknown capacity gets few
  // requests at a time.
  static std::string HostEntries(int count, const Port& port) {
    std::string entries;
    for (int i = 0; i < count; ++i) {
      entries += fmt::format(R"({}{{"id":"h{}","host_port":"{}","phase":"active"}})",
                             i == 0 ? "" : ",", i, port.text());
    }
    return entries;
  }
  // Returns the largest resident memory that the process has had; 0 if it is not known.
  [[nodiscard]] long PeakMemoryKib() const {
    std::ifstream status("/proc/" + std::to_string(pid()) + "/status");
    for (std::string line; std::getline(status, line);) {
      if (line.starts_with("VmHWM:")) {
        return std::stol(line.substr(6));
      }
    }
    return 0;
  }
};

TEST_F(Program, FailedStartLogsOneLine) {
  env_.erase("LB_DISCOVERY");
  Start();
  EXPECT_EQ(Wait(), 1);
  EXPECT_EQ(Text(), "error: paddlestile: LB_DISCOVERY is not set\n");
}

// Text from a peer or a file must add neither a line nor a field to a JSON log line.
TEST_F(Program, JsonLogLinesCannotBeForged) {
  arguments_ = {"--log-format", "json", "serve"};
  env_["LB_LISTEN"] = "x\"}\n{\"level\":\"info\xff";
  Start();
  EXPECT_EQ(Wait(), 1);
  EXPECT_EQ(std::ranges::count(Text(), '\n'), 1) << Text();
  const auto line = nlohmann::json::parse(Text(), nullptr, false);
  ASSERT_TRUE(line.is_object()) << Text();
  EXPECT_EQ(line["level"], "error");
  EXPECT_NE(line["message"].get<std::string>().find("LB_LISTEN"), std::string::npos);
  EXPECT_EQ(line.size(), 3u);
}

TEST_F(Program, InvalidCommandLineExitsWithTwo) {
  arguments_ = {"serf"};
  Start();
  EXPECT_EQ(Wait(), 2);
  EXPECT_EQ(std::ranges::count(Text(), '\n'), 1) << Text();
}

TEST_F(Program, ReportsInvalidSettings) {
  std::ofstream(path_) << R"({"seed":"1","known":{"revision":0,"members":[]},)"
                          R"("settings":{"Classes":[{"Name":"a","Slo":0.0,"Deadline":1.0}]}})";
  Start();
  EXPECT_EQ(Wait(), 1);
  // One line with the file, the key and what was expected.
  EXPECT_EQ(Text(), "error: paddlestile: LB_CONFIG: " + path_ +
                        ": setting out of range: Classes.0.Slo, expected over 0 and an hour at "
                        "most\n");
}

TEST_F(Program, ReportsAddressInUse) {
  Port occupied;
  env_["LB_LISTEN"] = occupied.text();
  Start();
  EXPECT_EQ(Wait(), 1);
  EXPECT_NE(Text().find("listen on " + occupied.text()), std::string::npos) << Text();
}

TEST_F(Program, LogsCountersOnSignalAndAtExit) {
  Start();
  ASSERT_TRUE(WaitForOutput("listens on"));
  Peer client = Peer::To(address);
  client.Send("GET /_health HTTP/1.1\r\n\r\n");
  for (int i = 0; i < 2000 && !client.Has("200 OK"); ++i) {
    usleep(5000);
  }
  ASSERT_TRUE(client.Has("200 OK"));
  kill(pid(), SIGUSR1);
  ASSERT_TRUE(WaitForOutput("counters: clients="));
  EXPECT_TRUE(WaitForOutput("health_checks=1"));
  kill(pid(), SIGTERM);
  ASSERT_TRUE(WaitForOutput("draining"));
  EXPECT_EQ(Wait(), 0);
  EXPECT_NE(Text().find("counters: clients=0"), std::string::npos) << Text();
  EXPECT_TRUE(client.Ended());
}

// `lab fleet-report` reads these lines to add up the counters of all gateways by second.
TEST_F(Program, LogsCountersPeriodicallyWithTheTime) {
  arguments_ = {"serve", "--counters-every", "0.1"};
  Start();
  ASSERT_TRUE(WaitForOutput("listens on"));
  std::string text;
  for (int i = 0; i < 1000 && std::ranges::count(text, '@') < 3; ++i) {
    usleep(5000);
    text = Text();
    for (size_t at = 0; (at = text.find("counters: ", at)) != std::string::npos;) {
      text[at] = '@';
    }
  }
  EXPECT_GE(std::ranges::count(text, '@'), 3) << text;
  const size_t at = text.find(" at=");
  ASSERT_NE(at, std::string::npos) << text;
  EXPECT_NEAR(std::stod(text.substr(at + 4)), static_cast<double>(time(nullptr)), 10);
  EXPECT_NE(text.find(" life=serving "), std::string::npos) << text;
  const size_t memory = text.find(" memory_kb=");
  ASSERT_NE(memory, std::string::npos) << text;
  EXPECT_GT(std::stol(text.substr(memory + 11)), 500) << text;
}

// Waits until a gateway has sent a watch request to `port`, on the connection that becomes `peer`.
bool WaitForWatch(Port& port, Peer& peer) {
  for (int i = 0; i < 1000; ++i) {
    if (!peer) {
      peer = port.TryAccept();
    }
    if (peer && peer.Has("follow=1")) {
      return true;
    }
    usleep(5000);
  }
  return false;
}

// SIGHUP reloads the configuration file, also repeatedly and while draining. An invalid file
// changes nothing.
TEST_F(Program, ReloadsConfigurationOnSighup) {
  const auto write = [&](const std::string& discovery_text) {
    std::string text = kConfig;
    text.insert(1, R"("discovery":")" + discovery_text + R"(",)");
    std::ofstream(path_) << text;
  };
  Start();
  ASSERT_TRUE(WaitForOutput("listens on"));
  Peer first, second, third;
  ASSERT_TRUE(WaitForWatch(discovery, first));
  first.Send("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\n\n\r\n");
  Peer client = Peer::To(address);
  client.Send("GET /_health HTTP/1.1\r\n\r\n");
  for (int i = 0; i < 2000 && !client.Has("200 OK"); ++i) {
    usleep(5000);
  }

  std::ofstream(path_) << kConfig.substr(0, 100);  // incomplete at first
  kill(pid(), SIGHUP);
  ASSERT_TRUE(WaitForOutput("configuration kept as it was"));
  EXPECT_FALSE(first.Ended());
  Port second_discovery;
  write(second_discovery.text());
  ASSERT_TRUE(WaitForWatch(second_discovery, second));  // read again without a second signal
  second.Send("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\n\n\r\n");
  for (int i = 0; i < 1000 && !first.Ended(); ++i) {
    usleep(5000);
  }
  EXPECT_TRUE(first.Ended());

  std::remove(path_.c_str());
  kill(pid(), SIGHUP);
  ASSERT_TRUE(WaitForOutput("cannot read " + path_ + ", expected a file"));
  EXPECT_FALSE(second.Ended());

  kill(pid(), SIGTERM);
  ASSERT_TRUE(WaitForOutput("draining"));
  Port third_discovery;
  write(third_discovery.text());
  kill(pid(), SIGHUP);
  EXPECT_TRUE(WaitForWatch(third_discovery, third));
  EXPECT_EQ(Wait(), 0);
}

// `paddlestile migrate` converts the file of a shared proxy to that of a gateway beside its client.
// It must not lose a key or an existing file.
class Migration : public Program {
 protected:
  Migration() {
    std::string text = kConfig;
    text.insert(text.rfind("}}"), R"(,"Strange":{"Key":1},"KindOfService":"proxy")");
    text.insert(1, R"("listen":"127.0.0.4:5000","owner":"ops",)");
    std::ofstream(path_) << text;
    target_ = path_ + ".new-shape";
    std::remove(target_.c_str());
  }
  ~Migration() override { std::remove(target_.c_str()); }
  // Runs the program and returns its exit code. Its output is in Text().
  int RunCommand(const std::vector<std::string>& arguments) {
    arguments_ = arguments;
    Start();
    return Wait();
  }
  static std::string ReadFile(const std::string& path) {
    std::ifstream file(path);
    return {std::istreambuf_iterator<char>(file), std::istreambuf_iterator<char>()};
  }
  std::string target_;
};

TEST_F(Migration, WritesAFileThatIsValidAndStartsAGateway) {
  const std::string before = ReadFile(path_);
  ASSERT_EQ(RunCommand({"migrate", path_, "--gateways", "900", "--warm-keys", "--to", target_}), 0)
      << Text();
  for (const char* const line :
       {"kept, but unknown: owner", "settings.Strange.Key", "not carried over: listen",
        "not carried over: settings.Me, seed", "changed: settings.KindOfService: \"proxy\" to"}) {
    EXPECT_NE(Text().find(line), std::string::npos) << line << "\n" << Text();
  }
  EXPECT_EQ(ReadFile(path_), before);
  const auto json = nlohmann::json::parse(ReadFile(target_), nullptr, false);
  ASSERT_TRUE(json.is_object());
  EXPECT_EQ(json["owner"], "ops");
  EXPECT_EQ(json["settings"]["Strange"]["Key"], 1);
  EXPECT_EQ(json["settings"]["NInstances"], 900);
  EXPECT_EQ(json["settings"]["FamilyInfo"]["WarmKeys"], true);
  EXPECT_EQ(json["listen"], "127.0.0.1:5000");
  EXPECT_EQ(RunCommand({"check", target_}), 0) << Text();
  env_["LB_CONFIG"] = target_;
  arguments_.clear();
  Start();
  EXPECT_TRUE(WaitForOutput("listens on"));
}

TEST_F(Migration, DryRunWritesNothing) {
  const std::string before = ReadFile(path_);
  EXPECT_EQ(RunCommand({"migrate", path_, "--gateways", "900", "--dry-run"}), 0);
  EXPECT_NE(Text().find("changed: settings.NInstances"), std::string::npos) << Text();
  EXPECT_EQ(ReadFile(path_), before);
  EXPECT_NE(access(target_.c_str(), F_OK), 0);
}

TEST_F(Migration, FailurePrintsOneLineAndChangesNothing) {
  const auto expect_failure = [&](const std::vector<std::string>& arguments,
                                  const std::string& expected) {
    const size_t previous_size = Text().size();
    EXPECT_EQ(RunCommand(arguments), 2) << expected;
    const std::string output = Text().substr(previous_size);
    EXPECT_EQ(std::ranges::count(output, '\n'), 1) << output;
    EXPECT_NE(output.find(expected), std::string::npos) << output;
  };
  expect_failure({"migrate", path_, "--gateways", "900"}, "expected --to FILE or --dry-run");
  expect_failure({"migrate", path_, "--gateways", "0", "--dry-run"}, "--gateways");
  expect_failure({"migrate", path_ + ".none", "--gateways", "9", "--to", target_},
                 "expected a file");
  expect_failure({"migrate", path_, "--gateways", "9", "--to", "/proc/none/x"}, "cannot write it");
  std::ofstream(path_ + ".bad") << "{\"seed\"";
  expect_failure({"migrate", path_ + ".bad", "--gateways", "9", "--to", target_}, "expected JSON");
  std::remove((path_ + ".bad").c_str());
  EXPECT_NE(access(target_.c_str(), F_OK), 0);
  ASSERT_EQ(RunCommand({"migrate", path_, "--gateways", "9", "--to", target_}), 0);
  const std::string written = ReadFile(target_);
  const std::string again = target_ + "2";
  expect_failure({"migrate", target_, "--gateways", "9", "--to", again},
                 "of the new shape already");
  std::ofstream(target_) << "mine";
  expect_failure({"migrate", path_, "--gateways", "9", "--to", target_},
                 "expected a new name or --replace");
  EXPECT_EQ(ReadFile(target_), "mine");
  EXPECT_EQ(RunCommand({"migrate", path_, "--gateways", "9", "--to", target_, "--replace"}), 0);
  EXPECT_EQ(ReadFile(target_), written);
}

// Sixty responses of 32 MiB to clients that read nothing, then sixty such requests to a host that
// reads nothing. The memory for their bodies must be bounded, whatever their length.
TEST_F(Program, BoundsMemoryForDozensOfSlowLargeBodies) {
  Port host;
  std::string config = kConfig;
  config.replace(config.find("256"), 3, "1024");
  config.replace(config.find("[]"), 2,
                 R"([{"id":"h","host_port":")" + host.text() + R"(","phase":"active"}])");
  std::ofstream(path_) << config;
  Start();
  ASSERT_TRUE(WaitForOutput("listens on"));
  constexpr size_t kBodies = 60;
  const std::string part(1 << 18, 'x');
  for (const bool are_responses_large : {true, false}) {
    std::vector<Peer> clients, hosts;
    for (size_t i = 0; i < kBodies; ++i) {
      clients.push_back(Peer::To(address));
      clients.back().Send((are_responses_large
                               ? "GET /read HTTP/1.1\r\n"
                               : "POST /read HTTP/1.1\r\nContent-Length: 33554432\r\n") +
                          ("X-Call-Id: " + std::to_string(i)) + (are_responses_large ? "a" : "r") +
                          "\r\nX-Budget-Ms: 60000\r\n\r\n");
    }
    size_t sent = 0;
    for (int round = 0; round < 600; ++round) {
      while (Peer peer = host.TryAccept()) {
        hosts.push_back(std::move(peer));
        if (are_responses_large) {
          hosts.back().Send("HTTP/1.1 200 OK\r\nContent-Length: 33554432\r\n\r\n");
        }
      }
      for (Peer& peer : are_responses_large ? hosts : clients) {
        const ssize_t n = send(peer.fd(), part.data(), part.size(), MSG_NOSIGNAL);
        if (n > 0) {
          sent += static_cast<size_t>(n);
        }
      }
      usleep(2000);
    }
    EXPECT_GE(hosts.size(), 36u);         // some are rejected, as the host's capacity is unknown
    EXPECT_GT(sent, hosts.size() << 20);  // most of it in the kernel's buffers
  }
#ifndef __SANITIZE_ADDRESS__  // AddressSanitizer uses memory of its own
  EXPECT_LT(PeakMemoryKib(), 32L * 1024);
#endif
}

// Guards against bodies of up to 1 MiB that are held without a bound while their requests wait for
// a response: a hundred clients send such requests to a host that reads them and never responds.
TEST_F(Program, BoundsMemoryOfLargeBodiesThatWaitForAResponse) {
  Port host(256);
  std::string config = kConfig;
  config.replace(config.find("256"), 3, "1024");
  config.replace(config.find("1000.0"), 6, "9000.0");
  config.replace(config.find("[]"), 2, '[' + HostEntries(60, host) + ']');
  std::ofstream(path_) << config;
  Start();
  ASSERT_TRUE(WaitForOutput("listens on"));
  constexpr size_t kBodyBytes = 1'000'000;
  const std::string body(kBodyBytes, 'x');
  std::vector<Peer> clients, hosts;
  size_t received_by_host = 0;
  const auto serve_host = [&] {
    usleep(2000);
    while (Peer peer = host.TryAccept()) {
      hosts.push_back(std::move(peer));
    }
    for (Peer& peer : hosts) {
      received_by_host += peer.Received().size();
      peer.ClearReceived();
    }
  };
  // One body after the other, so that few of them are arriving at any time.
  for (int i = 0; i < 100; ++i) {
    clients.push_back(Peer::To(address));
    clients.back().Send("POST /read HTTP/1.1\r\nX-Call-Id: " + std::to_string(i) +
                        "\r\nX-Budget-Ms: 9000\r\nContent-Length: " + std::to_string(kBodyBytes) +
                        "\r\n\r\n");
    std::string_view rest = body;
    for (int round = 0; round < 1000 && !rest.empty(); ++round) {
      const ssize_t n = send(clients.back().fd(), rest.data(), rest.size(), MSG_NOSIGNAL);
      rest.remove_prefix(n > 0 ? static_cast<size_t>(n) : 0);
      serve_host();
    }
  }
  for (int round = 0; round < 1000 && received_by_host < 100 * kBodyBytes; ++round) {
    serve_host();
  }
  EXPECT_GT(received_by_host, 60 * kBodyBytes);  // some may be rejected
#ifndef __SANITIZE_ADDRESS__                     // AddressSanitizer uses memory of its own
  EXPECT_LT(PeakMemoryKib(), 32L * 1024);        // the smallest memory limit of a deployment
#endif
}

// Guards against bodies of up to 64 KiB that are held without a bound: the clients' share of the
// descriptors sends such requests to hosts that never respond. What there is no memory for is
// refused at once, with a time to come back.
TEST_F(Program, BoundsMemoryOfRequestsThatWaitForAResponse) {
  Port host(256);
  std::string config = kConfig;
  config.replace(config.find("256"), 3, R"(1024,"memory_mb":32)");
  config.replace(config.find("1000.0"), 6, "9000.0");
  config.replace(config.find(R"("SendCap":3)"), 11,
                 R"("SendCap":3,"RetryAfter":true,"MaxRetryAfter":1500.0)");
  config.replace(config.find("[]"), 2, '[' + HostEntries(200, host) + ']');
  std::ofstream(path_) << config;
  Start();
  ASSERT_TRUE(WaitForOutput("listens on"));
  const std::string body(60'000, 'x');
  std::vector<Peer> clients, hosts;
  size_t refused = 0;
  for (int i = 0; i < 500; ++i) {
    clients.push_back(Peer::To(address));
    clients.back().Send("POST /read HTTP/1.1\r\nX-Call-Id: " + std::to_string(i) +
                        "\r\nX-Budget-Ms: 9000\r\nContent-Length: 60000\r\n\r\n" + body);
    usleep(2000);
    while (Peer peer = host.TryAccept()) {
      hosts.push_back(std::move(peer));
    }
  }
  usleep(100'000);
  for (Peer& client : clients) {
    refused += client.Has("HTTP/1.1 503") ? 1 : 0;
    EXPECT_EQ(client.Has("HTTP/1.1 503"), client.Has("Retry-After: "));
  }
  // Five sixths of the 8 MiB for messages hold 100 such requests of 64 KiB.
  EXPECT_GT(hosts.size(), 90u);
  EXPECT_GT(refused, 200u);
  Peer health = Peer::To(address);
  health.Send("GET /_health HTTP/1.1\r\n\r\n");
  for (int i = 0; i < 500 && !health.Has("200 OK"); ++i) {
    usleep(2000);
  }
  EXPECT_TRUE(health.Has("200 OK"));
#ifndef __SANITIZE_ADDRESS__  // AddressSanitizer uses memory of its own
  EXPECT_LT(PeakMemoryKib(), 32L * 1024);
#endif
}

// Guards against responses of up to 64 KiB that are held without a bound while they arrive: hosts
// send the first part of a response each, and the rest 0.3 s later. All are forwarded whole.
TEST_F(Program, BoundsMemoryOfResponsesThatArriveSlowly) {
  constexpr size_t kResponses = 500;
  Port host(512);
  std::string config = kConfig;
  config.replace(config.find("256"), 3, R"(2048,"memory_mb":32)");
  config.replace(config.find("1000.0"), 6, "9000.0");
  config.replace(config.find("[]"), 2, '[' + HostEntries(500, host) + ']');
  std::ofstream(path_) << config;
  Start();
  ASSERT_TRUE(WaitForOutput("listens on"));
  const std::string body(64'000, 'x');
  std::vector<Peer> clients, hosts;
  const auto serve_hosts = [&] {
    while (Peer peer = host.TryAccept()) {
      hosts.push_back(std::move(peer));
    }
    for (Peer& peer : hosts) {
      if (peer.Has("GET /read")) {
        peer.ClearReceived();
        peer.Send("HTTP/1.1 200 OK\r\nContent-Length: 64000\r\n\r\n" + body.substr(1000));
      }
    }
  };
  for (size_t i = 0; i < kResponses; ++i) {
    clients.push_back(Peer::To(address));
    clients.back().Send("GET /read HTTP/1.1\r\nX-Call-Id: " + std::to_string(i) +
                        "\r\nX-Budget-Ms: 9000\r\n\r\n");
    if (i % 10 == 0) {
      serve_hosts();
    }
  }
  for (int round = 0; round < 30; ++round) {
    serve_hosts();
    usleep(10'000);
  }
  for (Peer& peer : hosts) {
    peer.Send(body.substr(0, 1000));
  }
  usleep(100'000);
  size_t served = 0;
  for (Peer& client : clients) {
    served += client.Received().ends_with("\r\n\r\n" + body) ? 1 : 0;
  }
  EXPECT_EQ(served, kResponses);
#ifndef __SANITIZE_ADDRESS__  // AddressSanitizer uses memory of its own
  EXPECT_LT(PeakMemoryKib(), 32L * 1024);
#endif
}

// Guards against streamed responses that are held without a bound for clients that do not read: one
// piece of each in the input, and one that is being written.
TEST_F(Program, BoundsMemoryOfStreamedResponsesThatClientsDoNotRead) {
  constexpr size_t kResponses = 500;
  constexpr int kSendBufferBytes = 1 << 18;
  Port host(512);
  std::string config = kConfig;
  config.replace(config.find("256"), 3, R"(2048,"memory_mb":32)");
  config.replace(config.find("1000.0"), 6, "9000.0");
  config.replace(config.find("[]"), 2, '[' + HostEntries(500, host) + ']');
  std::ofstream(path_) << config;
  Start();
  ASSERT_TRUE(WaitForOutput("listens on"));
  const std::string part(1 << 16, 'x');
  std::vector<Peer> clients, hosts;
  std::vector<int> streaming_fds;
  const auto serve_hosts = [&] {
    while (Peer peer = host.TryAccept()) {
      setsockopt(peer.fd(), SOL_SOCKET, SO_SNDBUF, &kSendBufferBytes, sizeof(kSendBufferBytes));
      hosts.push_back(std::move(peer));
    }
    for (Peer& peer : hosts) {
      if (peer.Has("GET /read")) {
        peer.ClearReceived();
        peer.Send("HTTP/1.1 200 OK\r\nContent-Length: 33000000\r\n\r\n");
        streaming_fds.push_back(peer.fd());
      }
    }
    for (const int fd : streaming_fds) {
      send(fd, part.data(), part.size(), MSG_NOSIGNAL);
    }
  };
  for (size_t i = 0; i < kResponses; ++i) {
    clients.push_back(Peer::SmallReaderTo(address));
    clients.back().Send("GET /read HTTP/1.1\r\nX-Call-Id: " + std::to_string(i) +
                        "\r\nX-Budget-Ms: 9000\r\n\r\n");
    if (i % 10 == 0) {
      serve_hosts();
    }
  }
  for (int round = 0; round < 100; ++round) {
    serve_hosts();
    usleep(10'000);
  }
  size_t started = 0;
  for (Peer& client : clients) {
    started += client.Has("HTTP/1.1 200 OK") ? 1 : 0;
  }
  EXPECT_GT(started, kResponses * 9 / 10);  // some may be rejected
#ifndef __SANITIZE_ADDRESS__                // AddressSanitizer uses memory of its own
  EXPECT_LT(PeakMemoryKib(), 32L * 1024);
#endif
}

// Five hundred clients, each of which has sent all but the last byte of a body of the maximum
// length.
TEST_F(Program, BoundsMemoryForManyLongRequests) {
  rlimit descriptor_limit{};
  ASSERT_EQ(getrlimit(RLIMIT_NOFILE, &descriptor_limit), 0);
  descriptor_limit.rlim_cur = std::min<rlim_t>(descriptor_limit.rlim_max, 4096);
  ASSERT_EQ(setrlimit(RLIMIT_NOFILE, &descriptor_limit), 0);
  std::string config = kConfig;
  config.replace(config.find("256"), 3, "1024");
  std::ofstream(path_) << config;
  Start();
  ASSERT_TRUE(WaitForOutput("listens on"));
  const std::string head = "POST /read HTTP/1.1\r\nContent-Length: 65536\r\n\r\n";
  const std::string text = head + std::string(65535, 'x');
  std::vector<Peer> clients;
  std::vector<size_t> sent(500, 0);
  for (size_t i = 0; i < sent.size(); ++i) {
    clients.push_back(Peer::To(address));
  }
  // Sends a part of the body on each connection in turn, since a socket does not accept all at
  // once.
  for (int round = 0; round < 5000; ++round) {
    size_t unsent_bytes = 0;
    for (size_t i = 0; i < sent.size(); ++i) {
      const std::string_view rest = std::string_view(text).substr(sent[i]);
      const ssize_t n = send(clients[i].fd(), rest.data(), rest.size(), MSG_NOSIGNAL);
      if (n > 0) {
        sent[i] += static_cast<size_t>(n);
      }
      unsent_bytes += text.size() - sent[i];
    }
    if (unsent_bytes == 0) {
      break;
    }
    usleep(1000);
  }
  EXPECT_EQ(sent.back(), text.size());
  Peer late = Peer::To(address);  // served once the event loop has read all of it
  late.Send("GET /_health HTTP/1.1\r\n\r\n");
  for (int i = 0; i < 1000 && !late.Has("200 OK"); ++i) {
    usleep(5000);
  }
  EXPECT_TRUE(late.Has("200 OK"));
#ifndef __SANITIZE_ADDRESS__               // AddressSanitizer uses memory of its own
  EXPECT_GT(PeakMemoryKib(), 30L * 1024);  // all bodies are in memory
  EXPECT_LT(PeakMemoryKib(), 70L * 1024);
#endif
}

}  // namespace
}  // namespace paddlestile
