#include "discovery/discovery_client.h"

#include <fmt/format.h>
#include <gtest/gtest.h>
#include <poll.h>
#include <sys/socket.h>

#include <algorithm>
#include <atomic>
#include <cerrno>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <thread>
#include <vector>

#include "base/metrics.h"
#include "discovery/agent_messages.h"
#include "gateway/test_peers.h"

namespace paddlestile {
namespace {

using testing::Chunk;
using testing::Entry;
using testing::kHead;
using testing::Line;
using testing::Ms;
using testing::Peer;
using testing::RunUntil;

class DiscoveryClientTest : public ::testing::Test, public DiscoveryClient::Listener {
 protected:
  DiscoveryClientTest() { names.zones.Add("a"); }
  void OnEndpointList(EndpointList list) override { lists.push_back(std::move(list)); }
  void OnDiscoveryFailed() override { ++failed; }

  void StartClient(bool self_renewing_watch, double revision = 40) {
    client = std::make_unique<DiscoveryClient>(loop, port.address(), names, revision,
                                               self_renewing_watch, this);
    client->Start();
  }
  // Accepts the next connection to the agent and reads its request.
  Peer Call() {
    Peer peer = port.Accept(loop);
    EXPECT_TRUE(RunUntil(loop, [&] { return peer.Has("\r\n\r\n"); }));
    return peer;
  }

  EventLoop loop;
  NameTables names;
  testing::Port port;
  std::vector<EndpointList> lists;
  int failed = 0;
  std::unique_ptr<DiscoveryClient> client;
};

TEST_F(DiscoveryClientTest, WatchesFromTheCurrentRevision) {
  StartClient(true);
  Peer agent = Call();
  EXPECT_TRUE(agent.Has("GET /catalog/members?follow=1&since=40 HTTP/1.1\r\n"));
  agent.Send(kHead + Chunk(Line(41, false, Entry("h1"))));
  ASSERT_TRUE(RunUntil(loop, [&] { return lists.size() == 1; }));
  EXPECT_EQ(lists[0].revision, 41);
  EXPECT_FALSE(lists[0].complete);
  ASSERT_EQ(lists[0].endpoints.size(), 1u);
  EXPECT_EQ(lists[0].endpoints[0].info.id, "h1");
  EXPECT_EQ(failed, 0);
}

TEST_F(DiscoveryClientTest, ParsesLinesSplitAtEveryByte) {
  StartClient(true);
  Peer agent = Call();
  std::string all = kHead;
  // Chunks that end within lines, and lines that end within chunks.
  const std::string text =
      "\n" + Line(41, true, Entry("h1")) + "\r\n" + Line(42, false, Entry("h2"));
  all += Chunk(text.substr(0, 30)) + Chunk(text.substr(30, 120)) + Chunk(text.substr(150));
  for (const char c : all) {
    agent.Send(std::string(1, c));
    loop.RunOnce(Duration(0));
  }
  ASSERT_TRUE(RunUntil(loop, [&] { return lists.size() == 2; }));
  EXPECT_EQ(lists[0].revision, 41);
  EXPECT_EQ(lists[1].endpoints[0].info.id, "h2");
  EXPECT_EQ(failed, 0);
}

TEST_F(DiscoveryClientTest, MalformedWatchFailsOnceAndRestartsFromTheCurrentRevision) {
  const std::string invalid_responses[] = {
      kHead + Chunk("{not json}\n"),
      kHead + Chunk("{\"revision\":44}\n"),
      kHead + Chunk(Line(44, false, R"({"id":"x","phase":"active"})")),
      kHead + "xyz\r\n",
      kHead + "0\r\n\r\n",
      "HTTP/1.1 500 No\r\nContent-Length: 0\r\n\r\n",
      "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}",
      "nonsense\r\n\r\n",
  };
  StartClient(true);
  for (const std::string& text : invalid_responses) {
    Peer agent = Call();
    EXPECT_TRUE(agent.Has("since=40"));
    failed = 0;
    agent.Send(text);
    ASSERT_TRUE(RunUntil(loop, [&] { return agent.Ended(); })) << text;
    EXPECT_EQ(failed, 1) << text;
  }
  EXPECT_TRUE(lists.empty());
  Peer agent = Call();
  agent.Send(kHead + Chunk(Line(41, true, Entry("h1"))));
  EXPECT_TRUE(RunUntil(loop, [&] { return lists.size() == 1; }));
}

// An agent may lag behind others; it catches up on the same watch.
TEST_F(DiscoveryClientTest, StaleListIsIgnoredUntilTheAgentCatchesUp) {
  StartClient(true);
  Peer agent = Call();
  agent.Send(kHead + Chunk(Line(38, true, Entry("gone"))) + Chunk(Line(39, false, Entry("gone"))));
  agent.Send(Chunk(Line(41, false, Entry("h1"))));
  ASSERT_TRUE(RunUntil(loop, [&] { return lists.size() == 1; }));
  EXPECT_EQ(lists[0].endpoints[0].info.id, "h1");
  EXPECT_EQ(failed, 0);
}

// The agent uses a different revision sequence: if it were ignored forever, the list would never
// change again.
TEST_F(DiscoveryClientTest, AgentThatStaysStaleIsEventuallyAccepted) {
  StartClient(true);
  client->set_max_staleness(Ms(300));
  Peer agent = Call();
  agent.Send(kHead + Chunk(Line(3, true, Entry("h1"))));
  testing::RunFor(loop, Ms(100));
  agent.Send(Chunk("\n"));
  testing::RunFor(loop, Ms(300));
  EXPECT_TRUE(lists.empty());
  agent.Send(Chunk("\n"));
  Peer next = Call();
  EXPECT_TRUE(next.Has("since=0"));
  next.Send(kHead + Chunk(Line(4, true, Entry("h1"))));
  ASSERT_TRUE(RunUntil(loop, [&] { return lists.size() == 1; }));
  EXPECT_EQ(client->revision(), 4);
}

// The watch at the old address is used until the new one has delivered. Its end is not a failure.
TEST_F(DiscoveryClientTest, NewAddressIsWatchedAlongsideTheOldOne) {
  StartClient(true);
  Peer old = Call();
  old.Send(kHead + Chunk(Line(41, true, Entry("h1"))));
  ASSERT_TRUE(RunUntil(loop, [&] { return lists.size() == 1; }));
  testing::Port elsewhere;
  client->Redirect(elsewhere.address());
  Peer agent = elsewhere.Accept(loop);
  ASSERT_TRUE(RunUntil(loop, [&] { return agent.Has("since=41"); }));
  old.Send(Chunk(Line(42, false, Entry("h2"))));
  ASSERT_TRUE(RunUntil(loop, [&] { return lists.size() == 2; }));
  EXPECT_FALSE(old.Ended());
  agent.Send(kHead + Chunk(Line(43, false, Entry("h3"))));
  ASSERT_TRUE(RunUntil(loop, [&] { return lists.size() == 3; }));
  EXPECT_TRUE(RunUntil(loop, [&] { return old.Ended(); }));
  EXPECT_EQ(failed, 0);
  agent.Close();
  Peer restarted_watch = elsewhere.Accept(loop);
  ASSERT_TRUE(RunUntil(loop, [&] { return restarted_watch.Has("since=43"); }));
  EXPECT_FALSE(port.TryAccept());  // no new connection to the old address
}

// The first new address never responds, for example because it is misconfigured.
TEST_F(DiscoveryClientTest, SecondRedirectKeepsTheWatchThatDelivers) {
  StartClient(true);
  Peer old = Call();
  old.Send(kHead + Chunk(Line(41, true, Entry("h1"))));
  ASSERT_TRUE(RunUntil(loop, [&] { return lists.size() == 1; }));
  testing::Port silent, good;
  client->Redirect(silent.address());
  Peer first = silent.Accept(loop);
  client->Redirect(good.address());
  Peer second = good.Accept(loop);
  EXPECT_TRUE(RunUntil(loop, [&] { return first.Ended(); }));
  EXPECT_FALSE(old.Ended());
  client->Redirect(good.address());  // redirecting to the current address has no effect
  second.Send(kHead + Chunk("\n"));
  EXPECT_TRUE(RunUntil(loop, [&] { return old.Ended(); }));
  EXPECT_FALSE(second.Ended());
}

TEST_F(DiscoveryClientTest, PreviousWatchIsNotRenewedWhileTheNewAddressIsSilent) {
  StartClient(true);
  Peer old = Call();
  old.Send(kHead + Chunk("\n"));
  testing::RunFor(loop, Ms(20));
  testing::Port elsewhere;
  client->Redirect(elsewhere.address());
  Peer agent = elsewhere.Accept(loop);
  old.Reset();
  testing::RunFor(loop, Ms(600));
  EXPECT_EQ(failed, 0);
  EXPECT_FALSE(port.TryAccept());
  EXPECT_FALSE(agent.Ended());
}

TEST_F(DiscoveryClientTest, WatchOnRequestMovesToTheNewAddress) {
  StartClient(false);
  testing::Port elsewhere;
  client->Redirect(elsewhere.address());
  testing::RunFor(loop, Ms(20));
  EXPECT_FALSE(elsewhere.TryAccept());  // no watch was requested
  client->SetWatching(true);
  Peer old = elsewhere.Accept(loop);
  old.Send(kHead + Chunk("\n"));
  testing::RunFor(loop, Ms(20));
  client->Redirect(port.address());
  Peer agent = Call();
  EXPECT_TRUE(agent.Has("follow=1"));
  client->SetWatching(false);
  EXPECT_TRUE(RunUntil(loop, [&] { return old.Ended() && agent.Ended(); }));
}

TEST_F(DiscoveryClientTest, BrokenWatchIsRenewed) {
  StartClient(true);
  Peer agent = Call();
  agent.Send(kHead + Chunk(Line(41, true, Entry("h1"))));
  ASSERT_TRUE(RunUntil(loop, [&] { return lists.size() == 1; }));
  agent.Reset();
  ASSERT_TRUE(RunUntil(loop, [&] { return failed == 1; }));
  Peer next = Call();
  EXPECT_TRUE(next.Has("since=41"));
}

// An agent whose machine is down does not close its connections: only the missing keep-alive lines
// reveal it. The silent watch is kept until another one has delivered.
TEST_F(DiscoveryClientTest, SilentWatchIsReplacedUnlessEmptyLinesArrive) {
  StartClient(true);
  Peer agent = Call();
  agent.Send(kHead + Chunk("\n"));
  for (int i = 0; i < 3; ++i) {
    testing::RunFor(loop, Ms(2000));
    EXPECT_EQ(failed, 0);
    EXPECT_FALSE(port.TryAccept());
    agent.Send(Chunk("\n"));
  }
  ASSERT_TRUE(RunUntil(
      loop, [&] { return failed == 1; }, Ms(3000)));
  Peer next = Call();
  EXPECT_FALSE(agent.Ended());
  next.Send(kHead + Chunk(Line(41, true, Entry("h1"))));
  ASSERT_TRUE(RunUntil(loop, [&] { return lists.size() == 1; }));
  EXPECT_TRUE(RunUntil(loop, [&] { return agent.Ended(); }));
  EXPECT_FALSE(next.Ended());
}

TEST_F(DiscoveryClientTest, WatchOnRequestStartsOnRequest) {
  StartClient(false);
  testing::RunFor(loop, Ms(30));
  EXPECT_FALSE(port.TryAccept());
  client->SetWatching(true);
  Peer agent = Call();
  EXPECT_TRUE(agent.Has("follow=1"));
  agent.Close();
  ASSERT_TRUE(RunUntil(loop, [&] { return failed == 1; }));
  testing::RunFor(loop, Ms(300));
  EXPECT_FALSE(port.TryAccept());  // not restarted before SetWatching
  client->SetWatching(true);
  Peer next = Call();
  client->SetWatching(false);
  EXPECT_TRUE(RunUntil(loop, [&] { return next.Ended(); }));
  EXPECT_EQ(failed, 1);
}

TEST_F(DiscoveryClientTest, PollsTheCompleteListOnce) {
  StartClient(false);
  client->Poll();
  Peer agent = Call();
  EXPECT_TRUE(agent.Has("GET /catalog/members HTTP/1.1\r\n"));
  const std::string body = Line(50, true, Entry("h1") + "," + Entry("h2", "leaving"));
  agent.Send(testing::Http200(body));
  ASSERT_TRUE(RunUntil(loop, [&] { return lists.size() == 1; }));
  EXPECT_TRUE(lists[0].complete);
  EXPECT_EQ(lists[0].endpoints.size(), 2u);
  EXPECT_EQ(client->revision(), 50);
}

TEST_F(DiscoveryClientTest, TruncatedPollResponseIsRejected) {
  StartClient(false);
  client->Poll();
  Peer agent = Call();
  const std::string whole = testing::Http200(Line(50, true, Entry("h1")));
  agent.Send(whole.substr(0, whole.size() - 5));
  agent.Close();
  ASSERT_TRUE(RunUntil(loop, [&] { return failed == 1; }));
  EXPECT_TRUE(lists.empty());
  EXPECT_EQ(client->revision(), 40);
}

TEST_F(DiscoveryClientTest, EmptyListIsAccepted) {
  StartClient(true);
  Peer agent = Call();
  agent.Send(kHead + Chunk(Line(41, true, "")));
  ASSERT_TRUE(RunUntil(loop, [&] { return lists.size() == 1; }));
  EXPECT_TRUE(lists[0].endpoints.empty());
  EXPECT_EQ(failed, 0);
}

TEST_F(DiscoveryClientTest, RefusedWatchFailsAndIsRetried) {
  port.Close();
  StartClient(true);
  EXPECT_TRUE(RunUntil(loop, [&] { return failed >= 2; }));
}

// ---- Races (docs/crossings.md) ---------------------------------------------------------------

// A watch may stall at any position, or trickle bytes without a line end. Changes that it misses
// must be in effect within 6 s, so it must be restarted before that.
TEST_F(DiscoveryClientTest, WatchThatStallsAnywhereIsRestartedInTime) {
  const std::string line = Line(41, false, Entry("h1"));
  const std::string whole = kHead + Chunk(line);
  struct Case {
    std::string name, sent;
    bool trickles;
  };
  const std::vector<Case> cases = {
      {"before the head", "", false},
      {"in the head", kHead.substr(0, 30), false},
      {"in the head, a byte at a time", "HTTP/1.1 200 OK\r\nX-Pad: ", true},
      {"between lines", whole, false},
      {"in a line", whole + Chunk(line.substr(0, 20)), false},
      {"in a line, a byte at a time", whole + Chunk(line.substr(0, 20)), true},
      {"in a chunk size", whole + "1", false},
      {"in a chunk", whole + "40\r\n" + line.substr(0, 10), false},
  };
  struct Agent final : DiscoveryClient::Listener {
    void OnEndpointList(EndpointList) override { ++lists; }
    void OnDiscoveryFailed() override { ++failed; }
    testing::Port port;
    std::unique_ptr<DiscoveryClient> watch;
    Peer peer, restarted;
    Time silent_since{0}, restarted_at{0};
    int lists = 0, failed = 0;
  };
  std::vector<std::unique_ptr<Agent>> agents;
  for (const Case& c : cases) {
    agents.push_back(std::make_unique<Agent>());
    Agent& agent = *agents.back();
    agent.watch =
        std::make_unique<DiscoveryClient>(loop, agent.port.address(), names, 40, true, &agent);
    agent.watch->Start();
    agent.peer = agent.port.Accept(loop);
    ASSERT_TRUE(RunUntil(loop, [&] { return agent.peer.Has("\r\n\r\n"); }));
    agent.peer.Send(c.sent);
    agent.silent_since = loop.Now();
  }
  Time next_send = loop.Now();
  RunUntil(
      loop,
      [&] {
        bool all_restarted = true;
        for (size_t i = 0; i < agents.size(); ++i) {
          Agent& agent = *agents[i];
          // Sends a space, which is allowed within a line and within a header.
          const bool in_line = cases[i].name.find("line") != std::string::npos;
          if (cases[i].trickles && loop.Now() > next_send) {
            agent.peer.Send(in_line ? Chunk(" ") : " ");
          }
          if (!agent.restarted && (agent.restarted = agent.port.TryAccept())) {
            agent.restarted_at = loop.Now();
          }
          all_restarted = all_restarted && agent.restarted;
        }
        if (loop.Now() > next_send) {
          next_send = loop.Now() + Ms(200);
        }
        return all_restarted;
      },
      Ms(6500));
  for (size_t i = 0; i < agents.size(); ++i) {
    EXPECT_TRUE(agents[i]->restarted) << cases[i].name;
    EXPECT_LT(agents[i]->restarted_at - agents[i]->silent_since, Ms(5600)) << cases[i].name;
    EXPECT_GE(agents[i]->failed, 1) << cases[i].name;
    EXPECT_EQ(agents[i]->lists, cases[i].sent.starts_with(whole) ? 1 : 0) << cases[i].name;
  }
}

// An agent that accepts a watch and sends nothing must not delay the next one by another 5 s.
TEST_F(DiscoveryClientTest, SilentAgentIsRetriedSoon) {
  StartClient(true);
  Peer silent = Call();
  const Time started_at = loop.Now();
  Peer restarted_watch = Call();
  EXPECT_LT(loop.Now() - started_at, Ms(2600));
  EXPECT_FALSE(silent.Ended());  // it may still respond
  restarted_watch.Send(kHead + Chunk(Line(41, false, Entry("h1"))));
  EXPECT_TRUE(RunUntil(loop, [&] { return lists.size() == 1; }));
  EXPECT_TRUE(RunUntil(loop, [&] { return silent.Ended(); }));
}

// A list object may be indented over several lines.
TEST_F(DiscoveryClientTest, IndentedListIsAccepted) {
  StartClient(true);
  Peer agent = Call();
  const std::string text =
      "{\n  \"revision\": 41,\n  \"complete\": true,\r\n  \"members\": [\n    " + Entry("h1") +
      "\n  ]\n}\n\n{\n\t\"revision\": 42, \"complete\": false,\n\t\"members\": []\n}\n";
  for (const char c : kHead + Chunk(text.substr(0, 50)) + Chunk(text.substr(50))) {
    agent.Send(std::string(1, c));
    loop.RunOnce(Duration(0));
  }
  ASSERT_TRUE(RunUntil(loop, [&] { return lists.size() == 2; }));
  EXPECT_EQ(lists[0].endpoints.size(), 1u);
  EXPECT_EQ(lists[1].revision, 42);
  EXPECT_EQ(failed, 0);
}

// A truncated line followed by keep-alive lines is detected immediately.
TEST_F(DiscoveryClientTest, TruncatedLineIsDetectedImmediately) {
  const std::string line = Line(41, false, Entry("h1"));
  StartClient(true);
  // Truncated within a string, a number, between values, in a list; followed by an empty line or
  // another list.
  for (const size_t at : {line.find("h1") + 1, size_t{13}, size_t{15}, line.find('[') + 1}) {
    for (const std::string& next : {std::string("\n"), line}) {
      failed = 0;
      Peer agent = Call();
      agent.Send(kHead + Chunk(line.substr(0, at) + "\n" + next));
      ASSERT_TRUE(RunUntil(
          loop, [&] { return failed == 1; }, Ms(200)))
          << at << next;
      ASSERT_TRUE(RunUntil(loop, [&] { return agent.Ended(); }));
    }
  }
  EXPECT_TRUE(lists.empty());
}

// A Poll call while a poll is in progress does not start another one.
TEST_F(DiscoveryClientTest, SecondPollJoinsTheOneInProgress) {
  StartClient(false);
  client->Poll();
  Peer agent = Call();
  client->Poll();
  testing::RunFor(loop, Ms(20));
  EXPECT_FALSE(agent.Ended());
  agent.Send(testing::Http200(Line(41, true, Entry("h1"))));
  EXPECT_TRUE(RunUntil(loop, [&] { return lists.size() == 1; }));
  EXPECT_EQ(failed, 0);
  client->Poll();
  Peer next = Call();
  EXPECT_TRUE(next.Has("GET /catalog/members HTTP/1.1\r\n"));
}

// The connection is reset just before a change: the watch restarts quickly and delivers it.
TEST_F(DiscoveryClientTest, ResetJustBeforeADrainDelaysItLittle) {
  StartClient(true);
  Peer agent = Call();
  agent.Send(kHead + Chunk(Line(41, true, Entry("h1"))));
  ASSERT_TRUE(RunUntil(loop, [&] { return lists.size() == 1; }));
  const Time started_at = loop.Now();
  agent.Reset();
  Peer restarted_watch = Call();
  EXPECT_TRUE(restarted_watch.Has("since=41"));
  restarted_watch.Send(kHead + Chunk(Line(42, false, Entry("h1", "leaving"))));
  ASSERT_TRUE(RunUntil(loop, [&] { return lists.size() == 2; }));
  EXPECT_EQ(lists[1].endpoints[0].info.state, EndpointState::kDraining);
  EXPECT_LT(loop.Now() - started_at, Ms(300));
}

// Redirects to a new address and back before the new one has delivered: a single watch
// remains and receives all changes.
TEST_F(DiscoveryClientTest, RedirectAndBackKeepsOneWatch) {
  StartClient(true);
  Peer first = Call();
  first.Send(kHead + Chunk(Line(41, true, Entry("h1"))));
  ASSERT_TRUE(RunUntil(loop, [&] { return lists.size() == 1; }));
  testing::Port other;
  client->Redirect(other.address());
  Peer redirected_watch = other.Accept(loop);
  client->Redirect(port.address());
  Peer final_watch = Call();
  EXPECT_TRUE(RunUntil(loop, [&] { return redirected_watch.Ended(); }));
  EXPECT_FALSE(first.Ended());  // kept until the new watch has delivered
  final_watch.Send(kHead + Chunk(Line(42, false, Entry("h1", "leaving"))));
  ASSERT_TRUE(RunUntil(loop, [&] { return lists.size() == 2; }));
  EXPECT_TRUE(RunUntil(loop, [&] { return first.Ended(); }));
  final_watch.Send(Chunk(Line(43, false, Entry("h1", "left"))));
  EXPECT_TRUE(RunUntil(loop, [&] { return lists.size() == 3; }));
  EXPECT_EQ(failed, 0);
}

// ---- Oversized lists -------------------------------------------------------------------------

class OversizedListTest : public DiscoveryClientTest {
 protected:
  static constexpr size_t kMaxListBytes = 20'000;
  void StartWithSmallLimit(bool self_renewing_watch) {
    client = std::make_unique<DiscoveryClient>(loop, port.address(), names, 40, self_renewing_watch,
                                               this);
    client->set_max_list_bytes(kMaxListBytes);
    client->set_oversize_backoff(Ms(60), Ms(480));
    client->Start();
  }
  // Simulates the load balancer, which requests again soon after each failure.
  void OnDiscoveryFailed() override {
    ++failed;
    loop.RunAfter(Ms(10), [this] {
      if (request_again) {
        request_again();
      }
    });
  }
  // Returns a list line of at least `bytes` bytes.
  static std::string ListOfAtLeast(size_t bytes, int revision = 60) {
    std::string members = Entry("h0");
    members.reserve(bytes + 200);
    for (int i = 1; members.size() < bytes; ++i) {
      members += "," + Entry("h" + std::to_string(i));
    }
    return Line(revision, true, members);
  }
  // Sends `text` as fast as it is read, until `finished` returns true. Returns the bytes sent.
  size_t SendUntil(Peer& agent, std::string_view text, const std::function<bool()>& finished) {
    size_t sent = 0;
    EXPECT_TRUE(RunUntil(
        loop,
        [&] {
          while (sent < text.size()) {
            const std::string_view part = text.substr(sent, 1 << 16);
            const ssize_t n = send(agent.fd(), part.data(), part.size(), MSG_NOSIGNAL);
            if (n <= 0)
              break;
            sent += static_cast<size_t>(n);
          }
          return finished();
        },
        Ms(20'000)));
    return sent;
  }
  size_t SendUntilClosed(Peer& agent, std::string_view text) {
    return SendUntil(agent, text, [&] { return agent.Ended(); });
  }
  // Returns the delays in ms between successive calls, each answered with `text`, or reset if it is
  // empty.
  std::vector<double> DelaysBetweenCalls(int count, const std::string& text) {
    std::vector<double> delays;
    Time last{0};
    for (int i = 0; i <= count; ++i) {
      Peer agent = Call();
      if (i > 0) {
        delays.push_back(static_cast<double>((loop.Now() - last).count()) / 1000);
      }
      last = loop.Now();
      if (text.empty()) {
        agent.Reset();
      } else {
        SendUntilClosed(agent, text);
      }
    }
    return delays;
  }
  static void ExpectDelays(const std::vector<double>& delays,
                           const std::vector<double>& expected_ms) {
    ASSERT_EQ(delays.size(), expected_ms.size());
    for (size_t i = 0; i < delays.size(); ++i) {
      EXPECT_GE(delays[i], expected_ms[i] - 1) << i;
      EXPECT_LT(delays[i], expected_ms[i] + 250) << i;  // tolerance for a busy machine
    }
  }
  static size_t CountOf(const std::string& text, const std::string& part) {
    size_t count = 0;
    for (size_t at = text.find(part); at != std::string::npos; at = text.find(part, at + 1)) {
      ++count;
    }
    return count;
  }

  std::function<void()> request_again;
};

TEST_F(OversizedListTest, SelfRenewingWatchBacksOff) {
  const uint64_t too_long = GlobalCounters().discovery_too_long,
                 malformed = GlobalCounters().discovery_malformed;
  ::testing::internal::CaptureStderr();
  StartWithSmallLimit(true);
  const auto delays = DelaysBetweenCalls(6, kHead + Chunk(ListOfAtLeast(kMaxListBytes)));
  const std::string log = ::testing::internal::GetCapturedStderr();
  ExpectDelays(delays, {60, 120, 240, 480, 480, 480});
  EXPECT_EQ(GlobalCounters().discovery_too_long, too_long + 7);
  EXPECT_EQ(GlobalCounters().discovery_malformed, malformed);
  EXPECT_EQ(failed, 7);
  EXPECT_TRUE(lists.empty());
  EXPECT_EQ(client->revision(), 40);
  EXPECT_EQ(CountOf(log, "too long"), 1u) << log;  // not for each attempt
  EXPECT_EQ(CountOf(log, "discovery"), 1u) << log;
}

TEST_F(OversizedListTest, WatchOnRequestBacksOff) {
  StartWithSmallLimit(false);
  request_again = [this] {
    client->SetWatching(true);
  };
  client->SetWatching(true);
  ExpectDelays(DelaysBetweenCalls(5, kHead + Chunk(ListOfAtLeast(kMaxListBytes))),
               {60, 120, 240, 480, 480});
  // Not restarted after SetWatching(false).
  request_again = nullptr;
  client->SetWatching(true);
  client->SetWatching(false);
  testing::RunFor(loop, Ms(700));
  EXPECT_FALSE(port.TryAccept());
}

TEST_F(OversizedListTest, PollBacksOff) {
  const uint64_t too_long = GlobalCounters().discovery_too_long;
  ::testing::internal::CaptureStderr();
  StartWithSmallLimit(false);
  request_again = [this] {
    client->Poll();
  };
  client->Poll();
  const auto delays = DelaysBetweenCalls(3, testing::Http200(ListOfAtLeast(kMaxListBytes)));
  const auto chunked =
      DelaysBetweenCalls(1, kHead + Chunk(ListOfAtLeast(kMaxListBytes)) + "0\r\n\r\n");
  const std::string log = ::testing::internal::GetCapturedStderr();
  ExpectDelays(delays, {60, 120, 240});
  ExpectDelays(chunked, {480});
  EXPECT_EQ(GlobalCounters().discovery_too_long, too_long + 6);
  EXPECT_EQ(CountOf(log, "discovery"), 1u) << log;
}

// Only an accepted list resets the backoff.
TEST_F(OversizedListTest, AcceptedListResetsTheBackoff) {
  ::testing::internal::CaptureStderr();
  StartWithSmallLimit(true);
  DelaysBetweenCalls(3, kHead + Chunk(ListOfAtLeast(kMaxListBytes)));
  Peer recovered = Call();
  recovered.Send(kHead + Chunk(Line(61, true, Entry("h1"))));
  ASSERT_TRUE(RunUntil(loop, [&] { return lists.size() == 1; }));
  EXPECT_EQ(client->revision(), 61);
  SendUntilClosed(recovered, Chunk(ListOfAtLeast(kMaxListBytes, 62)));
  const Time closed_at = loop.Now();
  Call();
  EXPECT_LT(loop.Now() - closed_at, Ms(60 + 250));
  const std::string log = ::testing::internal::GetCapturedStderr();
  EXPECT_EQ(CountOf(log, "too long"), 2u) << log;  // once for each sequence of oversized lists
}

// A keep-alive line does not reset the backoff.
TEST_F(OversizedListTest, EmptyLineKeepsTheBackoff) {
  StartWithSmallLimit(true);
  ExpectDelays(DelaysBetweenCalls(4, kHead + Chunk("\n") + Chunk(ListOfAtLeast(kMaxListBytes))),
               {60, 120, 240, 480});
}

// Changes must be in effect within 6 s; only oversized lists may delay them further.
TEST_F(OversizedListTest, OtherFailuresKeepTheirRetryDelay) {
  client = std::make_unique<DiscoveryClient>(loop, port.address(), names, 40, true, this);
  client->set_max_list_bytes(kMaxListBytes);
  client->set_oversize_backoff(Ms(700), Ms(1500));
  client->Start();
  DelaysBetweenCalls(1, kHead + Chunk(ListOfAtLeast(kMaxListBytes)));
  Call().Reset();  // preceded by the delay of the oversized list
  ExpectDelays(DelaysBetweenCalls(4, ""), {100, 200, 400, 400});
  // The backoff continues from its last value.
  Peer agent = Call();
  SendUntilClosed(agent, kHead + Chunk(ListOfAtLeast(kMaxListBytes)));
  const Time closed_at = loop.Now();
  Call();
  EXPECT_GE(loop.Now() - closed_at, Ms(1400));
}

// An oversized poll response does not delay a watch, which may deliver only changes.
TEST_F(OversizedListTest, OversizedPollDoesNotDelayTheWatch) {
  client = std::make_unique<DiscoveryClient>(loop, port.address(), names, 40, false, this);
  client->set_max_list_bytes(kMaxListBytes);
  client->set_oversize_backoff(Ms(5000), Ms(5000));
  client->Poll();
  Peer agent = Call();
  SendUntilClosed(agent, testing::Http200(ListOfAtLeast(kMaxListBytes)));
  client->SetWatching(true);
  const Time requested_at = loop.Now();
  Call();
  EXPECT_LT(loop.Now() - requested_at, Ms(250));
}

TEST_F(OversizedListTest, NewAddressIsWatchedImmediately) {
  for (const bool self_renewing_watch : {true, false}) {
    client = std::make_unique<DiscoveryClient>(loop, port.address(), names, 40, self_renewing_watch,
                                               this);
    client->set_max_list_bytes(kMaxListBytes);
    client->set_oversize_backoff(Ms(300), Ms(20'000));
    client->Start();
    request_again = self_renewing_watch ? std::function<void()>() : [this] {
      client->SetWatching(true);
    };
    if (!self_renewing_watch) {
      client->SetWatching(true);
    }
    DelaysBetweenCalls(2, kHead + Chunk(ListOfAtLeast(kMaxListBytes)));  // the next delay is 1.2 s
    testing::RunFor(loop, Ms(30));
    testing::Port elsewhere;
    client->Redirect(elsewhere.address());
    const Time requested_at = loop.Now();
    Peer agent = elsewhere.Accept(loop);
    EXPECT_LT(loop.Now() - requested_at, Ms(250)) << self_renewing_watch;
    // The backoff starts over at the new address.
    SendUntilClosed(agent, kHead + Chunk(ListOfAtLeast(kMaxListBytes)));
    const Time closed_at = loop.Now();
    Peer restarted_watch = elsewhere.Accept(loop);
    EXPECT_GE(loop.Now() - closed_at, Ms(290)) << self_renewing_watch;
    EXPECT_LT(loop.Now() - closed_at, Ms(600)) << self_renewing_watch;
    client.reset();
  }
}

// Lists that the previous watch delivers do not reset the backoff of the new one.
TEST_F(OversizedListTest, ListFromTheOldAddressKeepsTheBackoff) {
  StartWithSmallLimit(true);
  Peer old = Call();
  old.Send(kHead + Chunk(Line(41, true, Entry("h1"))));
  ASSERT_TRUE(RunUntil(loop, [&] { return lists.size() == 1; }));
  testing::Port elsewhere;
  client->Redirect(elsewhere.address());
  Time last{0};
  std::vector<double> delays;
  for (int i = 0; i < 4; ++i) {
    Peer agent = elsewhere.Accept(loop);
    if (i > 0) {
      delays.push_back(static_cast<double>((loop.Now() - last).count()) / 1000);
    }
    last = loop.Now();
    SendUntilClosed(agent, kHead + Chunk(ListOfAtLeast(kMaxListBytes)));
    old.Send(Chunk(Line(42 + i, false, Entry("h2"))));
  }
  EXPECT_EQ(lists.size(), 4u);  // all changes sent except the last
  ExpectDelays(delays, {60, 120, 240});
}

// A change that the agent repeats before each oversized list does not reset the backoff.
TEST_F(OversizedListTest, RepeatedChangeKeepsTheBackoff) {
  StartWithSmallLimit(true);
  const std::string change = Chunk(Line(41, false, Entry("h1")));
  ExpectDelays(DelaysBetweenCalls(4, kHead + change + Chunk(ListOfAtLeast(kMaxListBytes))),
               {60, 120, 240, 480});
}

// With the default limit and a peer that sends while the client reads, little beyond the limit is
// transferred.
TEST_F(OversizedListTest, TransferStopsNearTheLimit) {
  const std::string text = ListOfAtLeast(13 << 20);
  const size_t limit = size_t{4} << 20, tolerance = size_t{1} << 20;  // for kernel buffers
  const auto bytes_sent = [&](const std::string& response) {
    Peer agent = Call();
    const int size = 1 << 16;  // small: bytes that stay in the send buffer count as sent
    setsockopt(agent.fd(), SOL_SOCKET, SO_SNDBUF, &size, sizeof(size));
    std::atomic<size_t> sent = 0;
    std::atomic<bool> done = false;
    std::thread sender([&] {
      while (sent < response.size()) {
        pollfd wait{agent.fd(), POLLOUT, 0};
        poll(&wait, 1, 1000);
        const ssize_t n = send(agent.fd(), response.data() + sent,
                               std::min<size_t>(response.size() - sent, 1 << 16), MSG_NOSIGNAL);
        if (n < 0 && errno != EAGAIN) {
          break;
        }
        if (n > 0) {
          sent += static_cast<size_t>(n);
        }
      }
      done = true;
    });
    const bool ended = RunUntil(
        loop, [&] { return done.load(); }, Ms(20'000));
    EXPECT_TRUE(ended);
    client.reset();  // closes the connection if it is still open
    sender.join();
    return sent.load();
  };
  StartClient(false);
  client->Poll();
  EXPECT_LT(bytes_sent(testing::Http200(text)), tolerance);
  StartClient(false);
  client->Poll();
  EXPECT_LT(bytes_sent(kHead + Chunk(text) + "0\r\n\r\n"), limit + tolerance);
  StartClient(true);
  EXPECT_LT(bytes_sent(kHead + Chunk(text)), limit + tolerance);
  EXPECT_TRUE(lists.empty());
}

// A list that takes several reads is accepted without waiting for further data.
TEST_F(OversizedListTest, ListWithinTheLimitNeedsNoFurtherData) {
  const std::string text = ListOfAtLeast(700'000);
  StartClient(true);
  Peer agent = Call();
  SendUntil(agent, kHead + Chunk(text), [&] { return lists.size() == 1; });
  ASSERT_EQ(lists.size(), 1u);
  EXPECT_EQ(failed, 0);
  client->Poll();
  Peer other = Call();
  SendUntil(other, testing::Http200(text), [&] { return lists.size() == 2; });
  ASSERT_EQ(lists.size(), 2u);
  EXPECT_EQ(lists[0].endpoints.size(), lists[1].endpoints.size());
  EXPECT_EQ(failed, 0);
}

}  // namespace
}  // namespace paddlestile
