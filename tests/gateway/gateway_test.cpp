// The gateway between a client, hosts and discovery that the test plays by hand.
#include "gateway/gateway.h"

#include <gtest/gtest.h>

#include <map>
#include <string>
#include <vector>

#include "gateway/gateway_fixture.h"

namespace paddlestile {
namespace {

using testing::GatewayTest;
using testing::Http200;
using testing::kChunkedHead;
using testing::Ms;
using testing::Peer;
using testing::Port;
using testing::Request;
using testing::RunFor;
using testing::RunUntil;

// The key and the hint come in X-Call-Info, the request waits for the probes of its affinity
// endpoints, and independent gateways send it to the same host.
TEST_F(GatewayTest, GatewaysOfWarmHostsProbeFirstAndAgreeOnAKeysHost) {
  for (int i = 0; i < 5; ++i) {
    AddHost("h" + std::to_string(i), Ok);
  }
  report = "inflight=1,latency_ms=100";
  config.settings.key_affinity = true;
  config.settings.instance_count = 900;
  for (const uint64_t seed : {5, 6}) {
    config.seed = seed;
    Start();
    for (int i = 0; i < 6; ++i) {
      std::string text = Request("r" + std::to_string(seed) + std::to_string(i));
      text.insert(text.find("Content-Length"), "X-Call-Info: Subject=abc,Expected=20.0\r\n");
      Peer client = Ask(text);
      ASSERT_TRUE(Until([&] { return client.Has("served"); }));
    }
    for (const auto& host : hosts) {
      host->peers.clear();
    }
  }
  EXPECT_EQ(Requests(), 12);
  int used = 0, probes = 0;
  for (const auto& host : hosts) {
    used += host->requests > 0 ? 1 : 0, probes += host->probes;
  }
  EXPECT_EQ(used, 1);
  EXPECT_GT(probes, 0);
}

TEST_F(GatewayTest, ServesARequest) {
  AddHost("h1", Ok);
  Start();
  Peer client = Ask(Request("a"));
  ASSERT_TRUE(Until([&] { return client.Has("served"); }));
  EXPECT_EQ(client.Received().substr(0, 15), "HTTP/1.1 200 OK");
  EXPECT_EQ(hosts[0]->requests, 1);
  EXPECT_TRUE(Until([&] { return gateway->request_count() == 0; }));
}

TEST_F(GatewayTest, ServesWithoutAConnectTimeoutInTheSettings) {
  config.settings.allowed.connect_timeout = Duration(0);
  AddHost("h1", Ok);
  Start();
  Peer client = Ask(Request("a"));
  EXPECT_TRUE(Until([&] { return client.Has("served"); }));
}

TEST_F(GatewayTest, RetriesOnAnotherHostAfterARefusedConnection) {
  AddHost("h1", Ok).port.Close();
  AddHost("h2", Ok);
  Start();
  for (int i = 0; i < 6; ++i) {
    Peer client = Ask(Request("a" + std::to_string(i)));
    ASSERT_TRUE(Until([&] { return client.Has("served"); })) << client.Received();
  }
  EXPECT_EQ(hosts[1]->requests, 6);
}

TEST_F(GatewayTest, UnsafeRequestThatMayHaveRunIsNotRetried) {
  AddHost("h1", [](const std::string&) { return "reset"; });
  AddHost("h2", [](const std::string&) { return "reset"; });
  Start();
  Peer client = Ask(Request("a", "unsafe"));
  ASSERT_TRUE(Until([&] { return client.Has("\r\n\r\n"); }));
  EXPECT_EQ(client.Received().substr(0, 12), "HTTP/1.1 502");
  EXPECT_EQ(Requests(), 1);
}

TEST_F(GatewayTest, SafeRequestIsRetriedAfterAReset) {
  int calls = 0;
  const Script once = [&](const std::string&) {
    return ++calls == 1 ? "reset" : Http200("served");
  };
  AddHost("h1", once);
  AddHost("h2", once);
  Start();
  Peer client = Ask(Request("a"));
  ASSERT_TRUE(Until([&] { return client.Has("served"); })) << client.Received();
  EXPECT_EQ(Requests(), 2);
}

TEST_F(GatewayTest, SilentHostsEndInAResponseByTheDeadline) {
  AddHost("h1", Nothing);
  AddHost("h2", Nothing);
  Start();
  const Time begun = loop.Now();
  Peer client = Ask(Request("a", "safe", 300));
  ASSERT_TRUE(Until([&] { return client.Has("\r\n\r\n"); }));
  EXPECT_LT(loop.Now() - begun, Ms(350));
  EXPECT_EQ(client.Received().substr(0, 10), "HTTP/1.1 5");
  EXPECT_TRUE(Until([&] { return gateway->request_count() == 0; }));
}

TEST_F(GatewayTest, RejectsWithoutHosts) {
  Start();
  Peer client = Ask(Request("a"));
  ASSERT_TRUE(Until([&] { return client.Has("HTTP/1.1 503"); }));
}

TEST_F(GatewayTest, DuplicateIdOfARequestInProgressIsRejected) {
  AddHost("h1", Nothing);
  Start();
  Peer first = Ask(Request("a"));
  ASSERT_TRUE(Until([&] { return Requests() == 1; }));
  Peer second = Ask(Request("a"));
  ASSERT_TRUE(Until([&] { return second.Has("HTTP/1.1 409"); }));
  EXPECT_EQ(Requests(), 1);
}

// A copy of a request that comes when that is done: hosts would reject it.
TEST_F(GatewayTest, RecentIdIsRejected) {
  AddHost("h1", Ok);
  Start();
  Peer first = Ask(Request("a"));
  ASSERT_TRUE(Until([&] { return first.Has("served"); }));
  Peer second = Ask(Request("a"));
  ASSERT_TRUE(Until([&] { return second.Has("HTTP/1.1 409"); }));
  EXPECT_EQ(Requests(), 1);
}

// A request that one host blames, the others would blame too.
TEST_F(GatewayTest, ResponseThatBlamesTheRequestIsPassedOn) {
  for (const char* const id : {"h1", "h2", "h3"}) {
    AddHost(id, [](const std::string&) -> std::string {
      return "HTTP/1.1 400 Bad Request\r\nContent-Length: 4\r\n\r\nwhy?";
    });
  }
  Start();
  Peer client = Ask(Request("a"));
  ASSERT_TRUE(Until([&] { return client.Has("why?"); }));
  EXPECT_EQ(client.Received().substr(0, 13), "HTTP/1.1 400 ");
  RunFor(loop, Ms(30));
  EXPECT_EQ(Requests(), 1);
  ASSERT_TRUE(Until([&] { return gateway->request_count() == 0; }));
}

// After a malformed response the request is retried elsewhere, where its class permits it.
TEST_F(GatewayTest, SafeRequestIsRetriedAfterAMalformedResponse) {
  for (const char* const id : {"h1", "h2", "h3"}) {
    AddHost(id, [this](const std::string&) -> std::string {
      return Requests() == 1 ? "noise\r\n\r\n" : Http200("served");
    });
  }
  Start();
  Peer client = Ask(Request("a"));
  ASSERT_TRUE(Until([&] { return client.Has("served"); }));
  EXPECT_EQ(Requests(), 2);
}

TEST_F(GatewayTest, MalformedRequestsReachNoHost) {
  AddHost("h1", Ok);
  Start();
  const uint64_t taken = GlobalCounters().requests_admitted;
  for (const std::string& text :
       {Request("a", "nothing"), Request("a b"), std::string("GET /safe HTTP/1.1\r\n\r\n"),
        std::string("POST /safe HTTP/1.1\r\nContent-Length: 1\r\nContent-Length: 1\r\n\r\nx")}) {
    Peer client = Ask(text);
    ASSERT_TRUE(Until([&] { return client.Has("HTTP/1.1 4"); })) << text;
  }
  RunFor(loop, Ms(20));
  EXPECT_EQ(Requests(), 0);
  EXPECT_EQ(GlobalCounters().requests_admitted, taken);
}

TEST_F(GatewayTest, RequestsOverTheLimitAreRejected) {
  config.settings.allowed.max_held_requests = 2;
  AddHost("h1", Nothing);
  Start();
  Peer one = Ask(Request("a")), two = Ask(Request("b"));
  ASSERT_TRUE(Until([&] { return gateway->request_count() == 2; }));
  Peer three = Ask(Request("c"));
  ASSERT_TRUE(Until([&] { return three.Has("HTTP/1.1 503"); }));
  EXPECT_EQ(gateway->request_count(), 2u);
}

TEST_F(GatewayTest, OutcomeAfterTheClientLeftIsReported) {
  Host& host = AddHost("h1", Nothing);
  Start();
  Peer client = Ask(Request("a"));
  ASSERT_TRUE(Until([&] { return Requests() == 1; }));
  const uint64_t ok = GlobalCounters().attempts_ok, served = GlobalCounters().responses_served;
  client.Close();
  RunFor(loop, Ms(20));
  EXPECT_EQ(gateway->request_count(), 1u);  // its attempt is out
  for (Peer& peer : host.peers) {
    peer.Send(Http200("late"));
  }
  ASSERT_TRUE(Until([&] { return gateway->request_count() == 0; }));
  EXPECT_EQ(GlobalCounters().attempts_ok, ok + 1);
  EXPECT_EQ(GlobalCounters().responses_served, served);
}

TEST_F(GatewayTest, HostsOfTheEndpointListAreUsed) {
  Start();
  Peer watch = agent.Accept(loop);
  ASSERT_TRUE(RunUntil(loop, [&] { return watch.Has("follow=1&since=40"); }));
  hosts.push_back(std::make_unique<Host>());
  hosts.back()->script = Ok;
  const std::string line =
      R"({"revision":41,"complete":true,"members":[{"id":"new","host_port":")" +
      hosts.back()->port.text() +
      R"(","locality":"a","phase":"active"}]})"
      "\n";
  watch.Send(kChunkedHead + fmt::format("{:x}\r\n{}\r\n", line.size(), line));
  RunFor(loop, Ms(20));
  Peer client = Ask(Request("a"));
  EXPECT_TRUE(Until([&] { return client.Has("served"); }));
}

TEST_F(GatewayTest, DrainingAndRemovedHostsGetNoNewWork) {
  AddHost("h1", Ok);
  AddHost("h2", Ok);
  Start();
  Peer watch = agent.Accept(loop);
  const std::string line =
      R"({"revision":41,"complete":false,"members":[{"id":"h1","host_port":")" +
      hosts[0]->port.text() +
      R"(","phase":"leaving"}]})"
      "\n";
  watch.Send(kChunkedHead + fmt::format("{:x}\r\n{}\r\n", line.size(), line));
  RunFor(loop, Ms(20));
  for (int i = 0; i < 8; ++i) {
    Peer client = Ask(Request("a" + std::to_string(i)));
    ASSERT_TRUE(Until([&] { return client.Has("served"); }));
  }
  EXPECT_EQ(hosts[0]->requests, 0);
  EXPECT_EQ(hosts[1]->requests, 8);
}

TEST_F(GatewayTest, EndpointListStaysWhileDiscoveryIsDown) {
  AddHost("h1", Ok);
  Start();
  Peer watch = agent.Accept(loop);
  watch.Send("garbage\r\n\r\n");
  ASSERT_TRUE(RunUntil(loop, [&] { return watch.Ended(); }));
  agent.Close();
  RunFor(loop, Ms(300));
  Peer client = Ask(Request("a"));
  EXPECT_TRUE(Until([&] { return client.Has("served"); }));
}

TEST_F(GatewayTest, LoadBalancerRequestsTheListWhereItIsNotPushed) {
  config.settings.discovery_mode = DiscoveryMode::kPoll;
  config.settings.rules.discovery_interval = Ms(400);
  AddHost("h1", Ok);
  Start();
  Peer watch = agent.Accept(loop);
  ASSERT_TRUE(RunUntil(loop, [&] { return watch.Has("follow=1&since=40"); }));
  watch.Close();
  Peer next = agent.Accept(loop);  // by the module's own timer
  ASSERT_TRUE(RunUntil(loop, [&] { return next.Has("follow=1&since=40"); }));
}

TEST_F(GatewayTest, WithoutProbesNoneAreSent) {
  config.settings.allowed.probes = false;
  config.settings.load_report.source = LoadReportSource::kResponses;
  AddHost("h1", [](const std::string&) {
    return Http200("served", "X-Load-Report: inflight=2,latency_ms=4\r\n");
  });
  Start();
  for (int i = 0; i < 5; ++i) {
    Peer client = Ask(Request("a" + std::to_string(i)));
    ASSERT_TRUE(Until([&] { return client.Has("served"); }));
  }
  EXPECT_EQ(hosts[0]->probes, 0);
  EXPECT_EQ(hosts[0]->requests, 5);
}

TEST_F(GatewayTest, StreamedResponseThatBreaksEndsItsRequest) {
  config.settings.classes[0].is_streamed = true;
  AddHost("h1",
          [](const std::string&) { return "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhalf"; });
  AddHost("h2", hosts[0]->script);
  Start();
  Peer client = Ask(Request("a", "safe", 400));
  ASSERT_TRUE(Until([&] { return Requests() == 1; }));
  RunFor(loop, Ms(500));
  EXPECT_EQ(client.Received(), "");  // past its deadline it still belongs to the client
  for (const auto& host : hosts) {
    for (Peer& peer : host->peers) {
      peer.Close();
    }
  }
  ASSERT_TRUE(Until([&] { return client.Has("\r\n\r\n"); }));
  EXPECT_EQ(client.Received().substr(0, 12), "HTTP/1.1 502");
  EXPECT_EQ(Requests(), 1);
  EXPECT_TRUE(Until([&] { return gateway->request_count() == 0; }));
}

TEST_F(GatewayTest, DrainsWithARequestInProgress) {
  AddHost("h1", Nothing);
  Start();
  Peer client = Ask(Request("a", "safe", 1200));
  ASSERT_TRUE(Until([&] { return Requests() == 1; }));
  bool done = false;
  gateway->Drain([&] { done = true; });
  RunFor(loop, Ms(800));
  EXPECT_FALSE(done);
  for (Peer& peer : hosts[0]->peers) {
    peer.Send(Http200("served"));
  }
  ASSERT_TRUE(Until([&] { return client.Has("served"); }));
  EXPECT_TRUE(client.Has("Connection: close"));
  client.Close();
  EXPECT_TRUE(Until([&] { return done; }));
}

// A request that the load balancer forgets must not leave its client without a response.
TEST_F(GatewayTest, OverdueRequestIsEndedAndCounted) {
  // With a negative slack the request counts as overdue before the load balancer has reason to end
  // it.
  config.settings.rules.response_slack = Ms(-300);
  AddHost("h1", Nothing);
  Start();
  const uint64_t overdue = GlobalCounters().responses_overdue;
  Peer client = Ask(Request("a", "safe", 400));
  ASSERT_TRUE(Until([&] { return client.Has("\r\n\r\n"); }));
  EXPECT_EQ(client.Received().substr(0, 12), "HTTP/1.1 502");
  EXPECT_EQ(GlobalCounters().responses_overdue, overdue + 1);
}

TEST_F(GatewayTest, DescribesItsState) {
  AddHost("h1", Ok);
  Start();
  Peer client = Ask(Request("a"));
  ASSERT_TRUE(Until([&] { return client.Has("served"); }));
  const std::string text = gateway->DescribeState();
  EXPECT_NE(text.find("clients=1 "), std::string::npos) << text;
  EXPECT_NE(text.find("responses_served="), std::string::npos) << text;
  EXPECT_NE(text.find("picks_"), std::string::npos) << text;
}

// Requests in progress when the settings change end by their own; connections and hosts stay.
TEST_F(GatewayTest, SettingsAreReplacedUnderLoad) {
  AddHost("h0", [&](const std::string& text) {
    return text.find("X-Call-Id: slow") != std::string::npos ? "" : Ok(text);
  });
  Start();
  Peer slow = Ask(Request("slow"));
  ASSERT_TRUE(Until([&] { return Requests() == 1; }));
  GatewayConfig next = config;
  next.settings.classes.push_back(paddlestile::testing::MakeClass(Idempotency::kSafe));
  next.names.classes.Add("later");
  next.names.classes_expire_at.assign(next.settings.classes.size(), Time::max());
  next.names.classes_expire_at[0] = loop.Now();  // "safe" has gone
  gateway->ApplyConfig(next);
  Peer later = Ask(Request("b", "later")), gone = Ask(Request("c", "safe"));
  ASSERT_TRUE(Until([&] { return later.Has("served") && gone.Has("404 "); }));
  for (Peer& peer : hosts[0]->peers) {
    peer.Send(Http200("late but whole"));
  }
  EXPECT_TRUE(Until([&] { return slow.Has("late but whole"); }));
  // Settings that the load balancer rejects change nothing.
  GatewayConfig bad = next;
  bad.settings.allowed.max_attempts = 0;
  EXPECT_THROW(gateway->ApplyConfig(bad), std::invalid_argument);
  EXPECT_EQ(gateway->config().settings.allowed.max_attempts, next.settings.allowed.max_attempts);
}

// Settings that come twice within one handler, as when a version and its activation are read at
// once: the former ones waited behind the later and stayed in force for good.
TEST_F(GatewayTest, LastOfSeveralSettingsIsInForce) {
  for (const char* const id : {"h1", "h2"}) {
    AddHost(id, Error);
  }
  Start();
  ASSERT_TRUE(Until([&] { return lifecycle.accepts(); }));
  GatewayConfig once = config;
  once.settings.allowed.max_attempts = 1;
  ASSERT_GT(config.settings.allowed.max_attempts, 1);
  gateway->ApplyConfig(once);
  gateway->ApplyConfig(config);
  Peer client = Ask(Request("a"));
  ASSERT_TRUE(Until([&] { return client.Has("\r\n\r\n"); }));
  EXPECT_GE(Requests(), 2);
  gateway->ApplyConfig(config);
  gateway->ApplyConfig(once);
  const int before = Requests();
  Peer other = Ask(Request("b"));
  ASSERT_TRUE(Until([&] { return other.Has("\r\n\r\n"); }));
  EXPECT_EQ(Requests(), before + 1);
}

// Tenants that change in the same handler as all settings: as events of their own they would come
// ahead of the settings that still wait, which have other tenants, or replace those settings.
TEST_F(GatewayTest, TenantChangesKeepSettingsThatWait) {
  config.settings.tenants = {{10, 0.5}};
  config.names.tenants.Add("old");
  // Hosts that reject: those that fail are ejected for a while, by the seed's draw, and each retry
  // takes a token of the retry budget.
  for (int n = 1; n <= 4; ++n) {
    AddHost("h" + std::to_string(n), Full);
  }
  Start();
  ASSERT_TRUE(Until([&] { return lifecycle.accepts(); }));
  GatewayConfig once = config;
  once.settings.allowed.max_attempts = 1;
  int id = 0;
  const auto attempts = [&](const std::string& tenant) {
    std::string text = Request("r" + std::to_string(id++));
    text.insert(text.find("X-Call-Id"), "X-Caller: " + tenant + "\r\n");
    const int before = Requests();
    Peer client = Ask(text);
    EXPECT_TRUE(Until([&] { return client.Has("\r\n\r\n"); }));
    return Requests() - before;
  };
  gateway->ApplyConfig(once);
  gateway->ApplyTenantChanges({{"new", TenantQuota{5, 0.2}}});
  EXPECT_EQ(attempts("new"), 1);
  gateway->ApplyTenantChanges({{"old", TenantQuota{5, 0.2}}});
  gateway->ApplyConfig(config);
  EXPECT_GE(attempts("old"), 2);
  gateway->ApplyTenantChanges({{"old", TenantQuota{5, 0.1}}});
  gateway->ApplyTenantChanges({{"old", TenantQuota{5, 0.3}}});
  EXPECT_GE(attempts("old"), 2);
  // The load balancer has the fewer attempts by now, and gets more with a tenant's change behind
  // it.
  gateway->ApplyConfig(once);
  EXPECT_EQ(attempts("old"), 1);
  gateway->ApplyConfig(config);
  gateway->ApplyTenantChanges({{"old", TenantQuota{5, 0.3}}});
  EXPECT_GE(attempts("old"), 2);
  EXPECT_EQ(gateway->config().settings.tenants.at(0).share, 0.3);
}

// Tenants alone change, without a restart of anything else: a new one is served at once, a removed
// one for a while more, and an invalid change has no effect.
TEST_F(GatewayTest, TenantChangesAloneAreApplied) {
  config.settings.tenants = {{10, 0.5}};
  config.names.tenants.Add("old");
  AddHost("h1", Ok);
  Start();
  const auto ask = [&](const std::string& id, const std::string& tenant) {
    std::string text = Request(id);
    text.insert(text.find("X-Call-Id"), "X-Caller: " + tenant + "\r\n");
    Peer client = Ask(text);
    EXPECT_TRUE(Until([&] { return client.Has("\r\n\r\n"); })) << id;
    return client.Has("served");
  };
  EXPECT_TRUE(ask("a", "old"));
  EXPECT_FALSE(ask("b", "new"));
  const GatewayConfig* const there = &gateway->config();
  gateway->ApplyTenantChanges({{"new", TenantQuota{5, 0.2}}, {"old", TenantQuota{20, 0.5}}});
  EXPECT_EQ(&gateway->config(), there);
  EXPECT_EQ(gateway->config().settings.tenants.at(0).requests_per_second, 20);
  EXPECT_EQ(gateway->config().settings.tenants.at(1).share, 0.2);
  EXPECT_TRUE(ask("c", "new"));
  EXPECT_THROW(gateway->ApplyTenantChanges({{"new", std::nullopt}, {"old", TenantQuota{1, -1}}}),
               ConfigError);
  EXPECT_TRUE(ask("d", "new"));
  gateway->ApplyTenantChanges({{"new", std::nullopt}});
  EXPECT_TRUE(ask("e", "new"));
  Until([] { return false; }, Ms(1100));
  EXPECT_FALSE(ask("f", "new"));
  EXPECT_TRUE(ask("g", "old"));
  gateway->ApplyTenantChanges({{"new", TenantQuota{5, 0.2}}});
  EXPECT_TRUE(ask("h", "new"));
  EXPECT_EQ(gateway->config().names.tenants.size(), 2u);
}

}  // namespace
}  // namespace paddlestile
