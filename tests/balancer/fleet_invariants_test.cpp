// A hundred instances of the module over sixty hosts, and three hundred over two hundred, seeded,
// without sockets: what all gateways together do to a host and to discovery is bounded through mass
// restarts, a zone that returns cold or is cut off, late lists and a mass replacement. The hosts
// are queues of a fixed pace that start cold.
#include <gtest/gtest.h>

#include <algorithm>
#include <array>
#include <chrono>
#include <cmath>
#include <cstdio>
#include <deque>
#include <iterator>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "balancer/load_balancer_fixture.h"

namespace paddlestile::testing {
namespace {

constexpr double kPerSecond = 27;  // what a warm host does
constexpr double kArrivals = 16;   // requests a second to a gateway: 0.99 of 60 hosts, 0.89 of 200
constexpr double kStep = 10;       // ms

class Fleet {
 public:
  struct Host {
    Time launched{0};
    bool silent = false, failing = false;
    Time free{0};
    std::vector<Time> sends;    // since it was launched
    std::deque<Time> leaves;    // of those it holds, when each is done
    std::set<size_t> gateways;  // that have sent to it
    int64_t shut_sends = 0;     // while it was silent
  };
  struct Done {
    size_t gateway;
    std::string id, host;
    Time sent;
  };

  explicit Fleet(size_t count = 100, int host_count = 60) : settings(MakeSettings()) {
    settings.instance_count = static_cast<int>(count);
    gateways.resize(count);
    taken.resize(count);
    lives.resize(count);
    bad_sends.resize(count);
    settings.zone_count = 4;
    settings.classes = {MakeClass(Idempotency::kSafe)};
    settings.classes[0].latency_objective = Ms(700);
    settings.allowed.parallel_attempts = false;
    settings.costs.probe = 0.08;
    for (int i = 0; i < host_count; ++i)
      hosts["h" + std::to_string(i)];
    for (size_t i = 0; i < count; ++i)
      Restart(i);
  }

  // What the one before had out never ends; a life is told from the next by its number.
  void Restart(size_t i) {
    taken[i] = 0;
    ++lives[i];
    std::erase_if(due, [&](const auto& d) { return d.second.gateway == i; });
    Settings s = settings;
    s.zone = static_cast<int>(i % 4);
    gateways[i] = std::make_unique<LoadBalancerHarness>(s, ++seed);
    gateways[i]->now = now;
    gateways[i]->Give(List());
  }
  void Kill(const std::string& host) { hosts[host].silent = true; }
  void ReturnCold(const std::string& host) {
    hosts[host] = Host{};
    hosts[host].launched = now;
  }

  EndpointUpdate List() const {
    EndpointUpdate m;
    for (const auto& [id, host] : hosts) {
      EndpointInfo info;
      info.id = id;
      info.zone = std::stoi(id.substr(1)) % 4;
      info.started_at = host.launched;
      if (!leaving.contains(id))
        m.endpoints.push_back(info);
    }
    return m;
  }
  void TellAll() {
    for (auto& g : gateways)
      g->Give(List());
  }

  double Warmth(const Host& h) const {
    if (h.launched == Time(0))
      return 1;
    const auto& o = settings.rules;
    const double age = static_cast<double>((now - h.launched).count()) /
                       static_cast<double>(o.slow_start_duration.count());
    return o.slow_start_initial_capacity + (1 - o.slow_start_initial_capacity) * std::min(1.0, age);
  }

  void Take(size_t i) {
    LoadBalancerHarness& g = *gateways[i];
    for (; taken[i] < g.log.size(); ++taken[i]) {
      const Action action = g.log[taken[i]];
      if (const auto* send = std::get_if<StartAttempt>(&action)) {
        Host& h = hosts[send->endpoint];
        h.sends.push_back(now);
        h.shut_sends += h.silent ? 1 : 0;
        h.gateways.insert(i);
        h.free = std::max(h.free, now) + Ms(1000 / (kPerSecond * Warmth(h)));
        h.leaves.push_back(h.free + Ms(120));
        if (h.failing)
          ++bad_sends[i];
        const Time at = h.silent ? now + Ms(2000) : h.failing ? now + Ms(5) : h.leaves.back();
        due.emplace(at, Done{i, send->id, send->endpoint, now});
        ++sends;
      } else if (const auto* probe = std::get_if<StartProbe>(&action)) {
        ++probes;
        Host& h = hosts[probe->endpoint];
        while (!h.leaves.empty() && h.leaves.front() <= now)
          h.leaves.pop_front();
        const auto held = static_cast<double>(h.leaves.size());
        if (!h.silent)
          g.Probed(probe->endpoint, held, 150);
      } else if (std::holds_alternative<RejectRequest>(action)) {
        ++refused;
      } else if (std::holds_alternative<WatchEndpoints>(action)) {
        calls.push_back(now);
        // Discovery is short of room for all that ask at once.
        if (refuse_calls)
          g.Give(EndpointUpdate{EndpointUpdateKind::kFailed, {}});
      }
    }
  }

  void Play(Duration span) {
    const Time until = now + span;
    for (; now < until; now += Ms(kStep)) {
      while (!due.empty() && due.begin()->first <= now) {
        const Done d = due.begin()->second;
        due.erase(due.begin());
        const bool late = now - d.sent >= Ms(2000);
        const bool failed = hosts[d.host].failing;
        const Outcome outcome = late ? Outcome::kTimeout : failed ? Outcome::kError : Outcome::kOk;
        gateways[d.gateway]->End(d.id, 0, d.host, outcome, now - d.sent, true);
        served += late || failed ? 0 : 1;
        served_by_lives[lives[d.gateway] > 1 ? 1 : 0] += late ? 0 : 1;
        Take(d.gateway);
      }
      for (size_t i = 0; i < gateways.size(); ++i) {
        gateways[i]->Pass(now - gateways[i]->now);
        if (std::bernoulli_distribution(kArrivals * kStep / 1000 * Traffic(i))(rng)) {
          gateways[i]->Ask("r" + std::to_string(asked++), 0, Ms(2000));
          ++asked_by_lives[lives[i] > 1 ? 1 : 0];
        }
        Take(i);
      }
    }
  }

  // What gateway i gets, as a multiple of the mean.
  double Traffic(size_t i) const { return burst * (traffic.empty() ? 1 : traffic[i]); }
  // A few gateways see several times the mean, as behind a front that deals out connections; the
  // others share the rest alike.
  void DealUnevenly() {
    const size_t count = gateways.size(), busy = std::max<size_t>(count / 8, 1);
    const double rest = static_cast<double>(count) - 4.0 * static_cast<double>(busy);
    traffic.assign(count, rest / static_cast<double>(count - busy));
    for (size_t k = 0; k < busy; ++k)
      traffic[k * count / busy] = 4;
  }

  // The most that any cold host was sent in a window, as a part of what fells it: with N what the
  // settings allow it then, N + 2 x root of N + 2.
  double WorstFall() const {
    const auto& o = settings.rules;
    double worst = 0;
    for (const auto& [id, h] : hosts) {
      if (h.launched == Time(0))
        continue;
      for (size_t k = 0, end = 0; k < h.sends.size(); ++k) {
        const double age = static_cast<double>((h.sends[k] - h.launched).count()) /
                           static_cast<double>(o.slow_start_duration.count());
        if (age >= 1)
          continue;
        while (end < h.sends.size() && h.sends[end] < h.sends[k] + o.overload_collapse_duration)
          ++end;
        const double share =
            o.slow_start_initial_capacity + (1 - o.slow_start_initial_capacity) * age;
        const double n = o.overload_collapse_multiple * share * kPerSecond *
                         std::chrono::duration<double>(o.overload_collapse_duration).count();
        worst = std::max(worst, static_cast<double>(end - k) / (n + 2 * std::sqrt(n) + 2));
      }
    }
    return worst;
  }
  // The most that any cold host was sent in a window, as a part of what the rule allows.
  double WorstCold() const {
    const auto& o = settings.rules;
    double worst = 0;
    for (const auto& [id, h] : hosts) {
      if (h.launched == Time(0))
        continue;
      for (size_t k = 0; k < h.sends.size(); ++k) {
        const double age = static_cast<double>((h.sends[k] - h.launched).count()) /
                           static_cast<double>(o.slow_start_duration.count());
        if (age >= 1)
          continue;
        const double share =
            o.slow_start_initial_capacity + (1 - o.slow_start_initial_capacity) * age;
        const auto sent = std::count_if(h.sends.begin(), h.sends.end(), [&](Time t) {
          return t >= h.sends[k] && t < h.sends[k] + o.overload_collapse_duration;
        });
        worst = std::max(worst, static_cast<double>(sent) /
                                    (o.overload_collapse_multiple * share * kPerSecond * 1.5));
      }
    }
    return worst;
  }
  size_t MostGateways() const {
    size_t most = 0;
    for (const auto& [id, h] : hosts)
      most = std::max(most, h.gateways.size());
    return most;
  }
  // The most of these that lie within a window.
  static size_t MostWithin(const std::vector<Time>& times, Duration window) {
    size_t most = 0;
    for (size_t k = 0, from = 0; k < times.size(); ++k) {
      while (times[k] - times[from] >= window)
        ++from;
      most = std::max(most, k - from + 1);
    }
    return most;
  }
  void Forget() {
    asked_before = asked;
    served = refused = probes = sends = 0;
    for (auto* const two : {&asked_by_lives, &served_by_lives})
      *two = {0, 0};
    calls.clear();
  }
  double Share(int64_t part) const {
    return static_cast<double>(part) / static_cast<double>(asked - asked_before);
  }

  Settings settings;
  std::map<std::string, Host> hosts;
  std::set<std::string> leaving;
  std::vector<std::unique_ptr<LoadBalancerHarness>> gateways;
  std::vector<double> traffic;  // of each gateway, as a multiple of the mean; empty: all alike
  double burst = 1;             // times that, for all
  std::vector<size_t> taken;
  std::vector<int> lives, bad_sends;  // of each gateway; the second to hosts that fail
  std::array<int64_t, 2> asked_by_lives{}, served_by_lives{};  // of gateways in their first; later
  std::vector<Time> calls;                                     // for the list
  bool refuse_calls = false;
  std::multimap<Time, Done> due;
  std::mt19937_64 rng{11};
  Time now = Ms(1'000'000);
  uint64_t seed = 0;
  int64_t asked = 0, asked_before = 0, served = 0, refused = 0, probes = 0, sends = 0;
};

TEST(FleetOfModules, AMassReplacementIsServedAndNoColdHostPushedOver) {
  Fleet f;
  f.Play(Ms(6000));
  f.Forget();
  for (int step = 0; step < 2; ++step) {
    for (int i = 0; i < 18; ++i) {
      const int n = 18 * step + i;
      f.hosts["h" + std::to_string(100 + n)].launched = f.now;
    }
    f.TellAll();
    f.Play(Ms(1500));
    for (int i = 0; i < 18; ++i)
      f.leaving.insert("h" + std::to_string(18 * step + i));
    f.TellAll();
    f.Play(Ms(2000));
  }
  f.Play(Ms(3000));
  EXPECT_LE(f.WorstCold(), 1.0);
  EXPECT_GE(f.Share(f.served), 0.72);
  EXPECT_LE(f.Share(f.probes), 0.3);
  EXPECT_LE(f.MostGateways(), 34U);
}

TEST(FleetOfModules, AMassRestartBringsNoStormOfProbesOrConnections) {
  Fleet f;
  f.Play(Ms(5000));
  f.Forget();
  for (size_t i = 0; i < 70; ++i)
    f.Restart(i);
  f.Play(Ms(2000));
  EXPECT_GE(f.Share(f.served), 0.7);
  EXPECT_LE(f.Share(f.probes), 0.45);
}

TEST(FleetOfModules, AZoneThatReturnsColdIsNotPushedOver) {
  Fleet f;
  f.Play(Ms(5000));
  for (int i = 0; i < 60; i += 4)
    f.Kill("h" + std::to_string(i));
  f.Play(Ms(4000));
  f.Forget();
  for (int i = 0; i < 60; i += 4)
    f.ReturnCold("h" + std::to_string(i));
  f.TellAll();
  f.Play(Ms(5000));
  EXPECT_LE(f.WorstCold(), 1.0);
  EXPECT_GE(f.Share(f.served), 0.5);
}

// ---- The whole fleet: 300 gateways, 200 hosts ------------------------------------------------

// The trouble: seven in ten gateways begin at one moment, each as if it were alone.
TEST(WholeFleet, AMassRestartKeepsToItsSums) {
  Fleet f(300, 200);
  f.Play(Ms(4000));
  f.Forget();
  for (size_t i = 0; i < 210; ++i)
    f.Restart(i);
  f.Play(Ms(2500));
  EXPECT_GE(f.Share(f.served), 0.88);
  EXPECT_LE(f.Share(f.probes), 0.4);  // 0.25 a request, and 8 a gateway once
  EXPECT_LE(f.Share(f.sends), 1.05);
  EXPECT_LE(f.MostGateways(), 32U);  // in both lives together
}

// The trouble: a gateway restarted in a busy fleet refused most of its requests for five seconds,
// and with a tenth of the fleet at a time a third of it was always in that state.
TEST(WholeFleet, RestartsInTurnAreServedAlmostAsTheOthersAre) {
  Fleet f(300, 200);
  f.Play(Ms(4000));
  f.Forget();
  for (size_t step = 0; step < 4; ++step) {
    for (size_t i = 30 * step; i < 30 * step + 30; ++i)
      f.Restart(i);
    f.Play(Ms(1200));
  }
  const auto share = [&](size_t which) {
    return static_cast<double>(f.served_by_lives[which]) /
           static_cast<double>(f.asked_by_lives[which]);
  };
  EXPECT_GE(share(0), 0.95);
  EXPECT_GE(share(1), 0.84);
}

// The trouble: 300 gateways see the same zone return at the same moment.
TEST(WholeFleet, AZoneLostAndBackColdIsNotPushedOver) {
  Fleet f(300, 200);
  f.Play(Ms(3000));
  f.Forget();
  for (int i = 0; i < 200; i += 4)
    f.Kill("h" + std::to_string(i));
  f.Play(Ms(4000));
  EXPECT_LE(f.Share(f.sends), 0.95);  // retries must not feed the loss
  for (int i = 0; i < 200; i += 4)
    f.ReturnCold("h" + std::to_string(i));
  f.TellAll();
  f.Forget();
  f.Play(Ms(4000));
  EXPECT_LE(f.WorstCold(), 0.4);
  EXPECT_GE(f.Share(f.served), 0.75);
}

// The trouble: six in ten hosts are new within seven seconds, and nobody knows any of them.
TEST(WholeFleet, SixInTenReplacedWithinSevenSecondsPushesNoneOver) {
  Fleet f(300, 200);
  f.Play(Ms(3000));
  f.Forget();
  for (int step = 0; step < 2; ++step) {
    for (int i = 60 * step; i < 60 * step + 60; ++i) {
      f.hosts["h" + std::to_string(1000 + i)].launched = f.now;
    }
    f.TellAll();
    f.Play(Ms(1500));
    for (int i = 60 * step; i < 60 * step + 60; ++i)
      f.leaving.insert("h" + std::to_string(i));
    f.TellAll();
    f.Play(Ms(2000));
  }
  EXPECT_LE(f.WorstCold(), 0.8);
  EXPECT_GE(f.Share(f.served), 0.8);
  EXPECT_LE(f.Share(f.probes), 0.27);
  EXPECT_LE(f.MostGateways(), 30U);
}

// The trouble: a zone is cut off, no list says so for six seconds, and each gateway has to find out
// by itself: that costs requests, which must stay few.
TEST(WholeFleet, ACutOffZoneThatNoListTellsOfCostsFewSends) {
  Fleet f(300, 200);
  f.Play(Ms(3000));
  f.Forget();
  for (int i = 0; i < 200; i += 4)
    f.Kill("h" + std::to_string(i));
  f.Play(Ms(6000));
  int64_t shut = 0;
  for (const auto& [id, host] : f.hosts)
    shut += host.shut_sends;
  EXPECT_LE(f.Share(shut), 0.05);  // of a quarter of the hosts
  EXPECT_LE(f.Share(f.sends), 0.95);
  EXPECT_GE(f.Share(f.served), 0.75);
}

// The trouble: a host that is bad for all is found out 300 times, each time at a price.
TEST(WholeFleet, HostsThatFailForAllCostEachGatewayFewRequests) {
  Fleet f(300, 200);
  f.Play(Ms(3000));
  f.Forget();
  std::ranges::fill(f.bad_sends, 0);
  for (int i = 0; i < 200; i += 8)
    f.hosts["h" + std::to_string(i)].failing = true;
  f.Play(Ms(8000));
  int64_t all = 0;
  for (const int n : f.bad_sends)
    all += n;
  EXPECT_LE(f.Share(all), 0.025);  // 3 a gateway, of 128, at an eighth of the hosts
  EXPECT_GE(f.Share(f.served), 0.9);
}

// The trouble: seven in ten gateways come back at one moment and ask at once; discovery, short of
// room, refused most of them, and they sent to hosts that had drained meanwhile.
TEST(WholeFleet, AMassStartDoesNotAskForListsAtOnce) {
  Fleet f(300, 200);
  f.settings.discovery_mode = DiscoveryMode::kPoll;
  for (size_t i = 0; i < 210; ++i)
    f.Restart(i);
  f.Play(f.settings.rules.discovery_interval / 4);
  EXPECT_EQ(f.calls.size(), 210U);  // each once
  EXPECT_LE(Fleet::MostWithin(f.calls, Ms(100)), 30U);
}

// The trouble: a discovery short of room refuses all that ask, and they ask again in step.
TEST(WholeFleet, CallsForListsThinOutWhereTheyAreRefused) {
  Fleet f(300, 200);
  f.settings.discovery_mode = DiscoveryMode::kPoll;
  f.refuse_calls = true;
  for (size_t i = 0; i < 300; ++i)
    f.Restart(i);
  f.Play(Ms(10'000));
  EXPECT_GE(f.calls.size(), 3U * 300U);  // nobody gives up
  EXPECT_LE(f.calls.size(), 6U * 300U);
  std::vector<Time> later;
  std::ranges::copy_if(f.calls, std::back_inserter(later),
                       [&](Time t) { return t >= f.now - Ms(9500); });
  EXPECT_LE(Fleet::MostWithin(later, Ms(100)), 80U);
}

// ---- Twenty and thirty gateways of uneven traffic ---------------------------------------------

// Hosts join and others come back cold under a burst, and half of the gateways begin anew into it.
// `guess`: the gateways that each takes the fleet to have, as a part of those that there are.
double FallOfUnevenGateways(size_t count, double guess, double* cold_share = nullptr) {
  Fleet f(count, static_cast<int>(count * 2 / 3));  // 0.89 of what they do
  f.settings.instance_count = static_cast<int>(std::lround(guess * static_cast<double>(count)));
  f.settings.rules.slow_start_initial_capacity = 0.12;  // low: the less, the sooner one falls
  f.settings.rules.slow_start_duration = Ms(20'000);
  f.DealUnevenly();
  for (size_t i = 0; i < count; ++i)
    f.Restart(i);
  f.Play(Ms(6000));
  f.Forget();
  f.burst = 1.5;
  const auto cold = [&](int from, int to) {
    for (int i = from; i < to; ++i)
      f.ReturnCold("h" + std::to_string(i));
    for (int i = from; i < to; ++i)
      f.hosts["h" + std::to_string(100 + i)].launched = f.now;
    f.TellAll();
  };
  cold(0, 3);
  f.Play(Ms(700));
  // Of the busy ones too: a new process knows neither its traffic nor what its kind of host does.
  for (size_t i = 0; i < count; i += 2)
    f.Restart(i);
  f.Play(Ms(1500));
  cold(3, 5);
  for (size_t i = 1; i < count; i += 4)
    f.Restart(i);
  f.Play(Ms(6000));
  if (cold_share != nullptr) {
    int64_t to_cold = 0;
    for (const auto& [id, host] : f.hosts) {
      if (host.launched > Time(0))
        to_cold += static_cast<int64_t>(host.sends.size());
    }
    *cold_share = static_cast<double>(to_cold) / static_cast<double>(f.sends);
  }
  return f.WorstFall();
}

// The trouble: a cold host falls by what all processes together send it, and each knows only its
// own traffic and how many the settings name. Some see four times the mean and some have just
// begun; the sum stays under what fells a host all the same.
TEST(UnevenFleet, TheSumOverAllProcessesFellsNoColdHost) {
  for (const size_t count : {20U, 24U, 30U}) {
    double cold_share = 0;
    const double worst = FallOfUnevenGateways(count, 1, &cold_share);
    std::printf("%zu gateways: worst %.2f of a fall, %.2f of the sends to cold hosts\n", count,
                worst, cold_share);
    EXPECT_LE(worst, 0.35) << count;       // 0.37 to 0.45 without the part of each
    EXPECT_GE(cold_share, 0.06) << count;  // and they are used
  }
}

// What a wrong guess costs: a gateway that takes itself for one of half or a quarter as many may
// send up to that many times its part; what the arrivals ask of each host, and the limit in flight
// that grows with the host's warmth, bound the rest.
TEST(UnevenFleet, AWrongGuessOfHowManyThereAreFellsNoneEither) {
  for (const double guess : {0.5, 0.25, 2.0}) {
    const double worst = FallOfUnevenGateways(24, guess);
    std::printf("24 gateways that take themselves for %.0f: worst %.2f of a fall\n", 24 * guess,
                worst);
    EXPECT_LE(worst, 0.36) << guess;
  }
}

}  // namespace
}  // namespace paddlestile::testing
