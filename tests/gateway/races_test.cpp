// Races between two events, forced over loopback sockets: the rows of docs/crossings.md that need a
// complete gateway. Those of one part of it are among that part's tests.
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
using testing::CutOff;
using testing::GatewayTest;
using testing::Http200;
using testing::Ms;
using testing::Peer;
using testing::Port;
using testing::Request;
using testing::RunFor;

enum class Leaving {
  kEnd,
  kReset,
  kHalfClose
};
constexpr Leaving kLeavings[] = {Leaving::kEnd, Leaving::kReset, Leaving::kHalfClose};

void Leave(Peer& client, Leaving how) {
  if (how == Leaving::kEnd) {
    client.Close();
  }
  if (how == Leaving::kReset) {
    client.Reset();
  }
  if (how == Leaving::kHalfClose) {
    client.ShutWrite();
  }
}

std::string IdOf(const std::string& text) {
  const size_t at = text.find("X-Call-Id: ") + 11;
  return text.substr(at, text.find('\r', at) - at);
}

class RaceTest : public GatewayTest {
 protected:
  RaceTest() {
    // Long enough to wait in: queue, connect.
    for (RequestClass& c : config.settings.classes) {
      c.latency_objective = Ms(6000), c.deadline = Ms(8000);
    }
    config.settings.allowed.connect_timeout = Ms(3000);
  }
  // A host that counts ids and responds when the test says so.
  Host& AddCounting(const std::string& id, std::string answer = "") {
    return AddHost(id, [this, answer = std::move(answer)](const std::string& text) {
      ++got[IdOf(text)];
      return answer;
    });
  }
  void AddCutOff(const std::string& id, const Address& address) {
    EndpointListEntry entry;
    entry.info.id = id;
    entry.address = address;
    config.initial_endpoints.endpoints.push_back(entry);
  }
  bool Whole(const std::string& id) { return got[id] == 1; }
  // Discovery sends a line, and the gateway has accepted it.
  void Tell(Peer& call, const std::string& line, int revision) {
    call.Say(fmt::format("{:x}\r\n{}\n\r\n", line.size() + 1, line));
    EXPECT_TRUE(Until([&] {
      return gateway->DescribeState().find(fmt::format(" revision={} ", revision)) !=
             std::string::npos;
    }));
  }

  std::map<std::string, int> got;  // at the hosts, by id
};

// ---- A client that has left while its request waited ------------------------------------------

// Queued by the load balancer, as all hosts are at their limits.
TEST_F(RaceTest, QueuedRequestOfADisconnectedClientIsNotSent) {
  AddCounting("h1");
  Start();
  std::vector<Peer> clients;
  for (int i = 0; i < 12; ++i) {
    clients.push_back(Ask(Request(std::to_string(i), "safe", 8000)));
  }
  ASSERT_TRUE(Until([&] { return gateway->request_count() == 12 && !got.empty(); }));
  Until([] { return false; }, Ms(30));
  const std::set<std::string> sent = [&] {
    std::set<std::string> ids;
    for (const auto& [id, times] : got) {
      ids.insert(id);
    }
    return ids;
  }();
  ASSERT_GE(sent.size(), 1u);
  ASSERT_LE(sent.size(), 9u);  // some are held
  int held = 0;
  for (size_t i = 0; i < clients.size(); ++i) {
    if (!sent.contains(std::to_string(i))) {
      Leave(clients[i], kLeavings[held++ % 3]);
    }
  }
  Until([] { return false; }, Ms(310));
  for (Peer& peer : hosts[0]->peers) {
    peer.Say(Http200("served"));
  }
  Until([] { return false; }, Ms(400));
  for (const auto& [id, times] : got) {
    EXPECT_TRUE(sent.contains(id)) << id;
  }
}

// Assigned to a connection that is not up yet.
TEST_F(RaceTest, RequestOfADisconnectedClientIsNotSentAfterTheConnect) {
  CutOff host(loop);
  AddCutOff("h1", host.address());
  Start();
  std::vector<Peer> clients;
  for (int i = 0; i < 3; ++i) {
    clients.push_back(Ask(Request(std::to_string(i), "safe", 8000)));
    RunFor(loop, Ms(30));
  }
  for (size_t i = 0; i < 3; ++i) {
    Leave(clients[i], kLeavings[i]);
  }
  RunFor(loop, Ms(310));
  host.LetIn();
  std::vector<Peer> late;
  const Time end = loop.Now() + Ms(1800);
  while (loop.Now() < end) {
    if (Peer peer = host.TryTake()) {
      late.push_back(std::move(peer));
    }
    loop.RunOnce(Ms(2));
  }
  for (Peer& peer : late) {
    EXPECT_FALSE(peer.Has("POST"));
  }
  EXPECT_EQ(gateway->request_count(), 0u);
}

// Between two attempts: the first is reset while the second's connect does not succeed.
TEST_F(RaceTest, RequestOfADisconnectedClientIsNotRetried) {
  CutOff second(loop);
  AddCounting("h1");
  Start();
  Peer client = Ask(Request("a", "safe", 8000));
  ASSERT_TRUE(Until([&] { return Whole("a"); }));
  // The list has the second host from here on.
  Peer call = agent.Take(loop);
  call.Say(testing::kChunkedHead);
  Tell(call,
       R"({"revision":41,"complete":false,"members":[{"id":"h2","host_port":")" +
           ToText(second.address()) + R"(","phase":"active"}]})",
       41);
  for (Peer& peer : hosts[0]->peers) {
    peer.Reset();
  }
  RunFor(loop, Ms(50));
  EXPECT_FALSE(client.Has("HTTP/1.1"));  // it waits for the second
  client.Close();
  RunFor(loop, Ms(310));
  second.LetIn();
  Peer late;
  Until([&] { return static_cast<bool>(late = second.TryTake()); }, Ms(1800));
  Until([] { return false; }, Ms(50));
  EXPECT_FALSE(late && late.Has("POST"));
  EXPECT_EQ(got["a"], 1);
  EXPECT_EQ(gateway->request_count(), 0u);
}

// It left in the same turn as the decision, or behind another request in its buffer.
TEST_F(RaceTest, RequestOfAClientThatLeavesInTheSameTurnIsNotSent) {
  AddCounting("h1", Http200("served"));
  Start();
  for (const Leaving how : kLeavings) {
    const std::string id = std::to_string(static_cast<int>(how));
    Peer client = Ask(Request("turn" + id)), behind = Ask(Request("first" + id));
    behind.Say(Request("behind" + id));
    Leave(client, how);
    Leave(behind, how);
    Until([] { return false; }, Ms(350));
    EXPECT_EQ(got["turn" + id], 0) << id;
    EXPECT_EQ(got["first" + id], 0) << id;
    EXPECT_EQ(got["behind" + id], 0) << id;
  }
  EXPECT_EQ(gateway->request_count(), 0u);
}

// The second of two pipelined requests begins with the response to the first: not once its client
// has left.
TEST_F(RaceTest, PipelinedRequestOfADisconnectedClientIsNotSent) {
  AddHost("h1", [this](const std::string& text) {
    ++got[IdOf(text)];
    return std::string();
  });
  Start();
  for (const Leaving how : kLeavings) {
    const std::string id = std::to_string(static_cast<int>(how));
    Peer client = Ask(Request("first" + id) + Request("behind" + id));
    ASSERT_TRUE(Until([&] { return Whole("first" + id); }));
    Leave(client, how);
    Until([] { return false; }, Ms(310));
    for (Peer& peer : hosts[0]->peers) {
      if (peer) {
        peer.Say(Http200("served"));
      }
    }
    Until([] { return false; }, Ms(100));
    EXPECT_EQ(got["behind" + id], 0) << id;
  }
  EXPECT_EQ(gateway->request_count(), 0u);
}

// ---- Shutdown -----------------------------------------------------------------------------------

// Against each state that a request can be in; clients go on sending, hosts hang.
TEST_F(RaceTest, EachRequestHasItsResponseAtTheEnd) {
  for (RequestClass& c : config.settings.classes) {
    c.latency_objective = Ms(1000), c.deadline = Ms(2000);
  }
  config.settings.allowed.connect_timeout = Ms(1500);
  CutOff slow_to_come(loop);
  AddHost("h1", [this](const std::string& text) {
    const std::string id = IdOf(text);
    ++got[id];
    if (id == "hangs") {
      return std::string();
    }
    return id.starts_with("again") && got[id] == 1 ? std::string("reset") : Http200("served");
  });
  AddHost("h2", Ok);
  Start();
  std::map<std::string, Peer> clients;
  const auto ask = [&](const std::string& id, const std::string& text) {
    clients[id] = Ask(text);
  };
  ask("hangs", Request("hangs", "unsafe", 1500));
  ask("again", Request("again", "safe", 1500));
  ask("half", Request("half").substr(0, 40));
  ask("upload",
      "POST /safe HTTP/1.1\r\nX-Call-Id: upload\r\nX-Budget-Ms: 1500\r\n"
      "Content-Length: 3000\r\n\r\n" +
          std::string(1000, 'x'));
  ASSERT_TRUE(Until([&] { return got["hangs"] + got["again"] > 0; }));
  ask("unread", Request("unread"));
  bool done = false;
  const Time told = loop.Now();
  gateway->Drain([&] { done = true; });
  ask("backlog", Request("backlog"));
  gateway->Drain([&] { done = true; });  // twice
  Until([] { return false; }, Ms(150));
  ask("late", Request("late"));
  clients["half"].Say(Request("half").substr(40));
  clients["upload"].Say(std::string(1998, 'x') + "dy");
  gateway->ApplyConfig(config);
  Until([] { return false; }, Ms(200));
  ask("last", Request("last"));
  EXPECT_TRUE(Until([&] {
    for (auto& [id, client] : clients) {
      if (!client.Has("\r\n\r\n"))
        return false;
    }
    return true;
  }));
  for (auto& [id, client] : clients) {
    const bool hung = id == "hangs" || client.Has("HTTP/1.1 50");
    EXPECT_TRUE(client.Has("HTTP/1.1 200") || hung) << id << ": " << client.Heard();
    EXPECT_EQ(client.Heard().find("HTTP/1.1", 5), std::string::npos) << id;  // one answer
    EXPECT_TRUE(Until([&] { return client.Ended(); })) << id;
  }
  EXPECT_TRUE(clients["hangs"].Has("HTTP/1.1 502"));
  EXPECT_EQ(got["hangs"], 1);
  clients.clear();
  EXPECT_TRUE(Until([&] { return done; }));
  EXPECT_LT(loop.Now() - told, Ms(2700));  // the longest deadline and 0.7 s
}

// New settings with shorter deadlines while it drains: requests in progress keep their own.
TEST_F(RaceTest, ShorterDeadlinesWhileDrainingEndNoRequestInProgress) {
  AddCounting("h1");
  for (RequestClass& c : config.settings.classes) {
    c.deadline = Ms(300);
  }
  Start();
  Peer client = Ask(Request("a", "safe", 2500));  // longer than its class's
  ASSERT_TRUE(Until([&] { return Whole("a"); }));
  bool done = false;
  gateway->Drain([&] { done = true; });
  GatewayConfig next = config;
  for (RequestClass& c : next.settings.classes) {
    c.deadline = Ms(100);
  }
  gateway->ApplyConfig(next);
  Until([] { return false; }, Ms(1300));
  EXPECT_FALSE(done);
  for (Peer& peer : hosts[0]->peers) {
    peer.Say(Http200("served"));
  }
  EXPECT_TRUE(Until([&] { return client.Has("served"); }));
  client.Close();
  EXPECT_TRUE(Until([&] { return done; }));
}

// Changes of the endpoint list are applied while it drains: the removed host gets no new work.
TEST_F(RaceTest, HostRemovedWhileDrainingGetsNoNewWork) {
  for (const char* const id : {"h1", "h2"}) {
    AddHost(id, [this, id = std::string(id)](const std::string&) {
      ++got[id];
      return Http200("served");
    });
  }
  Start();
  Peer call = agent.Take(loop);
  gateway->Drain([] {});
  call.Say(testing::kChunkedHead);
  Tell(call,
       R"({"revision":41,"complete":false,"members":[{"id":"h1","host_port":")" +
           hosts[0]->port.text() + R"(","phase":"leaving"}]})",
       41);
  got.clear();
  for (int i = 0; i < 8; ++i) {
    Peer client = Ask(Request("x" + std::to_string(i)));
    EXPECT_TRUE(Until([&] { return client.Has("served"); })) << i;
  }
  EXPECT_EQ(got["h1"], 0);
  EXPECT_EQ(got["h2"], 8);
}

// ---- Unsafe requests ----------------------------------------------------------------------------

// Each outcome that does not prove that the request never ran ends it; the others permit a retry,
// and there are never two attempts in flight.
TEST_F(RaceTest, UnsafeRequestIsRetriedOnlyWhereItNeverRan) {
  for (RequestClass& c : config.settings.classes) {
    c.latency_objective = Ms(400), c.deadline = Ms(2000);
  }
  config.settings.allowed.connect_timeout = Ms(250);
  struct Case {
    std::string says;
    bool goes_on;
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
  size_t turn = 0;
  int first = 0, more = 0;
  for (const char* const id : {"h1", "h2"}) {
    AddHost(id, [&](const std::string&) {
      if (std::exchange(first, 1) != 0) {
        return ++more, Http200("served");
      }
      return cases[turn].says;
    });
  }
  for (; turn < cases.size(); ++turn) {
    gateway = nullptr;
    Start();
    first = more = 0;
    Peer client = Ask(Request("u" + std::to_string(turn), "unsafe", 900));
    ASSERT_TRUE(Until([&] { return client.Has("\r\n\r\n"); })) << turn;
    EXPECT_EQ(more, cases[turn].goes_on ? 1 : 0) << cases[turn].says;
    EXPECT_TRUE(client.Has(cases[turn].goes_on ? "HTTP/1.1 200" : "HTTP/1.1 502")) << turn;
  }
}

// ---- Lists and settings -------------------------------------------------------------------------

// A complete list that lacks most hosts, or all, is applied: hosts that it lacks are removed. A
// watch without a list changes nothing. Each request has its response.
TEST_F(RaceTest, HostsMissingFromTheListAreRemoved) {
  std::string entries;
  for (const char* const id : {"h1", "h2", "h3"}) {
    const Host& host = AddHost(id, [this, id = std::string(id)](const std::string&) {
      ++got[id];
      return Http200("served");
    });
    entries += fmt::format(R"({}{{"id":"{}","host_port":"{}","phase":"active"}})",
                           entries.empty() ? "" : ",", id, host.port.text());
  }
  Start();
  Peer call = agent.Take(loop);
  call.Say(testing::kChunkedHead);
  int revision = 40, asked = 0;
  const auto tell = [&](bool whole, const std::string& members) {
    Tell(call,
         fmt::format(R"({{"revision":{},"complete":{},"members":[{}]}})", revision + 1, whole,
                     members),
         revision + 1);
    ++revision;
    got.clear();
  };
  const auto served = [&](int count) {
    int good = 0;
    for (int i = 0; i < count; ++i) {
      Peer client = Ask(Request("x" + std::to_string(asked++), "safe", 300));
      EXPECT_TRUE(Until([&] { return client.Has("\r\n\r\n"); }));
      good += client.Has("HTTP/1.1 200") ? 1 : 0;
    }
    return good;
  };
  tell(false, "");
  EXPECT_EQ(served(12), 12);
  EXPECT_GE(got.size(), 2u);
  tell(true, entries.substr(0, entries.find(R"(,{"id":"h2")")));
  EXPECT_EQ(served(6), 6);
  EXPECT_EQ(got["h1"], 6);
  tell(true, "");
  EXPECT_EQ(served(3), 0);
  EXPECT_TRUE(got.empty());
  tell(true, entries);
  EXPECT_EQ(served(12), 12);
}

// The idempotency of a class changes while a request of it is in progress: that one ends by the
// former, later ones by the new.
TEST_F(RaceTest, ClassThatBecomesUnsafeIsSoForLaterRequests) {
  for (const char* const id : {"h1", "h2"}) {
    AddHost(id, [this](const std::string& text) {
      const std::string name = IdOf(text);
      if (++got[name] > 1) {
        return Http200("served");
      }
      return name == "held" ? std::string() : std::string("reset");
    });
  }
  Start();
  Peer held = Ask(Request("held"));
  ASSERT_TRUE(Until([&] { return Whole("held"); }));
  GatewayConfig next = config;
  next.settings.classes[0].idempotency = Idempotency::kUnsafe;
  next.settings.classes[0].deadline = Ms(400);
  gateway->ApplyConfig(next);
  Peer later = Ask(Request("later"));
  ASSERT_TRUE(Until([&] { return later.Has("HTTP/1.1 502"); }));
  EXPECT_EQ(got["later"], 1);
  for (const auto& host : hosts) {
    for (Peer& peer : host->peers) {
      if (peer) {
        peer.Reset();
      }
    }
  }
  EXPECT_TRUE(Until([&] { return held.Has("served"); }));
  EXPECT_EQ(got["held"], 2);
}

// Settings at their limits: one host, one gateway, one zone, no tenants, probes or reports, one
// attempt, unsafe classes, deadlines and idle times far under a second.
TEST_F(RaceTest, SettingsAtTheirLimitsServeAndEndInTime) {
  Settings& s = config.settings;
  s.classes = {paddlestile::testing::MakeClass(Idempotency::kUnsafe)};
  s.classes[0].latency_objective = Ms(60);
  s.classes[0].deadline = Ms(120);
  s.instance_count = s.zone_count = 1;
  s.tenants.clear();
  s.allowed.max_attempts = 1;
  s.allowed.probes = s.allowed.cancel = s.allowed.parallel_attempts = s.allowed.retry_after = false;
  s.allowed.connect_timeout = Ms(40);
  s.load_report = {};
  config.endpoint_idle_timeout = Ms(200);
  AddHost("h1", [this](const std::string& text) {
    const std::string id = IdOf(text);
    ++got[id];
    return id == "hangs" ? std::string() : Http200("served");
  });
  Start();
  for (int i = 0; i < 30; ++i) {
    Peer client = Ask(Request("x" + std::to_string(i), "safe", 120));
    ASSERT_TRUE(Until([&] { return client.Has("served"); })) << i << client.Heard();
    EXPECT_EQ(got["x" + std::to_string(i)], 1);
    if (i % 10 == 9) {
      Until([] { return false; }, Ms(180));
      EXPECT_NE(gateway->DescribeState().find("hosts_connected=0 "), std::string::npos);
    }
  }
  const Time began = loop.Now();
  Peer client = Ask(Request("hangs", "safe", 120));
  ASSERT_TRUE(Until([&] { return client.Has("HTTP/1.1 502"); }));
  EXPECT_LT(loop.Now() - began, Ms(250));
  EXPECT_EQ(got["hangs"], 1);
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
  Peer Ask(const std::string& id, int budget) const {
    Peer peer = Peer::To(address);
    peer.Say("GET /read HTTP/1.1\r\nX-Call-Id: " + id +
             "\r\nX-Budget-Ms: " + std::to_string(budget) + "\r\n\r\n");
    return peer;
  }
  // The next request at the host.
  Peer Request() {
    Peer peer;
    for (int i = 0; i < 1000 && !peer; ++i) {
      peer = host.TryTake();
      usleep(2000);
    }
    for (int i = 0; i < 1000 && !peer.Has("\r\n\r\n"); ++i) {
      usleep(2000);
    }
    return peer;
  }
  static bool Hears(Peer& peer, const std::string& text) {
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

// A second SIGTERM, a SIGHUP with an incomplete file and one with a complete file, during the
// drain: the one request that waits for its host gets its response, and the process ends once.
TEST_F(SignalTest, SignalsDuringTheDrainCutNothing) {
  Start();
  Peer client = Ask("a", 3000);
  Peer at_host = Request();
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
  at_host.Say(Http200("served"));
  EXPECT_TRUE(Hears(client, "served"));
  EXPECT_EQ(child.Wait(), 0);
}

// An invalid file while a request is in progress: the configuration is kept, and that is logged.
TEST_F(SignalTest, InvalidFileKeepsTheConfiguration) {
  Start();
  Peer client = Ask("a", 3000);
  Peer at_host = Request();
  Write(0);
  child.Signal(SIGHUP);
  EXPECT_TRUE(child.WaitForOutput(
      "configuration kept as it was: LB_CONFIG: " + folder_ +
      "/config.json: setting out of range: Classes.0.Deadline, expected over 0"));
  at_host.Say(Http200("served"));
  EXPECT_TRUE(Hears(client, "served"));
  at_host.Forget();
  Peer next = Ask("b", 3000);
  EXPECT_TRUE(Hears(at_host, "X-Call-Id: b\r\n"));  // on the connection that is kept
  at_host.Say(Http200("served"));
  EXPECT_TRUE(Hears(next, "served"));
}

// The same file twice changes nothing, and the second reload cuts nothing.
TEST_F(SignalTest, UnchangedFileChangesNothing) {
  Start();
  Peer client = Ask("a", 3000);
  Peer at_host = Request();
  child.Signal(SIGHUP);
  ASSERT_TRUE(child.WaitForOutput("nothing of note is new"));
  child.Signal(SIGHUP);
  child.Signal(SIGHUP);
  usleep(50'000);
  at_host.Say(Http200("served"));
  EXPECT_TRUE(Hears(client, "served"));
}

}  // namespace
}  // namespace paddlestile
