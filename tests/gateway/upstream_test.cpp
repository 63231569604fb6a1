#include "gateway/upstream.h"

#include <gtest/gtest.h>
#include <unistd.h>

#include <memory>
#include <string>
#include <vector>

#include "base/metrics.h"
#include "gateway/test_peers.h"

namespace paddlestile {
namespace {

using testing::Http200;
using testing::Ms;
using testing::Peer;
using testing::RunUntil;
using testing::UnreachableHost;

BufferedMessage ParseRequestText(const std::string& text) {
  BufferedMessage message;
  HttpParser parser(HttpParser::Kind::kRequest);
  message.bytes.Append(text);
  EXPECT_EQ(parser.Feed(message.bytes), ParseProgress::kDone);
  message.message = parser.message();
  return message;
}

const std::string kPost =
    "POST /book/1?a=b HTTP/1.1\r\nHost: service\r\nX-Call-Id: id1\r\nX-Budget-Ms: 900\r\n"
    "Idempotency-Key: k\r\nConnection: keep-alive, X-Hop\r\nX-Hop: 1\r\nContent-Length: 4\r\n\r\n"
    "body";

class UpstreamTest : public ::testing::Test, public Upstream::Listener {
 protected:
  struct FinishedAttempt {
    std::string id;
    size_t attempt = 0;
    Outcome outcome = Outcome::kOk;
    std::optional<LoadReport> report;
    std::string body;
  };

  void OnAttemptFinished(const std::shared_ptr<ProxiedRequest>& request, size_t attempt,
                         const std::string&, Outcome outcome, Duration,
                         std::optional<LoadReport> report,
                         std::shared_ptr<const BufferedMessage> response) override {
    finished.push_back({request->id(), attempt, outcome, std::move(report),
                        response ? std::string(response->body()) : std::string()});
    if (response && response->streaming_body) {
      streaming_body = response->streaming_body;
      streaming_body->SetDataCallback([] {});  // the test reads the body itself
    }
  }
  void OnResponseStarted(const std::shared_ptr<ProxiedRequest>&, size_t, const std::string&,
                         Duration) override {
    ++responses_started;
  }
  void OnProbeFinished(const std::string&, Outcome outcome, Duration,
                       std::optional<LoadReport> report) override {
    probes.emplace_back(outcome, std::move(report));
  }
  bool OnDescriptorsExhausted() override { return upstream->CloseOneIdle(); }

  void MakeUpstream(Upstream::Options options) {
    upstream = std::make_unique<Upstream>(loop, budget, std::move(options), this);
    upstream->SetEndpointAddress("h1", port.address());
  }
  Upstream::Options DefaultOptions() {
    Upstream::Options options;
    options.connect_timeout = Ms(100);
    options.endpoint_idle_timeout = Ms(60000);
    options.report_fields = {"inflight", "latency_ms"};
    options.reports_in_probes = true;
    return options;
  }
  std::shared_ptr<ProxiedRequest> MakeProxiedRequest(const std::string& id = "id1",
                                                     Duration time = Ms(2000)) {
    return std::make_shared<ProxiedRequest>(id, ParseRequestText(kPost), loop.Now() + time,
                                            request_class, [](const Response&) {});
  }
  // Starts an attempt of a new request on host h1.
  std::shared_ptr<ProxiedRequest> StartNewAttempt(const std::string& id = "id1",
                                                  Duration time = Ms(2000)) {
    auto request = MakeProxiedRequest(id, time);
    upstream->StartAttempt(request, request->BeginAttempt(), "h1", request->deadline());
    return request;
  }
  // Accepts the next connection to the host and waits until it has received the request.
  Peer AcceptHost() {
    Peer host = port.Accept(loop);
    EXPECT_TRUE(RunUntil(loop, [&] { return host.Has("body"); }));
    return host;
  }
  // Runs the loop until `count` attempts have finished.
  bool HasFinished(size_t count) {
    return RunUntil(loop, [&] { return finished.size() >= count; });
  }
  // Waits until a connection that has just received a response may be reused.
  void WaitUntilSettled() { testing::RunFor(loop, Ms(25)); }
  // Sends a first request and responds to it. Returns the host's side of its connection, which may
  // be reused.
  Peer ReusableConnection() {
    StartNewAttempt("first");
    Peer host = AcceptHost();
    host.Send(Http200("1"));
    EXPECT_TRUE(HasFinished(1));
    host.ClearReceived();
    finished.clear();
    WaitUntilSettled();
    return host;
  }
  // Returns a request that does not fit into the socket buffers.
  std::shared_ptr<ProxiedRequest> MakeLargeRequest(const std::string& id,
                                                   Duration time = Ms(2000)) {
    const std::string head = "POST /book HTTP/1.1\r\nX-Call-Id: big\r\n\r\n";
    BufferedMessage request;
    request.bytes.Append(head + std::string(16 << 20, 'x'));
    request.message = ParseRequestText(head).message;
    request.message.body = {head.size(), 16 << 20};
    return std::make_shared<ProxiedRequest>(id, std::move(request), loop.Now() + time,
                                            request_class, [](const Response&) {});
  }
  // Waits until the gateway closes the connection. Returns the number of bytes that the host
  // received, which shows whether the body was sent in full.
  static size_t BytesUntilClose(EventLoop& loop, Peer& host) {
    EXPECT_TRUE(RunUntil(loop, [&] { return host.Ended(); }));
    return host.Received().size();
  }

  EventLoop loop;
  DescriptorBudget budget{1024};
  std::shared_ptr<RequestClass> request_class =
      std::make_shared<RequestClass>(paddlestile::testing::MakeClass(Idempotency::kKeyed));
  testing::Port port;
  std::vector<FinishedAttempt> finished;
  std::shared_ptr<StreamingBody> streaming_body;  // of the last streamed response
  std::vector<std::pair<Outcome, std::optional<LoadReport>>> probes;
  int responses_started = 0;
  std::unique_ptr<Upstream> upstream;
};

TEST_F(UpstreamTest, SendsTheRequestUnchangedExceptForItsBudget) {
  MakeUpstream(DefaultOptions());
  StartNewAttempt();
  Peer host = AcceptHost();
  const std::string& text = host.Received();
  EXPECT_EQ(text.substr(0, 27), "POST /book/1?a=b HTTP/1.1\r\n");
  EXPECT_NE(text.find("X-Call-Id: id1\r\n"), std::string::npos);
  EXPECT_NE(text.find("Idempotency-Key: k\r\n"), std::string::npos);
  EXPECT_NE(text.find("Content-Length: 4\r\n"), std::string::npos);
  EXPECT_EQ(text.find("X-Budget-Ms: 900"), std::string::npos);
  EXPECT_NE(text.find("X-Budget-Ms: 1"), std::string::npos);  // what remains of 2000
  EXPECT_EQ(text.find("X-Hop"), std::string::npos);
  EXPECT_EQ(text.substr(text.size() - 8), "\r\n\r\nbody");
}

TEST_F(UpstreamTest, MapsResponsesToOutcomes) {
  MakeUpstream(DefaultOptions());
  const std::pair<std::string, Outcome> cases[] = {
      {Http200("yes"), Outcome::kOk},
      {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nyes\r\n0\r\n\r\n", Outcome::kOk},
      {"HTTP/1.1 500 No\r\nContent-Length: 0\r\n\r\n", Outcome::kError},
      {"HTTP/1.1 503 No\r\nX-Rejected: 1\r\nContent-Length: 0\r\n\r\n", Outcome::kRejected},
      {"HTTP/1.1 504 No\r\nX-Rejected: 1\r\nContent-Length: 0\r\n\r\n", Outcome::kRejected},
      {"HTTP/1.1 503 No\r\nContent-Length: 0\r\n\r\n", Outcome::kError},
      {"HTTP/1.1 503 No\r\nX-Rejected: 0\r\nContent-Length: 0\r\n\r\n", Outcome::kError},
      {"HTTP/1.1 500 No\r\nX-Rejected: 1\r\nContent-Length: 0\r\n\r\n", Outcome::kError},
      {"HTTP/1.1 201 Made\r\nContent-Length: 0\r\n\r\n", Outcome::kError},
      {"HTTP/1.1 400 No\r\nContent-Length: 0\r\n\r\n", Outcome::kInvalidResponse},
      {"HTTP/1.1 404 No\r\nContent-Length: 0\r\n\r\n", Outcome::kInvalidResponse},
      {"HTTP/1.1 408 Slow\r\nContent-Length: 0\r\n\r\n", Outcome::kError},
      {"HTTP/1.1 429 Many\r\nContent-Length: 0\r\n\r\n", Outcome::kError},
      {"HTTP/1.1 204 None\r\n\r\n", Outcome::kError},
      {"HTTP/1.1 200 OK\r\nContent-Length: x\r\n\r\n", Outcome::kInvalidResponse},
      {"HTTP/1.1 200 OK\r\nContent-Length: 70000\r\n\r\n", Outcome::kTimeout},
      {"HTTP/1.1 200 OK\r\nContent-Length: 3000000000\r\n\r\nyes", Outcome::kInvalidResponse},
      {"HTTP/1.1 200 OK\r\nContent-Length: 3\r\nContent-Length: 9\r\n\r\nyes",
       Outcome::kInvalidResponse},
      {"HTTP/1.1 200 OK\r\nX-Pad: " + std::string(20000, 'p'), Outcome::kInvalidResponse},
      {"HTTP/1.1 103 Early\r\nLink: </a>\r\n\r\nHTTP/1.1 102 On it\r\n\r\n" + Http200("yes"),
       Outcome::kOk},
      {"ICY 200 OK\r\nContent-Length: 3\r\n\r\nyes", Outcome::kInvalidResponse},
      {"garbage\r\n\r\n", Outcome::kInvalidResponse},
  };
  for (const auto& [response_text, outcome] : cases) {
    finished.clear();
    StartNewAttempt();
    Peer host = AcceptHost();
    host.Send(response_text);
    ASSERT_TRUE(HasFinished(1)) << response_text;
    EXPECT_EQ(finished[0].outcome, outcome) << response_text;
    EXPECT_EQ(finished[0].body, outcome == Outcome::kOk ? "yes" : "") << response_text;
    while (upstream->CloseOneIdle()) {
    }
  }
}

// A response may pause at any byte until its deadline, and not beyond it.
TEST_F(UpstreamTest, ResponseThatPausesIsAwaitedUntilTheDeadline) {
  MakeUpstream(DefaultOptions());
  const std::string response_text = Http200("yes");
  const std::string_view head_only = std::string_view(response_text).substr(0, 25);
  const std::string_view part_of_body =
      std::string_view(response_text).substr(0, response_text.size() - 1);
  for (const std::string_view part : {head_only, part_of_body}) {
    for (const bool is_completed : {true, false}) {
      finished.clear();
      StartNewAttempt("id1", Ms(1500));
      Peer host = AcceptHost();
      const Time started_at = loop.Now();
      host.Send(part);
      testing::RunFor(loop, Ms(1200));
      EXPECT_TRUE(finished.empty());
      if (is_completed) {
        host.Send(std::string_view(response_text).substr(part.size()));
      }
      ASSERT_TRUE(HasFinished(1));
      EXPECT_EQ(finished[0].outcome, is_completed ? Outcome::kOk : Outcome::kTimeout);
      EXPECT_LT(loop.Now() - started_at, Ms(1600));
      if (!is_completed) {
        EXPECT_TRUE(RunUntil(loop, [&] { return host.Ended(); }));
      }
      while (upstream->CloseOneIdle()) {
      }
    }
  }
}

// A response that is truncated at any point counts as a reset, and nothing of it is forwarded.
TEST_F(UpstreamTest, TruncatedResponseIsAReset) {
  MakeUpstream(DefaultOptions());
  const std::string response_text = Http200("hello", "X-A: b\r\n");
  for (size_t size = 0; size < response_text.size(); ++size) {
    finished.clear();
    StartNewAttempt();
    Peer host = AcceptHost();
    host.Send(response_text.substr(0, size));
    if (size % 2 == 0) {
      host.Close();
    } else {
      host.Reset();
    }
    ASSERT_TRUE(HasFinished(1)) << size;
    EXPECT_EQ(finished[0].outcome, Outcome::kReset) << size;
    EXPECT_EQ(finished[0].body, "");
  }
}

TEST_F(UpstreamTest, ResponseSentByteByByteIsComplete) {
  MakeUpstream(DefaultOptions());
  StartNewAttempt();
  Peer host = AcceptHost();
  for (const char c : Http200("hello")) {
    EXPECT_TRUE(finished.empty());
    host.Send(std::string(1, c));
    loop.RunOnce(Duration(0));
  }
  ASSERT_TRUE(HasFinished(1));
  EXPECT_EQ(finished[0].body, "hello");
}

// The last bytes and the close may arrive together.
TEST_F(UpstreamTest, CompleteResponseCountsIfTheHostClosesAtOnce) {
  MakeUpstream(DefaultOptions());
  StartNewAttempt();
  Peer host = AcceptHost();
  host.Send(Http200("hello"));
  host.Close();
  ASSERT_TRUE(HasFinished(1));
  EXPECT_EQ(finished[0].outcome, Outcome::kOk);
  EXPECT_EQ(upstream->idle_count(), 0u);
}

TEST_F(UpstreamTest, RefusedConnectionIsConnectFailed) {
  MakeUpstream(DefaultOptions());
  port.Close();
  StartNewAttempt();
  ASSERT_TRUE(HasFinished(1));
  EXPECT_EQ(finished[0].outcome, Outcome::kConnectFailed);
}

TEST_F(UpstreamTest, ConnectTimesOutByTheSettings) {
  MakeUpstream(DefaultOptions());
  const UnreachableHost host(loop);
  upstream->SetEndpointAddress("h1", host.address());
  const Time started_at = loop.Now();
  StartNewAttempt();
  ASSERT_TRUE(HasFinished(1));
  EXPECT_EQ(finished[0].outcome, Outcome::kConnectFailed);
  EXPECT_GE(loop.Now() - started_at, Ms(100));
  EXPECT_LT(loop.Now() - started_at, Ms(1000));
}

// The deadline passes before the connect timeout, so this is no evidence against the host.
TEST_F(UpstreamTest, DeadlineWhileConnectingIsNotSent) {
  MakeUpstream(DefaultOptions());
  const UnreachableHost host(loop);
  upstream->SetEndpointAddress("h1", host.address());
  StartNewAttempt("id1", Ms(40));
  ASSERT_TRUE(HasFinished(1));
  EXPECT_EQ(finished[0].outcome, Outcome::kNotSent);
}

TEST_F(UpstreamTest, SilentHostTimesOutAndTheConnectionCloses) {
  MakeUpstream(DefaultOptions());
  const Time started_at = loop.Now();
  StartNewAttempt("id1", Ms(60));
  Peer host = AcceptHost();
  ASSERT_TRUE(HasFinished(1));
  EXPECT_EQ(finished[0].outcome, Outcome::kTimeout);
  EXPECT_GE(loop.Now() - started_at, Ms(60));
  EXPECT_TRUE(RunUntil(loop, [&] { return host.Ended(); }));
}

TEST_F(UpstreamTest, AttemptWithoutTimeOrHostIsNotSent) {
  MakeUpstream(DefaultOptions());
  StartNewAttempt("id1", Ms(0));
  auto request = MakeProxiedRequest("id2");
  upstream->StartAttempt(request, request->BeginAttempt(), "nobody", request->deadline());
  ASSERT_EQ(finished.size(), 2u);
  EXPECT_EQ(finished[0].outcome, Outcome::kNotSent);
  EXPECT_EQ(finished[1].outcome, Outcome::kNotSent);
  EXPECT_EQ(upstream->connection_count(), 0u);
}

// Hosts accept few connections, while a thousand gateways open some to each of them.
TEST_F(UpstreamTest, ClosesIdleConnectionsOfAHostAndKeepsBusyOnes) {
  MakeUpstream(DefaultOptions());
  StartNewAttempt("id1");
  Peer first = AcceptHost();
  StartNewAttempt("id2");
  Peer second = AcceptHost();
  first.Send(testing::Http200("ok"));
  ASSERT_TRUE(HasFinished(1));
  EXPECT_EQ(upstream->idle_count(), 1u);
  upstream->CloseIdleConnections("h1");
  upstream->CloseIdleConnections("nobody");
  EXPECT_EQ(upstream->idle_count(), 0u);
  EXPECT_TRUE(RunUntil(loop, [&] { return first.Ended(); }));
  second.Send(testing::Http200("ok"));
  ASSERT_TRUE(HasFinished(2));
  EXPECT_EQ(finished[1].outcome, Outcome::kOk);
}

TEST_F(UpstreamTest, CancelClosesTheConnectionAndIsTheOnlyOutcome) {
  MakeUpstream(DefaultOptions());
  const auto request = StartNewAttempt();
  Peer host = AcceptHost();
  upstream->CancelAttempt(*request, 0);
  ASSERT_TRUE(HasFinished(1));
  EXPECT_EQ(finished[0].outcome, Outcome::kCancelled);
  EXPECT_TRUE(RunUntil(loop, [&] { return host.Ended(); }));
  host.Send(Http200("late"));
  upstream->CancelAttempt(*request, 0);
  testing::RunFor(loop, Ms(20));
  EXPECT_EQ(finished.size(), 1u);
}

// If the settings allow hedged attempts, each attempt has its own outcome, and only the first 200
// becomes the response.
TEST_F(UpstreamTest, TwoAttemptsOfOneRequestEndIndependently) {
  MakeUpstream(DefaultOptions());
  testing::Port other;
  upstream->SetEndpointAddress("h2", other.address());
  const auto request = StartNewAttempt();
  upstream->StartAttempt(request, request->BeginAttempt(), "h2", request->deadline());
  Peer one = AcceptHost();
  Peer two = other.Accept(loop);
  ASSERT_TRUE(RunUntil(loop, [&] { return two.Has("body"); }));
  two.Send(Http200("second"));
  ASSERT_TRUE(HasFinished(1));
  EXPECT_EQ(finished[0].attempt, 1u);
  EXPECT_TRUE(request->Respond({.status = 200}));
  one.Send(Http200("first"));
  ASSERT_TRUE(HasFinished(2));
  EXPECT_EQ(finished[1].attempt, 0u);
  EXPECT_EQ(finished[1].outcome, Outcome::kOk);
  EXPECT_FALSE(request->Respond({.status = 200}));
}

TEST_F(UpstreamTest, KeepsAConnectionForTheNextRequest) {
  MakeUpstream(DefaultOptions());
  StartNewAttempt("id1");
  Peer host = AcceptHost();
  host.Send(Http200("1"));
  ASSERT_TRUE(HasFinished(1));
  host.ClearReceived();
  StartNewAttempt("id2");
  ASSERT_TRUE(RunUntil(loop, [&] { return host.Has("body"); }));
  host.Send(Http200("2"));
  ASSERT_TRUE(HasFinished(2));
  EXPECT_EQ(finished[1].body, "2");
  EXPECT_EQ(upstream->connection_count(), 1u);
}

TEST_F(UpstreamTest, OneRequestAtATimeOnAConnection) {
  MakeUpstream(DefaultOptions());
  StartNewAttempt("id1");
  StartNewAttempt("id2");
  Peer one = AcceptHost(), two = AcceptHost();
  EXPECT_EQ(upstream->connection_count(), 2u);
}

// The close has reached the kernel but not yet the event loop. A write would end in a reset.
TEST_F(UpstreamTest, ClosedConnectionIsNotReused) {
  MakeUpstream(DefaultOptions());
  StartNewAttempt("id1");
  Peer host = AcceptHost();
  host.Send(Http200("1"));
  ASSERT_TRUE(HasFinished(1));
  ASSERT_EQ(upstream->idle_count(), 1u);
  host.Close();
  StartNewAttempt("id2");  // before the loop has run
  Peer next = AcceptHost();
  next.Send(Http200("2"));
  ASSERT_TRUE(HasFinished(2));
  EXPECT_EQ(finished[1].outcome, Outcome::kOk);
}

TEST_F(UpstreamTest, UnsolicitedBytesCloseAnIdleConnection) {
  MakeUpstream(DefaultOptions());
  StartNewAttempt("id1");
  Peer host = AcceptHost();
  host.Send(Http200("1"));
  ASSERT_TRUE(HasFinished(1));
  host.Send(Http200("nobody asked"));
  EXPECT_TRUE(RunUntil(loop, [&] { return upstream->connection_count() == 0; }));
}

TEST_F(UpstreamTest, BytesAfterAResponseCloseTheConnection) {
  MakeUpstream(DefaultOptions());
  StartNewAttempt("id1");
  Peer host = AcceptHost();
  host.Send(Http200("1") + "more");
  ASSERT_TRUE(HasFinished(1));
  EXPECT_EQ(finished[0].outcome, Outcome::kOk);
  EXPECT_EQ(upstream->connection_count(), 0u);
}

TEST_F(UpstreamTest, ClosesIdleConnectionsBeforeTheHostDoes) {
  Upstream::Options options = DefaultOptions();
  options.endpoint_idle_timeout = Ms(2500);
  MakeUpstream(options);
  StartNewAttempt("id1");
  Peer host = AcceptHost();
  host.Send(Http200("1"));
  ASSERT_TRUE(HasFinished(1));
  const Time since = loop.Now();
  ASSERT_TRUE(RunUntil(loop, [&] { return host.Ended(); }));
  EXPECT_LT(loop.Now() - since, Ms(2500));
}

TEST_F(UpstreamTest, ChangedAddressUsesNewConnections) {
  MakeUpstream(DefaultOptions());
  StartNewAttempt("id1");
  StartNewAttempt("id2");
  Peer one = AcceptHost(), two = AcceptHost();
  one.Send(Http200("1"));
  ASSERT_TRUE(HasFinished(1));
  testing::Port new_port;
  upstream->SetEndpointAddress("h1", new_port.address());
  EXPECT_TRUE(RunUntil(loop, [&] { return one.Ended(); }));  // it was idle
  two.Send(Http200("2"));  // its transaction continues, but the connection is not kept
  ASSERT_TRUE(HasFinished(2));
  EXPECT_EQ(finished[1].outcome, Outcome::kOk);
  EXPECT_EQ(upstream->idle_count(), 0u);
  StartNewAttempt("id3");
  EXPECT_TRUE(new_port.Accept(loop));
}

TEST_F(UpstreamTest, RemovedHostIsErasedAfterItsTransactions) {
  MakeUpstream(DefaultOptions());
  StartNewAttempt("id1");
  Peer host = AcceptHost();
  upstream->RemoveEndpoint("h1");
  host.Send(Http200("1"));
  ASSERT_TRUE(HasFinished(1));
  EXPECT_EQ(finished[0].outcome, Outcome::kOk);
  EXPECT_EQ(upstream->connection_count(), 0u);
  loop.RunOnce(Duration(0));
  EXPECT_EQ(upstream->host_count(), 0u);
}

TEST_F(UpstreamTest, RequestNotWrittenInFullIsNotSent) {
  MakeUpstream(DefaultOptions());
  // A body that does not fit into the socket buffers, to a host that reads nothing.
  std::string head = "POST /book HTTP/1.1\r\nX-Call-Id: big\r\n\r\n";
  BufferedMessage message;
  message.bytes.Append(head + std::string(16 << 20, 'x'));
  message.message = ParseRequestText(head).message;
  message.message.body = {head.size(), 16 << 20};
  auto request = std::make_shared<ProxiedRequest>("big", std::move(message), loop.Now() + Ms(300),
                                                  request_class, [](const Response&) {});
  upstream->StartAttempt(request, request->BeginAttempt(), "h1", request->deadline());
  Peer host = port.Accept(loop);
  testing::RunFor(loop, Ms(50));
  host.Reset();
  ASSERT_TRUE(HasFinished(1));
  EXPECT_EQ(finished[0].outcome, Outcome::kNotSent);  // no evidence against the host
}

// Another host gets the address of a removed one. No connection of the old host serves it.
TEST_F(UpstreamTest, NewEndpointAtAnOldAddressHasItsOwnConnections) {
  MakeUpstream(DefaultOptions());
  StartNewAttempt("id1");
  Peer host = AcceptHost();
  host.Send(Http200("1"));
  ASSERT_TRUE(HasFinished(1));
  upstream->RemoveEndpoint("h1");
  upstream->SetEndpointAddress("h2", port.address());
  const auto request = MakeProxiedRequest("id2");
  upstream->StartAttempt(request, request->BeginAttempt(), "h2", request->deadline());
  Peer next = AcceptHost();
  EXPECT_TRUE(next.Has("body"));
  EXPECT_TRUE(RunUntil(loop, [&] { return host.Ended(); }));
}

// Hosts are replaced continuously, so removed ones must not accumulate.
TEST_F(UpstreamTest, RemovedHostsDoNotAccumulate) {
  MakeUpstream(DefaultOptions());
  for (int i = 0; i < 5000; ++i) {
    upstream->SetEndpointAddress("n" + std::to_string(i), port.address());
    upstream->RemoveEndpoint("n" + std::to_string(i));
    if (i % 100 == 0) {
      loop.RunOnce(Duration(0));
    }
  }
  loop.RunOnce(Duration(0));
  EXPECT_EQ(upstream->host_count(), 1u);
}

// A reused connection that breaks before the response is no evidence against the host, so the
// request moves to another connection.
TEST_F(UpstreamTest, RequestNotTakenByAReusedConnectionMoves) {
  MakeUpstream(DefaultOptions());
  Peer host = ReusableConnection();
  const auto request = MakeLargeRequest("big");
  upstream->StartAttempt(request, request->BeginAttempt(), "h1", request->deadline());
  testing::RunFor(loop, Ms(30));
  host.Reset();
  Peer next = port.Accept(loop);
  ASSERT_TRUE(RunUntil(loop, [&] { return next.Has("X-Call-Id: big"); }));
  EXPECT_TRUE(finished.empty());
  ASSERT_TRUE(RunUntil(loop, [&] { return next.Received().size() > 16 << 20; }));
  next.Send(Http200("2"));
  ASSERT_TRUE(HasFinished(1));
  EXPECT_EQ(finished[0].outcome, Outcome::kOk);
}

// A network element drops the state of idle connections. Connections with an idle time at which
// others broke are not reused.
TEST_F(UpstreamTest, IdleTimesAtWhichConnectionsBreakAreNotReused) {
  MakeUpstream(DefaultOptions());
  const auto idle_then_send = [&](Peer& host) {
    StartNewAttempt();
    host = AcceptHost();
    host.Send(Http200("1"));
    ASSERT_TRUE(HasFinished(1));
    host.ClearReceived();
    testing::RunFor(loop, Ms(80));
    finished.clear();
    StartNewAttempt();
  };
  Peer next;
  int broken = 0;
  while (!next && broken < 20) {
    Peer host;
    idle_then_send(host);
    ASSERT_TRUE(RunUntil(loop, [&] { return host.Has("body") || host.Ended(); }));
    if (host.Has("body")) {
      ++broken;
      host.Reset();
      ASSERT_TRUE(HasFinished(1));
      EXPECT_EQ(finished[0].outcome, Outcome::kReset);
    } else {
      next = AcceptHost();
      next.Send(Http200("2"));
      ASSERT_TRUE(HasFinished(1));
      EXPECT_EQ(finished[0].outcome, Outcome::kOk);
    }
    finished.clear();
  }
  EXPECT_GE(broken, 5);
  EXPECT_LT(broken, 10);
  // A connection that was idle for a short time only is still reused.
  next.ClearReceived();
  StartNewAttempt();
  EXPECT_TRUE(RunUntil(loop, [&] { return next.Has("body"); }));
}

TEST_F(UpstreamTest, ProbesRequestTheLoadReport) {
  MakeUpstream(DefaultOptions());
  upstream->StartProbe("h1");
  Peer host = port.Accept(loop);
  ASSERT_TRUE(RunUntil(loop, [&] { return host.Has("GET /_load HTTP/1.1\r\n"); }));
  host.Send(Http200("latency_ms=2.5,new=1,inflight=7"));
  ASSERT_TRUE(RunUntil(loop, [&] { return probes.size() == 1; }));
  EXPECT_EQ(probes[0].first, Outcome::kOk);
  EXPECT_EQ(probes[0].second, (LoadReport{7, 2.5}));
  EXPECT_EQ(upstream->idle_count(), 1u);
}

TEST_F(UpstreamTest, ProbesWithoutReportsPing) {
  Upstream::Options options = DefaultOptions();
  options.reports_in_probes = false;
  MakeUpstream(options);
  upstream->StartProbe("h1");
  Peer host = port.Accept(loop);
  ASSERT_TRUE(RunUntil(loop, [&] { return host.Has("GET /ping HTTP/1.1\r\n"); }));
  host.Send("HTTP/1.1 503 No\r\nContent-Length: 0\r\n\r\n");
  ASSERT_TRUE(RunUntil(loop, [&] { return probes.size() == 1; }));
  EXPECT_NE(probes[0].first, Outcome::kOk);
  EXPECT_FALSE(probes[0].second);
}

TEST_F(UpstreamTest, SilentProbeTimesOut) {
  MakeUpstream(DefaultOptions());
  upstream->StartProbe("h1");
  Peer host = port.Accept(loop);
  ASSERT_TRUE(RunUntil(loop, [&] { return probes.size() == 1; }));
  EXPECT_EQ(probes[0].first, Outcome::kTimeout);
}

TEST_F(UpstreamTest, ReadsReportsInResponsesIfEnabled) {
  Upstream::Options options = DefaultOptions();
  options.reports_in_responses = true;
  MakeUpstream(options);
  const std::pair<std::string, std::optional<LoadReport>> cases[] = {
      {"X-Load-Report: inflight=3,latency_ms=9\r\n", LoadReport{3, 9}},
      {"X-Load-Report: inflight=3\r\n", std::nullopt},
      {"X-Load-Report: inflight=3,latency_ms=x\r\n", std::nullopt},
      {"X-Load-Report: inflight=3,latency_ms=inf\r\n", std::nullopt},
      {"X-Load-Report: inflight\r\n", std::nullopt},
      {"X-Load-Report:\r\n", std::nullopt},
      {"", std::nullopt}};
  StartNewAttempt();
  Peer host = AcceptHost();
  for (const auto& [header, report] : cases) {
    finished.clear();
    host.Send(Http200("ok", header));
    ASSERT_TRUE(HasFinished(1));
    EXPECT_EQ(finished[0].outcome, Outcome::kOk) << header;
    EXPECT_EQ(finished[0].report, report) << header;
    host.ClearReceived();
    StartNewAttempt();
    ASSERT_TRUE(RunUntil(loop, [&] { return host.Has("body"); }));
  }
}

TEST_F(UpstreamTest, IgnoresReportsInResponsesByDefault) {
  MakeUpstream(DefaultOptions());
  StartNewAttempt();
  Peer host = AcceptHost();
  host.Send(Http200("ok", "X-Load-Report: inflight=3,latency_ms=9\r\n"));
  ASSERT_TRUE(HasFinished(1));
  EXPECT_FALSE(finished[0].report);
}

// Once a streamed response has started, no deadline ends it.
TEST_F(UpstreamTest, StreamedResponseOutlivesTheDeadline) {
  request_class->is_streamed = true;
  MakeUpstream(DefaultOptions());
  const auto request = StartNewAttempt("id1", Ms(60));
  Peer host = AcceptHost();
  host.Send("HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nbe");
  ASSERT_TRUE(RunUntil(loop, [&] { return responses_started == 1; }));
  testing::RunFor(loop, Ms(100));
  EXPECT_TRUE(finished.empty());
  upstream->CancelAttempt(*request, 0);  // has no effect
  EXPECT_TRUE(finished.empty());
  host.Send("en");
  ASSERT_TRUE(HasFinished(1));
  EXPECT_EQ(finished[0].body, "been");
}

// Bytes received before a reset were discarded if the client was not ready to read them, even if
// they were the rest of the body.
TEST_F(UpstreamTest, FullyReceivedBodyIsForwardedAfterAReset) {
  MakeUpstream(DefaultOptions());
  constexpr size_t kBodyBytes = 90'000;
  constexpr size_t kRestBytes = 20'000;
  for (const size_t missing_bytes : {0, 1}) {
    StartNewAttempt("id" + std::to_string(missing_bytes));
    Peer host = AcceptHost();
    host.Send("HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(kBodyBytes) + "\r\n\r\n");
    host.Send(std::string(kBodyBytes - kRestBytes, 'a'));
    ASSERT_TRUE(RunUntil(loop, [&] { return streaming_body != nullptr; }));
    size_t read_bytes = 0;
    ASSERT_TRUE(RunUntil(loop, [&] {
      Buffer piece;
      EXPECT_EQ(streaming_body->Read(piece), ParseProgress::kNeedMore);
      read_bytes += piece.size();
      return read_bytes == kBodyBytes - kRestBytes;
    }));
    host.Send(std::string(kRestBytes - missing_bytes, 'b'));
    testing::RunFor(loop, Ms(20));
    host.Reset();
    testing::RunFor(loop, Ms(20));
    Buffer rest;
    const ParseProgress progress = streaming_body->Read(rest);
    EXPECT_EQ(rest.size(), kRestBytes - missing_bytes);
    if (missing_bytes == 0) {
      EXPECT_EQ(progress, ParseProgress::kDone);
    } else {
      EXPECT_EQ(progress, ParseProgress::kNeedMore);
      Buffer nothing;
      EXPECT_EQ(streaming_body->Read(nothing), ParseProgress::kMalformed);
    }
    EXPECT_EQ(upstream->connection_count(), 0u);
    streaming_body = nullptr;
  }
}

TEST_F(UpstreamTest, StreamedResponseEndsWhenItsClientDisconnects) {
  request_class->is_streamed = true;
  MakeUpstream(DefaultOptions());
  const auto request = StartNewAttempt();
  Peer host = AcceptHost();
  host.Send("HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nbe");
  ASSERT_TRUE(RunUntil(loop, [&] { return responses_started == 1; }));
  upstream->OnClientDisconnected(*request);
  ASSERT_TRUE(HasFinished(1));
  EXPECT_EQ(finished[0].outcome, Outcome::kCancelled);
}

// A lack of descriptors is no evidence against the host, and idle connections are closed first.
TEST_F(UpstreamTest, NothingIsSentWithoutDescriptors) {
  DescriptorBudget small(DescriptorBudget::kReserve +
                         40);  // 40 in total, 20 for upstream connections
  upstream = std::make_unique<Upstream>(loop, small, DefaultOptions(), this);
  upstream->SetEndpointAddress("h1", port.address());
  testing::Port other;
  upstream->SetEndpointAddress("h2", other.address());
  upstream->StartProbe("h2");
  Peer probed = other.Accept(loop);
  probed.Send(Http200("inflight=1,latency_ms=1"));
  ASSERT_TRUE(RunUntil(loop, [&] { return upstream->idle_count() == 1; }));
  std::vector<std::shared_ptr<ProxiedRequest>> requests;
  for (int i = 0; i < 20; ++i) {
    requests.push_back(StartNewAttempt("id" + std::to_string(i)));
  }
  EXPECT_TRUE(finished.empty());
  EXPECT_EQ(upstream->idle_count(), 0u);
  requests.push_back(StartNewAttempt("one more"));
  ASSERT_EQ(finished.size(), 1u);
  EXPECT_EQ(finished[0].outcome, Outcome::kNotSent);
  upstream.reset();
}

// ---- Races (docs/crossings.md) ---------------------------------------------------------------

// A connection that was established late carried the request of a client that had disconnected long
// before.
TEST_F(UpstreamTest, ConnectingAttemptEndsWhenItsClientDisconnects) {
  Upstream::Options options = DefaultOptions();
  options.connect_timeout = Ms(3000);
  MakeUpstream(options);
  UnreachableHost host(loop);
  upstream->SetEndpointAddress("h1", host.address());
  const auto request = StartNewAttempt("id1", Ms(4000));
  testing::RunFor(loop, Ms(50));
  request->Abandon();
  upstream->OnClientDisconnected(*request);
  EXPECT_TRUE(finished.size() == 1 && finished[0].outcome == Outcome::kNotSent);
  host.StartAccepting();
  Peer late;
  RunUntil(
      loop, [&] { return static_cast<bool>(late = host.TryAccept()); }, Ms(1800));
  EXPECT_FALSE(late && late.Has("POST"));
  EXPECT_EQ(finished.size(), 1u);
  EXPECT_EQ(upstream->connection_count(), 0u);
}

// Guards against a request that is sent to another process, which took the address of its host
// while the connection was being established.
TEST_F(UpstreamTest, NothingIsWrittenToAnAddressThatItsHostHasLeft) {
  Upstream::Options options = DefaultOptions();
  options.connect_timeout = Ms(3000);
  for (const bool is_moved : {true, false}) {
    finished.clear();
    MakeUpstream(options);
    UnreachableHost old_address(loop);
    upstream->SetEndpointAddress("h1", old_address.address());
    StartNewAttempt("id1", Ms(4000));
    testing::RunFor(loop, Ms(50));
    if (is_moved) {
      upstream->SetEndpointAddress("h1", port.address());
    } else {
      upstream->RemoveEndpoint("h1");
    }
    old_address.StartAccepting();
    Peer host, other_process;
    EXPECT_TRUE(RunUntil(loop, [&] {
      if (Peer peer = old_address.TryAccept()) {
        other_process = std::move(peer);
      }
      if (!host) {
        host = port.TryAccept();
      }
      if (host && host.Has("body")) {
        host.ClearReceived();
        host.Send(Http200("served"));
      }
      return finished.size() == 1 || (other_process && other_process.Has("POST"));
    }));
    EXPECT_FALSE(other_process && other_process.Has("POST")) << is_moved;
    ASSERT_EQ(finished.size(), 1u);
    EXPECT_EQ(finished[0].outcome, is_moved ? Outcome::kOk : Outcome::kNotSent);
  }
}

// The client disconnects during the write. The host is left with a part of the request, which it
// never executes.
TEST_F(UpstreamTest, PartlyWrittenRequestEndsWhenItsClientDisconnects) {
  MakeUpstream(DefaultOptions());
  const auto request = MakeLargeRequest("big");
  upstream->StartAttempt(request, request->BeginAttempt(), "h1", request->deadline());
  Peer host = port.Accept(loop);
  ASSERT_TRUE(RunUntil(loop, [&] { return host.Has("X-Call-Id: big"); }));
  request->Abandon();
  upstream->OnClientDisconnected(*request);
  ASSERT_EQ(finished.size(), 1u);
  EXPECT_EQ(finished[0].outcome, Outcome::kNotSent);
  EXPECT_LT(BytesUntilClose(loop, host), 16U << 20);
}

// A request that was written in full may be executed, so its outcome is awaited although the client
// has disconnected.
TEST_F(UpstreamTest, ResponseToAWrittenRequestIsAwaited) {
  MakeUpstream(DefaultOptions());
  const auto request = StartNewAttempt();
  Peer host = AcceptHost();
  request->Abandon();
  upstream->OnClientDisconnected(*request);
  EXPECT_TRUE(finished.empty());
  host.Send(Http200("done"));
  ASSERT_TRUE(HasFinished(1));
  EXPECT_EQ(finished[0].outcome, Outcome::kOk);
}

// The reused connection breaks when the request is already done.
TEST_F(UpstreamTest, FinishedRequestDoesNotMoveToAnotherConnection) {
  MakeUpstream(DefaultOptions());
  Peer host = ReusableConnection();
  const auto request = MakeLargeRequest("big");
  upstream->StartAttempt(request, request->BeginAttempt(), "h1", request->deadline());
  testing::RunFor(loop, Ms(30));
  request->Respond({.status = 502});
  host.Reset();
  ASSERT_TRUE(HasFinished(1));
  EXPECT_EQ(finished[0].outcome, Outcome::kNotSent);
  testing::RunFor(loop, Ms(50));
  EXPECT_FALSE(static_cast<bool>(port.TryAccept()));
}

// The connection is established and the deadline has passed when the event loop runs. Nothing may
// be written.
TEST_F(UpstreamTest, NothingIsWrittenOnAConnectionEstablishedAtTheDeadline) {
  MakeUpstream(DefaultOptions());
  const auto request = StartNewAttempt("id1", Ms(40));
  Peer host;
  while (!host) {
    host = port.TryAccept();  // established in the kernel, not yet reported to the loop
  }
  usleep(60'000);
  loop.RunOnce(Duration(0));
  ASSERT_TRUE(HasFinished(1));
  EXPECT_EQ(finished[0].outcome, Outcome::kNotSent);
  EXPECT_EQ(BytesUntilClose(loop, host), 0u);
}

// Race between the deadline and the last byte of the response: what had arrived by the deadline
// determines the outcome.
TEST_F(UpstreamTest, ResponseReceivedInTimeButReadLateIsServed) {
  MakeUpstream(DefaultOptions());
  StartNewAttempt("id1", Ms(60));
  Peer host = AcceptHost();
  host.Send(Http200("yes"));
  usleep(80'000);
  testing::RunFor(loop, Ms(50));
  ASSERT_EQ(finished.size(), 1u);
  EXPECT_EQ(finished[0].outcome, Outcome::kOk);
}

// Race between cancellation and response: there is one outcome, and no other request gets the
// response.
TEST_F(UpstreamTest, CancelBeforeTheResponseIsReadIsTheOnlyOutcome) {
  MakeUpstream(DefaultOptions());
  const auto request = StartNewAttempt();
  Peer host = AcceptHost();
  host.Send(Http200("late"));
  usleep(5000);
  upstream->CancelAttempt(*request, 0);
  StartNewAttempt("id2");
  Peer next = AcceptHost();
  next.Send(Http200("own"));
  ASSERT_TRUE(HasFinished(2));
  EXPECT_EQ(finished[0].outcome, Outcome::kCancelled);
  EXPECT_EQ(finished[1].body, "own");
}

// A response that keeps trickling is subject to the deadline of the request.
TEST_F(UpstreamTest, EndlessResponseTimesOut) {
  MakeUpstream(DefaultOptions());
  for (const char* const head :
       {"HTTP/1.1 200 OK\r\nX-Pad: ", "HTTP/1.1 200 OK\r\nContent-Length: 5000\r\n\r\n",
        "HTTP/1.1 200 OK\r\n\r\n"}) {
    finished.clear();
    const Time started_at = loop.Now();
    StartNewAttempt("id1", Ms(600));
    Peer host = AcceptHost();
    host.Send(head);
    for (int i = 0; i < 30 && finished.empty(); ++i) {
      host.Send("x");
      testing::RunFor(loop, Ms(50));
    }
    ASSERT_EQ(finished.size(), 1u) << head;
    EXPECT_EQ(finished[0].outcome, Outcome::kTimeout) << head;
    EXPECT_LT(loop.Now() - started_at, Ms(900)) << head;
    EXPECT_TRUE(RunUntil(loop, [&] { return host.Ended(); }));
  }
}

// A keyed retry starts within the deduplication window less a connect timeout. If it were written
// later, it could arrive after the hosts have forgotten its key.
TEST_F(UpstreamTest, KeyedRetryIsWrittenWithinTheConnectTimeout) {
  MakeUpstream(DefaultOptions());
  for (const size_t attempt : {0, 1}) {
    finished.clear();
    const auto request = MakeLargeRequest("big", Ms(700));
    const Time started_at = loop.Now();
    upstream->StartAttempt(request, attempt, "h1", request->deadline());
    Peer host = port.Accept(loop);
    ASSERT_TRUE(HasFinished(1));
    EXPECT_EQ(finished[0].outcome, Outcome::kConnectFailed);
    const Duration elapsed = loop.Now() - started_at;
    EXPECT_TRUE(attempt == 0 ? elapsed >= Ms(690) : elapsed < Ms(400)) << elapsed.count();
    EXPECT_LT(BytesUntilClose(loop, host), 16U << 20);
  }
  // A retry that is written in time has its full deadline.
  finished.clear();
  const auto request = MakeProxiedRequest();
  upstream->StartAttempt(request, 1, "h1", request->deadline());
  Peer host = AcceptHost();
  testing::RunFor(loop, Ms(300));
  EXPECT_TRUE(finished.empty());
  host.Send(Http200("yes"));
  ASSERT_TRUE(HasFinished(1));
  EXPECT_EQ(finished[0].outcome, Outcome::kOk);
}

// A failed connect of a keyed retry counts against its host like any other.
TEST_F(UpstreamTest, ConnectTimeoutOfAKeyedRetryCountsAgainstItsHost) {
  MakeUpstream(DefaultOptions());
  const UnreachableHost host(loop);
  upstream->SetEndpointAddress("h1", host.address());
  const auto request = MakeProxiedRequest();
  upstream->StartAttempt(request, 1, "h1", request->deadline());
  ASSERT_TRUE(HasFinished(1));
  EXPECT_EQ(finished[0].outcome, Outcome::kConnectFailed);
}

// A host responds twice, the second time some milliseconds late. On a connection that is already in
// use again, the second response would be forwarded for the next request.
TEST_F(UpstreamTest, SecondResponseIsNotUsedForTheNextRequest) {
  MakeUpstream(DefaultOptions());
  StartNewAttempt("id1");
  Peer host = AcceptHost();
  host.Send(Http200("1"));
  ASSERT_TRUE(HasFinished(1));
  StartNewAttempt("id2");
  testing::RunFor(loop, Ms(5));
  host.Send(Http200("1"));
  Peer next = AcceptHost();
  next.Send(Http200("2"));
  ASSERT_TRUE(HasFinished(2));
  EXPECT_EQ(finished[1].body, "2");
  EXPECT_TRUE(RunUntil(
      loop, [&] { return host.Ended(); }));  // responses can no longer be matched to requests
  EXPECT_FALSE(host.Has("POST /book/1?a=b HTTP/1.1\r\nHost: service\r\nX-Call-Id: id2"));
}

// The request waits until the connection has settled instead of opening another one. Meanwhile its
// client disconnects, or does not.
TEST_F(UpstreamTest, AttemptOnASettlingConnectionEndsWhenItsClientDisconnects) {
  MakeUpstream(DefaultOptions());
  StartNewAttempt("id1");
  Peer host = AcceptHost();
  for (const bool leaves : {true, false}) {
    finished.clear();
    host.Send(Http200("1"));
    ASSERT_TRUE(HasFinished(1));
    host.ClearReceived();
    finished.clear();
    const Time started_at = loop.Now();
    const auto request = StartNewAttempt("id2");
    testing::RunFor(loop, Ms(3));
    if (leaves) {
      request->Abandon();
      upstream->OnClientDisconnected(*request);
      ASSERT_EQ(finished.size(), 1u);
      EXPECT_EQ(finished[0].outcome, Outcome::kNotSent);
      testing::RunFor(loop, Ms(30));
      EXPECT_EQ(host.Received(), "");
      StartNewAttempt("id1");  // on a new connection, as the state of the first one is unknown
      host = AcceptHost();
      continue;
    }
    ASSERT_TRUE(RunUntil(loop, [&] { return host.Has("body"); }));
    EXPECT_GE(loop.Now() - started_at, Ms(9));
    EXPECT_EQ(upstream->connection_count(), 1u);
  }
}

// A success that arrives before the last byte of the request is written is not the response to this
// request.
TEST_F(UpstreamTest, SuccessBeforeTheLastByteIsWrittenIsNotSent) {
  MakeUpstream(DefaultOptions());
  Peer host = ReusableConnection();
  const auto request = MakeLargeRequest("big");
  upstream->StartAttempt(request, request->BeginAttempt(), "h1", request->deadline());
  testing::RunFor(loop, Ms(30));
  host.Send(Http200("1"));
  ASSERT_TRUE(HasFinished(1));
  EXPECT_EQ(finished[0].outcome, Outcome::kNotSent);
  EXPECT_EQ(finished[0].body, "");
  EXPECT_LT(BytesUntilClose(loop, host), 16U << 20);
  // A rejection may arrive this early.
  finished.clear();
  const auto other = MakeLargeRequest("big");
  upstream->StartAttempt(other, other->BeginAttempt(), "h1", other->deadline());
  Peer full = port.Accept(loop);
  full.Send("HTTP/1.1 503 No\r\nX-Rejected: 1\r\nContent-Length: 0\r\n\r\n");
  ASSERT_TRUE(HasFinished(1));
  EXPECT_EQ(finished[0].outcome, Outcome::kRejected);
}

// New settings shorten the idle limit. A connection that has been idle for longer is not reused,
// even before it is closed.
TEST_F(UpstreamTest, ConnectionIdlePastAChangedLimitIsNotReused) {
  MakeUpstream(DefaultOptions());
  Peer host = ReusableConnection();
  testing::RunFor(loop, Ms(100));
  Upstream::Options options = DefaultOptions();
  options.endpoint_idle_timeout = Ms(100);
  upstream->set_options(options);
  StartNewAttempt("id2");
  Peer next = AcceptHost();
  EXPECT_FALSE(host.Has("body"));
  next.Send(Http200("2"));
  ASSERT_TRUE(HasFinished(1));
  EXPECT_EQ(finished[0].outcome, Outcome::kOk);
}

// A host leaves the list and returns with the same id at another address. Nothing new is sent to
// the old address, and transactions there end as usual.
TEST_F(UpstreamTest, HostThatReturnsAtAnotherAddressIsUsedAtThatAddress) {
  MakeUpstream(DefaultOptions());
  Peer kept = ReusableConnection();
  StartNewAttempt("out");
  ASSERT_TRUE(RunUntil(loop, [&] { return kept.Has("body"); }));
  upstream->RemoveEndpoint("h1");
  testing::Port elsewhere;
  upstream->SetEndpointAddress("h1", elsewhere.address());
  kept.Send(Http200("old"));
  ASSERT_TRUE(HasFinished(1));
  EXPECT_EQ(finished[0].body, "old");
  WaitUntilSettled();
  StartNewAttempt("new");
  Peer host = elsewhere.Accept(loop);
  ASSERT_TRUE(RunUntil(loop, [&] { return host.Has("body"); }));
  EXPECT_TRUE(kept.Ended());
  host.Send(Http200("new"));
  ASSERT_TRUE(HasFinished(2));
  EXPECT_EQ(finished[1].body, "new");
}

}  // namespace
}  // namespace paddlestile
