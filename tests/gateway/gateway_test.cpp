// Tests of a complete gateway whose clients, hosts and discovery the test plays.
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
using testing::RequestText;
using testing::RunFor;
using testing::RunUntil;

// The key and the expected work are sent in X-Call-Info. The request waits for the probes of its
// affinity endpoints, and independent gateways send it to the same host.
TEST_F(GatewayTest, GatewaysProbeFirstAndAgreeOnTheHostOfAKey) {
  for (int i = 0; i < 5; ++i) {
    AddHost("h" + std::to_string(i), Ok);
  }
  load_report = "inflight=1,latency_ms=100";
  config.settings.key_affinity = true;
  config.settings.instance_count = 900;
  for (const uint64_t seed : {5, 6}) {
    config.seed = seed;
    Start();
    for (int i = 0; i < 6; ++i) {
      std::string text = RequestText("r" + std::to_string(seed) + std::to_string(i));
      text.insert(text.find("Content-Length"), "X-Call-Info: Subject=abc,Expected=20.0\r\n");
      Peer client = SendRequest(text);
      ASSERT_TRUE(RunHostsUntil([&] { return client.Has("served"); }));
    }
    for (const auto& host : hosts) {
      host->peers.clear();
    }
  }
  EXPECT_EQ(RequestCount(), 12);
  int hosts_used = 0, probes = 0;
  for (const auto& host : hosts) {
    hosts_used += host->requests > 0 ? 1 : 0, probes += host->probes;
  }
  EXPECT_EQ(hosts_used, 1);
  EXPECT_GT(probes, 0);
}

TEST_F(GatewayTest, ServesARequest) {
  AddHost("h1", Ok);
  Start();
  Peer client = SendRequest(RequestText("a"));
  ASSERT_TRUE(RunHostsUntil([&] { return client.Has("served"); }));
  EXPECT_EQ(client.Received().substr(0, 15), "HTTP/1.1 200 OK");
  EXPECT_EQ(hosts[0]->requests, 1);
  EXPECT_TRUE(RunHostsUntil([&] { return gateway->request_count() == 0; }));
}

TEST_F(GatewayTest, ServesWithoutAConnectTimeoutInTheSettings) {
  config.settings.allowed.connect_timeout = Duration(0);
  AddHost("h1", Ok);
  Start();
  Peer client = SendRequest(RequestText("a"));
  EXPECT_TRUE(RunHostsUntil([&] { return client.Has("served"); }));
}

TEST_F(GatewayTest, RetriesOnAnotherHostAfterARefusedConnection) {
  AddHost("h1", Ok).port.Close();
  AddHost("h2", Ok);
  Start();
  for (int i = 0; i < 6; ++i) {
    Peer client = SendRequest(RequestText("a" + std::to_string(i)));
    ASSERT_TRUE(RunHostsUntil([&] { return client.Has("served"); })) << client.Received();
  }
  EXPECT_EQ(hosts[1]->requests, 6);
}

TEST_F(GatewayTest, UnsafeRequestThatMayHaveRunIsNotRetried) {
  AddHost("h1", [](const std::string&) { return "reset"; });
  AddHost("h2", [](const std::string&) { return "reset"; });
  Start();
  Peer client = SendRequest(RequestText("a", "unsafe"));
  ASSERT_TRUE(RunHostsUntil([&] { return client.Has("\r\n\r\n"); }));
  EXPECT_EQ(client.Received().substr(0, 12), "HTTP/1.1 502");
  EXPECT_EQ(RequestCount(), 1);
}

TEST_F(GatewayTest, SafeRequestIsRetriedAfterAReset) {
  int calls = 0;
  const Responder reset_first = [&](const std::string&) {
    return ++calls == 1 ? "reset" : Http200("served");
  };
  AddHost("h1", reset_first);
  AddHost("h2", reset_first);
  Start();
  Peer client = SendRequest(RequestText("a"));
  ASSERT_TRUE(RunHostsUntil([&] { return client.Has("served"); })) << client.Received();
  EXPECT_EQ(RequestCount(), 2);
}

TEST_F(GatewayTest, RespondsByTheDeadlineIfHostsAreSilent) {
  AddHost("h1", NoResponse);
  AddHost("h2", NoResponse);
  Start();
  const Time started_at = loop.Now();
  Peer client = SendRequest(RequestText("a", "safe", 300));
  ASSERT_TRUE(RunHostsUntil([&] { return client.Has("\r\n\r\n"); }));
  EXPECT_LT(loop.Now() - started_at, Ms(350));
  EXPECT_EQ(client.Received().substr(0, 10), "HTTP/1.1 5");
  EXPECT_TRUE(RunHostsUntil([&] { return gateway->request_count() == 0; }));
}

TEST_F(GatewayTest, RejectsWithoutHosts) {
  Start();
  Peer client = SendRequest(RequestText("a"));
  ASSERT_TRUE(RunHostsUntil([&] { return client.Has("HTTP/1.1 503"); }));
}

TEST_F(GatewayTest, DuplicateIdOfARequestInProgressIsRejected) {
  AddHost("h1", NoResponse);
  Start();
  Peer first = SendRequest(RequestText("a"));
  ASSERT_TRUE(RunHostsUntil([&] { return RequestCount() == 1; }));
  Peer second = SendRequest(RequestText("a"));
  ASSERT_TRUE(RunHostsUntil([&] { return second.Has("HTTP/1.1 409"); }));
  EXPECT_EQ(RequestCount(), 1);
}

// A duplicate that arrives after the request has finished is rejected, because hosts would reject
// it.
TEST_F(GatewayTest, RecentIdIsRejected) {
  AddHost("h1", Ok);
  Start();
  Peer first = SendRequest(RequestText("a"));
  ASSERT_TRUE(RunHostsUntil([&] { return first.Has("served"); }));
  Peer second = SendRequest(RequestText("a"));
  ASSERT_TRUE(RunHostsUntil([&] { return second.Has("HTTP/1.1 409"); }));
  EXPECT_EQ(RequestCount(), 1);
}

// If one host rejects a request as invalid, the others would reject it too.
TEST_F(GatewayTest, ResponseThatRejectsTheRequestAsInvalidIsForwarded) {
  for (const char* const id : {"h1", "h2", "h3"}) {
    AddHost(id, [](const std::string&) -> std::string {
      return "HTTP/1.1 400 Bad Request\r\nContent-Length: 4\r\n\r\nwhy?";
    });
  }
  Start();
  Peer client = SendRequest(RequestText("a"));
  ASSERT_TRUE(RunHostsUntil([&] { return client.Has("why?"); }));
  EXPECT_EQ(client.Received().substr(0, 13), "HTTP/1.1 400 ");
  RunFor(loop, Ms(30));
  EXPECT_EQ(RequestCount(), 1);
  ASSERT_TRUE(RunHostsUntil([&] { return gateway->request_count() == 0; }));
}

// After a malformed response the request is retried on another host, if its class permits it.
TEST_F(GatewayTest, SafeRequestIsRetriedAfterAMalformedResponse) {
  for (const char* const id : {"h1", "h2", "h3"}) {
    AddHost(id, [this](const std::string&) -> std::string {
      return RequestCount() == 1 ? "noise\r\n\r\n" : Http200("served");
    });
  }
  Start();
  Peer client = SendRequest(RequestText("a"));
  ASSERT_TRUE(RunHostsUntil([&] { return client.Has("served"); }));
  EXPECT_EQ(RequestCount(), 2);
}

TEST_F(GatewayTest, MalformedRequestsReachNoHost) {
  AddHost("h1", Ok);
  Start();
  const uint64_t admitted_before = GlobalCounters().requests_admitted;
  for (const std::string& text :
       {RequestText("a", "nothing"), RequestText("a b"), std::string("GET /safe HTTP/1.1\r\n\r\n"),
        std::string("POST /safe HTTP/1.1\r\nContent-Length: 1\r\nContent-Length: 1\r\n\r\nx")}) {
    Peer client = SendRequest(text);
    ASSERT_TRUE(RunHostsUntil([&] { return client.Has("HTTP/1.1 4"); })) << text;
  }
  RunFor(loop, Ms(20));
  EXPECT_EQ(RequestCount(), 0);
  EXPECT_EQ(GlobalCounters().requests_admitted, admitted_before);
}

TEST_F(GatewayTest, RequestsOverTheLimitAreRejected) {
  config.settings.allowed.max_held_requests = 2;
  AddHost("h1", NoResponse);
  Start();
  Peer one = SendRequest(RequestText("a")), two = SendRequest(RequestText("b"));
  ASSERT_TRUE(RunHostsUntil([&] { return gateway->request_count() == 2; }));
  Peer three = SendRequest(RequestText("c"));
  ASSERT_TRUE(RunHostsUntil([&] { return three.Has("HTTP/1.1 503"); }));
  EXPECT_EQ(gateway->request_count(), 2u);
}

TEST_F(GatewayTest, OutcomeAfterTheClientDisconnectedIsReported) {
  Host& host = AddHost("h1", NoResponse);
  Start();
  Peer client = SendRequest(RequestText("a"));
  ASSERT_TRUE(RunHostsUntil([&] { return RequestCount() == 1; }));
  const uint64_t ok_before = GlobalCounters().attempts_ok,
                 served_before = GlobalCounters().responses_served;
  client.Close();
  RunFor(loop, Ms(20));
  EXPECT_EQ(gateway->request_count(), 1u);  // its attempt is in flight
  for (Peer& peer : host.peers) {
    peer.Send(Http200("late"));
  }
  ASSERT_TRUE(RunHostsUntil([&] { return gateway->request_count() == 0; }));
  EXPECT_EQ(GlobalCounters().attempts_ok, ok_before + 1);
  EXPECT_EQ(GlobalCounters().responses_served, served_before);
}

TEST_F(GatewayTest, UsesHostsOfTheEndpointList) {
  Start();
  Peer watch = discovery_port.Accept(loop);
  ASSERT_TRUE(RunUntil(loop, [&] { return watch.Has("follow=1&since=40"); }));
  hosts.push_back(std::make_unique<Host>());
  hosts.back()->responder = Ok;
  const std::string line =
      R"({"revision":41,"complete":true,"members":[{"id":"new","host_port":")" +
      hosts.back()->port.text() +
      R"(","locality":"a","phase":"active"}]})"
      "\n";
  watch.Send(kChunkedHead + fmt::format("{:x}\r\n{}\r\n", line.size(), line));
  RunFor(loop, Ms(20));
  Peer client = SendRequest(RequestText("a"));
  EXPECT_TRUE(RunHostsUntil([&] { return client.Has("served"); }));
}

TEST_F(GatewayTest, DrainingAndRemovedHostsGetNoNewWork) {
  AddHost("h1", Ok);
  AddHost("h2", Ok);
  Start();
  Peer watch = discovery_port.Accept(loop);
  const std::string line =
      R"({"revision":41,"complete":false,"members":[{"id":"h1","host_port":")" +
      hosts[0]->port.text() +
      R"(","phase":"leaving"}]})"
      "\n";
  watch.Send(kChunkedHead + fmt::format("{:x}\r\n{}\r\n", line.size(), line));
  RunFor(loop, Ms(20));
  for (int i = 0; i < 8; ++i) {
    Peer client = SendRequest(RequestText("a" + std::to_string(i)));
    ASSERT_TRUE(RunHostsUntil([&] { return client.Has("served"); }));
  }
  EXPECT_EQ(hosts[0]->requests, 0);
  EXPECT_EQ(hosts[1]->requests, 8);
}

TEST_F(GatewayTest, EndpointListStaysWhileDiscoveryIsDown) {
  AddHost("h1", Ok);
  Start();
  Peer watch = discovery_port.Accept(loop);
  watch.Send("garbage\r\n\r\n");
  ASSERT_TRUE(RunUntil(loop, [&] { return watch.Ended(); }));
  discovery_port.Close();
  RunFor(loop, Ms(300));
  Peer client = SendRequest(RequestText("a"));
  EXPECT_TRUE(RunHostsUntil([&] { return client.Has("served"); }));
}

TEST_F(GatewayTest, LoadBalancerRequestsTheListIfItIsNotPushed) {
  config.settings.discovery_mode = DiscoveryMode::kPoll;
  config.settings.rules.discovery_interval = Ms(400);
  AddHost("h1", Ok);
  Start();
  Peer watch = discovery_port.Accept(loop);
  ASSERT_TRUE(RunUntil(loop, [&] { return watch.Has("follow=1&since=40"); }));
  watch.Close();
  Peer next = discovery_port.Accept(loop);  // requested by a timer of the load balancer
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
    Peer client = SendRequest(RequestText("a" + std::to_string(i)));
    ASSERT_TRUE(RunHostsUntil([&] { return client.Has("served"); }));
  }
  EXPECT_EQ(hosts[0]->probes, 0);
  EXPECT_EQ(hosts[0]->requests, 5);
}

TEST_F(GatewayTest, StreamedResponseThatBreaksOffEndsItsRequest) {
  config.settings.classes[0].is_streamed = true;
  AddHost("h1",
          [](const std::string&) { return "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhalf"; });
  AddHost("h2", hosts[0]->responder);
  Start();
  Peer client = SendRequest(RequestText("a", "safe", 400));
  ASSERT_TRUE(RunHostsUntil([&] { return RequestCount() == 1; }));
  RunFor(loop, Ms(500));
  EXPECT_EQ(client.Received(), "");  // the response continues after the deadline
  for (const auto& host : hosts) {
    for (Peer& peer : host->peers) {
      peer.Close();
    }
  }
  ASSERT_TRUE(RunHostsUntil([&] { return client.Has("\r\n\r\n"); }));
  EXPECT_EQ(client.Received().substr(0, 12), "HTTP/1.1 502");
  EXPECT_EQ(RequestCount(), 1);
  EXPECT_TRUE(RunHostsUntil([&] { return gateway->request_count() == 0; }));
}

TEST_F(GatewayTest, DrainsWithARequestInProgress) {
  AddHost("h1", NoResponse);
  Start();
  Peer client = SendRequest(RequestText("a", "safe", 1200));
  ASSERT_TRUE(RunHostsUntil([&] { return RequestCount() == 1; }));
  bool done = false;
  gateway->Drain([&] { done = true; });
  RunFor(loop, Ms(800));
  EXPECT_FALSE(done);
  for (Peer& peer : hosts[0]->peers) {
    peer.Send(Http200("served"));
  }
  ASSERT_TRUE(RunHostsUntil([&] { return client.Has("served"); }));
  EXPECT_TRUE(client.Has("Connection: close"));
  client.Close();
  EXPECT_TRUE(RunHostsUntil([&] { return done; }));
}

// If the load balancer fails to end a request, its client must still get a response.
TEST_F(GatewayTest, OverdueRequestIsEndedAndCounted) {
  // With a negative slack, the request counts as overdue before the load balancer has a reason to
  // end it.
  config.settings.rules.response_slack = Ms(-300);
  AddHost("h1", NoResponse);
  Start();
  const uint64_t overdue_before = GlobalCounters().responses_overdue;
  Peer client = SendRequest(RequestText("a", "safe", 400));
  ASSERT_TRUE(RunHostsUntil([&] { return client.Has("\r\n\r\n"); }));
  EXPECT_EQ(client.Received().substr(0, 12), "HTTP/1.1 502");
  EXPECT_EQ(GlobalCounters().responses_overdue, overdue_before + 1);
}

TEST_F(GatewayTest, DescribesItsState) {
  AddHost("h1", Ok);
  Start();
  Peer client = SendRequest(RequestText("a"));
  ASSERT_TRUE(RunHostsUntil([&] { return client.Has("served"); }));
  const std::string text = gateway->DescribeState();
  EXPECT_NE(text.find("clients=1 "), std::string::npos) << text;
  EXPECT_NE(text.find("responses_served="), std::string::npos) << text;
  EXPECT_NE(text.find("picks_"), std::string::npos) << text;
}

// Requests that are in progress when the settings change end under their own settings. Connections
// and hosts are kept.
TEST_F(GatewayTest, SettingsAreReplacedUnderLoad) {
  AddHost("h0", [&](const std::string& text) {
    return text.find("X-Call-Id: slow") != std::string::npos ? "" : Ok(text);
  });
  Start();
  Peer slow = SendRequest(RequestText("slow"));
  ASSERT_TRUE(RunHostsUntil([&] { return RequestCount() == 1; }));
  GatewayConfig next = config;
  next.settings.classes.push_back(paddlestile::testing::MakeClass(Idempotency::kSafe));
  next.names.classes.Add("later");
  next.names.classes_expire_at.assign(next.settings.classes.size(), Time::max());
  next.names.classes_expire_at[0] = loop.Now();  // class "safe" has been removed
  gateway->ApplyConfig(next);
  Peer later = SendRequest(RequestText("b", "later")), gone = SendRequest(RequestText("c", "safe"));
  ASSERT_TRUE(RunHostsUntil([&] { return later.Has("served") && gone.Has("404 "); }));
  for (Peer& peer : hosts[0]->peers) {
    peer.Send(Http200("late but whole"));
  }
  EXPECT_TRUE(RunHostsUntil([&] { return slow.Has("late but whole"); }));
  // Settings that the load balancer rejects are not applied.
  GatewayConfig invalid = next;
  invalid.settings.allowed.max_attempts = 0;
  EXPECT_THROW(gateway->ApplyConfig(invalid), std::invalid_argument);
  EXPECT_EQ(gateway->config().settings.allowed.max_attempts, next.settings.allowed.max_attempts);
}

// Settings that are applied twice within one handler, as when a version and its activation are read
// together. The earlier ones were queued behind the later ones and stayed in force permanently.
TEST_F(GatewayTest, LatestSettingsAreInForce) {
  for (const char* const id : {"h1", "h2"}) {
    AddHost(id, Error);
  }
  Start();
  ASSERT_TRUE(RunHostsUntil([&] { return lifecycle.accepts(); }));
  GatewayConfig single_attempt = config;
  single_attempt.settings.allowed.max_attempts = 1;
  ASSERT_GT(config.settings.allowed.max_attempts, 1);
  gateway->ApplyConfig(single_attempt);
  gateway->ApplyConfig(config);
  Peer client = SendRequest(RequestText("a"));
  ASSERT_TRUE(RunHostsUntil([&] { return client.Has("\r\n\r\n"); }));
  EXPECT_GE(RequestCount(), 2);
  gateway->ApplyConfig(config);
  gateway->ApplyConfig(single_attempt);
  const int before = RequestCount();
  Peer other = SendRequest(RequestText("b"));
  ASSERT_TRUE(RunHostsUntil([&] { return other.Has("\r\n\r\n"); }));
  EXPECT_EQ(RequestCount(), before + 1);
}

// Tenants change in the same handler as all settings. As separate events, the tenant changes would
// be handled before the queued settings, which have other tenants, or would replace those settings.
TEST_F(GatewayTest, TenantChangesKeepQueuedSettings) {
  config.settings.tenants = {{10, 0.5}};
  config.names.tenants.Add("old");
  // The hosts reject requests, because hosts that fail are ejected for a while, depending on the
  // seed, and each retry uses a token of the retry budget.
  for (int n = 1; n <= 4; ++n) {
    AddHost("h" + std::to_string(n), Rejected);
  }
  Start();
  ASSERT_TRUE(RunHostsUntil([&] { return lifecycle.accepts(); }));
  GatewayConfig single_attempt = config;
  single_attempt.settings.allowed.max_attempts = 1;
  int id = 0;
  const auto attempts = [&](const std::string& tenant) {
    std::string text = RequestText("r" + std::to_string(id++));
    text.insert(text.find("X-Call-Id"), "X-Caller: " + tenant + "\r\n");
    const int before = RequestCount();
    Peer client = SendRequest(text);
    EXPECT_TRUE(RunHostsUntil([&] { return client.Has("\r\n\r\n"); }));
    return RequestCount() - before;
  };
  gateway->ApplyConfig(single_attempt);
  gateway->ApplyTenantChanges({{"new", TenantQuota{5, 0.2}}});
  EXPECT_EQ(attempts("new"), 1);
  gateway->ApplyTenantChanges({{"old", TenantQuota{5, 0.2}}});
  gateway->ApplyConfig(config);
  EXPECT_GE(attempts("old"), 2);
  gateway->ApplyTenantChanges({{"old", TenantQuota{5, 0.1}}});
  gateway->ApplyTenantChanges({{"old", TenantQuota{5, 0.3}}});
  EXPECT_GE(attempts("old"), 2);
  // The load balancer allows one attempt by now. It gets settings with more attempts, followed by a
  // change of a tenant.
  gateway->ApplyConfig(single_attempt);
  EXPECT_EQ(attempts("old"), 1);
  gateway->ApplyConfig(config);
  gateway->ApplyTenantChanges({{"old", TenantQuota{5, 0.3}}});
  EXPECT_GE(attempts("old"), 2);
  EXPECT_EQ(gateway->config().settings.tenants.at(0).share, 0.3);
}

// Only tenants change, and nothing else is restarted: a new tenant is served at once, a removed one
// for a while longer, and an invalid change has no effect.
TEST_F(GatewayTest, TenantChangesWithoutOtherChangesAreApplied) {
  config.settings.tenants = {{10, 0.5}};
  config.names.tenants.Add("old");
  AddHost("h1", Ok);
  Start();
  const auto is_served = [&](const std::string& id, const std::string& tenant) {
    std::string text = RequestText(id);
    text.insert(text.find("X-Call-Id"), "X-Caller: " + tenant + "\r\n");
    Peer client = SendRequest(text);
    EXPECT_TRUE(RunHostsUntil([&] { return client.Has("\r\n\r\n"); })) << id;
    return client.Has("served");
  };
  EXPECT_TRUE(is_served("a", "old"));
  EXPECT_FALSE(is_served("b", "new"));
  const GatewayConfig* const config_before = &gateway->config();
  gateway->ApplyTenantChanges({{"new", TenantQuota{5, 0.2}}, {"old", TenantQuota{20, 0.5}}});
  EXPECT_EQ(&gateway->config(), config_before);
  EXPECT_EQ(gateway->config().settings.tenants.at(0).requests_per_second, 20);
  EXPECT_EQ(gateway->config().settings.tenants.at(1).share, 0.2);
  EXPECT_TRUE(is_served("c", "new"));
  EXPECT_THROW(gateway->ApplyTenantChanges({{"new", std::nullopt}, {"old", TenantQuota{1, -1}}}),
               ConfigError);
  EXPECT_TRUE(is_served("d", "new"));
  gateway->ApplyTenantChanges({{"new", std::nullopt}});
  EXPECT_TRUE(is_served("e", "new"));
  RunHostsUntil([] { return false; }, Ms(1100));
  EXPECT_FALSE(is_served("f", "new"));
  EXPECT_TRUE(is_served("g", "old"));
  gateway->ApplyTenantChanges({{"new", TenantQuota{5, 0.2}}});
  EXPECT_TRUE(is_served("h", "new"));
  EXPECT_EQ(gateway->config().names.tenants.size(), 2u);
}

}  // namespace
}  // namespace paddlestile
