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

using testing::CutOff;
using testing::Http200;
using testing::Ms;
using testing::Peer;
using testing::RunUntil;

BufferedMessage MakeRequest(const std::string& text) {
  BufferedMessage held;
  HttpParser parser(HttpParser::Kind::kRequest);
  held.bytes.Append(text);
  EXPECT_EQ(parser.Feed(held.bytes), ParseProgress::kDone);
  held.message = parser.message();
  return held;
}

const std::string kPost =
    "POST /book/1?a=b HTTP/1.1\r\nHost: service\r\nX-Call-Id: id1\r\nX-Budget-Ms: 900\r\n"
    "Idempotency-Key: k\r\nConnection: keep-alive, X-Hop\r\nX-Hop: 1\r\nContent-Length: 4\r\n\r\n"
    "body";

class ServersTest : public ::testing::Test, public Upstream::Listener {
 protected:
  struct End {
    std::string id;
    size_t attempt = 0;
    Outcome outcome = Outcome::kOk;
    std::optional<LoadReport> report;
    std::string body;
  };

  void OnAttemptFinished(const std::shared_ptr<ProxiedRequest>& exchange, size_t attempt,
                         const std::string&, Outcome outcome, Duration,
                         std::optional<LoadReport> report,
                         std::shared_ptr<const BufferedMessage> from) override {
    ends.push_back({exchange->id(), attempt, outcome, std::move(report),
                    from ? std::string(from->body()) : std::string()});
  }
  void OnResponseStarted(const std::shared_ptr<ProxiedRequest>&, size_t, const std::string&,
                         Duration) override {
    ++established;
  }
  void OnProbeFinished(const std::string&, Outcome outcome, Duration,
                       std::optional<LoadReport> report) override {
    probes.emplace_back(outcome, std::move(report));
  }
  bool OnDescriptorsExhausted() override { return servers->CloseOneIdle(); }

  void Make(Upstream::Options options) {
    servers = std::make_unique<Upstream>(loop, budget, std::move(options), this);
    servers->SetEndpointAddress("h1", port.address());
  }
  Upstream::Options Plain() {
    Upstream::Options options;
    options.connect_timeout = Ms(100);
    options.endpoint_idle_timeout = Ms(60000);
    options.report_fields = {"inflight", "latency_ms"};
    options.reports_in_probes = true;
    return options;
  }
  std::shared_ptr<ProxiedRequest> Request(const std::string& id = "id1", Duration time = Ms(2000)) {
    return std::make_shared<ProxiedRequest>(id, MakeRequest(kPost), loop.Now() + time, cls,
                                            [](const Response&) {});
  }
  std::shared_ptr<ProxiedRequest> Send(const std::string& id = "id1", Duration time = Ms(2000)) {
    auto exchange = Request(id, time);
    servers->StartAttempt(exchange, exchange->BeginAttempt(), "h1", exchange->deadline());
    return exchange;
  }
  // Takes the host's end of the next connection and reads the request on it.
  Peer Host() {
    Peer host = port.Take(loop);
    EXPECT_TRUE(RunUntil(loop, [&] { return host.Has("body"); }));
    return host;
  }
  bool Ended(size_t count) {
    return RunUntil(loop, [&] { return ends.size() >= count; });
  }
  // Until a connection that has just answered may be used again.
  void Rest() { testing::RunFor(loop, Ms(25)); }
  // The answer to a first request, on a connection that is kept for the next.
  Peer Kept() {
    Send("first");
    Peer host = Host();
    host.Say(Http200("1"));
    EXPECT_TRUE(Ended(1));
    host.Forget();
    ends.clear();
    Rest();
    return host;
  }
  // A request that no socket takes at once.
  std::shared_ptr<ProxiedRequest> Big(const std::string& id, Duration time = Ms(2000)) {
    const std::string head = "POST /book HTTP/1.1\r\nX-Call-Id: big\r\n\r\n";
    BufferedMessage request;
    request.bytes.Append(head + std::string(16 << 20, 'x'));
    request.message = MakeRequest(head).message;
    request.message.body = {head.size(), 16 << 20};
    return std::make_shared<ProxiedRequest>(id, std::move(request), loop.Now() + time, cls,
                                            [](const Response&) {});
  }
  // All that a host gets until its gateway's side ends, counted: bodies of what was sent whole.
  static size_t AllOf(EventLoop& loop, Peer& host) {
    EXPECT_TRUE(RunUntil(loop, [&] { return host.Ended(); }));
    return host.Heard().size();
  }

  EventLoop loop;
  DescriptorBudget budget{1024};
  std::shared_ptr<RequestClass> cls =
      std::make_shared<RequestClass>(paddlestile::testing::MakeClass(Idempotency::kKeyed));
  testing::Port port;
  std::vector<End> ends;
  std::vector<std::pair<Outcome, std::optional<LoadReport>>> probes;
  int established = 0;
  std::unique_ptr<Upstream> servers;
};

TEST_F(ServersTest, SendsTheRequestOnUnchangedButForItsTime) {
  Make(Plain());
  Send();
  Peer host = Host();
  const std::string& text = host.Heard();
  EXPECT_EQ(text.substr(0, 27), "POST /book/1?a=b HTTP/1.1\r\n");
  EXPECT_NE(text.find("X-Call-Id: id1\r\n"), std::string::npos);
  EXPECT_NE(text.find("Idempotency-Key: k\r\n"), std::string::npos);
  EXPECT_NE(text.find("Content-Length: 4\r\n"), std::string::npos);
  EXPECT_EQ(text.find("X-Budget-Ms: 900"), std::string::npos);
  EXPECT_NE(text.find("X-Budget-Ms: 1"), std::string::npos);  // what is left of 2000
  EXPECT_EQ(text.find("X-Hop"), std::string::npos);
  EXPECT_EQ(text.substr(text.size() - 8), "\r\n\r\nbody");
}

TEST_F(ServersTest, EachAnswerHasItsOutcome) {
  Make(Plain());
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
      {"HTTP/1.1 200 OK\r\nContent-Length: 70000\r\n\r\n", Outcome::kInvalidResponse},
      {"HTTP/1.1 200 OK\r\nContent-Length: 3000000000\r\n\r\nyes", Outcome::kInvalidResponse},
      {"HTTP/1.1 200 OK\r\nContent-Length: 3\r\nContent-Length: 9\r\n\r\nyes",
       Outcome::kInvalidResponse},
      {"HTTP/1.1 200 OK\r\nX-Pad: " + std::string(20000, 'p'), Outcome::kInvalidResponse},
      {"HTTP/1.1 103 Early\r\nLink: </a>\r\n\r\nHTTP/1.1 102 On it\r\n\r\n" + Http200("yes"),
       Outcome::kOk},
      {"ICY 200 OK\r\nContent-Length: 3\r\n\r\nyes", Outcome::kInvalidResponse},
      {"garbage\r\n\r\n", Outcome::kInvalidResponse},
  };
  for (const auto& [answer, outcome] : cases) {
    ends.clear();
    Send();
    Peer host = Host();
    host.Say(answer);
    ASSERT_TRUE(Ended(1)) << answer;
    EXPECT_EQ(ends[0].outcome, outcome) << answer;
    EXPECT_EQ(ends[0].body, outcome == Outcome::kOk ? "yes" : "") << answer;
    while (servers->CloseOneIdle()) {
    }
  }
}

// Waiting for the end of an answer that stopped in the middle would cost the next attempt its time.
TEST_F(ServersTest, AnAnswerThatStopsInTheMiddleIsGivenUp) {
  Make(Plain());
  for (const char* const part :
       {"HTTP/1.1 200 OK\r\nContent-Le", "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nyes"}) {
    ends.clear();
    Send("id1", Ms(4000));
    Peer host = Host();
    testing::RunFor(loop, Ms(800));  // until the first byte it has all its time
    EXPECT_TRUE(ends.empty());
    const Time began = loop.Now();
    host.Say(part);
    ASSERT_TRUE(Ended(1));
    EXPECT_EQ(ends[0].outcome, Outcome::kInvalidResponse);
    EXPECT_LT(loop.Now() - began, Ms(1500));
    EXPECT_TRUE(RunUntil(loop, [&] { return host.Ended(); }));
  }
}

// Cut anywhere, an answer is a reset and nothing of it is served.
TEST_F(ServersTest, AnAnswerCutShortIsAReset) {
  Make(Plain());
  const std::string answer = Http200("hello", "X-A: b\r\n");
  for (size_t size = 0; size < answer.size(); ++size) {
    ends.clear();
    Send();
    Peer host = Host();
    host.Say(answer.substr(0, size));
    if (size % 2 == 0) {
      host.Close();
    } else {
      host.Reset();
    }
    ASSERT_TRUE(Ended(1)) << size;
    EXPECT_EQ(ends[0].outcome, Outcome::kReset) << size;
    EXPECT_EQ(ends[0].body, "");
  }
}

TEST_F(ServersTest, AnAnswerAByteAtATimeIsServedWhole) {
  Make(Plain());
  Send();
  Peer host = Host();
  for (const char c : Http200("hello")) {
    EXPECT_TRUE(ends.empty());
    host.Say(std::string(1, c));
    loop.RunOnce(Duration(0));
  }
  ASSERT_TRUE(Ended(1));
  EXPECT_EQ(ends[0].body, "hello");
}

// The last bytes and the close may come together.
TEST_F(ServersTest, AWholeAnswerCountsThoughTheHostClosesAtOnce) {
  Make(Plain());
  Send();
  Peer host = Host();
  host.Say(Http200("hello"));
  host.Close();
  ASSERT_TRUE(Ended(1));
  EXPECT_EQ(ends[0].outcome, Outcome::kOk);
  EXPECT_EQ(servers->idle_count(), 0u);
}

TEST_F(ServersTest, RefusedConnectionsNeverRan) {
  Make(Plain());
  port.Close();
  Send();
  ASSERT_TRUE(Ended(1));
  EXPECT_EQ(ends[0].outcome, Outcome::kConnectFailed);
}

TEST_F(ServersTest, ConnectionsThatNeverComeUpEndByTheSettingsTimeOut) {
  Make(Plain());
  const CutOff host(loop);
  servers->SetEndpointAddress("h1", host.address());
  const Time begun = loop.Now();
  Send();
  ASSERT_TRUE(Ended(1));
  EXPECT_EQ(ends[0].outcome, Outcome::kConnectFailed);
  EXPECT_GE(loop.Now() - begun, Ms(100));
  EXPECT_LT(loop.Now() - begun, Ms(1000));
}

// The deadline came before the host had its time to connect: no evidence against it.
TEST_F(ServersTest, ADeadlineWhileConnectingBlamesNobody) {
  Make(Plain());
  const CutOff host(loop);
  servers->SetEndpointAddress("h1", host.address());
  Send("id1", Ms(40));
  ASSERT_TRUE(Ended(1));
  EXPECT_EQ(ends[0].outcome, Outcome::kNotSent);
}

TEST_F(ServersTest, SilenceEndsAtTheDeadlineAndClosesTheConnection) {
  Make(Plain());
  const Time begun = loop.Now();
  Send("id1", Ms(60));
  Peer host = Host();
  ASSERT_TRUE(Ended(1));
  EXPECT_EQ(ends[0].outcome, Outcome::kTimeout);
  EXPECT_GE(loop.Now() - begun, Ms(60));
  EXPECT_TRUE(RunUntil(loop, [&] { return host.Ended(); }));
}

TEST_F(ServersTest, ASendWithNoTimeLeftOrNoKnownHostIsNotTransmitted) {
  Make(Plain());
  Send("id1", Ms(0));
  auto exchange = Request("id2");
  servers->StartAttempt(exchange, exchange->BeginAttempt(), "nobody", exchange->deadline());
  ASSERT_EQ(ends.size(), 2u);
  EXPECT_EQ(ends[0].outcome, Outcome::kNotSent);
  EXPECT_EQ(ends[1].outcome, Outcome::kNotSent);
  EXPECT_EQ(servers->connection_count(), 0u);
}

// The trouble: hosts hold few connections, and a thousand gateways met each of them.
TEST_F(ServersTest, IdleConnectionsToAHostAreClosedAndThoseAtWorkStay) {
  Make(Plain());
  Send("id1");
  Peer first = Host();
  Send("id2");
  Peer second = Host();
  first.Say(testing::Http200("ok"));
  ASSERT_TRUE(Ended(1));
  EXPECT_EQ(servers->idle_count(), 1u);
  servers->CloseIdleConnections("h1");
  servers->CloseIdleConnections("nobody");
  EXPECT_EQ(servers->idle_count(), 0u);
  EXPECT_TRUE(RunUntil(loop, [&] { return first.Ended(); }));
  second.Say(testing::Http200("ok"));
  ASSERT_TRUE(Ended(2));
  EXPECT_EQ(ends[1].outcome, Outcome::kOk);
}

TEST_F(ServersTest, ACancelClosesAndIsTheOnlyOutcome) {
  Make(Plain());
  const auto exchange = Send();
  Peer host = Host();
  servers->CancelAttempt(*exchange, 0);
  ASSERT_TRUE(Ended(1));
  EXPECT_EQ(ends[0].outcome, Outcome::kCancelled);
  EXPECT_TRUE(RunUntil(loop, [&] { return host.Ended(); }));
  host.Say(Http200("late"));
  servers->CancelAttempt(*exchange, 0);
  testing::RunFor(loop, Ms(20));
  EXPECT_EQ(ends.size(), 1u);
}

// Where the settings allow second copies: each attempt has its outcome, and the first 200 is the
// only answer.
TEST_F(ServersTest, TwoAttemptsOfOneRequestEndEachForItself) {
  Make(Plain());
  testing::Port other;
  servers->SetEndpointAddress("h2", other.address());
  const auto exchange = Send();
  servers->StartAttempt(exchange, exchange->BeginAttempt(), "h2", exchange->deadline());
  Peer one = Host();
  Peer two = other.Take(loop);
  ASSERT_TRUE(RunUntil(loop, [&] { return two.Has("body"); }));
  two.Say(Http200("second"));
  ASSERT_TRUE(Ended(1));
  EXPECT_EQ(ends[0].attempt, 1u);
  EXPECT_TRUE(exchange->Respond({.status = 200}));
  one.Say(Http200("first"));
  ASSERT_TRUE(Ended(2));
  EXPECT_EQ(ends[1].attempt, 0u);
  EXPECT_EQ(ends[1].outcome, Outcome::kOk);
  EXPECT_FALSE(exchange->Respond({.status = 200}));
}

TEST_F(ServersTest, KeepsAConnectionForTheNextRequest) {
  Make(Plain());
  Send("id1");
  Peer host = Host();
  host.Say(Http200("1"));
  ASSERT_TRUE(Ended(1));
  host.Forget();
  Send("id2");
  ASSERT_TRUE(RunUntil(loop, [&] { return host.Has("body"); }));
  host.Say(Http200("2"));
  ASSERT_TRUE(Ended(2));
  EXPECT_EQ(ends[1].body, "2");
  EXPECT_EQ(servers->connection_count(), 1u);
}

TEST_F(ServersTest, OneRequestAtATimeOnAConnection) {
  Make(Plain());
  Send("id1");
  Send("id2");
  Peer one = Host(), two = Host();
  EXPECT_EQ(servers->connection_count(), 2u);
}

// The close has reached the kernel but not yet the loop: writing there would end as a reset.
TEST_F(ServersTest, LooksForTheEndBeforeUsingAConnectionAgain) {
  Make(Plain());
  Send("id1");
  Peer host = Host();
  host.Say(Http200("1"));
  ASSERT_TRUE(Ended(1));
  ASSERT_EQ(servers->idle_count(), 1u);
  host.Close();
  Send("id2");  // before the loop has run
  Peer next = Host();
  next.Say(Http200("2"));
  ASSERT_TRUE(Ended(2));
  EXPECT_EQ(ends[1].outcome, Outcome::kOk);
}

TEST_F(ServersTest, BytesOnAnIdleConnectionEndIt) {
  Make(Plain());
  Send("id1");
  Peer host = Host();
  host.Say(Http200("1"));
  ASSERT_TRUE(Ended(1));
  host.Say(Http200("nobody asked"));
  EXPECT_TRUE(RunUntil(loop, [&] { return servers->connection_count() == 0; }));
}

TEST_F(ServersTest, BytesBehindAnAnswerEndTheConnection) {
  Make(Plain());
  Send("id1");
  Peer host = Host();
  host.Say(Http200("1") + "more");
  ASSERT_TRUE(Ended(1));
  EXPECT_EQ(ends[0].outcome, Outcome::kOk);
  EXPECT_EQ(servers->connection_count(), 0u);
}

TEST_F(ServersTest, ClosesIdleConnectionsBeforeTheHostDoes) {
  Upstream::Options options = Plain();
  options.endpoint_idle_timeout = Ms(2500);
  Make(options);
  Send("id1");
  Peer host = Host();
  host.Say(Http200("1"));
  ASSERT_TRUE(Ended(1));
  const Time since = loop.Now();
  ASSERT_TRUE(RunUntil(loop, [&] { return host.Ended(); }));
  EXPECT_LT(loop.Now() - since, Ms(2500));
}

TEST_F(ServersTest, AChangedAddressMeansNewConnections) {
  Make(Plain());
  Send("id1");
  Send("id2");
  Peer one = Host(), two = Host();
  one.Say(Http200("1"));
  ASSERT_TRUE(Ended(1));
  testing::Port moved;
  servers->SetEndpointAddress("h1", moved.address());
  EXPECT_TRUE(RunUntil(loop, [&] { return one.Ended(); }));  // it was idle
  two.Say(Http200("2"));  // what was out goes on, but is not kept
  ASSERT_TRUE(Ended(2));
  EXPECT_EQ(ends[1].outcome, Outcome::kOk);
  EXPECT_EQ(servers->idle_count(), 0u);
  Send("id3");
  EXPECT_TRUE(moved.Take(loop));
}

TEST_F(ServersTest, AHostThatLeftIsForgottenOnceItsWorkIsDone) {
  Make(Plain());
  Send("id1");
  Peer host = Host();
  servers->RemoveEndpoint("h1");
  host.Say(Http200("1"));
  ASSERT_TRUE(Ended(1));
  EXPECT_EQ(ends[0].outcome, Outcome::kOk);
  EXPECT_EQ(servers->connection_count(), 0u);
  loop.RunOnce(Duration(0));
  EXPECT_EQ(servers->host_count(), 0u);
}

TEST_F(ServersTest, ARequestNotWrittenWholeNeverRan) {
  Make(Plain());
  // A body that no socket takes at once, to a host that reads nothing.
  std::string head = "POST /book HTTP/1.1\r\nX-Call-Id: big\r\n\r\n";
  BufferedMessage request;
  request.bytes.Append(head + std::string(16 << 20, 'x'));
  request.message = MakeRequest(head).message;
  request.message.body = {head.size(), 16 << 20};
  auto exchange = std::make_shared<ProxiedRequest>("big", std::move(request), loop.Now() + Ms(300),
                                                   cls, [](const Response&) {});
  servers->StartAttempt(exchange, exchange->BeginAttempt(), "h1", exchange->deadline());
  Peer host = port.Take(loop);
  testing::RunFor(loop, Ms(50));
  host.Reset();
  ASSERT_TRUE(Ended(1));
  EXPECT_EQ(ends[0].outcome, Outcome::kNotSent);  // which shows no host at fault
}

// Another host has taken over the address of one that is gone: nothing of that one serves it.
TEST_F(ServersTest, ANewIdAtAnOldAddressHasItsOwnConnections) {
  Make(Plain());
  Send("id1");
  Peer host = Host();
  host.Say(Http200("1"));
  ASSERT_TRUE(Ended(1));
  servers->RemoveEndpoint("h1");
  servers->SetEndpointAddress("h2", port.address());
  const auto exchange = Request("id2");
  servers->StartAttempt(exchange, exchange->BeginAttempt(), "h2", exchange->deadline());
  Peer next = Host();
  EXPECT_TRUE(next.Has("body"));
  EXPECT_TRUE(RunUntil(loop, [&] { return host.Ended(); }));
}

// Hosts are replaced all day: nothing is kept of those that are gone.
TEST_F(ServersTest, ThousandsOfHostsThatCameAndWentLeaveNothing) {
  Make(Plain());
  for (int i = 0; i < 5000; ++i) {
    servers->SetEndpointAddress("n" + std::to_string(i), port.address());
    servers->RemoveEndpoint("n" + std::to_string(i));
    if (i % 100 == 0)
      loop.RunOnce(Duration(0));
  }
  loop.RunOnce(Duration(0));
  EXPECT_EQ(servers->host_count(), 1u);
}

// A kept connection that breaks under a send says nothing of the host: the same send goes on.
TEST_F(ServersTest, WhatAKeptConnectionDidNotTakeGoesOnAnother) {
  Make(Plain());
  Peer host = Kept();
  const auto exchange = Big("big");
  servers->StartAttempt(exchange, exchange->BeginAttempt(), "h1", exchange->deadline());
  testing::RunFor(loop, Ms(30));
  host.Reset();
  Peer next = port.Take(loop);
  ASSERT_TRUE(RunUntil(loop, [&] { return next.Has("X-Call-Id: big"); }));
  EXPECT_TRUE(ends.empty());
  ASSERT_TRUE(RunUntil(loop, [&] { return next.Heard().size() > 16 << 20; }));
  next.Say(Http200("2"));
  ASSERT_TRUE(Ended(1));
  EXPECT_EQ(ends[0].outcome, Outcome::kOk);
}

// Something on the way forgets connections that idle: those of an age that breaks are passed over.
TEST_F(ServersTest, IdleConnectionsOfAnAgeThatBreaksAreNotUsedAgain) {
  Make(Plain());
  const auto idle_then_send = [&](Peer& host) {
    Send();
    host = Host();
    host.Say(Http200("1"));
    ASSERT_TRUE(Ended(1));
    host.Forget();
    testing::RunFor(loop, Ms(80));
    ends.clear();
    Send();
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
      ASSERT_TRUE(Ended(1));
      EXPECT_EQ(ends[0].outcome, Outcome::kReset);
    } else {
      next = Host();
      next.Say(Http200("2"));
      ASSERT_TRUE(Ended(1));
      EXPECT_EQ(ends[0].outcome, Outcome::kOk);
    }
    ends.clear();
  }
  EXPECT_GE(broken, 5);
  EXPECT_LT(broken, 10);
  // One that has hardly idled is still used.
  next.Forget();
  Send();
  EXPECT_TRUE(RunUntil(loop, [&] { return next.Has("body"); }));
}

TEST_F(ServersTest, ProbesAskForTheReport) {
  Make(Plain());
  servers->StartProbe("h1");
  Peer host = port.Take(loop);
  ASSERT_TRUE(RunUntil(loop, [&] { return host.Has("GET /_load HTTP/1.1\r\n"); }));
  host.Say(Http200("latency_ms=2.5,new=1,inflight=7"));
  ASSERT_TRUE(RunUntil(loop, [&] { return probes.size() == 1; }));
  EXPECT_EQ(probes[0].first, Outcome::kOk);
  EXPECT_EQ(probes[0].second, (LoadReport{7, 2.5}));
  EXPECT_EQ(servers->idle_count(), 1u);
}

TEST_F(ServersTest, ProbesWithoutReportsPing) {
  Upstream::Options options = Plain();
  options.reports_in_probes = false;
  Make(options);
  servers->StartProbe("h1");
  Peer host = port.Take(loop);
  ASSERT_TRUE(RunUntil(loop, [&] { return host.Has("GET /ping HTTP/1.1\r\n"); }));
  host.Say("HTTP/1.1 503 No\r\nContent-Length: 0\r\n\r\n");
  ASSERT_TRUE(RunUntil(loop, [&] { return probes.size() == 1; }));
  EXPECT_NE(probes[0].first, Outcome::kOk);
  EXPECT_FALSE(probes[0].second);
}

TEST_F(ServersTest, ASilentProbeTimesOut) {
  Make(Plain());
  servers->StartProbe("h1");
  Peer host = port.Take(loop);
  ASSERT_TRUE(RunUntil(loop, [&] { return probes.size() == 1; }));
  EXPECT_EQ(probes[0].first, Outcome::kTimeout);
}

TEST_F(ServersTest, ReportsComeOnAnswersWhereTheSettingsSaySo) {
  Upstream::Options options = Plain();
  options.reports_in_responses = true;
  Make(options);
  const std::pair<std::string, std::optional<LoadReport>> cases[] = {
      {"X-Load-Report: inflight=3,latency_ms=9\r\n", LoadReport{3, 9}},
      {"X-Load-Report: inflight=3\r\n", std::nullopt},
      {"X-Load-Report: inflight=3,latency_ms=x\r\n", std::nullopt},
      {"X-Load-Report: inflight=3,latency_ms=inf\r\n", std::nullopt},
      {"X-Load-Report: inflight\r\n", std::nullopt},
      {"X-Load-Report:\r\n", std::nullopt},
      {"", std::nullopt}};
  Send();
  Peer host = Host();
  for (const auto& [header, report] : cases) {
    ends.clear();
    host.Say(Http200("ok", header));
    ASSERT_TRUE(Ended(1));
    EXPECT_EQ(ends[0].outcome, Outcome::kOk) << header;
    EXPECT_EQ(ends[0].report, report) << header;
    host.Forget();
    Send();
    ASSERT_TRUE(RunUntil(loop, [&] { return host.Has("body"); }));
  }
}

TEST_F(ServersTest, ReportsOnAnswersAreLeftAloneElsewhere) {
  Make(Plain());
  Send();
  Peer host = Host();
  host.Say(Http200("ok", "X-Load-Report: inflight=3,latency_ms=9\r\n"));
  ASSERT_TRUE(Ended(1));
  EXPECT_FALSE(ends[0].report);
}

// A streamed answer belongs to its client once begun: no time limit ends it.
TEST_F(ServersTest, AStreamedAnswerOutlivesTheDeadline) {
  cls->is_streamed = true;
  Make(Plain());
  const auto exchange = Send("id1", Ms(60));
  Peer host = Host();
  host.Say("HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nbe");
  ASSERT_TRUE(RunUntil(loop, [&] { return established == 1; }));
  testing::RunFor(loop, Ms(100));
  EXPECT_TRUE(ends.empty());
  servers->CancelAttempt(*exchange, 0);  // is not called off
  EXPECT_TRUE(ends.empty());
  host.Say("en");
  ASSERT_TRUE(Ended(1));
  EXPECT_EQ(ends[0].body, "been");
}

TEST_F(ServersTest, AStreamedAnswerEndsWithItsClient) {
  cls->is_streamed = true;
  Make(Plain());
  const auto exchange = Send();
  Peer host = Host();
  host.Say("HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nbe");
  ASSERT_TRUE(RunUntil(loop, [&] { return established == 1; }));
  servers->OnClientDisconnected(*exchange);
  ASSERT_TRUE(Ended(1));
  EXPECT_EQ(ends[0].outcome, Outcome::kCancelled);
}

// Our own lack of descriptors says nothing of the host, and idle connections make room first.
TEST_F(ServersTest, WithoutDescriptorsNothingIsTransmitted) {
  DescriptorBudget small(DescriptorBudget::kReserve + 40);  // 40 in all, 20 for hosts
  servers = std::make_unique<Upstream>(loop, small, Plain(), this);
  servers->SetEndpointAddress("h1", port.address());
  testing::Port other;
  servers->SetEndpointAddress("h2", other.address());
  servers->StartProbe("h2");
  Peer probed = other.Take(loop);
  probed.Say(Http200("inflight=1,latency_ms=1"));
  ASSERT_TRUE(RunUntil(loop, [&] { return servers->idle_count() == 1; }));
  std::vector<std::shared_ptr<ProxiedRequest>> held;
  for (int i = 0; i < 20; ++i)
    held.push_back(Send("id" + std::to_string(i)));
  EXPECT_TRUE(ends.empty());
  EXPECT_EQ(servers->idle_count(), 0u);
  held.push_back(Send("one more"));
  ASSERT_EQ(ends.size(), 1u);
  EXPECT_EQ(ends[0].outcome, Outcome::kNotSent);
  servers.reset();
}

// ---- Where two events cross (docs/crossings.md) ----------------------------------------------

// The new term's room: a connection that comes up late carried the request of a client long gone.
TEST_F(ServersTest, WhatWaitsForItsConnectionEndsWithItsClient) {
  Upstream::Options options = Plain();
  options.connect_timeout = Ms(3000);
  Make(options);
  CutOff host(loop);
  servers->SetEndpointAddress("h1", host.address());
  const auto exchange = Send("id1", Ms(4000));
  testing::RunFor(loop, Ms(50));
  exchange->Abandon();
  servers->OnClientDisconnected(*exchange);
  EXPECT_TRUE(ends.size() == 1 && ends[0].outcome == Outcome::kNotSent);
  host.LetIn();
  Peer late;
  RunUntil(
      loop, [&] { return static_cast<bool>(late = host.TryTake()); }, Ms(1800));
  EXPECT_FALSE(late && late.Has("POST"));
  EXPECT_EQ(ends.size(), 1u);
  EXPECT_EQ(servers->connection_count(), 0u);
}

// Within the writing of its first bytes: the host is left with a part, which never runs.
TEST_F(ServersTest, WhatIsHalfWrittenEndsWithItsClient) {
  Make(Plain());
  const auto exchange = Big("big");
  servers->StartAttempt(exchange, exchange->BeginAttempt(), "h1", exchange->deadline());
  Peer host = port.Take(loop);
  ASSERT_TRUE(RunUntil(loop, [&] { return host.Has("X-Call-Id: big"); }));
  exchange->Abandon();
  servers->OnClientDisconnected(*exchange);
  ASSERT_EQ(ends.size(), 1u);
  EXPECT_EQ(ends[0].outcome, Outcome::kNotSent);
  EXPECT_LT(AllOf(loop, host), 16U << 20);
}

// What has been written whole may run: its outcome is waited for, whoever has left.
TEST_F(ServersTest, WhatIsWrittenWholeIsWaitedFor) {
  Make(Plain());
  const auto exchange = Send();
  Peer host = Host();
  exchange->Abandon();
  servers->OnClientDisconnected(*exchange);
  EXPECT_TRUE(ends.empty());
  host.Say(Http200("done"));
  ASSERT_TRUE(Ended(1));
  EXPECT_EQ(ends[0].outcome, Outcome::kOk);
}

// Between two tries on kept connections: the first breaks when the request is over already.
TEST_F(ServersTest, WhatIsOverGoesOnNoOtherConnection) {
  Make(Plain());
  Peer host = Kept();
  const auto exchange = Big("big");
  servers->StartAttempt(exchange, exchange->BeginAttempt(), "h1", exchange->deadline());
  testing::RunFor(loop, Ms(30));
  exchange->Respond({.status = 502});
  host.Reset();
  ASSERT_TRUE(Ended(1));
  EXPECT_EQ(ends[0].outcome, Outcome::kNotSent);
  testing::RunFor(loop, Ms(50));
  EXPECT_FALSE(static_cast<bool>(port.TryTake()));
}

// The connection is up and the time over when the loop looks: nothing may be written any more.
TEST_F(ServersTest, AConnectionThatComesUpAsTheTimeEndsCarriesNothing) {
  Make(Plain());
  const auto exchange = Send("id1", Ms(40));
  Peer host;
  while (!host)
    host = port.TryTake();  // up for the kernel, not yet for the loop
  usleep(60'000);
  loop.RunOnce(Duration(0));
  ASSERT_TRUE(Ended(1));
  EXPECT_EQ(ends[0].outcome, Outcome::kNotSent);
  EXPECT_EQ(AllOf(loop, host), 0u);
}

// A time-out against the answer's last byte: what had come by then is the outcome, once.
TEST_F(ServersTest, AnAnswerThatCameByItsTimeIsServedThoughTheLoopLooksLater) {
  Make(Plain());
  Send("id1", Ms(60));
  Peer host = Host();
  host.Say(Http200("yes"));
  usleep(80'000);
  testing::RunFor(loop, Ms(50));
  ASSERT_EQ(ends.size(), 1u);
  EXPECT_EQ(ends[0].outcome, Outcome::kOk);
}

// A cancel against the answer: one outcome, and the answer reaches nobody else.
TEST_F(ServersTest, ACancelBeforeTheAnswerIsReadIsItsOnlyOutcome) {
  Make(Plain());
  const auto exchange = Send();
  Peer host = Host();
  host.Say(Http200("late"));
  usleep(5000);
  servers->CancelAttempt(*exchange, 0);
  Send("id2");
  Peer next = Host();
  next.Say(Http200("own"));
  ASSERT_TRUE(Ended(2));
  EXPECT_EQ(ends[0].outcome, Outcome::kCancelled);
  EXPECT_EQ(ends[1].body, "own");
}

// An answer that drips and never ends is held to the request's time, whatever comes of it.
TEST_F(ServersTest, AnAnswerThatNeverEndsEndsWithItsTime) {
  Make(Plain());
  for (const char* const head :
       {"HTTP/1.1 200 OK\r\nX-Pad: ", "HTTP/1.1 200 OK\r\nContent-Length: 5000\r\n\r\n",
        "HTTP/1.1 200 OK\r\n\r\n"}) {
    ends.clear();
    const Time began = loop.Now();
    Send("id1", Ms(600));
    Peer host = Host();
    host.Say(head);
    for (int i = 0; i < 30 && ends.empty(); ++i) {
      host.Say("x");
      testing::RunFor(loop, Ms(50));
    }
    ASSERT_EQ(ends.size(), 1u) << head;
    EXPECT_EQ(ends[0].outcome, Outcome::kTimeout) << head;
    EXPECT_LT(loop.Now() - began, Ms(900)) << head;
    EXPECT_TRUE(RunUntil(loop, [&] { return host.Ended(); }));
  }
}

// A keyed repeat was let go within the window for the time of a connect; written after that, it
// could come when the hosts have forgotten its key.
TEST_F(ServersTest, ARepeatOfAKeyIsWrittenWithinTheTimeOfAConnect) {
  Make(Plain());
  for (const size_t attempt : {0, 1}) {
    ends.clear();
    const auto exchange = Big("big", Ms(700));
    const Time began = loop.Now();
    servers->StartAttempt(exchange, attempt, "h1", exchange->deadline());
    Peer host = port.Take(loop);
    ASSERT_TRUE(Ended(1));
    EXPECT_EQ(ends[0].outcome, Outcome::kConnectFailed);
    const Duration took = loop.Now() - began;
    EXPECT_TRUE(attempt == 0 ? took >= Ms(690) : took < Ms(400)) << took.count();
    EXPECT_LT(AllOf(loop, host), 16U << 20);
  }
  // One that is written in time has all of its own.
  ends.clear();
  const auto exchange = Request();
  servers->StartAttempt(exchange, 1, "h1", exchange->deadline());
  Peer host = Host();
  testing::RunFor(loop, Ms(300));
  EXPECT_TRUE(ends.empty());
  host.Say(Http200("yes"));
  ASSERT_TRUE(Ended(1));
  EXPECT_EQ(ends[0].outcome, Outcome::kOk);
}

// A connect that fails a keyed repeat tells of its host as any other does.
TEST_F(ServersTest, ARepeatOfAKeyWhoseConnectionNeverComesUpBlamesItsHost) {
  Make(Plain());
  const CutOff host(loop);
  servers->SetEndpointAddress("h1", host.address());
  const auto exchange = Request();
  servers->StartAttempt(exchange, 1, "h1", exchange->deadline());
  ASSERT_TRUE(Ended(1));
  EXPECT_EQ(ends[0].outcome, Outcome::kConnectFailed);
}

// A host that answers twice, the second time some milliseconds late: on a connection used again by
// then the second would be served for the next request.
TEST_F(ServersTest, ASecondAnswerIsNobodyElses) {
  Make(Plain());
  Send("id1");
  Peer host = Host();
  host.Say(Http200("1"));
  ASSERT_TRUE(Ended(1));
  Send("id2");
  testing::RunFor(loop, Ms(5));
  host.Say(Http200("1"));
  Peer next = Host();
  next.Say(Http200("2"));
  ASSERT_TRUE(Ended(2));
  EXPECT_EQ(ends[1].body, "2");
  EXPECT_TRUE(RunUntil(loop, [&] { return host.Ended(); }));  // out of step
  EXPECT_FALSE(host.Has("POST /book/1?a=b HTTP/1.1\r\nHost: service\r\nX-Call-Id: id2"));
}

// It waits for the connection's rest rather than for another connection; its client leaves there,
// or it stays.
TEST_F(ServersTest, WhatWaitsForARestEndsWithItsClient) {
  Make(Plain());
  Send("id1");
  Peer host = Host();
  for (const bool leaves : {true, false}) {
    ends.clear();
    host.Say(Http200("1"));
    ASSERT_TRUE(Ended(1));
    host.Forget();
    ends.clear();
    const Time began = loop.Now();
    const auto exchange = Send("id2");
    testing::RunFor(loop, Ms(3));
    if (leaves) {
      exchange->Abandon();
      servers->OnClientDisconnected(*exchange);
      ASSERT_EQ(ends.size(), 1u);
      EXPECT_EQ(ends[0].outcome, Outcome::kNotSent);
      testing::RunFor(loop, Ms(30));
      EXPECT_EQ(host.Heard(), "");
      Send("id1");  // on another, the first of which nobody knows what it got
      host = Host();
      continue;
    }
    ASSERT_TRUE(RunUntil(loop, [&] { return host.Has("body"); }));
    EXPECT_GE(loop.Now() - began, Ms(9));
    EXPECT_EQ(servers->connection_count(), 1u);
  }
}

// An answer before the request's last byte is written is no answer to it.
TEST_F(ServersTest, AnAnswerBeforeTheLastByteIsWrittenAnswersNothing) {
  Make(Plain());
  Peer host = Kept();
  const auto exchange = Big("big");
  servers->StartAttempt(exchange, exchange->BeginAttempt(), "h1", exchange->deadline());
  testing::RunFor(loop, Ms(30));
  host.Say(Http200("1"));
  ASSERT_TRUE(Ended(1));
  EXPECT_EQ(ends[0].outcome, Outcome::kNotSent);
  EXPECT_EQ(ends[0].body, "");
  EXPECT_LT(AllOf(loop, host), 16U << 20);
  // Being turned away may come as early.
  ends.clear();
  const auto other = Big("big");
  servers->StartAttempt(other, other->BeginAttempt(), "h1", other->deadline());
  Peer full = port.Take(loop);
  full.Say("HTTP/1.1 503 No\r\nX-Rejected: 1\r\nContent-Length: 0\r\n\r\n");
  ASSERT_TRUE(Ended(1));
  EXPECT_EQ(ends[0].outcome, Outcome::kRejected);
}

// New settings with a shorter time to idle: what has idled past it is not used before it is closed.
TEST_F(ServersTest, WhatIdledPastANewTimeIsNotUsed) {
  Make(Plain());
  Peer host = Kept();
  testing::RunFor(loop, Ms(100));
  Upstream::Options options = Plain();
  options.endpoint_idle_timeout = Ms(100);
  servers->set_options(options);
  Send("id2");
  Peer next = Host();
  EXPECT_FALSE(host.Has("body"));
  next.Say(Http200("2"));
  ASSERT_TRUE(Ended(1));
  EXPECT_EQ(ends[0].outcome, Outcome::kOk);
}

// It leaves the list and returns under its id at another address: nothing goes to the old one, and
// what was out there ends as it would have.
TEST_F(ServersTest, AHostThatReturnsElsewhereIsAskedThere) {
  Make(Plain());
  Peer kept = Kept();
  Send("out");
  ASSERT_TRUE(RunUntil(loop, [&] { return kept.Has("body"); }));
  servers->RemoveEndpoint("h1");
  testing::Port elsewhere;
  servers->SetEndpointAddress("h1", elsewhere.address());
  kept.Say(Http200("old"));
  ASSERT_TRUE(Ended(1));
  EXPECT_EQ(ends[0].body, "old");
  Rest();
  Send("new");
  Peer host = elsewhere.Take(loop);
  ASSERT_TRUE(RunUntil(loop, [&] { return host.Has("body"); }));
  EXPECT_TRUE(kept.Ended());
  host.Say(Http200("new"));
  ASSERT_TRUE(Ended(2));
  EXPECT_EQ(ends[1].body, "new");
}

}  // namespace
}  // namespace paddlestile
