#include "balancer/load_balancer.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <chrono>
#include <functional>
#include <iterator>
#include <map>
#include <set>
#include <stdexcept>
#include <string>
#include <vector>

#include "balancer/endpoint_table.h"
#include "balancer/learned_state.h"
#include "balancer/load_balancer_fixture.h"
#include "balancer/probe_pool.h"
#include "balancer/request_table.h"

namespace paddlestile {
namespace {

using testing::LoadBalancerHarness;
using testing::MakeClass;
using testing::MakeSettings;
using testing::Ms;

// ---- Settings and membership ----------------------------------------------------------------

TEST(Settings, RefusedWithTheNameOfTheSetting) {
  const auto error = [](auto change) -> std::string {
    Settings s = MakeSettings();
    change(s);
    try {
      LoadBalancer brain(s, 1);
    } catch (const std::invalid_argument& e) {
      return e.what();
    }
    return "";
  };
  EXPECT_EQ(error([](Settings&) {}), "");
  EXPECT_NE(error([](Settings& s) { s.instance_count = 0; }).find("NInstances"), std::string::npos);
  EXPECT_NE(error([](Settings& s) { s.classes.clear(); }).find("Classes"), std::string::npos);
  EXPECT_NE(error([](Settings& s) { s.classes[1].latency_objective = Ms(0); }).find("Slo"),
            std::string::npos);
  EXPECT_NE(error([](Settings& s) { s.allowed.max_attempts = 0; }).find("SendCap"),
            std::string::npos);
  EXPECT_NE(error([](Settings& s) { s.rules.slow_start_initial_capacity = 2; }).find("ColdFrom"),
            std::string::npos);
}

// Operators change classes and attempts under load. What is under way goes by what it began with,
// unless fewer attempts are allowed; what was learned of endpoints stays.
TEST(Settings, NewOnesHoldForWhatComesFromNowOn) {
  Settings s = MakeSettings();
  s.allowed.probes = false;
  LoadBalancerHarness g(s);
  g.Endpoints(4);
  g.WarmUp(60);
  const auto fallbacks = g.brain.statistics().selections;
  g.Ask("before", 0);
  ASSERT_EQ(g.sends.back().id, "before");
  Settings next = s;
  next.classes[0].idempotency = Idempotency::kUnsafe;
  next.classes.push_back(MakeClass(Idempotency::kSafe));
  g.Give(next);
  // Safe as it began: it may be repeated though it may have run.
  const auto repeated = g.End("before", 0, g.sends.back().endpoint, Outcome::kReset, Ms(5));
  EXPECT_EQ(LoadBalancerHarness::All<StartAttempt>(repeated).size(), 1u);
  g.Ask("after", 0);
  ASSERT_EQ(g.sends.back().id, "after");
  const auto failed = g.End("after", 0, g.sends.back().endpoint, Outcome::kReset, Ms(5));
  EXPECT_EQ(LoadBalancerHarness::All<FailRequest>(failed).size(), 1u);
  g.Ask("new", 5);
  EXPECT_EQ(g.sends.back().id, "new");
  // Fewer attempts hold at once.
  next.allowed.max_attempts = 1;
  g.Give(next);
  const auto none = g.End("new", 0, g.sends.back().endpoint, Outcome::kRejected, Ms(5));
  EXPECT_TRUE(LoadBalancerHarness::All<StartAttempt>(none).empty());
  // Many at once as before: what the endpoints can do is still known.
  size_t sent = 0;
  for (int i = 0; i < 12; ++i)
    sent += LoadBalancerHarness::All<StartAttempt>(g.Ask("m" + std::to_string(i), 1)).size();
  EXPECT_GE(sent, 12u);
  EXPECT_GT(g.brain.statistics().selections, fallbacks);
}

// A request too large to be held cannot be sent again: asking for it would cost the client its
// time.
TEST(Attempts, WhatIsNoLongerHeldIsGivenUpAtOnce) {
  LoadBalancerHarness g(MakeSettings());
  g.Endpoints(4);
  g.WarmUp(60);
  for (const bool spent : {false, true}) {
    const std::string id = spent ? "large" : "held";
    g.Ask(id);
    ASSERT_EQ(g.sends.back().id, id);
    AttemptFinished turned{id,    0,           g.sends.back().endpoint, Outcome::kRejected, Ms(5),
                           false, std::nullopt};
    turned.request_consumed = spent;
    const auto told = g.Give(turned);
    EXPECT_EQ(LoadBalancerHarness::All<StartAttempt>(told).size(), spent ? 0u : 1u);
    EXPECT_EQ(LoadBalancerHarness::All<RejectRequest>(told).size(), spent ? 1u : 0u);
  }
}

TEST(Membership, NothingGoesToDrainingOrRemoved) {
  LoadBalancerHarness g(MakeSettings());
  g.Endpoints(3);
  g.Change("e0", EndpointState::kDraining);
  EndpointUpdate full;
  full.kind = EndpointUpdateKind::kFull;
  EndpointInfo kept;
  kept.id = "e1";
  full.endpoints = {kept};
  g.Give(full);  // e2 is absent from a full list, so it is gone
  g.WarmUp(60);
  ASSERT_FALSE(g.sends.empty());
  for (const StartAttempt& send : g.sends)
    EXPECT_EQ(send.endpoint, "e1");
}

TEST(Membership, PooledAnswersOfADrainingEndpointAreNotPicked) {
  LoadBalancerHarness g(MakeSettings());
  g.Endpoints(4);
  for (const char* id : {"e0", "e1", "e2", "e3"})
    g.Probed(id, 0, id[1] == '0' ? 1 : 50);
  g.Change("e0", EndpointState::kDraining);
  const auto sends = LoadBalancerHarness::All<StartAttempt>(g.Ask("r"));
  ASSERT_EQ(sends.size(), 1U);
  EXPECT_NE(sends[0].endpoint, "e0");
}

TEST(Membership, FollowsAtStartAndAfterAFailureOnlyWhereAsked) {
  Settings s = MakeSettings();
  LoadBalancerHarness pushed(s);
  pushed.Endpoints(2);
  EXPECT_TRUE(LoadBalancerHarness::All<WatchEndpoints>(pushed.log).empty());
  s.discovery_mode = DiscoveryMode::kPoll;
  LoadBalancerHarness g(s);
  g.Endpoints(2);
  g.Pass(s.rules.discovery_interval / 5);  // where there are others it waits a little
  EXPECT_EQ(LoadBalancerHarness::All<WatchEndpoints>(g.log).size(), 1U);
  const auto failed = g.Give(EndpointUpdate{EndpointUpdateKind::kFailed, {}});
  EXPECT_TRUE(LoadBalancerHarness::All<WatchEndpoints>(failed)
                  .empty());  // not at once: the registry is small
  g.Pass(s.rules.discovery_interval / 2);
  EXPECT_EQ(LoadBalancerHarness::All<WatchEndpoints>(g.log).size(), 2U);
}

// A gateway alone crowds nobody: it must not start with an old list for longer than it needs.
TEST(Membership, AGatewayAloneFollowsAtOnce) {
  Settings s = MakeSettings();
  s.discovery_mode = DiscoveryMode::kPoll;
  s.instance_count = 1;
  LoadBalancerHarness g(s);
  g.Endpoints(2);
  g.Pass(Ms(0));
  EXPECT_EQ(LoadBalancerHarness::All<WatchEndpoints>(g.log).size(), 1U);
}

TEST(Membership, BackOffGrowsAndStaysWithinTheObligation) {
  Settings s = MakeSettings();
  s.discovery_mode = DiscoveryMode::kPoll;
  LoadBalancerHarness g(s);
  g.Endpoints(2);
  g.Pass(s.rules.discovery_interval / 5);
  Duration longest{0};
  for (int i = 0; i < 8; ++i) {
    for (const SetTimer& t : LoadBalancerHarness::All<SetTimer>(
             g.Give(EndpointUpdate{EndpointUpdateKind::kFailed, {}}))) {
      longest = std::max(longest, t.after);
      EXPECT_LT(t.after, s.rules.discovery_interval);
    }
  }
  EXPECT_GT(longest, s.rules.discovery_interval / 10);
}

TEST(Membership, ARestartedEndpointStartsWithACleanName) {
  LoadBalancerHarness g(MakeSettings());
  g.Endpoints(2);
  for (int i = 0; i < 12; ++i) {
    const std::string id = "r" + std::to_string(i);
    g.Ask(id, 4);
    const bool bad = g.sends.back().endpoint == "e0";
    g.End(id, 0, g.sends.back().endpoint, bad ? Outcome::kError : Outcome::kOk, Ms(5), !bad);
  }
  g.Change("e0", EndpointState::kUp, g.now - Ms(20'000));
  const size_t before = g.sends.size();
  for (int i = 0; i < 8; ++i)
    g.Ask("s" + std::to_string(i), 4);
  EXPECT_TRUE(std::any_of(g.sends.begin() + static_cast<long>(before), g.sends.end(),
                          [](const StartAttempt& s) { return s.endpoint == "e0"; }));
}

// ---- The hot-cold pick ----------------------------------------------------------------------

TEST(Pick, FallbackUnderTwoEntriesIsReported) {
  LoadBalancerHarness g(MakeSettings());
  g.Endpoints(4);
  g.Probed("e0", 0, 10);
  g.Ask("r0");
  EXPECT_EQ(g.brain.statistics().last_selection, SelectionMethod::kFallback);
  g.Probed("e0", 0, 10);
  g.Probed("e1", 0, 10);
  g.Ask("r1");
  EXPECT_EQ(g.brain.statistics().last_selection, SelectionMethod::kCold);
}

TEST(Pick, ColdTakesTheLowestLatencyNotTheFewestInFlight) {
  LoadBalancerHarness g(MakeSettings());
  g.Endpoints(8);
  g.Probed("e0", 0, 40);
  g.Probed("e1", 1, 20);
  g.Probed("e2", 3, 5);  // hot: over the cut
  g.Probed("e3", 3, 6);
  g.Probed("e4", 3, 7);
  const auto sends = LoadBalancerHarness::All<StartAttempt>(g.Ask("r"));
  ASSERT_EQ(sends.size(), 1U);
  EXPECT_EQ(sends[0].endpoint, "e1");
}

TEST(Pick, EachSendRaisesTheInFlightFigure) {
  LoadBalancerHarness g(MakeSettings());
  g.Endpoints(6);
  for (const char* id : {"e0", "e1", "e2", "e3"})
    g.Probed(id, 0, id[1] == '0' ? 5 : 20);
  std::multiset<std::string> met;
  for (int i = 0; i < 4; ++i) {
    for (const StartAttempt& s :
         LoadBalancerHarness::All<StartAttempt>(g.Ask("r" + std::to_string(i))))
      met.insert(s.endpoint);
  }
  // The quickest is over the cut once it was sent one; the others get their turns.
  EXPECT_LE(met.count("e0"), 2U);
  EXPECT_GE(std::set<std::string>(met.begin(), met.end()).size(), 3U);
}

TEST(Pick, AgedAnswersAreNotUsed) {
  LoadBalancerHarness g(MakeSettings());
  g.Endpoints(6);
  g.WarmUp(100);  // 200 requests a second: a second's probes fill the pool many times over
  for (const char* id : {"e0", "e1", "e2", "e3"})
    g.Probed(id, 0, 10);
  g.Pass(Ms(1500));
  g.Ask("r");
  EXPECT_EQ(g.brain.statistics().last_selection, SelectionMethod::kFallback);
}

// The trouble: at five requests a second an age of one second left the pool empty, and nearly every
// pick of a large bank was the fallback's.
TEST(Pick, AnswersServeLongerWhereRequestsAreFew) {
  Settings s = MakeSettings();
  s.instance_count = 400;
  s.costs.probe = 0.04;
  LoadBalancerHarness g(s);
  g.Endpoints(68);
  size_t met = 0;
  for (int i = 0; i < 300; ++i) {
    const std::string id = "r" + std::to_string(i);
    const size_t before = g.sends.size();
    const auto actions = g.Ask(id);
    for (const StartProbe& probe : LoadBalancerHarness::All<StartProbe>(actions))
      g.Probed(probe.endpoint, 1, 20);
    g.Pass(Ms(20));
    if (g.sends.size() > before)
      g.End(id, 0, g.sends[before].endpoint, Outcome::kOk, Ms(20), true);
    g.Pass(Ms(180));
    if (i >= 100 && g.brain.statistics().last_selection != SelectionMethod::kFallback)
      ++met;
  }
  EXPECT_GT(met, 150U);
}

TEST(Pick, AnswersAreUsedABoundedNumberOfTimes) {
  LoadBalancerHarness g(MakeSettings());
  g.Endpoints(30);
  for (int i = 0; i < 10; ++i)
    g.Probed("e" + std::to_string(i), 0, 10);
  int pooled = 0;
  for (int i = 0; i < 300; ++i) {
    const std::string id = "r" + std::to_string(i);
    const size_t before = g.sends.size();
    g.Ask(id);
    if (g.brain.statistics().last_selection != SelectionMethod::kFallback)
      ++pooled;
    if (g.sends.size() > before)
      g.End(id, 0, g.sends.back().endpoint, Outcome::kOk, Ms(10), true);
  }
  EXPECT_GT(pooled, 0);
  EXPECT_LE(pooled, 32);  // ten answers of at most three uses; removal alone would leave more
}

TEST(Pick, TiesAreBrokenAtRandom) {
  std::set<std::string> met;
  for (uint64_t seed = 0; seed < 30; ++seed) {
    LoadBalancerHarness g(MakeSettings(), seed);
    g.Endpoints(6);
    for (const char* id : {"e0", "e1", "e2", "e3"})
      g.Probed(id, 0, 10);
    g.Ask("r");
    met.insert(g.sends.at(0).endpoint);
  }
  EXPECT_EQ(met.size(), 4U);
}

TEST(Probes, RideOnRequestsAtTheirRateAndGoToAll) {
  Settings s = MakeSettings();
  s.costs.probe = 0.03;
  LoadBalancerHarness g(s);
  g.Endpoints(5);
  g.Pass(Ms(5000));
  EXPECT_TRUE(LoadBalancerHarness::All<StartProbe>(g.log).empty());  // no request, no probe
  std::set<std::string> met;
  for (int i = 0; i < 100; ++i) {
    g.WarmUp(1);
    for (const StartProbe& p : LoadBalancerHarness::All<StartProbe>(g.log))
      met.insert(p.endpoint);
    for (const StartProbe& p : LoadBalancerHarness::All<StartProbe>(g.log))
      g.Probed(p.endpoint, 0, 10);
    g.log.clear();
  }
  EXPECT_EQ(met.size(), 5U);
}

TEST(Probes, NoneWhereTheyAreNotAllowed) {
  Settings s = MakeSettings();
  s.allowed.probes = false;
  LoadBalancerHarness g(s);
  g.Endpoints(5);
  g.WarmUp(50);
  EXPECT_TRUE(LoadBalancerHarness::All<StartProbe>(g.log).empty());
  EXPECT_EQ(g.sends.size(), 50U);
}

// The trouble: all gateways see an endpoint idle in one stale report and fill it in step.
TEST(Load, OneReportOfIdlenessDoesNotWipeOutWhatOthersHold) {
  LoadBalancerHarness g(MakeSettings());
  g.Endpoints(2);
  for (int i = 0; i < 20; ++i) {
    g.Probed("e0", 30, 10);
    g.Probed("e1", 30, 10);
  }
  g.Probed("e0", 0, 10);
  EXPECT_TRUE(LoadBalancerHarness::All<StartAttempt>(g.Ask("r")).empty());
}

// The trouble: a report of ten seconds ago still counted as now. What looked full was never tried
// again, and what looked idle was filled.
TEST(Load, AnOldReportFadesToTheMeanOfItsKind) {
  LoadBalancerHarness g(MakeSettings());
  g.Endpoints(8);
  g.Probed("e0", 30, 10);
  for (int i = 0; i < 20; ++i) {
    for (const char* id : {"e1", "e2", "e3", "e4", "e5", "e6", "e7"})
      g.Probed(id, 1, 10);
  }
  g.Pass(Ms(20'000));
  std::set<std::string> used;
  for (int i = 0; i < 60; ++i) {
    const std::string id = "r" + std::to_string(i);
    g.Ask(id);
    ASSERT_FALSE(g.sends.empty());
    used.insert(g.sends.back().endpoint);
    g.End(id, 0, g.sends.back().endpoint, Outcome::kOk, Ms(20), true);
  }
  EXPECT_TRUE(used.contains("e0"));
}

// The trouble: a kind of machine found busy in the first reports was never sent anything, so
// nothing was ever learned of it. And a start of hundreds at once must not add much to what is
// held.
TEST(Capacity, AKindFoundBusyAtTheStartIsTriedAtAboutWhatItHolds) {
  LoadBalancerHarness g(MakeSettings());
  g.Endpoints(5);
  for (const char* id : {"e0", "e1", "e2", "e3", "e4"})
    g.Probed(id, 20, 10);
  for (int i = 0; i < 200; ++i)
    g.Ask("r" + std::to_string(i), 4);
  EXPECT_GE(g.sends.size(), 5U);
  EXPECT_LE(g.sends.size(), 5U * 8U);  // a stretch of 1.3 over the 20 and one
}

// The trouble: what is slow by nature needs near the target when idle, and its limit shrank away.
TEST(Capacity, ASlowEndpointIsNotStarvedBesideQuickOnes) {
  Settings s = MakeSettings();
  s.instance_count = 1;
  LoadBalancerHarness g(s);
  g.Endpoints(4);
  const auto serve = [&](const StartAttempt& send) {
    const bool slow = send.endpoint == "e0";
    g.End(send.id, 0, send.endpoint, Outcome::kOk, slow ? Ms(220) : Ms(60), true);
  };
  std::vector<StartAttempt> batch;
  for (int round = 0; round < 60; ++round) {  // sixteen at a time, so that limits are learned
    const size_t before = g.sends.size();
    for (int i = 0; i < 16; ++i)
      g.Ask(std::to_string(round) + "-" + std::to_string(i));
    g.now += Ms(10);
    for (size_t k = before; k < g.sends.size(); ++k)
      batch.push_back(g.sends[k]);
    for (const StartAttempt& send : batch)
      serve(send);
    batch.clear();
  }
  size_t on_slow = 0;
  for (const StartAttempt& send : g.sends)
    g.Probed(send.endpoint, 0, 1);
  const size_t before = g.sends.size();
  for (int i = 0; i < 60; ++i)
    g.Ask("last" + std::to_string(i));
  for (size_t k = before; k < g.sends.size(); ++k)
    on_slow += g.sends[k].endpoint == "e0" ? 1 : 0;
  EXPECT_GE(on_slow, 3U);
}

// ---- Health ---------------------------------------------------------------------------------

// The trouble: an endpoint that fails fast looks idle and quick.
// Endpoints are replaced all day under ids ever new: what is held is what there is.
TEST(Membership, PlacesOfEndpointsThatAreGoneAreTakenAgain) {
  EndpointRecords records;
  EndpointTable table(records);
  RequestTable open;
  std::vector<PoolEntry> pool;
  const auto is_referenced = [&](size_t endpoint) {
    return open.RefersTo(endpoint) || std::ranges::count(pool, endpoint, &PoolEntry::endpoint) > 0;
  };
  for (int i = 0; i < 5000; ++i) {
    const size_t place = table.IndexFor("e" + std::to_string(i), is_referenced);
    EXPECT_EQ(table[place].info.id, "e" + std::to_string(i));
    EXPECT_EQ(table[place].error_rate, 0);  // nothing of who was there before
    table[place].error_rate = 1;
    if (i < 10)
      continue;
    const size_t old = records.endpoint_index.at("e" + std::to_string(i - 10));
    table.SetState(old, EndpointState::kRemoved);
  }
  EXPECT_LE(table.size(), 12U);
  EXPECT_LE(records.endpoint_index.size(), 12U);
  // Not while a request or an answer still names it.
  const size_t gone = records.endpoint_index.begin()->second;
  for (size_t i = 0; i < table.size(); ++i) {
    table.SetState(i, EndpointState::kUp);
  }
  table.SetState(gone, EndpointState::kRemoved);
  Request& request = open.Add(RequestArrived{}, 0, MakeSettings(), Time(0));
  request.attempts.push_back({.endpoint = gone});
  EXPECT_NE(table.IndexFor("x", is_referenced), gone);
  open.Erase(request);
  pool.push_back({.endpoint = gone});
  EXPECT_NE(table.IndexFor("y", is_referenced), gone);
  pool.clear();
  EXPECT_EQ(table.IndexFor("z", is_referenced), gone);
}

// Each probe goes to an endpoint of the set without one out, as evenly as ever, though no list of
// those is made; also after endpoints came, went and were replaced.
TEST(Probing, GoesEvenlyToThoseWithoutOneOut) {
  Settings s = MakeSettings();
  s.instance_count = 1;
  LoadBalancerHarness g(s);
  g.Endpoints(40);
  for (int i = 0; i < 10; ++i) {
    g.Change("e" + std::to_string(i), EndpointState::kRemoved);
    g.Change("new" + std::to_string(i), EndpointState::kUp);
  }
  std::map<std::string, int> count;
  std::vector<std::string> out;  // the oldest first
  for (int i = 0; i < 4000; ++i) {
    const std::string id = "r" + std::to_string(i);
    for (const Action& action : g.Ask(id)) {
      if (const auto* const probe = std::get_if<StartProbe>(&action)) {
        EXPECT_EQ(std::ranges::count(out, probe->endpoint), 0) << probe->endpoint;
        out.push_back(probe->endpoint);
        ++count[probe->endpoint];
      } else if (const auto* const send = std::get_if<StartAttempt>(&action)) {
        g.End(id, 0, send->endpoint, Outcome::kOk, Ms(10), true);
      }
    }
    while (out.size() > 8) {
      const std::string first = out.front();
      out.erase(out.begin());
      g.Probed(first, 1, 10);
    }
    g.Pass(Ms(1));
  }
  EXPECT_EQ(count.size(), 40U);
  for (const auto& [endpoint, times] : count)
    EXPECT_GT(times, 60) << endpoint;
}

// The trouble: an id that a list held twice took two places of the set, and twice the work.
TEST(Membership, AnIdThatAListHoldsTwiceTakesOnePlace) {
  Settings s = MakeSettings();
  s.instance_count = 1;
  s.allowed.probes = false;
  LoadBalancerHarness g(s);
  g.Endpoints(40);
  EndpointInfo info;
  info.id = "twice";
  g.Give(EndpointUpdate{EndpointUpdateKind::kDelta, {info, info}});
  std::map<std::string, int> count;
  for (int i = 0; i < 8000; ++i) {
    const std::string id = "r" + std::to_string(i);
    const auto sends = LoadBalancerHarness::All<StartAttempt>(g.Ask(id));
    ASSERT_EQ(sends.size(), 1U);
    ++count[sends[0].endpoint];
    g.End(id, 0, sends[0].endpoint, Outcome::kOk, Ms(10), true);
  }
  EXPECT_EQ(count.size(), 41U);
  EXPECT_GT(count["twice"], 100);
  EXPECT_LT(count["twice"], 300);  // 195 are its part
}

// Out of a large set the two choices of the fallback are drawn, not looked for one by one.
TEST(Pick, TheFallbackKeepsToTheAllowedOfALargeSet) {
  Settings s = MakeSettings();
  s.instance_count = 1;
  s.allowed.probes = false;
  LoadBalancerHarness g(s);
  g.Endpoints(300);
  // Half of the set has just started, and nothing is known yet of how much it may be sent.
  for (int i = 0; i < 150; ++i) {
    g.Change("e" + std::to_string(2 * i), EndpointState::kUp, g.now);
  }
  std::set<std::string> met;
  for (int i = 0; i < 200; ++i) {
    const std::string id = "r" + std::to_string(i);
    const auto sends = LoadBalancerHarness::All<StartAttempt>(g.Ask(id));
    ASSERT_EQ(sends.size(), 1U);
    EXPECT_EQ(std::stoi(sends[0].endpoint.substr(1)) % 2, 1);
    met.insert(sends[0].endpoint);
    g.End(id, 0, sends[0].endpoint, Outcome::kOk, Ms(10), true);
    g.Pass(Ms(1));
  }
  EXPECT_GT(met.size(), 80U);
  // The one that may be sent to is still found where the draws miss it.
  for (int i = 1; i < 150; ++i) {
    g.Change("e" + std::to_string(2 * i + 1), EndpointState::kUp, g.now);
  }
  const auto last = LoadBalancerHarness::All<StartAttempt>(g.Ask("last"));
  ASSERT_EQ(last.size(), 1U);
  EXPECT_EQ(last[0].endpoint, "e1");
}

// Connections break to all endpoints alike on bad days: three in a row eject none.
TEST(Health, AFewBreaksEjectNobody) {
  LoadBalancerHarness g(MakeSettings());
  g.Endpoints(4);
  g.WarmUp(100);
  std::map<std::string, int> breaks, later;
  for (int i = 0; i < 300; ++i) {
    const std::string id = "r" + std::to_string(i);
    const size_t before = g.sends.size();
    g.Ask(id);
    if (g.sends.size() == before)
      continue;
    const std::string ep = g.sends[before].endpoint;
    const bool broken = breaks[ep] < 3;
    ++(broken ? breaks[ep] : later[ep]);
    g.End(id, 0, ep, broken ? Outcome::kReset : Outcome::kOk, Ms(5), true);
  }
  EXPECT_EQ(later.size(), 4U);
}

// What was turned away cost its endpoint nothing: tries elsewhere go on where dear ones would not.
TEST(Attempts, ATurningAwayCostsAFractionOfTheRetryBudget) {
  LoadBalancerHarness g(MakeSettings());
  g.Endpoints(6);
  g.WarmUp(100);
  size_t refused = 0;
  for (int i = 0; i < 20; ++i) {
    const std::string id = "r" + std::to_string(i);
    const size_t before = g.sends.size();
    g.Ask(id);
    for (size_t k = before; k < g.sends.size(); ++k) {
      const bool full = k < before + 2;
      refused += LoadBalancerHarness::All<RejectRequest>(
                     g.End(id, k - before, g.sends[k].endpoint,
                           full ? Outcome::kRejected : Outcome::kOk, Ms(1), !full))
                     .size();
    }
    g.Pass(Ms(5));
  }
  EXPECT_EQ(refused, 0U);
}

// Spoilt answers come from all endpoints alike, now and then: none is worse for them. One that
// gives nothing else serves nobody.
TEST(Health, SpoiltAnswersEjectOnlyAnEndpointThatGivesNothingElse) {
  for (const bool always : {false, true}) {
    LoadBalancerHarness g(MakeSettings());
    g.Endpoints(6);
    g.WarmUp(200);
    int to_bad = 0, spoilt = 0;
    for (int i = 0; i < 300; ++i) {
      g.Probed("e0", 0, 1);
      g.Probed("e1", 1, 20);
      g.Probed("e2", 1, 20);
      const std::string id = "r" + std::to_string(i);
      const size_t before = g.sends.size();
      g.Ask(id);
      for (size_t k = before; k < g.sends.size(); ++k) {
        const bool here = g.sends[k].endpoint == "e0";
        to_bad += here ? 1 : 0;
        const bool bad = here && (always || spoilt < 2);  // two in a row, then well again
        spoilt = bad ? spoilt + 1 : to_bad % 8 == 0 ? 0 : spoilt;
        g.End(id, k - before, g.sends[k].endpoint, bad ? Outcome::kInvalidResponse : Outcome::kOk,
              Ms(10), !bad);
      }
      g.Pass(Ms(5));
    }
    if (always) {
      EXPECT_LE(to_bad, 25);
    } else {
      EXPECT_GE(to_bad, 60);
    }
  }
}

TEST(Health, AnEndpointThatFailsFastIsLeftAlone) {
  LoadBalancerHarness g(MakeSettings());
  g.Endpoints(6);
  g.WarmUp(200);
  int to_bad = 0;
  for (int i = 0; i < 200; ++i) {
    g.Probed("e0", 0, 1);
    g.Probed("e1", 1, 20);
    g.Probed("e2", 1, 20);
    const std::string id = "r" + std::to_string(i);
    const size_t before = g.sends.size();
    g.Ask(id);
    for (size_t k = before; k < g.sends.size(); ++k) {
      const bool bad = g.sends[k].endpoint == "e0";
      to_bad += bad ? 1 : 0;
      g.End(id, k - before, g.sends[k].endpoint, bad ? Outcome::kError : Outcome::kOk, Ms(10),
            !bad);
    }
    g.Pass(Ms(5));
  }
  EXPECT_GE(to_bad, 1);
  EXPECT_LE(to_bad, 8);
}

// The trouble: a hung endpoint takes work and answers probes.
TEST(Health, ASilentEndpointIsAvoidedBeforeAnyTimeOut) {
  LoadBalancerHarness g(MakeSettings());
  g.Endpoints(6);
  g.WarmUp(200);
  g.Probed("e0", 0, 1);
  for (const char* id : {"e1", "e2", "e3"})
    g.Probed(id, 3, 30);
  g.Ask("stuck", 4);  // unsafe: no second copy
  ASSERT_EQ(g.sends.back().endpoint, "e0");
  g.Pass(Ms(250));
  for (int i = 0; i < 10; ++i) {
    g.Probed("e0", 0, 1);
    for (const char* id : {"e1", "e2", "e3"})
      g.Probed(id, 3, 30);
    const std::string id = "r" + std::to_string(i);
    g.Ask(id, 4);
    EXPECT_NE(g.sends.back().endpoint, "e0");
    g.End(id, 0, g.sends.back().endpoint, Outcome::kOk, Ms(20), true);
  }
}

TEST(Health, WhereAllFailSomeStillGetWork) {
  LoadBalancerHarness g(MakeSettings());
  g.Endpoints(4);
  size_t late_sends = 0;
  for (int i = 0; i < 400; ++i) {
    const std::string id = "r" + std::to_string(i);
    const size_t before = g.sends.size();
    g.Ask(id, 4);
    if (g.sends.size() > before) {
      g.End(id, 0, g.sends.back().endpoint, Outcome::kError, Ms(5));
      if (i >= 300)
        ++late_sends;
    }
    g.Pass(Ms(5));
  }
  EXPECT_GT(late_sends, 50U);
}

// The trouble: work piles up on an endpoint that is already full, and some then stay slow.
TEST(Capacity, WorkIsHeldRatherThanPiledOn) {
  LoadBalancerHarness g(MakeSettings());
  g.Endpoints(2);
  for (int i = 0; i < 100; ++i)
    g.Ask("r" + std::to_string(i));
  EXPECT_LE(g.sends.size(), 12U);
  EXPECT_GE(g.sends.size(), 2U);
}

TEST(Capacity, ARequestThatCannotMakeItIsRefusedPromptly) {
  LoadBalancerHarness g(MakeSettings());
  g.Endpoints(2);
  for (int i = 0; i < 100; ++i)
    g.Ask("r" + std::to_string(i));
  g.Pass(Ms(150));
  EXPECT_EQ(LoadBalancerHarness::All<RejectRequest>(g.log).size() + g.sends.size(), 100U);
}

// The trouble: a fleet refused a fifth of its requests, and nothing told which filter did it.
TEST(GivenUp, IsCountedByWhatBarredMostEndpoints) {
  const auto counted = [](LoadBalancerHarness& g, ExclusionReason bar) {
    return g.brain.statistics().unserved_by_reason[static_cast<size_t>(bar)];
  };
  LoadBalancerHarness none(MakeSettings());
  none.Ask("r");
  none.Pass(Ms(100));
  EXPECT_EQ(counted(none, ExclusionReason::kNone), 1U);
  EXPECT_EQ(LoadBalancerHarness::All<RejectRequest>(none.log).size(), 1U);

  LoadBalancerHarness cold(MakeSettings());
  cold.Change("new", EndpointState::kUp, cold.now - Ms(10));
  cold.Ask("r");
  cold.Pass(Ms(100));
  EXPECT_EQ(counted(cold, ExclusionReason::kWarmingUp), 1U);

  LoadBalancerHarness fresh(MakeSettings());
  fresh.Endpoints(2);
  for (int i = 0; i < 40; ++i)
    fresh.Ask("r" + std::to_string(i));
  fresh.Pass(Ms(100));
  EXPECT_GT(counted(fresh, ExclusionReason::kCapacityUnknown), 20U);
  EXPECT_EQ(counted(fresh, ExclusionReason::kAtConcurrencyLimit), 0U);

  LoadBalancerHarness full(MakeSettings());
  full.Endpoints(2);
  full.WarmUp(100);
  for (int i = 0; i < 400; ++i)
    full.Ask("r" + std::to_string(i));
  full.Pass(Ms(100));
  EXPECT_GT(counted(full, ExclusionReason::kAtConcurrencyLimit), 10U);

  Settings once = MakeSettings();
  once.allowed.max_attempts = 1;
  LoadBalancerHarness spent(once);
  spent.Endpoints(2);
  spent.Ask("r", 4);
  spent.Pass(Ms(390));
  spent.End("r", 0, spent.sends[0].endpoint, Outcome::kError, Ms(390));
  EXPECT_EQ(counted(spent, ExclusionReason::kRetryBudgetExhausted), 1U);
}

// The trouble: in a busy fleet a gateway just started held itself to half of what hosts held, so it
// sent nothing, learned nothing, and refused three quarters of its requests for five seconds.
TEST(Capacity, ANewGatewayInABusyFleetSendsByTheReportsOfOthers) {
  LoadBalancerHarness g(MakeSettings());
  g.Endpoints(8);
  for (int i = 0; i < 8; ++i)
    g.Probed("e" + std::to_string(i), i == 7 ? 40 : 10, 20);
  for (int i = 0; i < 20; ++i) {
    g.Ask("r" + std::to_string(i));
    g.Pass(Ms(60));
  }
  EXPECT_GE(g.sends.size(), 5U);
  for (const StartAttempt& send : g.sends)
    EXPECT_NE(send.endpoint, "e7");  // crowded beside the others
}

// The trouble: time-outs left out of the average flatter an endpoint, and its limit runs away.
TEST(Capacity, TimeOutsLowerTheLimit) {
  const auto sent_in_a_rush = [](bool time_outs) {
    LoadBalancerHarness g(MakeSettings());
    g.Endpoints(1);
    g.WarmUp(100, Ms(20));
    for (int i = 0; time_outs && i < 60; ++i) {
      const std::string id = "t" + std::to_string(i);
      const size_t before = g.sends.size();
      g.Ask(id, 4);
      g.Pass(Ms(900));
      if (g.sends.size() > before)
        g.End(id, 0, "e0", Outcome::kTimeout, Ms(900));
    }
    g.Pass(Ms(20'000));
    const size_t before = g.sends.size();
    for (int i = 0; i < 50; ++i)
      g.Ask("r" + std::to_string(i), 4);
    return g.sends.size() - before;
  };
  EXPECT_LT(sent_in_a_rush(true), sent_in_a_rush(false));
}

// ---- Admission ------------------------------------------------------------------------------

// The trouble: under overload the cheapest worth takes all, and a class that counts is starved.
TEST(Admission, TheClassServedWorstGainsWhatTheResultMixAdds) {
  const auto sent_of_lesser = [](double worst_class) {
    Settings s = MakeSettings();
    s.instance_count = 1;
    s.classes = {s.classes[4], s.classes[4]};
    s.classes[0].priority_weight = 3;
    s.classes[1].priority_weight = 1;
    s.priority_scales_with_work = true;
    s.score_weights.worst_class = worst_class;
    LoadBalancerHarness g(s);
    g.Endpoints(1);
    std::map<std::string, Time> out;
    size_t lesser = 0, seen = 0;
    for (int i = 0; i < 400; ++i) {
      g.Ask("a" + std::to_string(i), 0);
      g.Ask("b" + std::to_string(i), 1);
      g.Pass(Ms(20));
      for (auto at = out.begin(); at != out.end();) {
        if (g.now - at->second < Ms(200)) {
          ++at;
          continue;
        }
        g.End(at->first, 0, "e0", Outcome::kOk, Ms(200), true);
        at = out.erase(at);
      }
      for (; seen < g.sends.size(); ++seen) {
        out[g.sends[seen].id] = g.now;
        if (i >= 100 && g.sends[seen].id[0] == 'b')
          ++lesser;
      }
    }
    return lesser;
  };
  EXPECT_EQ(sent_of_lesser(0), 0U);
  EXPECT_GE(sent_of_lesser(0.8), 10U);
}

TEST(Admission, OnlyATenantsExcessLosesRank) {
  Settings s = MakeSettings();
  s.instance_count = 1;
  s.tenants = {{180, 0.9}, {20, 0.1}};
  s.over_quota_priority_factor = 0.01;
  LoadBalancerHarness g(s);
  g.Endpoints(1);
  std::map<size_t, size_t> sent;
  std::map<std::string, Time> out;
  size_t seen = 0;
  for (int i = 0; i < 600; ++i) {  // both ask alike, so tenant 1 is far beyond its share
    for (const int tenant : {i % 2, (i + 1) % 2}) {
      g.Ask(std::to_string(tenant) + "-" + std::to_string(i), 4, Ms(1000),
            static_cast<size_t>(tenant));
    }
    g.Pass(Ms(20));
    for (auto at = out.begin(); at != out.end();) {
      const bool done = g.now - at->second >= Ms(200);
      if (done)
        g.End(at->first, 0, "e0", Outcome::kOk, Ms(200), true);
      at = done ? out.erase(at) : std::next(at);
    }
    for (; seen < g.sends.size(); ++seen) {
      out[g.sends[seen].id] = g.now;
      if (i >= 300)
        ++sent[g.sends[seen].id[0] == '0' ? 0 : 1];
    }
  }
  EXPECT_GT(sent[0], 2 * sent[1]);
  EXPECT_GT(sent[1], 0U);  // what is within its share is served
}

// What a gateway does with two tenants that ask alike, of which one has nine tenths of the shares:
// whom it sends where, in turn.
std::vector<std::string> SentOfTwoTenants(const Settings& settings,
                                          const std::function<void(LoadBalancerHarness&)>& told) {
  LoadBalancerHarness g(settings);
  g.Endpoints(1);
  told(g);
  std::map<std::string, Time> out;
  size_t seen = 0;
  for (int i = 0; i < 200; ++i) {
    for (const int tenant : {i % 2, (i + 1) % 2}) {
      g.Ask(std::to_string(tenant) + "-" + std::to_string(i), 4, Ms(1000),
            static_cast<size_t>(tenant));
    }
    g.Pass(Ms(20));
    for (auto at = out.begin(); at != out.end();) {
      const bool done = g.now - at->second >= Ms(200);
      if (done)
        g.End(at->first, 0, "e0", Outcome::kOk, Ms(200), true);
      at = done ? out.erase(at) : std::next(at);
    }
    for (; seen < g.sends.size(); ++seen)
      out[g.sends[seen].id] = g.now;
  }
  std::vector<std::string> sent;
  for (const StartAttempt& send : g.sends)
    sent.push_back(send.id + " " + send.endpoint);
  return sent;
}

// The module got all settings for the change of one tenant: with 240,000 of them that was what the
// change cost. Told alone it decides as if all had been told anew; one that cannot be taken
// changes nothing.
TEST(Admission, TenantsToldAloneAreAsInSettingsToldWhole) {
  Settings before = MakeSettings();
  before.instance_count = 1;
  before.over_quota_priority_factor = 0.01;
  before.tenants = {{20, 0.1}};
  Settings after = before;
  after.tenants = {{180, 0.9}, {20, 0.1}};
  const auto whole = SentOfTwoTenants(before, [&](LoadBalancerHarness& g) { g.Give(after); });
  const auto alone = SentOfTwoTenants(before, [&](LoadBalancerHarness& g) {
    g.Give(TenantQuotaUpdate{{{0, {180, 0.9}}, {1, {20, 0.1}}}});
    EXPECT_THROW(g.Give(TenantQuotaUpdate{{{0, {1, 0.01}}, {1, {1, -1}}}}), std::invalid_argument);
  });
  EXPECT_EQ(alone, whole);
  EXPECT_NE(SentOfTwoTenants(before, [](LoadBalancerHarness&) {}), whole);
}

// 64 times as many tenants may cost four times as much where one of them changes.
TEST(Admission, AChangeOfOneTenantLooksAtThatOneAlone) {
  double took[2] = {};
  for (const bool many : {false, true}) {
    Settings s = MakeSettings();
    s.tenants.assign(many ? 64'000 : 1'000, {1, 0.001});
    LoadBalancerHarness g(s);
    g.Endpoints(1);
    took[many ? 1 : 0] = 1e18;
    for (int turn = 0; turn < 5; ++turn) {
      const auto from = std::chrono::steady_clock::now();
      for (size_t i = 0; i < 200; ++i)
        g.Give(TenantQuotaUpdate{{{i * 3, {2, 0.002}}}});
      const std::chrono::duration<double, std::micro> us = std::chrono::steady_clock::now() - from;
      took[many ? 1 : 0] = std::min(took[many ? 1 : 0], us.count() / 200);
    }
  }
  EXPECT_LT(took[1], 4 * took[0]) << "at 1,000: " << took[0] << " us, at 64,000: " << took[1];
}

// Each request refilled the shares of all tenants: of 64,000 that was most of what a gateway did,
// with the requests of one. 64 times as many tenants may cost four times as much here.
TEST(Admission, ARequestLooksAtItsOwnTenantAlone) {
  double took[2] = {};
  for (const bool many : {false, true}) {
    Settings s = MakeSettings();
    s.tenants.assign(many ? 64'000 : 1'000, {1, 0.001});
    took[many ? 1 : 0] = 1e18;
    for (int turn = 0; turn < 5; ++turn) {
      LoadBalancerHarness g(s);
      g.Endpoints(1);
      const auto from = std::chrono::steady_clock::now();
      for (int i = 0; i < 60; ++i) {
        const std::string id = std::to_string(i);
        g.Ask(id, 4, Ms(1000), static_cast<size_t>(i * 13));
        g.End(id, 0, "e0", Outcome::kOk, Ms(5), true);
        g.Pass(Ms(20));
      }
      const std::chrono::duration<double, std::micro> us = std::chrono::steady_clock::now() - from;
      took[many ? 1 : 0] = std::min(took[many ? 1 : 0], us.count() / 60);
    }
  }
  EXPECT_LT(took[1], 4 * took[0]) << "at 1,000: " << took[0] << " us, at 64,000: " << took[1];
}

// ---- The legality gate ----------------------------------------------------------------------

struct LegalCase {
  size_t cls;
  Outcome outcome;
  bool other_zone_ok;  // a further attempt may go to another zone and cell
  bool refusable;
};

class Legality : public ::testing::TestWithParam<LegalCase> {};

// Endpoint e0 is in zone 0, cell 0; the only other one is in zone 1, cell 1.
TEST_P(Legality, AFurtherAttemptElsewhere) {
  const LegalCase c = GetParam();
  LoadBalancerHarness g(MakeSettings());
  g.Endpoints(1);
  g.Ask("r", c.cls);
  ASSERT_EQ(g.sends.size(), 1U);
  EndpointInfo other;
  other.id = "o";
  other.zone = 1;
  other.cell = 1;
  g.Give(EndpointUpdate{EndpointUpdateKind::kDelta, {other}});
  g.Pass(Ms(5));
  const auto then = g.End("r", 0, "e0", c.outcome, Ms(5));
  EXPECT_EQ(LoadBalancerHarness::All<StartAttempt>(then).size(), c.other_zone_ok ? 1U : 0U);
  if (!c.other_zone_ok) {
    EXPECT_EQ(LoadBalancerHarness::All<RejectRequest>(then).size(), c.refusable ? 1U : 0U);
    EXPECT_EQ(LoadBalancerHarness::All<FailRequest>(then).size(), c.refusable ? 0U : 1U);
  }
}

std::vector<LegalCase> LegalCases() {
  std::vector<LegalCase> cases;
  for (const Outcome o : {Outcome::kError, Outcome::kReset, Outcome::kTimeout, Outcome::kCancelled,
                          Outcome::kRejected, Outcome::kConnectFailed, Outcome::kNotSent,
                          Outcome::kInvalidResponse}) {
    const bool never_ran =
        o == Outcome::kRejected || o == Outcome::kConnectFailed || o == Outcome::kNotSent;
    cases.push_back({0, o, true, true});
    cases.push_back({1, o, true, true});
    cases.push_back({2, o, never_ran, never_ran});
    cases.push_back({3, o, never_ran, never_ran});
    cases.push_back({4, o, never_ran, never_ran});
  }
  return cases;
}

INSTANTIATE_TEST_SUITE_P(EffectOutcomeGroup, Legality, ::testing::ValuesIn(LegalCases()));

TEST(Gate, AKeyedRepeatStaysInItsWindow) {
  for (const bool late : {false, true}) {
    Settings s = MakeSettings();
    s.classes[1].deduplication_window = Ms(150);
    s.classes[1].latency_objective = Ms(1000);
    s.allowed.parallel_attempts = false;
    LoadBalancerHarness g(s);
    g.Endpoints(4);
    g.Ask("r", 1);
    g.now += late ? Ms(120) : Ms(50);  // 50 ms of the window are kept for the way
    const auto then = g.End("r", 0, g.sends[0].endpoint, Outcome::kError, Ms(50));
    EXPECT_EQ(LoadBalancerHarness::All<StartAttempt>(then).size(), late ? 0U : 1U);
  }
}

TEST(Gate, NoMoreAttemptsThanAllowed) {
  Settings s = MakeSettings();
  s.allowed.max_attempts = 1;
  LoadBalancerHarness g(s);
  g.Endpoints(4);
  g.Ask("r");
  const auto then = g.End("r", 0, g.sends[0].endpoint, Outcome::kError, Ms(5));
  EXPECT_TRUE(LoadBalancerHarness::All<StartAttempt>(then).empty());
  EXPECT_EQ(LoadBalancerHarness::All<RejectRequest>(then).size(), 1U);
}

TEST(Gate, NoSecondCopyWhileTheFirstIsOut) {
  for (const bool parallel : {true, false}) {
    Settings s = MakeSettings();
    s.allowed.parallel_attempts = parallel;
    LoadBalancerHarness g(s);
    g.Endpoints(4);
    g.WarmUp(100);
    g.Ask("r");
    const size_t sent = g.sends.size();
    g.Pass(Ms(300));  // long silent; moving on earned nothing, so it stays
    EXPECT_EQ(g.sends.size(), sent);
    g.End("r", 0, g.sends.back().endpoint, Outcome::kReset, Ms(300));
    EXPECT_LE(g.sends.size(), sent + 1);
  }
}

TEST(Gate, NothingIsSentForARequestThatIsOver) {
  LoadBalancerHarness g(MakeSettings());
  g.Endpoints(4);
  g.WarmUp(100);
  g.Ask("r");
  g.Give(ClientDisconnected{"r"});
  const size_t sent = g.sends.size();
  g.Pass(Ms(500));
  g.End("r", 0, g.sends.back().endpoint, Outcome::kError, Ms(500), true);
  EXPECT_EQ(g.sends.size(), sent);
}

TEST(Gate, AStreamThatHasBegunIsLeftAlone) {
  LoadBalancerHarness g(MakeSettings());
  g.Endpoints(4);
  g.WarmUp(100);
  g.Ask("r");
  const size_t sent = g.sends.size();
  g.Give(ResponseStarted{"r", 0, g.sends.back().endpoint, Ms(5)});
  g.Pass(Ms(5000));
  EXPECT_EQ(g.sends.size(), sent);
  EXPECT_TRUE(LoadBalancerHarness::All<CancelAttempt>(g.log).empty());
}

// The trouble: a client's last try comes with only milliseconds left, and no timer comes early.
TEST(Gate, ATryWithLittleTimeLeftIsAnsweredInTime) {
  LoadBalancerHarness g(MakeSettings());
  g.Endpoints(1);
  for (int i = 0; i < 30; ++i)
    g.Ask("fill" + std::to_string(i), 4);
  g.log.clear();
  g.Ask("r", 0, Ms(18));
  g.Pass(Ms(18));
  const auto refused = LoadBalancerHarness::All<RejectRequest>(g.log);
  EXPECT_TRUE(std::any_of(refused.begin(), refused.end(),
                          [](const RejectRequest& x) { return x.id == "r"; }));
}

TEST(Gate, ADeadlineAlreadyPastAndNoEndpointAtAll) {
  LoadBalancerHarness g(MakeSettings());
  g.Endpoints(0);
  EXPECT_TRUE(LoadBalancerHarness::All<StartAttempt>(g.Ask("a")).empty());
  g.Pass(Ms(200));
  EXPECT_EQ(LoadBalancerHarness::All<RejectRequest>(g.log).size(), 1U);
  g.Endpoints(0);
  EXPECT_EQ(LoadBalancerHarness::All<RejectRequest>(g.Ask("b", 0, Ms(-5))).size(), 1U);
}

TEST(Gate, TimeOutAtTheDeadlineIsAnsweredAtOnce) {
  LoadBalancerHarness g(MakeSettings());
  g.Endpoints(1);
  g.Ask("r", 4, Ms(500));
  g.now += Ms(500);
  const auto then = g.End("r", 0, "e0", Outcome::kTimeout, Ms(500));
  EXPECT_EQ(LoadBalancerHarness::All<FailRequest>(then).size(), 1U);
}

// ---- Cold endpoints -------------------------------------------------------------------------

// No window of the stated length holds more sends than multiple x share x pace x window and one
// more, where `pace` is what a warm endpoint takes a second.
void ExpectWithinColdBudget(const std::vector<Time>& cold, Time born, const Settings& s,
                            double pace) {
  const double window = static_cast<double>(s.rules.overload_collapse_duration.count()) / 1e6;
  for (size_t i = 0; i < cold.size(); ++i) {
    const auto sent = std::count_if(cold.begin(), cold.end(), [&](Time t) {
      return t >= cold[i] && t < cold[i] + s.rules.overload_collapse_duration;
    });
    const double age = static_cast<double>((cold[i] - born).count()) /
                       static_cast<double>(s.rules.slow_start_duration.count());
    const double from = s.rules.slow_start_initial_capacity,
                 share = from + (1 - from) * std::min(1.0, age);
    EXPECT_LE(static_cast<double>(sent),
              s.rules.overload_collapse_multiple * share * pace * window + 1)
        << "at " << age;
  }
}

TEST(Cold, SendsStayWithinTheBudgetOverAnyWindow) {
  Settings s = MakeSettings();
  LoadBalancerHarness g(s);
  g.Endpoints(5);
  g.WarmUp(1500, Ms(20), Ms(5));  // 40 a second on each endpoint
  std::vector<Time> cold;
  g.Change("new", EndpointState::kUp, g.now);
  const Time born = g.now;
  for (int i = 0; i < 1500; ++i) {
    g.Probed("new", 0, 1);  // looks like the best there is
    g.Probed("e1", 1, 20);
    g.Probed("e2", 1, 20);
    const size_t before = g.sends.size();
    g.WarmUp(1, Ms(20), Ms(5));
    for (size_t k = before; k < g.sends.size(); ++k) {
      if (g.sends[k].endpoint == "new")
        cold.push_back(g.now);
    }
  }
  ASSERT_FALSE(cold.empty());
  const double pace = 40.0;  // what a warm endpoint takes from this gateway, a second
  ExpectWithinColdBudget(cold, born, s, pace);
}

TEST(Cold, NothingBeforeThisGatewayKnowsAnyPace) {
  LoadBalancerHarness g(MakeSettings());
  g.Change("new", EndpointState::kUp, g.now - Ms(10));
  for (int i = 0; i < 20; ++i)
    g.Ask("r" + std::to_string(i));
  EXPECT_TRUE(g.sends.empty());
}

// The trouble: in its first five seconds a gateway took its traffic for a fraction of what it was,
// and with that what it may send to cold endpoints.
TEST(Cold, AGatewayJustStartedKnowsItsTrafficWithinASecond) {
  const auto to_new = [](int seconds_before) {
    Settings s = MakeSettings();
    s.allowed.max_attempts = 1;
    LoadBalancerHarness g(s);
    g.Endpoints(4);
    g.WarmUp(40 * seconds_before, Ms(20), Ms(25));
    g.Change("new", EndpointState::kUp, g.now);
    size_t sent = 0;
    for (int i = 0; i < 60; ++i) {
      for (const char* id : {"e0", "e1", "e2", "e3"})
        g.Probed(id, 5, 20);
      g.Probed("new", 0, 1);  // the best there is
      const size_t before = g.sends.size();
      g.WarmUp(1, Ms(20), Ms(25));
      for (size_t k = before; k < g.sends.size(); ++k)
        sent += g.sends[k].endpoint == "new" ? 1 : 0;
    }
    return sent;
  };
  EXPECT_GE(to_new(0) * 3, to_new(20) * 2);
}

// The trouble: hundreds of gateways each save up one whole request and spend it together. Their sum
// over any window keeps to the budget: multiple x share x what a warm endpoint takes from all.
TEST(Cold, TheSumOfManyGatewaysStaysWithinTheBudget) {
  constexpr int kGateways = 200, kEndpoints = 80;
  Settings s = MakeSettings();
  s.instance_count = kGateways;
  std::vector<LoadBalancerHarness> bank;
  for (int i = 0; i < kGateways; ++i)
    bank.emplace_back(s, static_cast<uint64_t>(i) + 1);
  for (LoadBalancerHarness& g : bank)
    g.Endpoints(kEndpoints);
  std::vector<Time> cold;
  Time born{0};
  for (int round = 0; round < 120; ++round) {  // ten requests a second each, 25 an endpoint in all
    for (LoadBalancerHarness& g : bank) {
      if (round == 60) {
        g.Change("new", EndpointState::kUp, g.now);
        born = g.now;
      }
      if (round >= 60)
        g.Probed("new", 0, 1);
      const size_t before = g.sends.size();
      g.WarmUp(1, Ms(20), Ms(100));
      for (size_t k = before; k < g.sends.size(); ++k) {
        if (g.sends[k].endpoint == "new")
          cold.push_back(g.now);
      }
    }
  }
  std::sort(cold.begin(), cold.end());
  ASSERT_FALSE(cold.empty());
  ExpectWithinColdBudget(cold, born, s, 25);
  // The trouble: each gateway's first send came only after it had saved up a request and a half,
  // and by then the hosts that the new ones replace had gone. Now the first come within two
  // seconds.
  EXPECT_GE(std::count_if(cold.begin(), cold.end(), [&](Time t) { return t - born < Ms(2000); }),
            1);
}

// ---- The working set ------------------------------------------------------------------------

// The trouble: hundreds of gateways that each meet every endpoint know none of them, and hold a
// connection to each.
TEST(Set, AGatewayOfALargeBankWorksWithAShareAndAllTogetherWithEveryEndpoint) {
  Settings s = MakeSettings();
  s.instance_count = 200;
  std::set<std::string> by_all;
  for (uint64_t seed = 1; seed <= 200; ++seed) {
    s.zone = static_cast<int>(seed % 2);
    LoadBalancerHarness g(s, seed);
    g.Endpoints(120);
    g.WarmUp(100);
    std::set<std::string> met;
    for (const StartAttempt& send : g.sends)
      met.insert(send.endpoint);
    EXPECT_LE(met.size(), 16U);
    EXPECT_GE(met.size(), 3U);
    by_all.insert(met.begin(), met.end());
  }
  EXPECT_GT(by_all.size(), 115U);
}

TEST(Set, AloneAGatewayUsesTheWholeFleet) {
  Settings s = MakeSettings();
  s.instance_count = 1;
  LoadBalancerHarness g(s);
  g.Endpoints(100);
  g.WarmUp(3000);
  std::set<std::string> met;
  for (const StartAttempt& send : g.sends)
    met.insert(send.endpoint);
  EXPECT_GT(met.size(), 95U);
}

// The trouble: a full connection table shows only as failed connects, again and again.
TEST(Set, AnEndpointThatGivesNoConnectionIsReplaced) {
  Settings s = MakeSettings();
  s.instance_count = 200;
  LoadBalancerHarness g(s);
  g.Endpoints(120);
  g.WarmUp(20);
  const std::string full = g.sends.back().endpoint;
  size_t tries = 0;
  for (int i = 0; i < 200; ++i) {
    const std::string id = "r" + std::to_string(i);
    const size_t before = g.sends.size();
    g.Ask(id, 4);
    for (size_t k = before; k < g.sends.size(); ++k) {
      const bool refused = g.sends[k].endpoint == full;
      tries += refused ? 1 : 0;
      g.End(id, k - before, g.sends[k].endpoint, refused ? Outcome::kConnectFailed : Outcome::kOk,
            Ms(20), !refused);
    }
    g.Pass(Ms(5));
  }
  EXPECT_EQ(tries, 1U);
}

// The trouble: after a release the new endpoints were in nobody's set.
TEST(Set, ReleasedEndpointsComeIntoUse) {
  Settings s = MakeSettings();
  s.instance_count = 200;
  int users = 0;
  for (uint64_t seed = 1; seed <= 100; ++seed) {
    LoadBalancerHarness g(s, seed);
    g.Endpoints(60);
    g.WarmUp(20);
    g.Change("new", EndpointState::kUp);
    g.WarmUp(200);
    users += std::any_of(g.sends.begin(), g.sends.end(),
                         [](const StartAttempt& send) { return send.endpoint == "new"; });
  }
  EXPECT_GT(users, 10);
  EXPECT_LT(users, 50);
}

TEST(Set, AFleetThatShrinksToNoneAndReturnsIsServedAgain) {
  LoadBalancerHarness g(MakeSettings());
  g.Endpoints(60);
  g.WarmUp(20);
  g.Give(EndpointUpdate{EndpointUpdateKind::kFull, {}});
  const size_t before = g.sends.size();
  g.WarmUp(20);
  EXPECT_EQ(g.sends.size(), before);
  g.Endpoints(60, EndpointUpdateKind::kFull);
  g.WarmUp(20);
  EXPECT_GT(g.sends.size(), before);
}

// The trouble: in the first seconds a gateway had seen two of its endpoints and crowded the rest.
TEST(Probes, FillTheSetAtTheStartWhereTheyArePriced) {
  Settings s = MakeSettings();
  s.instance_count = 300;
  s.costs.probe = 0.04;
  LoadBalancerHarness g(s);
  g.Endpoints(68);
  size_t first = 0, later = 0;
  for (int i = 0; i < 104; ++i) {
    for (const StartProbe& probe :
         LoadBalancerHarness::All<StartProbe>(g.Ask("r" + std::to_string(i)))) {
      g.Probed(probe.endpoint, 1, 20);
      ++(i < 4 ? first : later);
    }
    g.Pass(Ms(10));
  }
  EXPECT_EQ(first, 8U);
  EXPECT_NEAR(static_cast<double>(later), 25, 3);
}

// The trouble: with a probe in seven requests a host that a release brought up was heard of seconds
// after it came, when those it replaces had gone.
TEST(Probes, ANewcomerIsProbedBeforeTheOthers) {
  Settings s = MakeSettings();
  s.costs.probe = 0.08;
  LoadBalancerHarness g(s);
  g.Endpoints(10);
  for (int i = 0; i < 100; ++i) {
    for (const StartProbe& probe :
         LoadBalancerHarness::All<StartProbe>(g.Ask("r" + std::to_string(i)))) {
      g.Probed(probe.endpoint, 1, 20);
    }
  }
  for (int round = 0; round < 5; ++round) {
    const std::string id = "new" + std::to_string(round);
    g.Change(id, EndpointState::kUp);
    std::string first;
    for (int i = 0; i < 20 && first.empty(); ++i) {
      for (const StartProbe& probe :
           LoadBalancerHarness::All<StartProbe>(g.Ask(id + std::to_string(i)))) {
        if (first.empty())
          first = probe.endpoint;
        g.Probed(probe.endpoint, 1, 20);
      }
    }
    EXPECT_EQ(first, id);
  }
}

// The trouble: with one request at a time a gateway cannot order what waits, and at the limit it
// sheds all or nothing. The least worth meets the limit first.
TEST(Admission, TheLimitStretchesWithWorth) {
  Settings s = MakeSettings();
  s.classes = {MakeClass(Idempotency::kSafe), MakeClass(Idempotency::kSafe)};
  s.classes[1].priority_weight = 5;
  s.score_weights.worst_class = 0;
  LoadBalancerHarness g(s);
  g.Endpoints(4);
  int sent[2] = {0, 0};
  for (int i = 0; i < 400; ++i) {
    for (const char* id : {"e0", "e1", "e2", "e3"})
      g.Probed(id, 3, 20);  // at the first limit
    const size_t before = g.sends.size(), cls = static_cast<size_t>(i % 2);
    const std::string id = "r" + std::to_string(i);
    g.Ask(id, cls);
    if (g.sends.size() > before) {
      ++sent[cls];
      g.End(id, 0, g.sends.back().endpoint, Outcome::kRejected, Ms(1));
    } else {
      g.Give(ClientDisconnected{id});
    }
  }
  EXPECT_GT(sent[1], 150);
  EXPECT_LT(sent[0], 50);
}

// The trouble: refused clients were told to stay away for longer than their aim, so that whatever
// they asked again was late.
TEST(Admission, ARefusedClientIsToldToComeBackWithinItsAim) {
  Settings s = MakeSettings();
  s.allowed.retry_after = true;
  s.allowed.max_retry_after = Ms(3000);
  LoadBalancerHarness g(s);
  g.Give(EndpointUpdate{});  // no endpoint at all
  g.Ask("r");
  g.Pass(Ms(300));
  const auto refused = LoadBalancerHarness::All<RejectRequest>(g.log);
  ASSERT_EQ(refused.size(), 1U);
  EXPECT_GT(refused[0].retry_after, Duration(0));
  EXPECT_LT(refused[0].retry_after, Ms(100));  // a quarter of the aim
}

// The trouble: two thirds of the picks of a small set crossed zones, at a price.
TEST(Set, PrefersTheOwnZoneButNotOnly) {
  Settings s = MakeSettings();
  s.instance_count = 200;
  int own = 0, all = 0;
  for (uint64_t seed = 1; seed <= 50; ++seed) {
    LoadBalancerHarness g(s, seed);
    g.Endpoints(120);  // even ones in zone 0, this gateway's
    g.WarmUp(100);
    std::set<std::string> met;
    for (const StartAttempt& send : g.sends)
      met.insert(send.endpoint);
    for (const std::string& id : met)
      own += (id.back() - '0') % 2 == 0;
    all += static_cast<int>(met.size());
  }
  EXPECT_GT(own, all * 3 / 4);
  EXPECT_LT(own, all);
}

TEST(Odd, AKindOutOfAnyBoundAndAClusterOfHundreds) {
  Settings s = MakeSettings();
  s.instance_count = 4000;  // far more than endpoints, and than are there
  LoadBalancerHarness g(s);
  EndpointUpdate m;
  m.kind = EndpointUpdateKind::kCached;
  for (int i = 0; i < 300; ++i) {
    EndpointInfo info;
    info.id = "e" + std::to_string(i);
    info.zone = i;  // one endpoint a zone
    info.machine_kind = i % 2 ? SIZE_MAX : 0;
    m.endpoints.push_back(info);
  }
  g.Give(m);
  for (int i = 0; i < 50; ++i) {
    const auto actions = g.Ask("r" + std::to_string(i));
    EXPECT_LE(actions.size(), 3U);  // a send and two probes: bounded work whatever the fleet
    g.End("r" + std::to_string(i), 0, g.sends.back().endpoint, Outcome::kOk, Ms(5), true);
  }
  EXPECT_EQ(g.sends.size(), 50U);
}

// ---- Odd events -----------------------------------------------------------------------------

TEST(Odd, EventsForWhatIsUnknownOrOverAreIgnored) {
  LoadBalancerHarness g(MakeSettings());
  g.Endpoints(2);
  EXPECT_TRUE(g.End("nobody", 0, "e0", Outcome::kOk, Ms(1), true).empty());
  EXPECT_TRUE(g.Give(ClientDisconnected{"nobody"}).empty());
  EXPECT_TRUE(g.Give(TimerFired{"unknown"}).empty());
  EXPECT_TRUE(g.Give(PeerMessage{1, "x"}).empty());
  EXPECT_TRUE(g.Give(ProbeFinished{"nowhere", Outcome::kOk, Ms(1), LoadReport{1, 1}}).empty());
  EXPECT_TRUE(g.Give(ResponseStarted{"nobody", 0, "e0", Ms(1)}).empty());
  g.Ask("r");
  g.End("r", 0, g.sends[0].endpoint, Outcome::kOk, Ms(10), true);
  EXPECT_TRUE(g.End("r", 0, g.sends[0].endpoint, Outcome::kError, Ms(10), true).empty());
  EXPECT_TRUE(g.Give(ProbeFinished{"e0", Outcome::kOk, Ms(1), LoadReport{}}).empty());
  EXPECT_TRUE(g.Give(ProbeFinished{"e0", Outcome::kOk, Ms(1), std::nullopt}).empty());
}

// Another customer's time to ask in, a minute: a watch that fell silent was begun anew 3 s after
// that was found out, when what it had missed counted as told long since.
TEST(Discovery, ABrokenWatchIsBegunAnewSoonHoweverLongTheTimeToAskIn) {
  Settings s = MakeSettings();
  s.discovery_mode = DiscoveryMode::kPoll;
  s.rules.discovery_interval = Ms(60000);
  for (uint64_t seed = 1; seed <= 50; ++seed) {
    LoadBalancerHarness g(s, seed);
    g.Endpoints(3);
    const auto timers =
        LoadBalancerHarness::All<SetTimer>(g.Give(EndpointUpdate{EndpointUpdateKind::kFailed, {}}));
    ASSERT_EQ(timers.size(), 1U);
    EXPECT_LE(timers[0].after, Ms(750));
  }
}

TEST(Odd, UnknownClassAndTenantAreServed) {
  LoadBalancerHarness g(MakeSettings());
  g.Endpoints(2);
  EXPECT_EQ(LoadBalancerHarness::All<StartAttempt>(g.Ask("r", 99, Ms(1000), 42)).size(), 1U);
}

}  // namespace
}  // namespace paddlestile
