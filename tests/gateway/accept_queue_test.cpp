// Tests of a gateway that runs out of descriptors: connections in the accept queue are served or
// refused in time.
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
using testing::GetRequest;
using testing::Ms;
using testing::Peer;
using testing::RunFor;
using testing::RunUntil;

constexpr Duration kMaxWait = Ms(120);
// Tolerance beyond kMaxWait: the time limit for clients that send nothing, and delays of the test
// machine.
constexpr Duration kMargin = Ms(300);
constexpr size_t kClients = 12;  // the share of the descriptors that clients may use

class AcceptQueueTest : public DownstreamTest {
 protected:
  AcceptQueueTest() : DownstreamTest(DescriptorBudget::kReserve + 8) {  // a budget of 20
    downstream->SetMaxAcceptWait(kMaxWait, Ms(75));
  }
  // Opens kClients connections with requests that get no response, which uses the whole share.
  void FillWithRequests() {
    for (size_t i = 0; i < kClients; ++i) {
      held_clients.push_back(Connect());
      held_clients.back().Send(GetRequest("full" + std::to_string(i)));
    }
    ASSERT_TRUE(HasRequests(kClients));
  }
  // Returns the response and expects that it arrives within the bound.
  std::string ResponseInTime(Peer& peer) {
    const Time started_at = loop.Now();
    EXPECT_TRUE(RunUntil(loop, [&] { return peer.Has("\r\n\r\n") || peer.Ended(); }));
    EXPECT_LE(loop.Now() - started_at, kMaxWait + kMargin);
    return peer.Received();
  }
  void ExpectRefusedInTime() {
    Peer peer = Connect();
    peer.Send(GetRequest("refused"));
    const std::string response = ResponseInTime(peer);
    EXPECT_TRUE(response.starts_with("HTTP/1.1 503 ")) << response;
    EXPECT_NE(response.find("Retry-After: 0.075\r\n"), std::string::npos) << response;
    EXPECT_NE(response.find("Connection: close\r\n"), std::string::npos) << response;
    EXPECT_TRUE(RunUntil(loop, [&] { return peer.Ended(); }));
  }

  std::vector<Peer> held_clients;
};

// Without an idle connection to close, nobody accepted the connection until its deadline had
// passed.
TEST_F(AcceptQueueTest, RefusesInTimeWhenAllConnectionsHaveRequests) {
  FillWithRequests();
  const uint64_t refused_before = GlobalCounters().refused_client_share;
  ExpectRefusedInTime();
  EXPECT_EQ(GlobalCounters().refused_client_share - refused_before, 1u);
  EXPECT_GE(GlobalCounters().accept_wait_longest_ms, 100u);
  EXPECT_EQ(requests.size(), kClients);
}

TEST_F(AcceptQueueTest, ServesPendingConnectionIfADescriptorIsFreedInTime) {
  FillWithRequests();
  Peer peer = Connect();
  peer.Send(GetRequest("waits"));
  RunFor(loop, kMaxWait / 3);
  requests[0]->Respond({.status = 502});
  EXPECT_TRUE(HasRequests(kClients + 1));
}

TEST_F(AcceptQueueTest, ServesARequestByClosingIdleClients) {
  for (size_t i = 0; i < kClients; ++i) {
    held_clients.push_back(Connect());
  }
  RunFor(loop, Ms(250));
  Peer peer = Connect();
  peer.Send(GetRequest("a"));
  EXPECT_TRUE(HasRequests(1));
}

TEST_F(AcceptQueueTest, RefusesInTimeWhileDrained) {
  FillWithRequests();
  lifecycle.set_drained(true);
  downstream->OnLifecycleChanged();
  ExpectRefusedInTime();
}

TEST_F(AcceptQueueTest, RefusesInTimeDuringShutdown) {
  FillWithRequests();
  downstream->Shutdown(Ms(2000), [] {});
  lifecycle.set_ending();
  downstream->OnLifecycleChanged();
  ExpectRefusedInTime();
}

// As for the new process of a hot restart while the old one holds the whole budget.
TEST_F(AcceptQueueTest, RefusesInTimeWhenTheBudgetIsExhausted) {
  budget.set_held_by_other_process(budget.limit());
  const uint64_t refused_before = GlobalCounters().refused_no_descriptor;
  ExpectRefusedInTime();
  EXPECT_EQ(GlobalCounters().refused_no_descriptor - refused_before, 1u);
}

#ifndef __SANITIZE_ADDRESS__  // UBSan opens a pipe to inspect an object, which needs a descriptor
TEST_F(AcceptQueueTest, RefusesInTimeAtTheProcessDescriptorLimit) {
  Peer peer = Connect();
  peer.Send(GetRequest("refused"));
  rlimit saved_limit{};
  ASSERT_EQ(getrlimit(RLIMIT_NOFILE, &saved_limit), 0);
  const FileDescriptor highest_descriptor(dup(0));
  rlimit reduced_limit = saved_limit;
  // No further descriptor can be opened.
  reduced_limit.rlim_cur = static_cast<rlim_t>(highest_descriptor.get()) + 1;
  ASSERT_EQ(setrlimit(RLIMIT_NOFILE, &reduced_limit), 0);
  const uint64_t refused_before = GlobalCounters().refused_process_limit;
  const std::string response = ResponseInTime(peer);
  ASSERT_EQ(setrlimit(RLIMIT_NOFILE, &saved_limit), 0);
  EXPECT_TRUE(response.starts_with("HTTP/1.1 503 ")) << response;
  EXPECT_EQ(GlobalCounters().refused_process_limit - refused_before, 1u);
}
#endif

// Clients that are being refused use all descriptors reserved for refusals when other descriptors
// become free. Connections queued behind them must be served, not refused as well.
TEST_F(AcceptQueueTest, ServesConnectionsBehindRefusalsIfDescriptorsAreFreed) {
  FillWithRequests();
  std::vector<Peer> incomplete_clients;
  for (size_t i = 0; i < ConnectionRefuser::kMaxConnections; ++i) {
    incomplete_clients.push_back(Connect());
    incomplete_clients.back().Send("GET /read/1 HT");
  }
  const uint64_t accepted = GlobalCounters().downstream_connections_accepted;
  ASSERT_TRUE(RunUntil(loop, [&] {
    return GlobalCounters().downstream_connections_accepted - accepted >= incomplete_clients.size();
  }));
  const uint64_t refused_before = GlobalCounters().refused_client_share;
  for (size_t i = 0; i < 3; ++i) {
    requests[i]->Respond({.status = 502});
  }
  Peer peer = Connect();
  peer.Send(GetRequest("next"));
  EXPECT_TRUE(RunUntil(
      loop, [&] { return requests.size() > kClients; }, kMaxWait + kMargin));
  EXPECT_EQ(GlobalCounters().refused_client_share, refused_before);
  // Connections that are already being refused are still refused, and delay nobody.
  incomplete_clients[0].Send("TP/1.1\r\n\r\n");
  EXPECT_TRUE(ResponseInTime(incomplete_clients[0]).starts_with("HTTP/1.1 503 "));
}

// Refusals start each time that the gateway runs out of descriptors, and end afterwards.
TEST_F(AcceptQueueTest, RefusesInTimeAgainAfterServingInBetween) {
  FillWithRequests();
  ExpectRefusedInTime();
  requests[0]->Respond({.status = 502});
  held_clients.push_back(Connect());
  held_clients.back().Send(GetRequest("between"));
  ASSERT_TRUE(HasRequests(kClients + 1));
  ExpectRefusedInTime();
  EXPECT_EQ(requests.size(), kClients + 1);
}

#ifndef __SANITIZE_ADDRESS__  // as above
// Guards against accepting staying paused, or refusals continuing, after the process has
// descriptors again.
TEST_F(AcceptQueueTest, ServesAfterTheProcessDescriptorLimitIsRaised) {
  Peer peer = Connect();
  peer.Send(GetRequest("refused"));
  rlimit saved_limit{};
  ASSERT_EQ(getrlimit(RLIMIT_NOFILE, &saved_limit), 0);
  const FileDescriptor highest_descriptor(dup(0));
  rlimit reduced_limit = saved_limit;
  reduced_limit.rlim_cur = static_cast<rlim_t>(highest_descriptor.get()) + 1;
  ASSERT_EQ(setrlimit(RLIMIT_NOFILE, &reduced_limit), 0);
  const std::string response = ResponseInTime(peer);
  ASSERT_EQ(setrlimit(RLIMIT_NOFILE, &saved_limit), 0);
  EXPECT_TRUE(response.starts_with("HTTP/1.1 503 ")) << response;
  Peer after = Connect();
  after.Send(GetRequest("after"));
  EXPECT_TRUE(RunUntil(
      loop, [&] { return !requests.empty(); }, kMaxWait + kMargin));
}
#endif

// A process with enough descriptors for all pending connections.
class AcceptQueueTakeoverRevokedTest : public DownstreamTest {};

// The old process takes the accept queue back while it refuses connections for a new process that
// hung. It can serve the pending connections, and refuses none of them.
TEST_F(AcceptQueueTakeoverRevokedTest, ServesPendingConnectionsAfterTheNewProcessIsRevoked) {
  lifecycle.set_replaced(true);
  downstream->OnLifecycleChanged();
  std::vector<Peer> incomplete_clients, waiting;
  for (size_t i = 0; i < ConnectionRefuser::kMaxConnections; ++i) {
    incomplete_clients.push_back(Connect());
    incomplete_clients.back().Send("GET /read/1 HT");
  }
  downstream->RefuseForNewProcess();
  const uint64_t refused_before = GlobalCounters().refused_new_process_hangs;
  constexpr size_t kWaiting = 100;  // more than are accepted in one turn
  for (size_t i = 0; i < kWaiting; ++i) {
    waiting.push_back(Connect());
    waiting.back().Send(GetRequest("waits" + std::to_string(i)));
  }
  RunFor(loop, Ms(10));
  lifecycle.set_replaced(false);
  downstream->OnLifecycleChanged();
  for (Peer& incomplete_client : incomplete_clients) {
    incomplete_client.Close();  // frees descriptors for refusals in the same turn
  }
  EXPECT_TRUE(HasRequests(kWaiting));
  EXPECT_EQ(GlobalCounters().refused_new_process_hangs, refused_before);
}

// A burst of far more connections than there are descriptors reserved for refusals.
TEST_F(AcceptQueueTest, RefusesABurstInTime) {
  FillWithRequests();
  std::vector<Peer> burst;
  for (int i = 0; i < 200; ++i) {
    burst.push_back(Connect());
    burst.back().Send(GetRequest("burst" + std::to_string(i)));
  }
  for (Peer& peer : burst) {
    ASSERT_TRUE(ResponseInTime(peer).starts_with("HTTP/1.1 503 "));
  }
}

// With late rounds of the event loop, connections with unread requests were closed to make room for
// the next ones.
TEST_F(AcceptQueueTest, RefusesABurstWithASlowEventLoop) {
  FillWithRequests();
  std::vector<Peer> burst;
  for (int i = 0; i < 40; ++i) {
    burst.push_back(Connect());
    burst.back().Send(GetRequest("burst" + std::to_string(i)));
  }
  for (Peer& peer : burst) {
    ASSERT_TRUE(RunUntil(loop, [&] {
      usleep(25'000);
      return peer.Has("\r\n\r\n") || peer.Ended();
    }));
    EXPECT_TRUE(peer.Received().starts_with("HTTP/1.1 503 "));
  }
}

// A connection that has just arrived is not refused because an earlier one has waited too long.
TEST_F(AcceptQueueTest, RefusesOnlyConnectionsPastTheMaximumWait) {
  FillWithRequests();
  Peer first = Connect();
  first.Send(GetRequest("first"));
  RunFor(loop, kMaxWait * 3 / 4);
  Peer second = Connect();
  second.Send(GetRequest("second"));
  ASSERT_TRUE(RunUntil(loop, [&] { return first.Has("HTTP/1.1 503 "); }));
  EXPECT_FALSE(second.Ended());
  requests[0]->Respond({.status = 502});
  held_clients[0].Close();
  EXPECT_TRUE(HasRequests(kClients + 1));
}

// Clients that send nothing or an incomplete head get their time limit and no more.
TEST_F(AcceptQueueTest, ClientsWithoutACompleteHeadDelayNoOthers) {
  FillWithRequests();
  std::vector<Peer> silent;
  for (int i = 0; i < 60; ++i) {
    silent.push_back(Connect());
    if (i % 2 == 0) {
      silent.back().Send("GET /read/1 HT");
    }
  }
  const uint64_t unread_before = GlobalCounters().refused_unread;
  ExpectRefusedInTime();
  EXPECT_TRUE(
      RunUntil(loop, [&] { return GlobalCounters().refused_unread - unread_before == 60; }));
  for (Peer& peer : silent) {
    EXPECT_TRUE(peer.Ended());
  }
}

// Closing with unread bytes would reset the connection, and the client could lose the response.
TEST_F(AcceptQueueTest, RefusalArrivesWhileTheClientSendsItsBody) {
  FillWithRequests();
  Peer peer = Connect();
  peer.Send("POST /read/1 HTTP/1.1\r\nX-Call-Id: b\r\nContent-Length: 60000\r\n\r\nbody");
  for (int i = 0; i < 20; ++i) {
    peer.Send(std::string(1000, 'x'));
    RunFor(loop, Ms(10));
  }
  EXPECT_TRUE(ResponseInTime(peer).starts_with("HTTP/1.1 503 "));
}

TEST_F(AcceptQueueTest, RespondsToHealthChecksWhenFull) {
  FillWithRequests();
  Peer peer = Connect();
  peer.Send("GET /_health HTTP/1.1\r\n\r\n");
  EXPECT_TRUE(ResponseInTime(peer).starts_with("HTTP/1.1 200 "));
}

TEST_F(AcceptQueueTest, RespondsToMalformedRequestsWith400) {
  FillWithRequests();
  Peer peer = Connect();
  peer.Send("GET /read HTTP/1.1\nX: y\n\n");
  EXPECT_TRUE(ResponseInTime(peer).starts_with("HTTP/1.1 400 "));
}

class AcceptQueueGatewayTest : public testing::GatewayTest {};

TEST_F(AcceptQueueGatewayTest, MaximumWaitIsAQuarterOfTheShortestDeadline) {
  config.settings.classes[1].deadline = Ms(40);
  Start();
  EXPECT_EQ(gateway->downstream().max_accept_wait(), Ms(10));
  GatewayConfig changed = gateway->config();
  changed.settings.classes[1].deadline = Ms(2000);
  gateway->ApplyConfig(changed);
  EXPECT_EQ(gateway->downstream().max_accept_wait(), Ms(500));
}

// A replaced process kept 43 to 59 idle upstream connections until it exited, while the new process
// had hardly any descriptors.
TEST_F(AcceptQueueGatewayTest, ReplacedProcessClosesIdleUpstreamConnections) {
  for (int i = 0; i < 6; ++i) {
    AddHost("h" + std::to_string(i), Ok);
  }
  Start();
  std::vector<Peer> clients;
  for (int i = 0; i < 12; ++i) {
    clients.push_back(SendRequest(testing::RequestText("r" + std::to_string(i))));
  }
  ASSERT_TRUE(RunHostsUntil(
      [&] { return std::ranges::all_of(clients, [](Peer& peer) { return peer.Has("served"); }); }));
  const auto has_no_idle_upstream = [&] {
    return gateway->DescribeState().find("hosts_idle=0 ") != std::string::npos;
  };
  EXPECT_FALSE(has_no_idle_upstream());
  lifecycle.set_replaced(true);
  EXPECT_TRUE(RunHostsUntil(has_no_idle_upstream, Ms(800)));  // idle clients close after 450 ms
}

}  // namespace
}  // namespace paddlestile
