// Races between two events, forced over loopback sockets: the rows of docs/crossings.md that need a
// complete gateway. Races within one component are among the tests of that component.
#include <gtest/gtest.h>
#include <unistd.h>

#include <csignal>
#include <filesystem>
#include <fstream>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "gateway/child_process.h"
#include "gateway/gateway_fixture.h"

namespace paddlestile {
namespace {

using testing::Child;
using testing::GatewayTest;
using testing::Http200;
using testing::Ms;
using testing::Peer;
using testing::Port;
using testing::RequestText;
using testing::RunFor;
using testing::UnreachableHost;

enum class DisconnectKind {
  kClose,
  kReset,
  kHalfClose
};
constexpr DisconnectKind kDisconnectKinds[] = {DisconnectKind::kClose, DisconnectKind::kReset,
                                               DisconnectKind::kHalfClose};

void Disconnect(Peer& client, DisconnectKind kind) {
  if (kind == DisconnectKind::kClose) {
    client.Close();
  }
  if (kind == DisconnectKind::kReset) {
    client.Reset();
  }
  if (kind == DisconnectKind::kHalfClose) {
    client.ShutdownWrite();
  }
}

std::string RequestIdOf(const std::string& text) {
  const size_t at = text.find("X-Call-Id: ") + 11;
  return text.substr(at, text.find('\r', at) - at);
}

class RaceTest : public GatewayTest {
 protected:
  RaceTest() {
    // Long enough for requests to wait in a queue or for a connect.
    for (RequestClass& request_class : config.settings.classes) {
      request_class.latency_objective = Ms(6000), request_class.deadline = Ms(8000);
    }
    config.settings.allowed.connect_timeout = Ms(3000);
  }
  // Adds a host that counts request ids and sends `response`; if that is empty, the test responds.
  Host& AddCountingHost(const std::string& id, std::string response = "") {
    return AddHost(id, [this, response = std::move(response)](const std::string& text) {
      ++received_counts[RequestIdOf(text)];
      return response;
    });
  }
  void AddUnreachableHost(const std::string& id, const Address& address) {
    EndpointListEntry entry;
    entry.info.id = id;
    entry.address = address;
    config.initial_endpoints.endpoints.push_back(entry);
  }
  bool ReceivedOnce(const std::string& id) { return received_counts[id] == 1; }
  // Sends a line from discovery and waits until the gateway has accepted its revision.
  void SendDiscoveryLine(Peer& discovery_call, const std::string& line, int revision) {
    discovery_call.Send(fmt::format("{:x}\r\n{}\n\r\n", line.size() + 1, line));
    EXPECT_TRUE(RunHostsUntil([&] {
      return gateway->DescribeState().find(fmt::format(" revision={} ", revision)) !=
             std::string::npos;
    }));
  }

  // Requests received by the hosts, by request or host id.
  std::map<std::string, int> received_counts;
};

// ---- Clients that disconnect while their request waits ----------------------------------------

// The load balancer queues the requests, as all hosts are at their limits.
TEST_F(RaceTest, QueuedRequestOfADisconnectedClientIsNotSent) {
  AddCountingHost("h1");
  Start();
  std::vector<Peer> clients;
  for (int i = 0; i < 12; ++i) {
    clients.push_back(SendRequest(RequestText(std::to_string(i), "safe", 8000)));
  }
  ASSERT_TRUE(
      RunHostsUntil([&] { return gateway->request_count() == 12 && !received_counts.empty(); }));
  RunHostsUntil([] { return false; }, Ms(30));
  const std::set<std::string> sent = [&] {
    std::set<std::string> ids;
    for (const auto& [id, times] : received_counts) {
      ids.insert(id);
    }
    return ids;
  }();
  ASSERT_GE(sent.size(), 1u);
  ASSERT_LE(sent.size(), 9u);  // some are queued
  int disconnected = 0;
  for (size_t i = 0; i < clients.size(); ++i) {
    if (!sent.contains(std::to_string(i))) {
      Disconnect(clients[i], kDisconnectKinds[disconnected++ % 3]);
    }
  }
  RunHostsUntil([] { return false; }, Ms(310));
  for (Peer& peer : hosts[0]->peers) {
    peer.Send(Http200("served"));
  }
  RunHostsUntil([] { return false; }, Ms(400));
  for (const auto& [id, times] : received_counts) {
    EXPECT_TRUE(sent.contains(id)) << id;
  }
}

// The request is assigned to a connection that is not established yet.
TEST_F(RaceTest, RequestOfADisconnectedClientIsNotSentAfterTheConnect) {
  UnreachableHost host(loop);
  AddUnreachableHost("h1", host.address());
  Start();
  std::vector<Peer> clients;
  for (int i = 0; i < 3; ++i) {
    clients.push_back(SendRequest(RequestText(std::to_string(i), "safe", 8000)));
    RunFor(loop, Ms(30));
  }
  for (size_t i = 0; i < 3; ++i) {
    Disconnect(clients[i], kDisconnectKinds[i]);
  }
  RunFor(loop, Ms(310));
  host.StartAccepting();
  std::vector<Peer> late;
  const Time end = loop.Now() + Ms(1800);
  while (loop.Now() < end) {
    if (Peer peer = host.TryAccept()) {
      late.push_back(std::move(peer));
    }
    loop.RunOnce(Ms(2));
  }
  for (Peer& peer : late) {
    EXPECT_FALSE(peer.Has("POST"));
  }
  EXPECT_EQ(gateway->request_count(), 0u);
}

// The client disconnects between two attempts: the first has been reset, and the connect of the
// second does not succeed yet.
TEST_F(RaceTest, RequestOfADisconnectedClientIsNotRetried) {
  UnreachableHost second(loop);
  AddCountingHost("h1");
  Start();
  Peer client = SendRequest(RequestText("a", "safe", 8000));
  ASSERT_TRUE(RunHostsUntil([&] { return ReceivedOnce("a"); }));
  // From here on the endpoint list includes the second host.
  Peer discovery_call = discovery_port.Accept(loop);
  discovery_call.Send(testing::kChunkedHead);
  SendDiscoveryLine(discovery_call,
                    R"({"revision":41,"complete":false,"members":[{"id":"h2","host_port":")" +
                        ToText(second.address()) + R"(","phase":"active"}]})",
                    41);
  for (Peer& peer : hosts[0]->peers) {
    peer.Reset();
  }
  RunFor(loop, Ms(50));
  EXPECT_FALSE(client.Has("HTTP/1.1"));  // it waits for the second attempt
  client.Close();
  RunFor(loop, Ms(310));
  second.StartAccepting();
  Peer late;
  RunHostsUntil([&] { return static_cast<bool>(late = second.TryAccept()); }, Ms(1800));
  RunHostsUntil([] { return false; }, Ms(50));
  EXPECT_FALSE(late && late.Has("POST"));
  EXPECT_EQ(received_counts["a"], 1);
  EXPECT_EQ(gateway->request_count(), 0u);
}

// The client disconnects in the same turn in which its request is handled, or while the request is
// buffered behind another one.
TEST_F(RaceTest, RequestOfAClientThatDisconnectsInTheSameTurnIsNotSent) {
  AddCountingHost("h1", Http200("served"));
  Start();
  for (const DisconnectKind kind : kDisconnectKinds) {
    const std::string id = std::to_string(static_cast<int>(kind));
    Peer client = SendRequest(RequestText("turn" + id)),
         behind = SendRequest(RequestText("first" + id));
    behind.Send(RequestText("behind" + id));
    Disconnect(client, kind);
    Disconnect(behind, kind);
    RunHostsUntil([] { return false; }, Ms(350));
    EXPECT_EQ(received_counts["turn" + id], 0) << id;
    EXPECT_EQ(received_counts["first" + id], 0) << id;
    EXPECT_EQ(received_counts["behind" + id], 0) << id;
  }
  EXPECT_EQ(gateway->request_count(), 0u);
}

// The second of two pipelined requests starts when the first has its response, but not after its
// client has disconnected.
TEST_F(RaceTest, PipelinedRequestOfADisconnectedClientIsNotSent) {
  AddHost("h1", [this](const std::string& text) {
    ++received_counts[RequestIdOf(text)];
    return std::string();
  });
  Start();
  for (const DisconnectKind kind : kDisconnectKinds) {
    const std::string id = std::to_string(static_cast<int>(kind));
    Peer client = SendRequest(RequestText("first" + id) + RequestText("behind" + id));
    ASSERT_TRUE(RunHostsUntil([&] { return ReceivedOnce("first" + id); }));
    Disconnect(client, kind);
    RunHostsUntil([] { return false; }, Ms(310));
    for (Peer& peer : hosts[0]->peers) {
      if (peer) {
        peer.Send(Http200("served"));
      }
    }
    RunHostsUntil([] { return false; }, Ms(100));
    EXPECT_EQ(received_counts["behind" + id], 0) << id;
  }
  EXPECT_EQ(gateway->request_count(), 0u);
}

// ---- Shutdown -----------------------------------------------------------------------------------

// The shutdown meets requests in every state, while clients keep sending and hosts hang.
TEST_F(RaceTest, ShutdownRespondsToEachRequest) {
  for (RequestClass& request_class : config.settings.classes) {
    request_class.latency_objective = Ms(1000), request_class.deadline = Ms(2000);
  }
  config.settings.allowed.connect_timeout = Ms(1500);
  UnreachableHost unreachable_host(loop);
  AddHost("h1", [this](const std::string& text) {
    const std::string id = RequestIdOf(text);
    ++received_counts[id];
    if (id == "hangs") {
      return std::string();
    }
    return id.starts_with("again") && received_counts[id] == 1 ? std::string("reset")
                                                               : Http200("served");
  });
  AddHost("h2", Ok);
  Start();
  std::map<std::string, Peer> clients;
  const auto send = [&](const std::string& id, const std::string& text) {
    clients[id] = SendRequest(text);
  };
  send("hangs", RequestText("hangs", "unsafe", 1500));
  send("again", RequestText("again", "safe", 1500));
  send("half", RequestText("half").substr(0, 40));
  send("upload",
       "POST /safe HTTP/1.1\r\nX-Call-Id: upload\r\nX-Budget-Ms: 1500\r\n"
       "Content-Length: 3000\r\n\r\n" +
           std::string(1000, 'x'));
  ASSERT_TRUE(
      RunHostsUntil([&] { return received_counts["hangs"] + received_counts["again"] > 0; }));
  send("unread", RequestText("unread"));
  bool done = false;
  const Time drain_started_at = loop.Now();
  gateway->Drain([&] { done = true; });
  send("backlog", RequestText("backlog"));
  gateway->Drain([&] { done = true; });  // Drain is called twice
  RunHostsUntil([] { return false; }, Ms(150));
  send("late", RequestText("late"));
  clients["half"].Send(RequestText("half").substr(40));
  clients["upload"].Send(std::string(1998, 'x') + "dy");
  gateway->ApplyConfig(config);
  RunHostsUntil([] { return false; }, Ms(200));
  send("last", RequestText("last"));
  EXPECT_TRUE(RunHostsUntil([&] {
    for (auto& [id, client] : clients) {
      if (!client.Has("\r\n\r\n"))
        return false;
    }
    return true;
  }));
  for (auto& [id, client] : clients) {
    const bool hung = id == "hangs" || client.Has("HTTP/1.1 50");
    EXPECT_TRUE(client.Has("HTTP/1.1 200") || hung) << id << ": " << client.Received();
    EXPECT_EQ(client.Received().find("HTTP/1.1", 5), std::string::npos) << id;  // only one response
    EXPECT_TRUE(RunHostsUntil([&] { return client.Ended(); })) << id;
  }
  EXPECT_TRUE(clients["hangs"].Has("HTTP/1.1 502"));
  EXPECT_EQ(received_counts["hangs"], 1);
  clients.clear();
  EXPECT_TRUE(RunHostsUntil([&] { return done; }));
  EXPECT_LT(loop.Now() - drain_started_at, Ms(2700));  // the longest deadline plus 0.7 s
}

// New settings with shorter deadlines are applied while draining. Requests in progress keep their
// own deadlines.
TEST_F(RaceTest, ShorterDeadlinesWhileDrainingEndNoRequestInProgress) {
  AddCountingHost("h1");
  for (RequestClass& request_class : config.settings.classes) {
    request_class.deadline = Ms(300);
  }
  Start();
  // Longer than the deadline of its class.
  Peer client = SendRequest(RequestText("a", "safe", 2500));
  ASSERT_TRUE(RunHostsUntil([&] { return ReceivedOnce("a"); }));
  bool done = false;
  gateway->Drain([&] { done = true; });
  GatewayConfig next = config;
  for (RequestClass& request_class : next.settings.classes) {
    request_class.deadline = Ms(100);
  }
  gateway->ApplyConfig(next);
  RunHostsUntil([] { return false; }, Ms(1300));
  EXPECT_FALSE(done);
  for (Peer& peer : hosts[0]->peers) {
    peer.Send(Http200("served"));
  }
  EXPECT_TRUE(RunHostsUntil([&] { return client.Has("served"); }));
  client.Close();
  EXPECT_TRUE(RunHostsUntil([&] { return done; }));
}

// Changes of the endpoint list are applied while draining: a host that is leaving gets no new
// requests.
TEST_F(RaceTest, HostRemovedWhileDrainingGetsNoNewWork) {
  for (const char* const id : {"h1", "h2"}) {
    AddHost(id, [this, id = std::string(id)](const std::string&) {
      ++received_counts[id];
      return Http200("served");
    });
  }
  Start();
  Peer discovery_call = discovery_port.Accept(loop);
  gateway->Drain([] {});
  discovery_call.Send(testing::kChunkedHead);
  SendDiscoveryLine(discovery_call,
                    R"({"revision":41,"complete":false,"members":[{"id":"h1","host_port":")" +
                        hosts[0]->port.text() + R"(","phase":"leaving"}]})",
                    41);
  received_counts.clear();
  for (int i = 0; i < 8; ++i) {
    Peer client = SendRequest(RequestText("x" + std::to_string(i)));
    EXPECT_TRUE(RunHostsUntil([&] { return client.Has("served"); })) << i;
  }
  EXPECT_EQ(received_counts["h1"], 0);
  EXPECT_EQ(received_counts["h2"], 8);
}

// ---- Unsafe requests ----------------------------------------------------------------------------

// An outcome ends the request unless it proves that the request was never executed; only then is it
// retried. There are never two attempts in flight.
TEST_F(RaceTest, UnsafeRequestIsRetriedOnlyIfNeverExecuted) {
  for (RequestClass& request_class : config.settings.classes) {
    request_class.latency_objective = Ms(400), request_class.deadline = Ms(2000);
  }
  config.settings.allowed.connect_timeout = Ms(250);
  struct Case {
    std::string response;
    bool is_retried;
  };
  const std::vector<Case> cases = {
      {"HTTP/1.1 503 No\r\nX-Rejected: 1\r\nContent-Length: 0\r\n\r\n", true},
      {"HTTP/1.1 504 No\r\nX-Rejected: 1\r\nContent-Length: 0\r\n\r\n", true},
      {"HTTP/1.1 503 No\r\nContent-Length: 0\r\n\r\n", false},
      {"HTTP/1.1 500 No\r\nContent-Length: 0\r\n\r\n", false},
      {"HTTP/1.1 500 No\r\nX-Rejected: 1\r\nContent-Length: 0\r\n\r\n", false},
      {"reset", false},
      {"nonsense\r\n\r\n", false},
      {"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nshort", false},
      {"", false},
  };
  size_t case_index = 0;
  int first_attempt_sent = 0, retries = 0;
  for (const char* const id : {"h1", "h2"}) {
    AddHost(id, [&](const std::string&) {
      if (std::exchange(first_attempt_sent, 1) != 0) {
        return ++retries, Http200("served");
      }
      return cases[case_index].response;
    });
  }
  for (; case_index < cases.size(); ++case_index) {
    gateway = nullptr;
    Start();
    first_attempt_sent = retries = 0;
    Peer client = SendRequest(RequestText("u" + std::to_string(case_index), "unsafe", 900));
    ASSERT_TRUE(RunHostsUntil([&] { return client.Has("\r\n\r\n"); })) << case_index;
    EXPECT_EQ(retries, cases[case_index].is_retried ? 1 : 0) << cases[case_index].response;
    EXPECT_TRUE(client.Has(cases[case_index].is_retried ? "HTTP/1.1 200" : "HTTP/1.1 502"))
        << case_index;
  }
}

// ---- Lists and settings -------------------------------------------------------------------------

// A complete list that lacks most or all hosts is applied: the missing hosts are removed. An
// incremental list without entries changes nothing. Each request gets a response.
TEST_F(RaceTest, HostsMissingFromTheListAreRemoved) {
  std::string entries;
  for (const char* const id : {"h1", "h2", "h3"}) {
    const Host& host = AddHost(id, [this, id = std::string(id)](const std::string&) {
      ++received_counts[id];
      return Http200("served");
    });
    entries += fmt::format(R"({}{{"id":"{}","host_port":"{}","phase":"active"}})",
                           entries.empty() ? "" : ",", id, host.port.text());
  }
  Start();
  Peer discovery_call = discovery_port.Accept(loop);
  discovery_call.Send(testing::kChunkedHead);
  int revision = 40, asked = 0;
  const auto send_list = [&](bool complete, const std::string& entries_json) {
    SendDiscoveryLine(discovery_call,
                      fmt::format(R"({{"revision":{},"complete":{},"members":[{}]}})", revision + 1,
                                  complete, entries_json),
                      revision + 1);
    ++revision;
    received_counts.clear();
  };
  const auto served = [&](int count) {
    int ok_count = 0;
    for (int i = 0; i < count; ++i) {
      Peer client = SendRequest(RequestText("x" + std::to_string(asked++), "safe", 300));
      EXPECT_TRUE(RunHostsUntil([&] { return client.Has("\r\n\r\n"); }));
      ok_count += client.Has("HTTP/1.1 200") ? 1 : 0;
    }
    return ok_count;
  };
  send_list(false, "");
  EXPECT_EQ(served(12), 12);
  EXPECT_GE(received_counts.size(), 2u);
  send_list(true, entries.substr(0, entries.find(R"(,{"id":"h2")")));
  EXPECT_EQ(served(6), 6);
  EXPECT_EQ(received_counts["h1"], 6);
  send_list(true, "");
  EXPECT_EQ(served(3), 0);
  EXPECT_TRUE(received_counts.empty());
  send_list(true, entries);
  EXPECT_EQ(served(12), 12);
}

// The idempotency of a class changes while a request of it is in progress. That request ends under
// the previous settings, later ones under the new settings.
TEST_F(RaceTest, ClassThatBecomesUnsafeAppliesToLaterRequests) {
  for (const char* const id : {"h1", "h2"}) {
    AddHost(id, [this](const std::string& text) {
      const std::string name = RequestIdOf(text);
      if (++received_counts[name] > 1) {
        return Http200("served");
      }
      return name == "held" ? std::string() : std::string("reset");
    });
  }
  Start();
  Peer held = SendRequest(RequestText("held"));
  ASSERT_TRUE(RunHostsUntil([&] { return ReceivedOnce("held"); }));
  GatewayConfig next = config;
  next.settings.classes[0].idempotency = Idempotency::kUnsafe;
  next.settings.classes[0].deadline = Ms(400);
  gateway->ApplyConfig(next);
  Peer later = SendRequest(RequestText("later"));
  ASSERT_TRUE(RunHostsUntil([&] { return later.Has("HTTP/1.1 502"); }));
  EXPECT_EQ(received_counts["later"], 1);
  for (const auto& host : hosts) {
    for (Peer& peer : host->peers) {
      if (peer) {
        peer.Reset();
      }
    }
  }
  EXPECT_TRUE(RunHostsUntil([&] { return held.Has("served"); }));
  EXPECT_EQ(received_counts["held"], 2);
}

// Minimal settings: one host, one gateway, one zone, no tenants, probes or load reports, one
// attempt, unsafe classes, and deadlines and idle times far below a second.
TEST_F(RaceTest, MinimalSettingsServeAndEndInTime) {
  Settings& settings = config.settings;
  settings.classes = {paddlestile::testing::MakeClass(Idempotency::kUnsafe)};
  settings.classes[0].latency_objective = Ms(60);
  settings.classes[0].deadline = Ms(120);
  settings.instance_count = settings.zone_count = 1;
  settings.tenants.clear();
  settings.allowed.max_attempts = 1;
  settings.allowed.probes = settings.allowed.cancel = settings.allowed.parallel_attempts =
      settings.allowed.retry_after = false;
  settings.allowed.connect_timeout = Ms(40);
  settings.load_report = {};
  config.endpoint_idle_timeout = Ms(200);
  AddHost("h1", [this](const std::string& text) {
    const std::string id = RequestIdOf(text);
    ++received_counts[id];
    return id == "hangs" ? std::string() : Http200("served");
  });
  Start();
  for (int i = 0; i < 30; ++i) {
    Peer client = SendRequest(RequestText("x" + std::to_string(i), "safe", 120));
    ASSERT_TRUE(RunHostsUntil([&] { return client.Has("served"); })) << i << client.Received();
    EXPECT_EQ(received_counts["x" + std::to_string(i)], 1);
    if (i % 10 == 9) {
      RunHostsUntil([] { return false; }, Ms(180));
      EXPECT_NE(gateway->DescribeState().find("hosts_connected=0 "), std::string::npos);
    }
  }
  const Time started_at = loop.Now();
  Peer client = SendRequest(RequestText("hangs", "safe", 120));
  ASSERT_TRUE(RunHostsUntil([&] { return client.Has("HTTP/1.1 502"); }));
  EXPECT_LT(loop.Now() - started_at, Ms(250));
  EXPECT_EQ(received_counts["hangs"], 1);
}

// ---- The whole program --------------------------------------------------------------------------

class SignalTest : public ::testing::Test {
 protected:
  SignalTest() : folder_(::testing::TempDir() + "paddlestile-x-" + std::to_string(getpid())) {
    std::filesystem::create_directory(folder_);
    address = {0x7f510000U | (static_cast<uint32_t>(getpid()) & 0xffffU), 5000};
    Write(1000);
  }
  ~SignalTest() override { std::filesystem::remove_all(folder_); }
  std::string Text(int deadline) const {
    return R"({"name":"n1","seed":"1f","limits":{"sockets":256},"known":{"revision":1,)"
           R"("complete":true,"members":[{"id":"h","host_port":")" +
           host.text() +
           R"(","phase":"active"}]},"settings":{"Classes":[{"Name":"read","Effect":"safe",)"
           R"("Slo":400.0,"Deadline":)" +
           std::to_string(deadline) + R"(.0}],"Allowed":{"SendCap":3,"ConnectTimeout":250.0}}})";
  }
  void Write(int deadline) { std::ofstream(folder_ + "/config.json") << Text(deadline); }
  void Start() {
    child.Start({{"LB_NAME", "n1"},
                 {"LB_LISTEN", ToText(address)},
                 {"LB_DISCOVERY", discovery.text()},
                 {"LB_CONFIG", folder_ + "/config.json"}},
                {});
    ASSERT_TRUE(child.WaitForOutput("listens on"));
  }
  Peer SendRequest(const std::string& id, int budget_ms) const {
    Peer peer = Peer::To(address);
    peer.Send("GET /read HTTP/1.1\r\nX-Call-Id: " + id +
              "\r\nX-Budget-Ms: " + std::to_string(budget_ms) + "\r\n\r\n");
    return peer;
  }
  // Accepts the next connection to the host and waits until it has received a request.
  Peer AcceptRequest() {
    Peer peer;
    for (int i = 0; i < 1000 && !peer; ++i) {
      peer = host.TryAccept();
      usleep(2000);
    }
    for (int i = 0; i < 1000 && !peer.Has("\r\n\r\n"); ++i) {
      usleep(2000);
    }
    return peer;
  }
  static bool WaitFor(Peer& peer, const std::string& text) {
    for (int i = 0; i < 1500 && !peer.Has(text); ++i) {
      usleep(2000);
    }
    return peer.Has(text);
  }

  std::string folder_;
  Port host, discovery;
  Address address;
  Child child;
};

// A second SIGTERM, a SIGHUP with a truncated file and one with a complete file arrive during the
// drain. The one request that waits for its host gets its response, and the process exits normally.
TEST_F(SignalTest, SignalsDuringTheDrainInterruptNoRequest) {
  Start();
  Peer client = SendRequest("a", 3000);
  Peer at_host = AcceptRequest();
  ASSERT_TRUE(at_host.Has("X-Call-Id: a"));
  child.Signal(SIGTERM);
  std::ofstream(folder_ + "/config.json") << Text(500).substr(0, 150);
  child.Signal(SIGHUP);
  EXPECT_TRUE(child.WaitForOutput("configuration kept as it was"));
  child.Signal(SIGTERM);
  child.Signal(SIGINT);
  Write(300);
  child.Signal(SIGHUP);
  EXPECT_TRUE(child.WaitForOutput("configuration read again"));
  usleep(800'000);
  at_host.Send(Http200("served"));
  EXPECT_TRUE(WaitFor(client, "served"));
  EXPECT_EQ(child.Wait(), 0);
}

// A file becomes invalid while a request is in progress. The configuration is kept, and that is
// logged.
TEST_F(SignalTest, InvalidFileKeepsTheConfiguration) {
  Start();
  Peer client = SendRequest("a", 3000);
  Peer at_host = AcceptRequest();
  Write(0);
  child.Signal(SIGHUP);
  EXPECT_TRUE(child.WaitForOutput(
      "configuration kept as it was: LB_CONFIG: " + folder_ +
      "/config.json: setting out of range: Classes.0.Deadline, expected over 0"));
  at_host.Send(Http200("served"));
  EXPECT_TRUE(WaitFor(client, "served"));
  at_host.ClearReceived();
  Peer next = SendRequest("b", 3000);
  EXPECT_TRUE(WaitFor(at_host, "X-Call-Id: b\r\n"));  // on the connection that was kept open
  at_host.Send(Http200("served"));
  EXPECT_TRUE(WaitFor(next, "served"));
}

// Reloading an unchanged file changes nothing and interrupts no request.
TEST_F(SignalTest, UnchangedFileChangesNothing) {
  Start();
  Peer client = SendRequest("a", 3000);
  Peer at_host = AcceptRequest();
  child.Signal(SIGHUP);
  ASSERT_TRUE(child.WaitForOutput("nothing of note is new"));
  child.Signal(SIGHUP);
  child.Signal(SIGHUP);
  usleep(50'000);
  at_host.Send(Http200("served"));
  EXPECT_TRUE(WaitFor(client, "served"));
}

}  // namespace
}  // namespace paddlestile
