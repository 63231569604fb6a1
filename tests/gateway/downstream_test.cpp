#include "gateway/downstream.h"

#include <gtest/gtest.h>
#include <sys/resource.h>
#include <unistd.h>

#include <memory>
#include <string>
#include <vector>

#include "base/metrics.h"
#include "gateway/downstream_fixture.h"
#include "gateway/test_peers.h"

namespace paddlestile {
namespace {

using testing::Ms;
using testing::Peer;
using testing::RunFor;
using testing::RunUntil;

using testing::DownstreamTest;
using testing::Get;

TEST_F(DownstreamTest, HealthCheckNeedsNoLoadBalancer) {
  Peer peer = Dial();
  peer.Send("GET /_health HTTP/1.1\r\n\r\n");
  EXPECT_TRUE(Receives(peer, "HTTP/1.1 200 OK\r\n"));
  EXPECT_TRUE(requests.empty());
}

TEST_F(DownstreamTest, PassesOnTheUpstreamResponse) {
  Peer peer = Dial();
  peer.Send(Get("a"));
  ASSERT_TRUE(HasRequests(1));
  requests[0]->Respond({.status = 200,
                        .upstream_message = UpstreamResponse(
                            "HTTP/1.1 200 OK\r\nContent-Type: t\r\nConnection: close\r\n"
                            "X-Load-Report: inflight=1\r\nTransfer-Encoding: chunked\r\n\r\n"
                            "4\r\nbody\r\n0\r\n\r\n")});
  ASSERT_TRUE(Receives(peer, "body"));
  EXPECT_EQ(peer.Received(), "HTTP/1.1 200 OK\r\nContent-Type: t\r\nContent-Length: 4\r\n\r\nbody");
}

TEST_F(DownstreamTest, RejectionsCarryRetryAfter) {
  Peer peer = Dial();
  peer.Send(Get("a"));
  ASSERT_TRUE(HasRequests(1));
  requests[0]->Respond({.status = 503, .retry_after = Ms(75)});
  ASSERT_TRUE(Receives(peer, "\r\n\r\n"));
  EXPECT_EQ(peer.Received(),
            "HTTP/1.1 503 Service Unavailable\r\nRetry-After: 0.075\r\nContent-Length: 0\r\n\r\n");
}

TEST_F(DownstreamTest, RequestAByteAtATimeIsAdmittedWithItsLastByte) {
  Peer peer = Dial();
  const std::string text = Get("a");
  for (const char c : text) {
    EXPECT_TRUE(requests.empty());
    peer.Send(std::string(1, c));
    loop.RunOnce(Duration(0));
  }
  EXPECT_TRUE(HasRequests(1));
}

TEST_F(DownstreamTest, PipelinedRequestWaitsForItsTurn) {
  Peer peer = Dial();
  peer.Send(Get("a") + Get("b") + Get("c"));
  ASSERT_TRUE(HasRequests(1));
  RunFor(loop, Ms(20));
  EXPECT_EQ(requests.size(), 1u);
  requests[0]->Respond({.status = 502});
  ASSERT_TRUE(HasRequests(2));
  EXPECT_EQ(requests[1]->id(), "b");
  requests[1]->Respond({.status = 502});
  ASSERT_TRUE(HasRequests(3));
  requests[2]->Respond({.status = 502});
  RunFor(loop, Ms(10));
  EXPECT_EQ(downstream->connection_count(), 1u);
}

TEST_F(DownstreamTest, LostFramingIsRejectedAndTheConnectionCloses) {
  const std::pair<std::string, std::string> cases[] = {
      {"GET /read HTTP/1.1\nX: y\n\n", "HTTP/1.1 400 "},
      {"POST /read HTTP/1.1\r\nContent-Length: 60000000\r\n\r\n", "HTTP/1.1 413 "},
      {"GET /" + std::string(20000, 'a'), "HTTP/1.1 431 "},
      {"POST /read HTTP/1.1\r\nTransfer-Encoding: gzip\r\n\r\n", "HTTP/1.1 501 "}};
  for (const auto& [text, start] : cases) {
    Peer peer = Dial();
    peer.Send(text);
    ASSERT_TRUE(RunUntil(loop, [&] { return peer.Ended(); })) << text.substr(0, 60);
    EXPECT_EQ(peer.Received().substr(0, start.size()), start);
    EXPECT_TRUE(peer.Has("Connection: close\r\n"));
  }
  EXPECT_TRUE(requests.empty());
}

// A close with bytes unread would reset the connection, and the response with it.
TEST_F(DownstreamTest, RejectionOfAnOversizedBodyArrivesWhileTheClientSends) {
  Peer peer = Dial();
  peer.Send("POST /read HTTP/1.1\r\nContent-Length: 60000000\r\n\r\n");
  for (int i = 0; i < 100; ++i) {
    peer.Send(std::string(2000, 'x'));
    loop.RunOnce(Duration(0));
  }
  ASSERT_TRUE(RunUntil(loop, [&] { return peer.Ended(); }));
  EXPECT_TRUE(peer.Has("HTTP/1.1 413 "));
}

// Hundreds of invalid requests at once: one response, and nothing behind it is parsed.
TEST_F(DownstreamTest, InvalidRequestIsRejectedOnceAndTheConnectionCloses) {
  Peer peer = Dial();
  std::string all;
  for (int i = 0; i < 300; ++i) {
    all += Get("bad");
  }
  peer.Send(all + Get("a"));
  ASSERT_TRUE(RunUntil(loop, [&] { return peer.Ended(); }));
  EXPECT_EQ(peer.Received().substr(0, 13), "HTTP/1.1 400 ");
  EXPECT_TRUE(peer.Received().ends_with("Connection: close\r\n\r\nbad\n"));  // and says why
  EXPECT_EQ(peer.Received().rfind("HTTP/1.1"), 0u);
  EXPECT_TRUE(requests.empty());
}

// Each request is a turn of the event loop of its own: a long pipeline delays no other connection.
TEST_F(DownstreamTest, PipelinedRequestsLeaveOthersTheirTurn) {
  Peer greedy = Dial();
  std::string all;
  for (int i = 0; i < 400; ++i) {
    all += "GET /_health HTTP/1.1\r\n\r\n";
  }
  greedy.Send(all);
  Peer peer = Dial();
  peer.Send(Get("a"));
  const uint64_t before = GlobalCounters().health_checks;
  ASSERT_TRUE(HasRequests(1));
  EXPECT_LT(GlobalCounters().health_checks - before, 20u);
  EXPECT_TRUE(RunUntil(loop, [&] { return GlobalCounters().health_checks - before == 400; }));
}

// Hundreds of connections: requests of accepted ones come between.
TEST_F(DownstreamTest, AcceptingLeavesOthersTheirTurn) {
  std::vector<Peer> peers;
  for (int i = 0; i < 200; ++i) {
    peers.push_back(Dial());
  }
  peers[0].Send(Get("a"));
  ASSERT_TRUE(HasRequests(1));
  EXPECT_LT(downstream->connection_count(), 100u);
  EXPECT_TRUE(RunUntil(loop, [&] { return downstream->connection_count() == 200; }));
}

// Required within 3 s of the connect: an error or a close, whatever little comes meanwhile.
TEST_F(DownstreamTest, SilentAndSlowClientsTimeOut) {
  Peer silent = Dial(), slow = Dial();
  const std::string text = Get("a");
  size_t said = 0;
  const Time began = loop.Now();
  Time next{0}, silent_ended{0};
  const bool in_time = RunUntil(
      loop,
      [&] {
        if (loop.Now() > next) {
          slow.Send(text.substr(said++, 1));
          next = loop.Now() + Ms(200);
        }
        if (silent_ended == Time(0) && silent.Ended()) {
          silent_ended = loop.Now() - began;
        }
        return silent.Ended() && slow.Ended();
      },
      Ms(2900));
  EXPECT_TRUE(in_time);
  EXPECT_EQ(silent.Received(), "");
  EXPECT_LT(silent_ended, Ms(1800));
  EXPECT_TRUE(slow.Has("HTTP/1.1 408 "));
  EXPECT_TRUE(requests.empty());
}

// Some clients send one request and keep their connection for good.
TEST_F(DownstreamTest, IdleConnectionTimesOut) {
  Peer peer = Dial();
  peer.Send(Get("a"));
  ASSERT_TRUE(HasRequests(1));
  requests[0]->Respond({.status = 502});
  RunFor(loop, Ms(1500));
  EXPECT_FALSE(peer.Ended());
  EXPECT_TRUE(RunUntil(
      loop, [&] { return peer.Ended(); }, Ms(1500)));
  EXPECT_EQ(downstream->connection_count(), 0u);
}

// Sixty megabytes behind a rejected head are not read to their end.
TEST_F(DownstreamTest, LongBodyBehindARejectionIsNotReadToItsEnd) {
  Peer peer = Dial();
  peer.Send("POST /read HTTP/1.1\r\nContent-Length: 60000000\r\n\r\n");
  const std::string part(1 << 16, 'x');
  size_t sent = 0;
  ASSERT_TRUE(RunUntil(loop, [&] {
    const ssize_t n = send(peer.fd(), part.data(), part.size(), MSG_NOSIGNAL);
    if (n > 0)
      sent += static_cast<size_t>(n);
    return peer.Ended();
  }));
  EXPECT_TRUE(peer.Has("HTTP/1.1 413 "));
  RunFor(loop, Ms(1500));
  EXPECT_EQ(downstream->connection_count(), 0u);
  EXPECT_LT(sent, 16u << 20);
}

TEST_F(DownstreamTest, ConnectionCloseIsHonoured) {
  Peer peer = Dial();
  peer.Send("GET /read/1 HTTP/1.1\r\nConnection: close\r\nX-Call-Id: a\r\n\r\n");
  ASSERT_TRUE(HasRequests(1));
  requests[0]->Respond({.status = 502});
  ASSERT_TRUE(RunUntil(loop, [&] { return peer.Ended(); }));
  EXPECT_TRUE(peer.Has("Connection: close\r\n"));
}

TEST_F(DownstreamTest, CloseIsReportedAsDisconnect) {
  Peer peer = Dial();
  peer.Send(Get("a"));
  ASSERT_TRUE(HasRequests(1));
  peer.Close();
  ASSERT_TRUE(RunUntil(loop, [&] { return disconnected.size() == 1; }));
  EXPECT_FALSE(requests[0]->Respond({.status = 502}));
  EXPECT_EQ(downstream->connection_count(), 0u);
}

TEST_F(DownstreamTest, ResetIsReportedAsDisconnect) {
  Peer peer = Dial();
  peer.Send(Get("a"));
  ASSERT_TRUE(HasRequests(1));
  peer.Reset();
  EXPECT_TRUE(RunUntil(loop, [&] { return disconnected.size() == 1; }));
}

TEST_F(DownstreamTest, IncompleteRequestIsNotReported) {
  Peer peer = Dial();
  peer.Send(Get("a").substr(0, 30));
  RunFor(loop, Ms(10));
  peer.Close();
  ASSERT_TRUE(RunUntil(loop, [&] { return downstream->connection_count() == 0; }));
  EXPECT_TRUE(requests.empty());
  EXPECT_TRUE(disconnected.empty());
}

// The complete request and the close may come in one read: it is admitted all the same.
TEST_F(DownstreamTest, RequestTogetherWithCloseIsAdmitted) {
  Peer peer = Dial();
  peer.Send(Get("a"));
  peer.Close();
  ASSERT_TRUE(HasRequests(1));
  EXPECT_TRUE(RunUntil(loop, [&] { return disconnected.size() == 1; }));
}

TEST_F(DownstreamTest, EndlessRequestHoldsLittleMemory) {
  Peer peer = Dial();
  peer.Send(Get("a"));
  ASSERT_TRUE(HasRequests(1));
  // It goes on sending while its request is in progress.
  testing::MakeNonBlocking(peer.fd());
  size_t sent = 0;
  const std::string more(10000, 'x');
  for (int i = 0; i < 2000; ++i) {
    const ssize_t n = send(peer.fd(), more.data(), more.size(), MSG_NOSIGNAL);
    if (n > 0) {
      sent += static_cast<size_t>(n);
    }
    loop.RunOnce(Duration(0));
  }
  EXPECT_LT(sent, 12'000'000u);  // the kernel's part and 80 KiB; 20 MB were offered
  EXPECT_EQ(downstream->connection_count(), 1u);
}

// Pipelined requests and nothing read: no next one is admitted before the last response is with the
// kernel, so that responses do not pile up here; once the client reads, it gets them all.
TEST_F(DownstreamTest, ClientThatNeverReadsHoldsOneResponse) {
  constexpr size_t kRequests = 300;
  const auto response = UpstreamResponse(testing::Http200(std::string(60000, 'a')));
  Peer peer = Dial();
  std::string all;
  for (size_t i = 0; i < kRequests; ++i) {
    all += Get("id" + std::to_string(i));
  }
  size_t responded = 0;
  const auto serve = [&] {
    for (; responded < requests.size(); ++responded) {
      requests[responded]->Respond({.status = 200, .upstream_message = response});
    }
  };
  peer.Send(all);
  RunUntil(
      loop, [&] { return serve(), false; }, Ms(300));
  EXPECT_GT(requests.size(), 5u);
  EXPECT_LT(requests.size(), kRequests);  // 18 MB are more than the kernel holds
  ASSERT_TRUE(RunUntil(loop, [&] { return serve(), peer.Received().size() > kRequests * 60000; }));
  EXPECT_EQ(requests.size(), kRequests);
}

TEST_F(DownstreamTest, SendsContinueWhereExpected) {
  Peer peer = Dial();
  peer.Send(
      "POST /read HTTP/1.1\r\nExpect: 100-continue\r\nX-Call-Id: a\r\nContent-Length: 2\r\n\r\n");
  ASSERT_TRUE(Receives(peer, "HTTP/1.1 100 Continue\r\n\r\n"));
  peer.Send("ok");
  ASSERT_TRUE(HasRequests(1));
  EXPECT_EQ(requests[0]->message().body(), "ok");
  requests[0]->Respond({.status = 502});
  EXPECT_TRUE(Receives(peer, "HTTP/1.1 502 "));
}

// An operator's drain: the front end reacts to health checks within tenths of a second, but clients
// go on with the connections that they have, and some never send again.
TEST_F(DownstreamTest, DrainClosesConnectionsAndResumeAcceptsAgain) {
  Peer idle = Dial(), busy = Dial();
  idle.Send("GET /_health HTTP/1.1\r\n\r\n");
  busy.Send(Get("a"));
  ASSERT_TRUE(Receives(idle, "200 OK"));
  ASSERT_TRUE(HasRequests(1));
  for (int twice = 0; twice < 2; ++twice) {
    lifecycle.set_drained(true);
    downstream->OnLifecycleChanged();
  }
  Peer front = Dial();
  front.Send("GET /_health HTTP/1.1\r\n\r\n");
  EXPECT_TRUE(Receives(front, "503 "));
  EXPECT_TRUE(RunUntil(
      loop, [&] { return idle.Ended(); }, Ms(1000)));
  EXPECT_FALSE(busy.Ended());
  requests[0]->Respond({.status = 200});
  EXPECT_TRUE(Receives(busy, "Connection: close"));
  EXPECT_TRUE(RunUntil(loop, [&] { return busy.Ended(); }));
  lifecycle.set_drained(false);
  downstream->OnLifecycleChanged();
  Peer again = Dial();
  again.Send(Get("b"));
  ASSERT_TRUE(HasRequests(2));
  requests[1]->Respond({.status = 200});
  EXPECT_TRUE(Receives(again, "200 OK"));
  EXPECT_FALSE(again.Has("Connection: close"));
}

TEST_F(DownstreamTest, DrainingServesRequestsAndClosesAfterEachResponse) {
  Peer old = Dial(), idle = Dial();
  old.Send("GET /_health HTTP/1.1\r\n\r\n");
  ASSERT_TRUE(Receives(old, "\r\n\r\n"));
  bool done = false;
  downstream->Shutdown(Ms(3600), [&] { done = true; });
  lifecycle.set_ending();
  downstream->OnLifecycleChanged();
  old.Send(Get("a"));
  Peer fresh = Dial();  // still let in
  fresh.Send(Get("b"));
  ASSERT_TRUE(HasRequests(2));
  RunFor(loop, Ms(700));
  EXPECT_TRUE(idle.Ended());  // closed between requests
  EXPECT_FALSE(done);         // two are in hand
  for (const auto& request : requests) {
    request->Respond({.status = 502});
  }
  ASSERT_TRUE(Receives(old, "Connection: close\r\n"));
  ASSERT_TRUE(Receives(fresh, "Connection: close\r\n"));
  old.Close();
  fresh.Close();
  EXPECT_TRUE(RunUntil(loop, [&] { return done; }));
}

TEST_F(DownstreamTest, DrainingKeepsAcceptingForAWhile) {
  bool done = false;
  downstream->Shutdown(Ms(3600), [&] { done = true; });
  lifecycle.set_ending();
  downstream->OnLifecycleChanged();
  RunFor(loop, Ms(400));
  EXPECT_FALSE(done);
  Peer late = Dial();
  late.Send(Get("a"));
  ASSERT_TRUE(HasRequests(1));
  requests[0]->Respond({.status = 502});
  EXPECT_TRUE(RunUntil(loop, [&] { return late.Ended(); }));
  late.Close();
  EXPECT_TRUE(RunUntil(loop, [&] { return done; }));
}

TEST_F(DownstreamTest, DrainingEndsInTimeDespiteAnEndlessRequest) {
  Peer stuck = Dial();
  stuck.Send(Get("a").substr(0, 20));
  bool done = false;
  const Time begun = loop.Now();
  downstream->Shutdown(Ms(800), [&] { done = true; });
  lifecycle.set_ending();
  downstream->OnLifecycleChanged();
  ASSERT_TRUE(RunUntil(loop, [&] { return done; }));
  EXPECT_LT(loop.Now() - begun, Ms(1000));
}

// Whatever the time limit: to end with a request in progress would lose it.
TEST_F(DownstreamTest, DrainingWaitsForRequestsInProgress) {
  Peer client = Dial();
  client.Send(Get("a"));
  ASSERT_TRUE(HasRequests(1));
  bool done = false;
  downstream->Shutdown(Ms(500), [&] { done = true; });
  lifecycle.set_ending();
  downstream->OnLifecycleChanged();
  RunFor(loop, Ms(800));
  EXPECT_FALSE(done);
  requests[0]->Respond({.status = 502});
  EXPECT_TRUE(RunUntil(loop, [&] { return done; }));
  EXPECT_TRUE(client.Has("HTTP/1.1 502 "));
}

// The descriptor limit of the process may be reached before that of the budget: accepting fails,
// waits, and goes on; the edge of the listener is consumed by then, and the backlog is not
// forgotten.
TEST_F(DownstreamTest, DescriptorLimitOfTheSystemDelaysButLosesNothing) {
#ifdef __SANITIZE_ADDRESS__
  GTEST_SKIP() << "UBSan opens a pipe to look at an object, and finds no descriptor for it";
#endif
  std::vector<Peer> peers;
  for (int i = 0; i < 5; ++i) {
    peers.push_back(Dial());
    peers.back().Send(Get("id" + std::to_string(i)));
  }
  rlimit message{};
  ASSERT_EQ(getrlimit(RLIMIT_NOFILE, &message), 0);
  const FileDescriptor probe(dup(0));
  rlimit none = message;
  none.rlim_cur = static_cast<rlim_t>(probe.get()) + 1;  // not one more than there are
  ASSERT_EQ(setrlimit(RLIMIT_NOFILE, &none), 0);
  const uint64_t waits = GlobalCounters().accept_waits;
  RunFor(loop, Ms(60));
  EXPECT_EQ(requests.size(), 0u);
  EXPECT_GT(GlobalCounters().accept_waits, waits);
  EXPECT_LT(GlobalCounters().accept_waits - waits, 40u);  // and did not spin
  ASSERT_EQ(setrlimit(RLIMIT_NOFILE, &message), 0);
  EXPECT_TRUE(HasRequests(5));
}

class DownstreamFewDescriptorsTest : public DownstreamTest {
 protected:
  DownstreamFewDescriptorsTest()
      : DownstreamTest(DescriptorBudget::kReserve + 55) {}  // 33 connections of clients
};

// With every descriptor in use by a request, the next connection waits in the backlog and is served
// once one is free; the event loop does not spin meanwhile.
TEST_F(DownstreamFewDescriptorsTest, AcceptingWaitsAndLosesNothing) {
  std::vector<Peer> peers;
  for (int i = 0; i < 40; ++i) {
    peers.push_back(Dial());
    peers.back().Send(Get("id" + std::to_string(i)));
  }
  ASSERT_TRUE(HasRequests(33));
  const uint64_t waits = GlobalCounters().accept_waits;
  RunFor(loop, Ms(60));
  EXPECT_EQ(requests.size(), 33u);
  EXPECT_LT(GlobalCounters().accept_waits - waits, 40u);
  for (size_t i = 0; i < 33; ++i) {
    requests[i]->Respond({.status = 502});
  }
  EXPECT_TRUE(HasRequests(40));
}

TEST_F(DownstreamFewDescriptorsTest, IdleConnectionsMakeRoom) {
  std::vector<Peer> idle;
  for (int i = 0; i < 33; ++i) {
    idle.push_back(Dial());
  }
  ASSERT_TRUE(RunUntil(loop, [&] { return downstream->connection_count() == 33; }));
  Peer fresh = Dial();
  fresh.Send(Get("a"));
  EXPECT_TRUE(HasRequests(1));
  EXPECT_TRUE(idle[0].Ended());  // the longest idle
  EXPECT_FALSE(idle[32].Ended());
}

// A burst without free descriptors: no connection closes for the next one before its request could
// come.
TEST_F(DownstreamFewDescriptorsTest, NewConnectionIsNotClosedForTheNext) {
  std::vector<Peer> kept;
  for (int i = 0; i < 33; ++i) {
    kept.push_back(Dial());
    RunFor(loop, Ms(i == 32 ? 250 : 1));
  }
  std::vector<Peer> burst;
  for (int i = 0; i < 12; ++i) {
    burst.push_back(Dial());
  }
  RunFor(loop, Ms(20));
  for (int i = 0; i < 12; ++i) {
    burst[static_cast<size_t>(i)].Send(Get("id" + std::to_string(i)));
  }
  EXPECT_TRUE(HasRequests(12));
  EXPECT_TRUE(kept[0].Ended());
}

// Nor where all are new: each was closed for the next, with its first request on the way.
TEST_F(DownstreamFewDescriptorsTest, BurstOfNewConnectionsWaitsForDescriptors) {
  constexpr size_t kBurst = 45;  // more than the 33 that clients may have at a time
  std::vector<Peer> burst;
  for (size_t i = 0; i < kBurst; ++i) {
    burst.push_back(Dial());
  }
  RunFor(loop, Ms(20));
  for (size_t i = 0; i < kBurst; ++i) {
    EXPECT_FALSE(burst[i].Ended()) << i;
    burst[i].Send(Get("id" + std::to_string(i)));
  }
  size_t responded = 0;
  EXPECT_TRUE(RunUntil(loop, [&] {
    while (responded < requests.size()) {
      requests[responded++]->Respond({.status = 502});
    }
    return responded == kBurst;
  })) << responded;
}

// Each request on a new connection that is kept for good: clients open a third of the descriptors
// at most and would have none left for requests.
TEST_F(DownstreamFewDescriptorsTest, LongestIdleConnectionsCloseFirst) {
  std::vector<Peer> kept;
  for (size_t i = 0; i < 30; ++i) {
    kept.push_back(Dial());
    kept.back().Send(Get("id" + std::to_string(i)));
    ASSERT_TRUE(HasRequests(i + 1));
    requests[i]->Respond({.status = 502});
    ASSERT_TRUE(Receives(kept.back(), "HTTP/1.1 502"));
  }
  RunFor(loop, Ms(10));
  EXPECT_LE(downstream->connection_count(), 14u);  // a quarter of 55
  EXPECT_GE(downstream->connection_count(), 10u);
  EXPECT_TRUE(kept[0].Ended());
  EXPECT_FALSE(kept[29].Ended());
}

// Silent connections come by hundreds: they close first, and upstream keeps its descriptors.
TEST_F(DownstreamFewDescriptorsTest, UnusedConnectionsCloseBeforeIdleOnes) {
  Peer usual = Dial();
  usual.Send(Get("a"));
  ASSERT_TRUE(HasRequests(1));
  requests[0]->Respond({.status = 502});
  std::vector<Peer> silent;
  for (int i = 0; i < 32; ++i) {
    silent.push_back(Dial());
  }
  RunFor(loop, Ms(250));
  for (int i = 0; i < 20; ++i) {
    silent.push_back(Dial());
  }
  RunFor(loop, Ms(10));
  Peer fresh = Dial();
  fresh.Send(Get("b"));
  EXPECT_TRUE(HasRequests(2));
  EXPECT_FALSE(usual.Ended());
  EXPECT_TRUE(silent[0].Ended());
  EXPECT_LE(budget.used(), 33u);
  usual.Send(Get("c"));
  EXPECT_TRUE(HasRequests(3));
}

// ---- Races (docs/crossings.md) ---------------------------------------------------------------

// Behind a request that got its response within the same read: the end had been reported by then,
// and the disconnect of that client was never noticed.
TEST_F(DownstreamTest, PipelinedRequestEndsWithItsClient) {
  for (const char* const how : {"end", "half-close"}) {
    requests.clear();
    disconnected.clear();
    Peer peer = Dial();
    peer.Send("GET /_health HTTP/1.1\r\n\r\n" + Get("a"));
    if (how == std::string("end")) {
      peer.Close();
    }
    if (peer) {
      peer.ShutdownWrite();
    }
    ASSERT_TRUE(HasRequests(1)) << how;
    EXPECT_TRUE(RunUntil(
        loop, [&] { return disconnected.size() == 1; }, Ms(300)))
        << how;
    EXPECT_FALSE(requests[0]->Respond({.status = 502}));
  }
}

// A client that sends much at once and leaves: the end is behind bytes that there is no room to
// read while its first request waits.
TEST_F(DownstreamTest, DisconnectBehindUnreadBytesIsNoticed) {
  for (const char* const how : {"end", "half-close", "reset"}) {
    requests.clear();
    disconnected.clear();
    Peer peer = Dial();
    peer.Send(Get("a"));
    ASSERT_TRUE(HasRequests(1));
    std::string rest;
    for (int i = 0; rest.size() < 110'000; ++i) {
      rest += Get("more" + std::to_string(i));
    }
    peer.Send(rest);
    RunFor(loop, Ms(20));
    EXPECT_TRUE(disconnected.empty());
    if (how == std::string("end")) {
      peer.Close();
    }
    if (how == std::string("reset")) {
      peer.Reset();
    }
    if (peer) {
      peer.ShutdownWrite();
    }
    EXPECT_TRUE(RunUntil(
        loop, [&] { return disconnected.size() == 1; }, Ms(300)))
        << how;
    RunFor(loop, Ms(20));
    EXPECT_EQ(requests.size(), 1u) << how;
  }
}

// It waited in the accept queue for a descriptor and left there: accepted and closed in one turn.
TEST_F(DownstreamFewDescriptorsTest, ClientThatLeftInTheAcceptQueueIsReported) {
  std::vector<Peer> busy;
  for (int i = 0; i < 33; ++i) {
    busy.push_back(Dial());
    busy.back().Send(Get("id" + std::to_string(i)));
  }
  ASSERT_TRUE(HasRequests(33));
  Peer ended = Dial(), reset = Dial(), half = Dial();
  ended.Send(Get("ended"));
  reset.Send(Get("reset"));
  half.Send(Get("half"));
  ended.Close();
  reset.Reset();
  half.ShutdownWrite();
  RunFor(loop, Ms(30));
  EXPECT_EQ(requests.size(), 33u);
  for (size_t i = 0; i < 33; ++i) {
    requests[i]->Respond({.status = 502});
  }
  RunFor(loop, Ms(100));
  for (size_t i = 33; i < requests.size(); ++i) {
    EXPECT_FALSE(requests[i]->Respond({.status = 502}));
  }
  EXPECT_EQ(disconnected.size(), requests.size() - 33);
}

// At the end of a drain: a request that is with the kernel by then is admitted and gets its
// response.
TEST_F(DownstreamTest, RequestThatComesAsTheDrainEndsIsAdmitted) {
  Peer late = Dial();
  late.Send(Get("a").substr(0, 20));
  bool done = false;
  downstream->Shutdown(Ms(600), [&] { done = true; });
  lifecycle.set_ending();
  downstream->OnLifecycleChanged();
  RunFor(loop, Ms(560));
  // Its rest and the end of the drain come while the event loop is busy.
  late.Send(Get("a").substr(20));
  Peer later = Dial();  // accepted by the kernel alone
  later.Send(Get("b"));
  usleep(60'000);
  ASSERT_TRUE(HasRequests(2));
  EXPECT_FALSE(done);
  for (const auto& request : requests) {
    request->Respond({.status = 502});
  }
  EXPECT_TRUE(Receives(late, "HTTP/1.1 502 "));
  EXPECT_TRUE(Receives(later, "HTTP/1.1 502 "));
  late.Close();
  later.Close();
  EXPECT_TRUE(RunUntil(loop, [&] { return done; }));
}

// Close of an idle connection against the client's next request: what has come is read.
TEST_F(DownstreamTest, RequestThatComesAsItsConnectionClosesIsAdmitted) {
  Peer peer = Dial();
  peer.Send(Get("a"));
  ASSERT_TRUE(HasRequests(1));
  requests[0]->Respond({.status = 502});
  ASSERT_TRUE(Receives(peer, "HTTP/1.1 502 "));
  peer.ClearReceived();
  RunFor(loop, Ms(1960));
  peer.Send(Get("b"));
  usleep(80'000);
  ASSERT_TRUE(HasRequests(2));
  requests[1]->Respond({.status = 502});
  EXPECT_TRUE(Receives(peer, "HTTP/1.1 502 "));
}

// A response half-written when the drain ends: cut there, its request would be lost.
TEST_F(DownstreamTest, ResponseHalfReadAsTheDrainEndsIsComplete) {
  Peer slow = Dial();
  slow.Send(Get("a"));
  ASSERT_TRUE(HasRequests(1));
  const std::string body(6 << 20, 'b');
  auto message = std::make_shared<BufferedMessage>();
  const std::string head = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";
  message->bytes.Append(head + body);
  message->message = UpstreamResponse(head)->message;
  message->message.body = {head.size(), body.size()};
  bool done = false;
  downstream->Shutdown(Ms(500), [&] { done = true; });
  lifecycle.set_ending();
  downstream->OnLifecycleChanged();
  requests[0]->Respond({.status = 200, .upstream_message = message});
  RunFor(loop, Ms(700));
  EXPECT_FALSE(done);
  EXPECT_TRUE(RunUntil(loop, [&] { return slow.Received().size() > body.size(); }));
  slow.Close();
  EXPECT_TRUE(RunUntil(loop, [&] { return done; }));
}

// Drained by an operator some time before the shutdown: connections still come for a while from
// then, as at any end.
TEST_F(DownstreamTest, ShutdownAfterADrainKeepsAcceptingForAWhile) {
  lifecycle.set_drained(true);
  downstream->OnLifecycleChanged();
  RunFor(loop, Ms(700));
  bool done = false;
  downstream->Shutdown(Ms(3600), [&] { done = true; });
  lifecycle.set_ending();
  downstream->OnLifecycleChanged();
  RunFor(loop, Ms(300));
  EXPECT_FALSE(done);
  Peer late = Dial();
  late.Send(Get("a"));
  ASSERT_TRUE(HasRequests(1));
  requests[0]->Respond({.status = 502});
  EXPECT_TRUE(Receives(late, "HTTP/1.1 502 "));
  late.Close();
  EXPECT_TRUE(RunUntil(loop, [&] { return done; }));
}

// Short of descriptors while it drains: whoever waits in the accept queue is accepted before it
// closes, also where another process listens at the address.
class DownstreamSharedFewDescriptorsTest : public DownstreamFewDescriptorsTest {
 protected:
  DownstreamSharedFewDescriptorsTest() {
    downstream = std::make_unique<Downstream>(loop, budget, Address{INADDR_LOOPBACK, 0}, lifecycle,
                                              this, FileDescriptor(), true);
  }
};
TEST_F(DownstreamSharedFewDescriptorsTest, DrainingAcceptsWhoWaitsForADescriptor) {
  std::vector<Peer> peers;
  for (int i = 0; i < 40; ++i) {
    peers.push_back(Dial());
    peers.back().Send(Get("id" + std::to_string(i)));
  }
  ASSERT_TRUE(HasRequests(33));
  bool done = false;
  downstream->Shutdown(Ms(3600), [&] { done = true; });
  lifecycle.set_ending();
  downstream->OnLifecycleChanged();
  RunFor(loop, Ms(750));
  for (size_t i = 0; i < 33; ++i) {
    requests[i]->Respond({.status = 502});
  }
  ASSERT_TRUE(HasRequests(40));
  for (size_t i = 33; i < 40; ++i) {
    requests[i]->Respond({.status = 502});
  }
  for (Peer& peer : peers) {
    EXPECT_TRUE(Receives(peer, "HTTP/1.1 502 "));
  }
  peers.clear();
  EXPECT_TRUE(RunUntil(loop, [&] { return done; }));
}

// ---- Request parsing -------------------------------------------------------------------------

class RequestParsingTest : public ::testing::Test {
 protected:
  RequestParsingTest() {
    settings = paddlestile::testing::MakeSettings();
    settings.classes.resize(2);  // 0 safe, 1 keyed
    settings.clients_mark_retries = true;
    names.classes.Add("read");
    names.classes.Add("book");
    names.tenants.Add("acme");
    names.tenants.Add("other");
  }
  ParsedRequest Of(const std::string& text) {
    BufferedMessage message;
    HttpParser parser(HttpParser::Kind::kRequest);
    message.bytes.Append(text);
    EXPECT_EQ(parser.Feed(message.bytes), ParseProgress::kDone) << text;
    message.message = parser.message();
    return ParseRequest(message, names, settings, Time(1'000'000));
  }
  Settings settings;
  NameTables names;
};

const std::string kGood = "X-Call-Id: 9b1f\r\nX-Caller: other\r\nX-Budget-Ms: 480\r\n";

TEST_F(RequestParsingTest, ReadsWhatTheLoadBalancerNeeds) {
  const ParsedRequest u =
      Of("POST /book/x?y HTTP/1.1\r\n" + kGood +
         "Idempotency-Key: k\r\nX-Again: 1\r\nX-Call-Info: Expected=12.5,Subject=s1,IsWrite=1,z=2"
         "\r\n\r\n");
  ASSERT_EQ(u.error_status, 0) << u.reason;
  EXPECT_EQ(u.arrival.id, "9b1f");
  EXPECT_EQ(u.arrival.request_class, 1u);
  EXPECT_EQ(u.arrival.tenant, 1u);
  EXPECT_EQ(u.arrival.deadline, Time(1'480'000));
  EXPECT_TRUE(u.arrival.is_client_retry);
  EXPECT_TRUE(u.arrival.is_write);
  EXPECT_EQ(u.arrival.key, "s1");
  EXPECT_EQ(u.arrival.expected_work, Duration(12'500));
}

TEST_F(RequestParsingTest, ClientRetriesCountOnlyWhereClientsMarkThem) {
  settings.clients_mark_retries = false;
  EXPECT_FALSE(Of("GET /read HTTP/1.1\r\n" + kGood + "X-Again: 1\r\n\r\n").arrival.is_client_retry);
}

TEST_F(RequestParsingTest, CallerIsNotRequiredWithoutTenants) {
  names.tenants = NameTable();
  EXPECT_EQ(Of("GET /read HTTP/1.1\r\nX-Call-Id: a\r\nX-Budget-Ms: 5\r\n\r\n").error_status, 0);
}

TEST_F(RequestParsingTest, RejectsInvalidRequests) {
  const std::pair<std::string, int> cases[] = {
      {"GET /read HTTP/1.1\r\nX-Caller: acme\r\nX-Budget-Ms: 480\r\n\r\n", 400},
      {"GET /read HTTP/1.1\r\nX-Call-Id:\r\nX-Caller: acme\r\nX-Budget-Ms: 480\r\n\r\n", 400},
      {"GET /read HTTP/1.1\r\nX-Call-Id: a b\r\nX-Caller: acme\r\nX-Budget-Ms: 480\r\n\r\n", 400},
      {"GET /read HTTP/1.1\r\nX-Call-Id: " + std::string(65, 'a') +
           "\r\nX-Caller: acme\r\nX-Budget-Ms: 480\r\n\r\n",
       400},
      {"GET /read HTTP/1.1\r\nX-Call-Id: a\r\nX-Caller: acme\r\n\r\n", 400},
      {"GET /read HTTP/1.1\r\nX-Call-Id: a\r\nX-Caller: acme\r\nX-Budget-Ms: 0\r\n\r\n", 400},
      {"GET /read HTTP/1.1\r\nX-Call-Id: a\r\nX-Caller: acme\r\nX-Budget-Ms: 4.5\r\n\r\n", 400},
      {"GET /read HTTP/1.1\r\nX-Call-Id: a\r\nX-Caller: acme\r\nX-Budget-Ms: -4\r\n\r\n", 400},
      {"GET /read HTTP/1.1\r\nX-Call-Id: a\r\nX-Caller: acme\r\nX-Budget-Ms: 99999999999\r\n\r\n",
       400},
      {"GET /read HTTP/1.1\r\nX-Call-Id: b\r\n" + kGood + "\r\n", 400},  // the id twice
      {"GET /nothing HTTP/1.1\r\n" + kGood + "\r\n", 404},
      {"GET / HTTP/1.1\r\n" + kGood + "\r\n", 404},
      {"GET /read HTTP/1.1\r\nX-Call-Id: a\r\nX-Budget-Ms: 480\r\n\r\n", 400},
      {"GET /read HTTP/1.1\r\nX-Call-Id: a\r\nX-Caller: who\r\nX-Budget-Ms: 480\r\n\r\n", 403},
      {"POST /book HTTP/1.1\r\n" + kGood + "\r\n", 400},  // no key to know a repeat by
      {"CONNECT /read HTTP/1.1\r\n" + kGood + "\r\n", 405},
      {"HEAD /read HTTP/1.1\r\n" + kGood + "\r\n", 405},
  };
  for (const auto& [text, status] : cases) {
    EXPECT_EQ(Of(text).error_status, status) << text;
  }
}

}  // namespace
}  // namespace paddlestile
