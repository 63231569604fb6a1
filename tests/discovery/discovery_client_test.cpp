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
#include "gateway/test_peers.h"

namespace paddlestile {
namespace {

using testing::Ms;
using testing::Peer;
using testing::RunUntil;

std::string Entry(const std::string& id, const std::string& phase = "active") {
  return R"({"id":")" + id + R"(","host_port":"127.0.0.1:81","locality":"a","phase":")" + phase +
         R"(","up_since_ms":0,"new_field":[1]})";
}
std::string Line(int revision, bool complete, const std::string& members) {
  return R"({"revision":)" + std::to_string(revision) + R"(,"complete":)" +
         (complete ? "true" : "false") + R"(,"members":[)" + members + "]}\n";
}
std::string Chunk(const std::string& text) {
  return fmt::format("{:x}\r\n{}\r\n", text.size(), text);
}
const std::string kHead = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";

class DiscoveryClientTest : public ::testing::Test, public DiscoveryClient::Listener {
 protected:
  DiscoveryClientTest() { names.zones.Add("a"); }
  void OnEndpointList(EndpointList client) override { lists.push_back(std::move(client)); }
  void OnDiscoveryFailed() override { ++failed; }

  void StartClient(bool self_renewing_watch, double revision = 40) {
    client = std::make_unique<DiscoveryClient>(loop, port.address(), names, revision,
                                               self_renewing_watch, this);
    client->Start();
  }
  // The next connection to the agent, with its request read.
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

TEST_F(DiscoveryClientTest, WatchesFromThePresentRevision) {
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

TEST_F(DiscoveryClientTest, LinesSplitAtEveryByteComeOutTheSame) {
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

TEST_F(DiscoveryClientTest, MalformedWatchFailsOnceAndIsRenewedFromThePresentRevision) {
  const std::string bad[] = {
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
  for (const std::string& text : bad) {
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

// It lags, as the agent of another machine may: it catches up on the same watch.
TEST_F(DiscoveryClientTest, StaleListIsIgnoredUntilTheAgentCatchesUp) {
  StartClient(true);
  Peer agent = Call();
  agent.Send(kHead + Chunk(Line(38, true, Entry("gone"))) + Chunk(Line(39, false, Entry("gone"))));
  agent.Send(Chunk(Line(41, false, Entry("h1"))));
  ASSERT_TRUE(RunUntil(loop, [&] { return lists.size() == 1; }));
  EXPECT_EQ(lists[0].endpoints[0].info.id, "h1");
  EXPECT_EQ(failed, 0);
}

// It has its own count of revisions: ignored for ever, the list would never change again.
TEST_F(DiscoveryClientTest, AgentThatStaysStaleIsAcceptedInTheEnd) {
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

// The watch at the old address delivers until the new one has; its end then is no failure.
TEST_F(DiscoveryClientTest, NewAddressIsWatchedAtOnceBesideTheOldOne) {
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
  Peer again = elsewhere.Accept(loop);
  ASSERT_TRUE(RunUntil(loop, [&] { return again.Has("since=43"); }));
  EXPECT_FALSE(port.TryAccept());  // the old one is left alone
}

// The first new address is silent, as one configured by mistake may be.
TEST_F(DiscoveryClientTest, TwoNewAddressesInARowKeepTheOneThatDelivers) {
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
  client->Redirect(good.address());  // the same again changes nothing
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
  EXPECT_FALSE(elsewhere.TryAccept());  // nobody has asked for one
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

// An agent that is down is silent and closes nothing: only the missing empty lines show it.
TEST_F(DiscoveryClientTest, SilentWatchTimesOutButEmptyLinesKeepIt) {
  StartClient(true);
  Peer agent = Call();
  agent.Send(kHead + Chunk("\n"));
  testing::RunFor(loop, Ms(2500));
  agent.Send(Chunk("\n"));
  testing::RunFor(loop, Ms(3000));
  EXPECT_EQ(failed, 0);  // 5.5 s, but an empty line in between
  ASSERT_TRUE(RunUntil(
      loop, [&] { return failed == 1; }, Ms(3000)));
  EXPECT_TRUE(agent.Ended());
}

TEST_F(DiscoveryClientTest, WatchOnRequestBeginsOnRequest) {
  StartClient(false);
  testing::RunFor(loop, Ms(30));
  EXPECT_FALSE(port.TryAccept());
  client->SetWatching(true);
  Peer agent = Call();
  EXPECT_TRUE(agent.Has("follow=1"));
  agent.Close();
  ASSERT_TRUE(RunUntil(loop, [&] { return failed == 1; }));
  testing::RunFor(loop, Ms(300));
  EXPECT_FALSE(port.TryAccept());  // it asks again itself, when it wants to
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

TEST_F(DiscoveryClientTest, IncompletePollIsNoList) {
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

// A watch that falls silent anywhere, or drips without a line end: changes that it misses must be
// in effect 6 s after, so that it is renewed before that.
TEST_F(DiscoveryClientTest, WatchThatFallsSilentAnywhereIsRenewedInTime) {
  const std::string line = Line(41, false, Entry("h1"));
  const std::string whole = kHead + Chunk(line);
  struct Case {
    std::string what, said;
    bool trickles;
  };
  const std::vector<Case> cases = {
      {"before the head", "", false},
      {"in the head", kHead.substr(0, 30), false},
      {"in the head, a byte at a time", "HTTP/1.1 200 OK\r\nX-Pad: ", true},
      {"between lines", whole, false},
      {"in a line", whole + Chunk(line.substr(0, 20)), false},
      {"in a line, a byte at a time", whole + Chunk(line.substr(0, 20)), true},
      {"in a chunk's size", whole + "1", false},
      {"in a chunk", whole + "40\r\n" + line.substr(0, 10), false},
  };
  struct Agent final : DiscoveryClient::Listener {
    void OnEndpointList(EndpointList) override { ++lists; }
    void OnDiscoveryFailed() override { ++failed; }
    testing::Port port;
    std::unique_ptr<DiscoveryClient> watch;
    Peer peer, again;
    Time silent{0}, anew{0};
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
    agent.peer.Send(c.said);
    agent.silent = loop.Now();
  }
  Time next = loop.Now();
  RunUntil(
      loop,
      [&] {
        bool all = true;
        for (size_t i = 0; i < agents.size(); ++i) {
          Agent& agent = *agents[i];
          // A space is white space in a line and in a header.
          const bool in_chunk = cases[i].what.find("line") != std::string::npos;
          if (cases[i].trickles && loop.Now() > next) {
            agent.peer.Send(in_chunk ? Chunk(" ") : " ");
          }
          if (!agent.again && (agent.again = agent.port.TryAccept())) {
            agent.anew = loop.Now();
          }
          all = all && agent.again;
        }
        if (loop.Now() > next) {
          next = loop.Now() + Ms(200);
        }
        return all;
      },
      Ms(6500));
  for (size_t i = 0; i < agents.size(); ++i) {
    EXPECT_TRUE(agents[i]->again) << cases[i].what;
    EXPECT_LT(agents[i]->anew - agents[i]->silent, Ms(5600)) << cases[i].what;
    EXPECT_GE(agents[i]->failed, 1) << cases[i].what;
    EXPECT_EQ(agents[i]->lists, cases[i].said.starts_with(whole) ? 1 : 0) << cases[i].what;
  }
}

// An agent that accepts the new watch and sends nothing must not cost five seconds more.
TEST_F(DiscoveryClientTest, SilentAgentIsRetriedSoon) {
  StartClient(true);
  Peer silent = Call();
  const Time began = loop.Now();
  Peer again = Call();
  EXPECT_LT(loop.Now() - began, Ms(2600));
  EXPECT_TRUE(silent.Ended());
  again.Send(kHead + Chunk(Line(41, false, Entry("h1"))));
  EXPECT_TRUE(RunUntil(loop, [&] { return lists.size() == 1; }));
}

// Lists may be indented: line ends within an object are white space.
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

// A truncated line, with keep-alive lines behind it, is detected at once.
TEST_F(DiscoveryClientTest, TruncatedLineIsNotWaitedFor) {
  const std::string line = Line(41, false, Entry("h1"));
  StartClient(true);
  // Within a string, within a number, between two values, in a list; then another line or none.
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

// Two polls at once: the first call serves both, and both get the list.
TEST_F(DiscoveryClientTest, SecondPollIsServedByTheFirst) {
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

// Reset just before a change: the watch is renewed at once and delivers it.
TEST_F(DiscoveryClientTest, ResetJustBeforeADrainLosesLittleTime) {
  StartClient(true);
  Peer agent = Call();
  agent.Send(kHead + Chunk(Line(41, true, Entry("h1"))));
  ASSERT_TRUE(RunUntil(loop, [&] { return lists.size() == 1; }));
  const Time began = loop.Now();
  agent.Reset();
  Peer again = Call();
  EXPECT_TRUE(again.Has("since=41"));
  again.Send(kHead + Chunk(Line(42, false, Entry("h1", "leaving"))));
  ASSERT_TRUE(RunUntil(loop, [&] { return lists.size() == 2; }));
  EXPECT_EQ(lists[1].endpoints[0].info.state, EndpointState::kDraining);
  EXPECT_LT(loop.Now() - began, Ms(300));
}

// To the new address and back before the new one has delivered: one watch stays, and gets all
// changes.
TEST_F(DiscoveryClientTest, RedirectAndBackKeepsOneWatch) {
  StartClient(true);
  Peer first = Call();
  first.Send(kHead + Chunk(Line(41, true, Entry("h1"))));
  ASSERT_TRUE(RunUntil(loop, [&] { return lists.size() == 1; }));
  testing::Port other;
  client->Redirect(other.address());
  Peer there = other.Accept(loop);
  client->Redirect(port.address());
  Peer back = Call();
  EXPECT_TRUE(RunUntil(loop, [&] { return there.Ended(); }));
  EXPECT_FALSE(first.Ended());  // tells until the new one has spoken
  back.Send(kHead + Chunk(Line(42, false, Entry("h1", "leaving"))));
  ASSERT_TRUE(RunUntil(loop, [&] { return lists.size() == 2; }));
  EXPECT_TRUE(RunUntil(loop, [&] { return first.Ended(); }));
  back.Send(Chunk(Line(43, false, Entry("h1", "left"))));
  EXPECT_TRUE(RunUntil(loop, [&] { return lists.size() == 3; }));
  EXPECT_EQ(failed, 0);
}

// ---- Oversized lists -------------------------------------------------------------------------

class OversizedListTest : public DiscoveryClientTest {
 protected:
  static constexpr size_t kMost = 20'000;
  void BeginShort(bool self_renewing_watch) {
    client = std::make_unique<DiscoveryClient>(loop, port.address(), names, 40, self_renewing_watch,
                                               this);
    client->set_max_list_bytes(kMost);
    client->set_oversize_backoff(Ms(60), Ms(480));
    client->Start();
  }
  // On request: the load balancer requests again soon after each failure.
  void OnDiscoveryFailed() override {
    ++failed;
    loop.RunAfter(Ms(10), [this] {
      if (ask) {
        ask();
      }
    });
  }
  // A list of at least so many bytes.
  static std::string Long(size_t bytes, int revision = 60) {
    std::string members = Entry("h0");
    members.reserve(bytes + 200);
    for (int i = 1; members.size() < bytes; ++i) {
      members += "," + Entry("h" + std::to_string(i));
    }
    return Line(revision, true, members);
  }
  // Sends it as fast as it is read, until the peer closes or has all; returns the bytes sent.
  size_t Say(Peer& agent, std::string_view text, const std::function<bool()>& over) {
    size_t said = 0;
    EXPECT_TRUE(RunUntil(
        loop,
        [&] {
          while (said < text.size()) {
            const std::string_view part = text.substr(said, 1 << 16);
            const ssize_t n = send(agent.fd(), part.data(), part.size(), MSG_NOSIGNAL);
            if (n <= 0)
              break;
            said += static_cast<size_t>(n);
          }
          return over();
        },
        Ms(20'000)));
    return said;
  }
  size_t SayUntilCut(Peer& agent, std::string_view text) {
    return Say(agent, text, [&] { return agent.Ended(); });
  }
  // The delays from one call to the next while each gets this response.
  std::vector<double> Gaps(int count, const std::string& text) {
    std::vector<double> gaps;
    Time last{0};
    for (int i = 0; i <= count; ++i) {
      Peer agent = Call();
      if (i > 0) {
        gaps.push_back(static_cast<double>((loop.Now() - last).count()) / 1000);
      }
      last = loop.Now();
      if (text.empty()) {
        agent.Reset();
      } else {
        SayUntilCut(agent, text);
      }
    }
    return gaps;
  }
  static void ExpectPace(const std::vector<double>& gaps, const std::vector<double>& waits) {
    ASSERT_EQ(gaps.size(), waits.size());
    for (size_t i = 0; i < gaps.size(); ++i) {
      EXPECT_GE(gaps[i], waits[i] - 1) << i;
      EXPECT_LT(gaps[i], waits[i] + 250) << i;  // what a busy machine adds
    }
  }
  static size_t CountOf(const std::string& text, const std::string& part) {
    size_t count = 0;
    for (size_t at = text.find(part); at != std::string::npos; at = text.find(part, at + 1)) {
      ++count;
    }
    return count;
  }

  std::function<void()> ask;
};

TEST_F(OversizedListTest, SelfRenewingWatchBacksOff) {
  const uint64_t too_long = GlobalCounters().discovery_too_long,
                 malformed = GlobalCounters().discovery_malformed;
  ::testing::internal::CaptureStderr();
  BeginShort(true);
  const auto gaps = Gaps(6, kHead + Chunk(Long(kMost)));
  const std::string log = ::testing::internal::GetCapturedStderr();
  ExpectPace(gaps, {60, 120, 240, 480, 480, 480});
  EXPECT_EQ(GlobalCounters().discovery_too_long, too_long + 7);
  EXPECT_EQ(GlobalCounters().discovery_malformed, malformed);
  EXPECT_EQ(failed, 7);
  EXPECT_TRUE(lists.empty());
  EXPECT_EQ(client->revision(), 40);
  EXPECT_EQ(CountOf(log, "too long"), 1u) << log;  // not at each try
  EXPECT_EQ(CountOf(log, "discovery"), 1u) << log;
}

TEST_F(OversizedListTest, WatchOnRequestBacksOff) {
  BeginShort(false);
  ask = [this] {
    client->SetWatching(true);
  };
  client->SetWatching(true);
  ExpectPace(Gaps(5, kHead + Chunk(Long(kMost))), {60, 120, 240, 480, 480});
  // Switched off, it is not renewed.
  ask = nullptr;
  client->SetWatching(true);
  client->SetWatching(false);
  testing::RunFor(loop, Ms(700));
  EXPECT_FALSE(port.TryAccept());
}

TEST_F(OversizedListTest, PollBacksOff) {
  const uint64_t too_long = GlobalCounters().discovery_too_long;
  ::testing::internal::CaptureStderr();
  BeginShort(false);
  ask = [this] {
    client->Poll();
  };
  client->Poll();
  const auto gaps = Gaps(3, testing::Http200(Long(kMost)));
  const auto chunked = Gaps(1, kHead + Chunk(Long(kMost)) + "0\r\n\r\n");
  const std::string log = ::testing::internal::GetCapturedStderr();
  ExpectPace(gaps, {60, 120, 240});
  ExpectPace(chunked, {480});
  EXPECT_EQ(GlobalCounters().discovery_too_long, too_long + 6);
  EXPECT_EQ(CountOf(log, "discovery"), 1u) << log;
}

// Only an accepted list resets the backoff.
TEST_F(OversizedListTest, AcceptedListResetsTheBackoff) {
  ::testing::internal::CaptureStderr();
  BeginShort(true);
  Gaps(3, kHead + Chunk(Long(kMost)));
  Peer shrunk = Call();
  shrunk.Send(kHead + Chunk(Line(61, true, Entry("h1"))));
  ASSERT_TRUE(RunUntil(loop, [&] { return lists.size() == 1; }));
  EXPECT_EQ(client->revision(), 61);
  SayUntilCut(shrunk, Chunk(Long(kMost, 62)));
  const Time cut = loop.Now();
  Call();
  EXPECT_LT(loop.Now() - cut, Ms(60 + 250));
  const std::string log = ::testing::internal::GetCapturedStderr();
  EXPECT_EQ(CountOf(log, "too long"), 2u) << log;  // once for each stretch
}

// A keep-alive line is no list.
TEST_F(OversizedListTest, EmptyLineKeepsTheBackoff) {
  BeginShort(true);
  ExpectPace(Gaps(4, kHead + Chunk("\n") + Chunk(Long(kMost))), {60, 120, 240, 480});
}

// A change must be in effect 6 s after the agent had it: only for oversized lists is it later.
TEST_F(OversizedListTest, OtherFailuresKeepTheirRetryDelay) {
  client = std::make_unique<DiscoveryClient>(loop, port.address(), names, 40, true, this);
  client->set_max_list_bytes(kMost);
  client->set_oversize_backoff(Ms(700), Ms(1500));
  client->Start();
  Gaps(1, kHead + Chunk(Long(kMost)));
  Call().Reset();  // the wait for it was that of the list
  ExpectPace(Gaps(4, ""), {100, 200, 400, 400});
  // And the backoff goes on where it was.
  Peer agent = Call();
  SayUntilCut(agent, kHead + Chunk(Long(kMost)));
  const Time cut = loop.Now();
  Call();
  EXPECT_GE(loop.Now() - cut, Ms(1400));
}

// An oversized poll says nothing of the watch, which may deliver changes only.
TEST_F(OversizedListTest, OversizedPollDoesNotDelayTheWatch) {
  client = std::make_unique<DiscoveryClient>(loop, port.address(), names, 40, false, this);
  client->set_max_list_bytes(kMost);
  client->set_oversize_backoff(Ms(5000), Ms(5000));
  client->Poll();
  Peer agent = Call();
  SayUntilCut(agent, testing::Http200(Long(kMost)));
  client->SetWatching(true);
  const Time asked = loop.Now();
  Call();
  EXPECT_LT(loop.Now() - asked, Ms(250));
}

TEST_F(OversizedListTest, NewAddressIsWatchedAtOnce) {
  for (const bool self_renewing_watch : {true, false}) {
    client = std::make_unique<DiscoveryClient>(loop, port.address(), names, 40, self_renewing_watch,
                                               this);
    client->set_max_list_bytes(kMost);
    client->set_oversize_backoff(Ms(300), Ms(20'000));
    client->Start();
    ask = self_renewing_watch ? std::function<void()>() : [this] {
      client->SetWatching(true);
    };
    if (!self_renewing_watch) {
      client->SetWatching(true);
    }
    Gaps(2, kHead + Chunk(Long(kMost)));  // waits 1.2 s now
    testing::RunFor(loop, Ms(30));
    testing::Port elsewhere;
    client->Redirect(elsewhere.address());
    const Time asked = loop.Now();
    Peer agent = elsewhere.Accept(loop);
    EXPECT_LT(loop.Now() - asked, Ms(250)) << self_renewing_watch;
    // The backoff begins anew there, too.
    SayUntilCut(agent, kHead + Chunk(Long(kMost)));
    const Time cut = loop.Now();
    Peer again = elsewhere.Accept(loop);
    EXPECT_GE(loop.Now() - cut, Ms(290)) << self_renewing_watch;
    EXPECT_LT(loop.Now() - cut, Ms(600)) << self_renewing_watch;
    client.reset();
  }
}

// The previous watch delivers until the new one has: that says nothing of the new one's lists.
TEST_F(OversizedListTest, ListFromTheOldAddressKeepsTheBackoff) {
  BeginShort(true);
  Peer old = Call();
  old.Send(kHead + Chunk(Line(41, true, Entry("h1"))));
  ASSERT_TRUE(RunUntil(loop, [&] { return lists.size() == 1; }));
  testing::Port elsewhere;
  client->Redirect(elsewhere.address());
  Time last{0};
  std::vector<double> gaps;
  for (int i = 0; i < 4; ++i) {
    Peer agent = elsewhere.Accept(loop);
    if (i > 0) {
      gaps.push_back(static_cast<double>((loop.Now() - last).count()) / 1000);
    }
    last = loop.Now();
    SayUntilCut(agent, kHead + Chunk(Long(kMost)));
    old.Send(Chunk(Line(42 + i, false, Entry("h2"))));
  }
  EXPECT_EQ(lists.size(), 4u);  // all that was told but the last
  ExpectPace(gaps, {60, 120, 240});
}

// An agent that repeats a small change before each oversized list is no better than without it.
TEST_F(OversizedListTest, RepeatedChangeKeepsTheBackoff) {
  BeginShort(true);
  const std::string change = Chunk(Line(41, false, Entry("h1")));
  ExpectPace(Gaps(4, kHead + change + Chunk(Long(kMost))), {60, 120, 240, 480});
}

// The actual limit, by a peer that sends while the client reads: bytes past it are not transferred.
TEST_F(OversizedListTest, TransferStopsNearTheLimit) {
  const std::string text = Long(13 << 20);
  const size_t bound = size_t{4} << 20, spare = size_t{1} << 20;  // that, and the kernel's buffers
  const auto said = [&](const std::string& all) {
    Peer agent = Call();
    const int size = 1 << 16;  // what this end holds back is not transferred
    setsockopt(agent.fd(), SOL_SOCKET, SO_SNDBUF, &size, sizeof(size));
    std::atomic<size_t> out = 0;
    std::atomic<bool> cut = false;
    std::thread says([&] {
      while (out < all.size()) {
        pollfd wait{agent.fd(), POLLOUT, 0};
        poll(&wait, 1, 1000);
        const ssize_t n = send(agent.fd(), all.data() + out,
                               std::min<size_t>(all.size() - out, 1 << 16), MSG_NOSIGNAL);
        if (n < 0 && errno != EAGAIN) {
          break;
        }
        if (n > 0) {
          out += static_cast<size_t>(n);
        }
      }
      cut = true;
    });
    const bool ended = RunUntil(
        loop, [&] { return cut.load(); }, Ms(20'000));
    EXPECT_TRUE(ended);
    client.reset();  // whatever was not cut off is now
    says.join();
    return out.load();
  };
  StartClient(false);
  client->Poll();
  EXPECT_LT(said(testing::Http200(text)), spare);
  StartClient(false);
  client->Poll();
  EXPECT_LT(said(kHead + Chunk(text) + "0\r\n\r\n"), bound + spare);
  StartClient(true);
  EXPECT_LT(said(kHead + Chunk(text)), bound + spare);
  EXPECT_TRUE(lists.empty());
}

// More than one read, within the limit, and nothing behind it: no later line is waited for.
TEST_F(OversizedListTest, ListWithinTheLimitIsReadInOneGo) {
  const std::string text = Long(700'000);
  StartClient(true);
  Peer agent = Call();
  Say(agent, kHead + Chunk(text), [&] { return lists.size() == 1; });
  ASSERT_EQ(lists.size(), 1u);
  EXPECT_EQ(failed, 0);
  client->Poll();
  Peer other = Call();
  Say(other, testing::Http200(text), [&] { return lists.size() == 2; });
  ASSERT_EQ(lists.size(), 2u);
  EXPECT_EQ(lists[0].endpoints.size(), lists[1].endpoints.size());
  EXPECT_EQ(failed, 0);
}

}  // namespace
}  // namespace paddlestile
