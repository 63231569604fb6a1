// A gateway beside every client process, over hosts that keep keys warm: homes, asking first, and
// what must hold while a request waits for its probes.
#include <gtest/gtest.h>

#include <algorithm>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "balancer/load_balancer_fixture.h"

namespace paddlestile::testing {
namespace {

Settings MakeThin() {
  Settings s = MakeSettings();
  s.instance_count = 900;
  s.key_affinity = true;
  s.costs.probe = 0.004;
  return s;
}

class Thin : public LoadBalancerHarness {
 public:
  explicit Thin(const Settings& settings, uint64_t seed = 7) : LoadBalancerHarness(settings, seed) {
    Endpoints(20);
  }

  std::vector<Action> AskKey(const std::string& id, const std::string& key, size_t cls = 0,
                             Duration patience = Ms(1000)) {
    RequestArrived submit;
    submit.id = id;
    submit.request_class = cls;
    submit.deadline = now + patience;
    submit.key = key;
    submit.expected_work = Ms(50);
    return Give(submit);
  }

  // Answers all probes that are out, by what each endpoint holds; one round brings the next.
  void Answer(const std::map<std::string, double>& held = {}, double others = 1) {
    for (; answered < log.size(); ++answered) {
      const auto* const probe = std::get_if<StartProbe>(&log[answered]);
      if (probe == nullptr)
        continue;
      const std::string id = probe->endpoint;
      Probed(id, held.contains(id) ? held.at(id) : others, 20);
    }
  }

  // Where a request of a key goes; it is served at once.
  std::string HomeOf(const std::string& key, const std::map<std::string, double>& held = {}) {
    const std::string id = "k" + std::to_string(asked++);
    const size_t before = sends.size();
    AskKey(id, key);
    Answer(held);
    Pass(Ms(200));
    if (sends.size() == before)
      return "";
    End(id, 0, sends.back().endpoint, Outcome::kOk, Ms(20), true);
    return sends.back().endpoint;
  }

  // Whether a request got its one answer of the module's own.
  [[nodiscard]] bool GivenUp(const std::string& id) const {
    return std::ranges::any_of(log, [&](const Action& a) {
      const auto* const refuse = std::get_if<RejectRequest>(&a);
      const auto* const fail = std::get_if<FailRequest>(&a);
      return (refuse != nullptr && refuse->id == id) || (fail != nullptr && fail->id == id);
    });
  }

  size_t answered = 0;
  int asked = 0;
};

// The trouble: a thousand gateways scattered each key over all hosts, and none kept it warm.
TEST(Homes, GatewaysThatShareNothingSendAKeyToTheSameHost) {
  Thin one(MakeThin(), 1), other(MakeThin(), 2);
  std::set<std::string> homes;
  for (int k = 0; k < 40; ++k) {
    const std::string key = "key" + std::to_string(k);
    const std::string home = one.HomeOf(key);
    EXPECT_NE(home, "");
    EXPECT_EQ(other.HomeOf(key), home) << key;
    homes.insert(home);
  }
  EXPECT_GT(homes.size(), 12u);
}

TEST(Homes, WithoutWarmKeysNothingWaitsForProbes) {
  Settings s = MakeThin();
  s.key_affinity = false;
  Thin g(s);
  g.AskKey("r", "key");
  EXPECT_EQ(g.sends.size(), 1u);
}

// The trouble: at the start of a burst requests went to hosts last heard of seconds before, which
// held fifty by then, and all of them slowed down and stayed slow.
TEST(Homes, ACrowdedHomeIsPassedOverAndACrowdedFleetRefusesAtOnce) {
  Thin g(MakeThin());
  for (int k = 0; k < 60; ++k)
    g.HomeOf("other" + std::to_string(k));  // all were idle, once
  const std::string home = g.HomeOf("key");
  g.Pass(Ms(500));
  const std::string second = g.HomeOf("key", {{home, 50}});
  EXPECT_NE(second, "");
  EXPECT_NE(second, home);
  g.Pass(Ms(500));
  const size_t before = g.sends.size();
  g.AskKey("full", "key");
  for (int i = 0; i < 20; ++i)
    g.Answer({}, 50), g.Pass(Ms(5));
  EXPECT_EQ(g.sends.size(), before);
  EXPECT_TRUE(g.GivenUp("full"));  // within a tenth of a second of a deadline a second away
}

// The trouble: a request that had to try again waited for its probes past its deadline, and nobody
// answered it (tartu, rules-2 of 2511513762).
TEST(Homes, TheWaitForProbesEndsBeforeTheDeadline) {
  for (const double left : {1.0, 15.0, 25.0, 45.0, 70.0}) {
    Thin g(MakeThin());
    g.HomeOf("key");
    g.Pass(Ms(500));
    g.AskKey("r", "key", 0, Ms(100));
    g.Answer();
    ASSERT_EQ(g.sends.back().id, "r");
    g.Pass(Ms(100 - left));
    g.End("r", 0, g.sends.back().endpoint, Outcome::kRejected, Ms(1));
    g.Pass(Ms(left));  // no probe answers any more
    EXPECT_TRUE(g.GivenUp("r") || g.sends.back().endpoint != g.sends.front().endpoint) << left;
    Thin first(MakeThin());
    first.AskKey("r", "key", 0, Ms(left));
    first.Pass(Ms(left));
    EXPECT_TRUE(first.GivenUp("r") || !first.sends.empty()) << left;
  }
}

// The trouble: a timer every ten milliseconds at each of a thousand gateways, most of them idle.
TEST(Homes, AGatewayThatHoldsNothingSetsNoTimer) {
  Thin g(MakeThin());
  g.HomeOf("key");
  g.Pass(Ms(1000));
  const size_t before = g.log.size();
  g.Pass(Ms(60'000));
  EXPECT_EQ(g.log.size(), before);
}

// The trouble: hosts that fail quickly are met once in many seconds; two failures in a row to learn
// it came too late, and what must not run twice was lost there again and again.
TEST(Homes, OneErrorIsEnoughWhereAHostIsMetSeldom) {
  Thin g(MakeThin());
  const std::string home = g.HomeOf("key");
  g.Pass(Ms(20'000));
  g.AskKey("bad", "key");
  g.Answer();
  ASSERT_EQ(g.sends.back().endpoint, home);
  g.End("bad", 0, home, Outcome::kError, Ms(2), true);
  EXPECT_NE(g.HomeOf("key"), home);
  for (int i = 0; i < 5; ++i) {  // back in the set by then, but on trial
    g.Pass(Ms(10'000));
    const std::string id = "unsafe" + std::to_string(i);
    g.AskKey(id, "key", 4);
    g.Answer();
    EXPECT_NE(g.sends.back().endpoint, home) << i;
    g.End(id, 0, g.sends.back().endpoint, Outcome::kOk, Ms(20), true);
  }
}

// The trouble: each of a thousand gateways meets every host, and a host takes a few hundred
// connections.
TEST(Homes, IdleConnectionsAreClosedWhereTheyAreCharged) {
  for (const double charge : {0.0, 0.02}) {
    Settings s = MakeThin();
    s.costs.connection = charge;
    Thin g(s);
    const std::string home = g.HomeOf("key");
    const auto closed = LoadBalancerHarness::All<CloseIdleConnections>(g.log);
    ASSERT_EQ(closed.size(), charge > 0 ? 1u : 0u);
    for (const CloseIdleConnections& close : closed)
      EXPECT_EQ(close.endpoint, home);
  }
}

// A burst after a long silence, with and without a fleet that is all cold: each request gets its
// one answer in time, and no host is sent more than its part of a burst.
TEST(Homes, ABurstAfterALongSilenceIsAnsweredWholeAndKeepsToTheLimits) {
  for (const bool cold : {false, true}) {
    Thin g(MakeThin());
    for (int k = 0; k < 30; ++k)
      g.HomeOf("key" + std::to_string(k));
    g.Pass(Ms(600'000));
    if (cold) {
      for (int i = 0; i < 20; ++i)
        g.Change("e" + std::to_string(i), EndpointState::kUp, g.now, i % 2);
    }
    const size_t before = g.sends.size();
    for (int i = 0; i < 300; ++i) {
      g.AskKey("b" + std::to_string(i), "key" + std::to_string(i % 30));
      g.Answer();
    }
    for (int i = 0; i < 200; ++i)
      g.Answer(), g.Pass(Ms(5));
    std::map<std::string, int> at;
    std::set<std::string> done;
    for (size_t i = before; i < g.sends.size(); ++i) {
      ++at[g.sends[i].endpoint];
      done.insert(g.sends[i].id);
    }
    for (const auto& [host, n] : at)
      EXPECT_LE(n, cold ? 2 : 12) << host;
    for (int i = 0; i < 300; ++i) {
      const std::string id = "b" + std::to_string(i);
      EXPECT_NE(done.contains(id), g.GivenUp(id)) << id;
    }
  }
}

TEST(Homes, EdgesOfTheShape) {
  Settings s = MakeThin();
  s.allowed.probes = false;  // forbidden, so none is sent; the request goes by the fallback
  Thin blind(s);
  blind.AskKey("r", "key");
  EXPECT_TRUE(LoadBalancerHarness::All<StartProbe>(blind.log).empty());
  EXPECT_EQ(blind.sends.size(), 1u);

  LoadBalancerHarness empty(
      MakeThin());  // no list yet: refused within a tenth of its aim, and not lost
  RequestArrived submit;
  submit.id = "early";
  submit.deadline = empty.now + Ms(1000);
  submit.key = "key";
  empty.Give(submit);
  empty.Pass(Ms(200));
  EXPECT_EQ(LoadBalancerHarness::All<RejectRequest>(empty.log).size(), 1u);

  LoadBalancerHarness one(MakeThin());
  one.Endpoints(1);
  one.Give(submit);
  one.Give(PeerMessage{4711, std::string("\xff\x00wrong", 7)});  // none of ours: ignored
  one.Probed("e0", 1, 20);
  EXPECT_EQ(one.sends.size(), 1u);
}

}  // namespace
}  // namespace paddlestile::testing
