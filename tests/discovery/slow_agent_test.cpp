// Tests of the discovery client with agents that respond late, in pieces or not at all
// (docs/incidents/slow-discovery-never-heard.md).
#include <gtest/gtest.h>

#include <algorithm>
#include <functional>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "discovery/agent_messages.h"
#include "discovery/call_schedule.h"
#include "discovery/discovery_client.h"
#include "gateway/test_peers.h"

namespace paddlestile {
namespace {

using testing::Chunk;
using testing::kHead;
using testing::Ms;
using testing::Peer;
using testing::RunUntil;

std::string ListChunk(int revision) {
  return Chunk(testing::Line(revision, true, ""));
}

// What an agent sends on a call, at times counted from the call.
struct Piece {
  Duration at;
  std::string bytes;
};
using Script = std::function<std::vector<Piece>(size_t call)>;

// Sends `text` in `count` pieces over a span of time.
std::vector<Piece> InPieces(const std::string& text, size_t count, Duration span) {
  std::vector<Piece> pieces = {{Ms(0), kHead}};
  for (size_t i = 0; i < count; ++i) {
    const size_t from = text.size() * i / count;
    const size_t to = text.size() * (i + 1) / count;
    pieces.push_back(
        {span * static_cast<int>(i + 1) / static_cast<int>(count), text.substr(from, to - from)});
  }
  return pieces;
}

// A list that never ends.
std::vector<Piece> Drip() {
  std::vector<Piece> pieces = {{Ms(0), kHead + Chunk("{")}};
  for (int i = 1; i < 100; ++i) {
    pieces.push_back({Ms(200) * i, Chunk(" ")});
  }
  return pieces;
}

std::vector<Piece> After(Duration delay, int revision) {
  return {{delay, kHead + ListChunk(revision)}};
}

// An agent that answers each call with revision 42 after `delay`.
Script AnswerAfter(Duration delay) {
  return [delay](size_t) {
    return After(delay, 42);
  };
}

// An agent that follows a script, and its client.
struct ScriptedAgent final : DiscoveryClient::Listener {
  struct Call {
    Peer peer;
    std::vector<Piece> pieces;
    Time read_at{-1};
    size_t sent = 0;
  };

  ScriptedAgent(EventLoop& event_loop, bool self_renewing_watch, Script agent_script)
      : loop(event_loop),
        script(std::move(agent_script)),
        client(loop, port.address(), names, 40, self_renewing_watch, this) {
    client.Start();
    client.SetWatching(true);
  }
  void OnEndpointList(EndpointList list) override {
    if (list.revision == 42 && received_at < Time(0)) {
      received_at = loop.Now();
    }
  }
  void OnDiscoveryFailed() override {}
  // Accepts calls and sends what is due.
  void Serve() {
    while (Peer peer = port.TryAccept()) {
      calls.push_back({std::move(peer), {}});
    }
    size_t open_calls = 0;
    for (size_t i = 0; i < calls.size(); ++i) {
      if (calls[i].peer && !calls[i].peer.Ended()) {
        ++open_calls;
        Serve(calls[i], i);
      }
    }
    most_open_calls = std::max(most_open_calls, open_calls);
  }
  void Serve(Call& call, size_t number) {
    if (!call.peer.Has("\r\n\r\n")) {
      return;
    }
    if (call.read_at < Time(0)) {
      call.read_at = loop.Now();
      call.pieces = script(number);
    }
    while (call.peer && call.sent < call.pieces.size() &&
           loop.Now() - call.read_at >= call.pieces[call.sent].at) {
      const std::string& bytes = call.pieces[call.sent++].bytes;
      bytes.empty() ? call.peer.Close() : call.peer.Send(bytes);
    }
  }

  EventLoop& loop;
  Script script;
  testing::Port port;
  const NameTables names;
  std::vector<Call> calls;
  size_t most_open_calls = 0;
  Time received_at{-1};  // when revision 42 was first received
  DiscoveryClient client;
};

struct Case {
  std::string name;
  Script script;
  Duration limit = CallSchedule::kMaxChangeDelay;  // from the start until revision 42 is received
};

// review/9: calls that were not answered within 2 s were given up, so that an agent that is slower
// was never heard.
TEST(SlowAgentTest, ChangeIsReceivedInTimeWhateverHappenedToCallsInBetween) {
  const std::string list = ListChunk(42);
  const std::vector<Case> cases = {
      {"2.1 s", AnswerAfter(Ms(2100))},
      {"2.5 s", AnswerAfter(Ms(2500))},
      {"3.5 s", AnswerAfter(Ms(3500))},
      {"5 s", AnswerAfter(Ms(5000))},
      {"longer than any change may take, but not never", AnswerAfter(Ms(8000)), Ms(8500)},
      {"a list in pieces over 4 s",
       [&](size_t) {
         return InPieces(list, 20, Ms(4000));
       }},
      {"all lists in pieces over 11 s", [&](size_t) { return InPieces(list, 40, Ms(11'000)); },
       Ms(12'000)},
      {"a list that never ends",
       [](size_t call) {
         return call == 0 ? Drip() : After(Ms(0), 42);
       }},
      {"lists that never end",
       [](size_t call) {
         return call < 2 ? Drip() : After(Ms(0), 42);
       }},
      {"an empty line, and the list 3.5 s later",
       [&](size_t) {
         return std::vector<Piece>{{Ms(0), kHead + Chunk("\n")}, {Ms(3500), list}};
       }},
      {"silent after a list, then 3 s",
       [](size_t call) {
         return call == 0 ? After(Ms(0), 41) : After(Ms(3000), 42);
       }},
      {"silent after a list, then one that never ends, then 1 s",
       [](size_t call) {
         return call == 0 ? After(Ms(0), 41) : call == 1 ? Drip() : After(Ms(1000), 42);
       }},
      {"closed without a response, then 2.5 s",
       [](size_t call) {
         return call == 0 ? std::vector<Piece>{{Ms(0), ""}} : After(Ms(2500), 42);
       }},
  };
  EventLoop loop;
  std::vector<std::unique_ptr<ScriptedAgent>> agents;
  const Time started_at = loop.Now();
  for (const bool self_renewing_watch : {true, false}) {
    for (const Case& c : cases) {
      agents.push_back(std::make_unique<ScriptedAgent>(loop, self_renewing_watch, c.script));
    }
  }
  RunUntil(
      loop,
      [&] {
        for (const auto& agent : agents) {
          agent->Serve();
        }
        return std::ranges::all_of(agents,
                                   [](const auto& agent) { return agent->received_at >= Time(0); });
      },
      Ms(13'000));
  for (size_t i = 0; i < agents.size(); ++i) {
    const Case& c = cases[i % cases.size()];
    const std::string name = c.name + (i < cases.size() ? ", pushed" : ", on request");
    EXPECT_GE(agents[i]->received_at, Time(0)) << name;
    EXPECT_LT(agents[i]->received_at - started_at, c.limit) << name;
    EXPECT_LE(agents[i]->most_open_calls, CallSchedule::kMaxCalls) << name;
  }
}

// An agent that is crowded must not be called more often because it does not respond.
TEST(SlowAgentTest, SilentAgentIsCalledAtALimitedRate) {
  EventLoop loop;
  ScriptedAgent agent(loop, true, [](size_t) { return std::vector<Piece>(); });
  RunUntil(
      loop, [&] { return agent.Serve(), false; }, Ms(13'000));
  EXPECT_LE(agent.calls.size(), 6u);
  EXPECT_EQ(agent.most_open_calls, CallSchedule::kMaxCalls);
}

// A list of an earlier call that is late would bring back endpoints that have left.
TEST(SlowAgentTest, LaterCallThatDeliversEndsTheEarlierOnes) {
  EventLoop loop;
  ScriptedAgent agent(
      loop, true, [](size_t call) { return call == 0 ? After(Ms(3000), 41) : After(Ms(100), 42); });
  RunUntil(
      loop, [&] { return agent.Serve(), agent.received_at >= Time(0); }, Ms(3000));
  EXPECT_EQ(agent.client.revision(), 42);
  RunUntil(
      loop, [&] { return agent.Serve(), false; }, Ms(1500));
  EXPECT_EQ(agent.client.revision(), 42);
  EXPECT_EQ(agent.calls.size(), 2u);
}

TEST(SlowAgentTest, SlowPollIsAnswered) {
  const auto list = [](size_t) {
    return std::vector<Piece>{{Ms(2500), testing::Http200(testing::Line(42, true, ""))}};
  };
  EventLoop loop;
  ScriptedAgent agent(loop, false, list);
  agent.client.SetWatching(false);
  agent.client.Poll();
  RunUntil(
      loop, [&] { return agent.Serve(), agent.received_at >= Time(0); }, Ms(3000));
  EXPECT_EQ(agent.client.revision(), 42);
}

// After SIGHUP a change counts 4 s later.
TEST(SlowAgentTest, SlowAgentAtANewAddressIsHeardInTime) {
  EventLoop loop;
  ScriptedAgent old(loop, true, [](size_t) { return After(Ms(0), 41); });
  ScriptedAgent slow(loop, false, [](size_t) { return After(Ms(3500), 42); });
  slow.client.SetWatching(false);
  RunUntil(loop, [&] { return old.Serve(), old.client.revision() == 41; });
  old.client.Redirect(slow.port.address());
  const bool received = RunUntil(
      loop, [&] { return old.Serve(), slow.Serve(), old.received_at >= Time(0); }, Ms(4000));
  EXPECT_TRUE(received);
}

}  // namespace
}  // namespace paddlestile
