// A gateway without a free descriptor: what waits in the accept queue is served or refused in time.
#include <gtest/gtest.h>
#include <sys/resource.h>
#include <unistd.h>

#include <algorithm>
#include <chrono>
#include <string>
#include <vector>

#include "base/metrics.h"
#include "gateway/downstream_fixture.h"
#include "gateway/gateway_fixture.h"
#include "gateway/test_peers.h"

namespace paddlestile {
namespace {

using testing::DownstreamTest;
using testing::Get;
using testing::Ms;
using testing::Peer;
using testing::RunFor;
using testing::RunUntil;

constexpr Duration kMaxWait = Ms(120);
// Beyond the bound: the time limit of clients that say nothing, and a slow machine.
constexpr Duration kMargin = Ms(300);
constexpr size_t kClients = 12;  // the clients' share of the descriptors

class AcceptQueueTest : public DownstreamTest {
 protected:
  AcceptQueueTest() : DownstreamTest(DescriptorBudget::kReserve + 8) {  // a budget of 20
    downstream->SetMaxAcceptWait(kMaxWait, Ms(75));
  }
  // Clients whose requests are not responded to hold the share.
  void FillWithRequests() {
    for (size_t i = 0; i < kClients; ++i) {
      full.push_back(Dial());
      full.back().Send(Get("full" + std::to_string(i)));
    }
    ASSERT_TRUE(HasRequests(kClients));
  }
  // The response to a request, and that it came within the bound.
  std::string ResponseInTime(Peer& peer) {
    const Time begun = loop.Now();
    EXPECT_TRUE(RunUntil(loop, [&] { return peer.Has("\r\n\r\n") || peer.Ended(); }));
    EXPECT_LE(loop.Now() - begun, kMaxWait + kMargin);
    return peer.Received();
  }
  void ExpectRefusedInTime() {
    Peer peer = Dial();
    peer.Send(Get("refused"));
    const std::string response = ResponseInTime(peer);
    EXPECT_TRUE(response.starts_with("HTTP/1.1 503 ")) << response;
    EXPECT_NE(response.find("Retry-After: 0.075\r\n"), std::string::npos) << response;
    EXPECT_NE(response.find("Connection: close\r\n"), std::string::npos) << response;
    EXPECT_TRUE(RunUntil(loop, [&] { return peer.Ended(); }));
  }

  std::vector<Peer> full;
};

// Nothing could be closed for it, so nobody accepted it until its deadline was over.
TEST_F(AcceptQueueTest, FullOfRequestsARequestIsRefusedInTime) {
  FillWithRequests();
  const uint64_t refused = GlobalCounters().refused_client_share;
  ExpectRefusedInTime();
  EXPECT_EQ(GlobalCounters().refused_client_share - refused, 1u);
  EXPECT_GE(GlobalCounters().accept_wait_longest_ms, 100u);
  EXPECT_EQ(requests.size(), kClients);
}

TEST_F(AcceptQueueTest, WhatWaitsIsServedWhereADescriptorBecomesFreeInTime) {
  FillWithRequests();
  Peer peer = Dial();
  peer.Send(Get("waits"));
  RunFor(loop, kMaxWait / 3);
  requests[0]->Respond({.status = 502});
  EXPECT_TRUE(HasRequests(kClients + 1));
}

TEST_F(AcceptQueueTest, FullOfIdleClientsARequestIsServed) {
  for (size_t i = 0; i < kClients; ++i) {
    full.push_back(Dial());
  }
  RunFor(loop, Ms(250));
  Peer peer = Dial();
  peer.Send(Get("a"));
  EXPECT_TRUE(HasRequests(1));
}

TEST_F(AcceptQueueTest, DrainedByAnOperatorARequestIsRefusedInTime) {
  FillWithRequests();
  lifecycle.set_drained(true);
  downstream->OnLifecycleChanged();
  ExpectRefusedInTime();
}

TEST_F(AcceptQueueTest, WhileTheProcessEndsARequestIsRefusedInTime) {
  FillWithRequests();
  downstream->Shutdown(Ms(2000), [] {});
  lifecycle.set_ending();
  downstream->OnLifecycleChanged();
  ExpectRefusedInTime();
}

// A new process of a hot restart while the old one holds the whole budget.
TEST_F(AcceptQueueTest, WithoutADescriptorOfTheBudgetARequestIsRefusedInTime) {
  budget.set_held_by_other_process(budget.limit());
  const uint64_t refused = GlobalCounters().refused_no_descriptor;
  ExpectRefusedInTime();
  EXPECT_EQ(GlobalCounters().refused_no_descriptor - refused, 1u);
}

#ifndef __SANITIZE_ADDRESS__  // UBSan opens a pipe to look at an object, and finds no descriptor
TEST_F(AcceptQueueTest, AtTheDescriptorLimitOfTheProcessARequestIsRefusedInTime) {
  Peer peer = Dial();
  peer.Send(Get("refused"));
  rlimit before{};
  ASSERT_EQ(getrlimit(RLIMIT_NOFILE, &before), 0);
  const FileDescriptor probe(dup(0));
  rlimit none = before;
  none.rlim_cur = static_cast<rlim_t>(probe.get()) + 1;  // not one more than there are
  ASSERT_EQ(setrlimit(RLIMIT_NOFILE, &none), 0);
  const uint64_t refused = GlobalCounters().refused_process_limit;
  const std::string response = ResponseInTime(peer);
  ASSERT_EQ(setrlimit(RLIMIT_NOFILE, &before), 0);
  EXPECT_TRUE(response.starts_with("HTTP/1.1 503 ")) << response;
  EXPECT_EQ(GlobalCounters().refused_process_limit - refused, 1u);
}
#endif

// Clients that are being refused hold what is kept for refusals when descriptors come free: those
// that wait behind them are served, not refused as well.
TEST_F(AcceptQueueTest, ARequestBehindRefusalsIsServedWhereDescriptorsComeFree) {
  FillWithRequests();
  std::vector<Peer> halves;
  for (size_t i = 0; i < ConnectionRefuser::kMaxConnections; ++i) {
    halves.push_back(Dial());
    halves.back().Send("GET /read/1 HT");
  }
  const uint64_t accepted = GlobalCounters().downstream_connections_accepted;
  ASSERT_TRUE(RunUntil(loop, [&] {
    return GlobalCounters().downstream_connections_accepted - accepted >= halves.size();
  }));
  const uint64_t refused = GlobalCounters().refused_client_share;
  for (size_t i = 0; i < 3; ++i) {
    requests[i]->Respond({.status = 502});
  }
  Peer peer = Dial();
  peer.Send(Get("next"));
  EXPECT_TRUE(RunUntil(
      loop, [&] { return requests.size() > kClients; }, kMaxWait + kMargin));
  EXPECT_EQ(GlobalCounters().refused_client_share, refused);
  // What is refused still is refused, and delays nobody.
  halves[0].Send("TP/1.1\r\n\r\n");
  EXPECT_TRUE(ResponseInTime(halves[0]).starts_with("HTTP/1.1 503 "));
}

// Each time that the gateway is full anew its refusals begin anew, and end with it.
TEST_F(AcceptQueueTest, FullTwiceARequestIsRefusedInTimeAndServedBetween) {
  FillWithRequests();
  ExpectRefusedInTime();
  requests[0]->Respond({.status = 502});
  full.push_back(Dial());
  full.back().Send(Get("between"));
  ASSERT_TRUE(HasRequests(kClients + 1));
  ExpectRefusedInTime();
  EXPECT_EQ(requests.size(), kClients + 1);
}

#ifndef __SANITIZE_ADDRESS__  // as above
// Accepting would stay put off, or refusals go on, once the process has descriptors again.
TEST_F(AcceptQueueTest, ARequestAfterTheDescriptorLimitOfTheProcessIsServed) {
  Peer peer = Dial();
  peer.Send(Get("refused"));
  rlimit before{};
  ASSERT_EQ(getrlimit(RLIMIT_NOFILE, &before), 0);
  const FileDescriptor probe(dup(0));
  rlimit none = before;
  none.rlim_cur = static_cast<rlim_t>(probe.get()) + 1;
  ASSERT_EQ(setrlimit(RLIMIT_NOFILE, &none), 0);
  const std::string response = ResponseInTime(peer);
  ASSERT_EQ(setrlimit(RLIMIT_NOFILE, &before), 0);
  EXPECT_TRUE(response.starts_with("HTTP/1.1 503 ")) << response;
  Peer after = Dial();
  after.Send(Get("after"));
  EXPECT_TRUE(RunUntil(
      loop, [&] { return !requests.empty(); }, kMaxWait + kMargin));
}
#endif

// A process with descriptors enough for all that waits.
class AcceptQueueTakenBackTest : public DownstreamTest {};

// The old process takes the queue back while it refuses for a new one that hung: it can serve what
// waits, and refuses none of it.
TEST_F(AcceptQueueTakenBackTest, WhatWaitsIsServedWhereTheNewProcessIsRevoked) {
  lifecycle.set_replaced(true);
  downstream->OnLifecycleChanged();
  std::vector<Peer> halves, waiting;
  for (size_t i = 0; i < ConnectionRefuser::kMaxConnections; ++i) {
    halves.push_back(Dial());
    halves.back().Send("GET /read/1 HT");
  }
  downstream->RefuseForNewProcess();
  const uint64_t refused = GlobalCounters().refused_new_process_hangs;
  constexpr size_t kWaiting = 100;  // more than are accepted in a turn
  for (size_t i = 0; i < kWaiting; ++i) {
    waiting.push_back(Dial());
    waiting.back().Send(Get("waits" + std::to_string(i)));
  }
  RunFor(loop, Ms(10));
  lifecycle.set_replaced(false);
  downstream->OnLifecycleChanged();
  for (Peer& half : halves) {
    half.Close();  // makes room for refusals in the same turn
  }
  EXPECT_TRUE(HasRequests(kWaiting));
  EXPECT_EQ(GlobalCounters().refused_new_process_hangs, refused);
}

// Many at once, far more than descriptors kept for refusals.
TEST_F(AcceptQueueTest, ABurstIsRefusedInTime) {
  FillWithRequests();
  std::vector<Peer> burst;
  for (int i = 0; i < 200; ++i) {
    burst.push_back(Dial());
    burst.back().Send(Get("burst" + std::to_string(i)));
  }
  for (Peer& peer : burst) {
    ASSERT_TRUE(ResponseInTime(peer).starts_with("HTTP/1.1 503 "));
  }
}

// A round of the loop that comes late: connections whose requests lie unread closed for the next
// ones.
TEST_F(AcceptQueueTest, ABurstIsRefusedInTimeByALoopThatIsHeldUp) {
  FillWithRequests();
  std::vector<Peer> burst;
  for (int i = 0; i < 40; ++i) {
    burst.push_back(Dial());
    burst.back().Send(Get("burst" + std::to_string(i)));
  }
  for (Peer& peer : burst) {
    ASSERT_TRUE(RunUntil(loop, [&] {
      usleep(25'000);
      return peer.Has("\r\n\r\n") || peer.Ended();
    }));
    EXPECT_TRUE(peer.Received().starts_with("HTTP/1.1 503 "));
  }
}

// What has come just now is not refused for what has waited before it.
TEST_F(AcceptQueueTest, OnlyWhatHasWaitedIsRefused) {
  FillWithRequests();
  Peer first = Dial();
  first.Send(Get("first"));
  RunFor(loop, kMaxWait * 3 / 4);
  Peer second = Dial();
  second.Send(Get("second"));
  ASSERT_TRUE(RunUntil(loop, [&] { return first.Has("HTTP/1.1 503 "); }));
  EXPECT_FALSE(second.Ended());
  requests[0]->Respond({.status = 502});
  full[0].Close();
  EXPECT_TRUE(HasRequests(kClients + 1));
}

// Clients that say nothing, or half a head, have their time limit and no more.
TEST_F(AcceptQueueTest, ClientsThatSendNoHeadDelayNoOthers) {
  FillWithRequests();
  std::vector<Peer> silent;
  for (int i = 0; i < 60; ++i) {
    silent.push_back(Dial());
    if (i % 2 == 0) {
      silent.back().Send("GET /read/1 HT");
    }
  }
  const uint64_t unread = GlobalCounters().refused_unread;
  ExpectRefusedInTime();
  EXPECT_TRUE(RunUntil(loop, [&] { return GlobalCounters().refused_unread - unread == 60; }));
  for (Peer& peer : silent) {
    EXPECT_TRUE(peer.Ended());
  }
}

// A close over unread bytes would reset the connection, and the response with it.
TEST_F(AcceptQueueTest, ARefusalArrivesWhileTheClientStillSendsItsBody) {
  FillWithRequests();
  Peer peer = Dial();
  peer.Send("POST /read/1 HTTP/1.1\r\nX-Call-Id: b\r\nContent-Length: 60000\r\n\r\nbody");
  for (int i = 0; i < 20; ++i) {
    peer.Send(std::string(1000, 'x'));
    RunFor(loop, Ms(10));
  }
  EXPECT_TRUE(ResponseInTime(peer).starts_with("HTTP/1.1 503 "));
}

TEST_F(AcceptQueueTest, AHealthCheckAtAFullGatewayIsAnswered) {
  FillWithRequests();
  Peer peer = Dial();
  peer.Send("GET /_health HTTP/1.1\r\n\r\n");
  EXPECT_TRUE(ResponseInTime(peer).starts_with("HTTP/1.1 200 "));
}

TEST_F(AcceptQueueTest, MalformedRequestsAreAnsweredAsSuch) {
  FillWithRequests();
  Peer peer = Dial();
  peer.Send("GET /read HTTP/1.1\nX: y\n\n");
  EXPECT_TRUE(ResponseInTime(peer).starts_with("HTTP/1.1 400 "));
}

class AcceptQueueGatewayTest : public testing::GatewayTest {};

TEST_F(AcceptQueueGatewayTest, TheBoundIsAPartOfTheShortestDeadline) {
  config.settings.classes[1].deadline = Ms(40);
  Start();
  EXPECT_EQ(gateway->downstream().max_accept_wait(), Ms(10));
  GatewayConfig changed = gateway->config();
  changed.settings.classes[1].deadline = Ms(2000);
  gateway->ApplyConfig(changed);
  EXPECT_EQ(gateway->downstream().max_accept_wait(), Ms(500));
}

// It kept 43 to 59 of them until its end, while the new process had hardly any descriptor.
TEST_F(AcceptQueueGatewayTest, AReplacedProcessKeepsNoIdleConnectionsToHosts) {
  for (int i = 0; i < 6; ++i) {
    AddHost("h" + std::to_string(i), Ok);
  }
  Start();
  std::vector<Peer> clients;
  for (int i = 0; i < 12; ++i) {
    clients.push_back(Ask(testing::Request("r" + std::to_string(i))));
  }
  ASSERT_TRUE(Until(
      [&] { return std::ranges::all_of(clients, [](Peer& peer) { return peer.Has("served"); }); }));
  const auto is_idle_free = [&] {
    return gateway->DescribeState().find("hosts_idle=0 ") != std::string::npos;
  };
  EXPECT_FALSE(is_idle_free());
  lifecycle.set_replaced(true);
  EXPECT_TRUE(Until(is_idle_free, Ms(800)));  // idle clients close after 450 ms
}

}  // namespace
}  // namespace paddlestile
