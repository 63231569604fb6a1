// A hundred load balancers over sixty hosts, and three hundred over counts hundred, seeded, without
// sockets: what all gateways together do to a host and to discovery is bounded through mass
// restarts, a zone that returns warming up or is cut off, late lists and a mass replacement. The
// hosts are queues of a fixed throughput that warm up.
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

constexpr double kPerSecond = 27;  // requests of a warm host
constexpr double kArrivals = 16;   // requests a second to a gateway: 0.99 of 60 hosts, 0.89 of 200
constexpr double kStep = 10;       // ms

class Fleet {
 public:
  struct Host {
    Time started_at{0};
    bool unresponsive = false, failing = false;
    Time free{0};
    std::vector<Time> sends;                  // since its start
    std::deque<Time> finish_times;            // of those it holds, when each is done
    std::set<size_t> gateways;                // that have sent to it
    int64_t attempts_while_unresponsive = 0;  // while it was unresponsive
  };
  struct AttemptInFlight {
    size_t gateway;
    std::string id, host;
    Time sent;
  };

  explicit Fleet(size_t count = 100, int host_count = 60) : settings(MakeSettings()) {
    settings.instance_count = static_cast<int>(count);
    gateways.resize(count);
    handled_actions.resize(count);
    incarnations.resize(count);
    attempts_at_failing.resize(count);
    settings.zone_count = 4;
    settings.classes = {MakeClass(Idempotency::kSafe)};
    settings.classes[0].latency_objective = Ms(700);
    settings.allowed.parallel_attempts = false;
    settings.costs.probe = 0.08;
    for (int i = 0; i < host_count; ++i) {
      hosts["h" + std::to_string(i)];
    }
    for (size_t i = 0; i < count; ++i) {
      Restart(i);
    }
  }

  // Attempts of the earlier process never end.
  void Restart(size_t i) {
    handled_actions[i] = 0;
    ++incarnations[i];
    std::erase_if(attempts_in_flight, [&](const auto& d) { return d.second.gateway == i; });
    Settings own_settings = settings;
    own_settings.zone = static_cast<int>(i % 4);
    gateways[i] = std::make_unique<LoadBalancerHarness>(own_settings, ++seed);
    gateways[i]->now = now;
    gateways[i]->Handle(List());
  }
  void Silence(const std::string& host) { hosts[host].unresponsive = true; }
  void RestartHost(const std::string& host) {
    hosts[host] = Host{};
    hosts[host].started_at = now;
  }

  EndpointUpdate List() const {
    EndpointUpdate update;
    for (const auto& [id, host] : hosts) {
      EndpointInfo info;
      info.id = id;
      info.zone = std::stoi(id.substr(1)) % 4;
      info.started_at = host.started_at;
      if (!leaving.contains(id)) {
        update.endpoints.push_back(info);
      }
    }
    return update;
  }
  void UpdateAll() {
    for (auto& gateway : gateways) {
      gateway->Handle(List());
    }
  }

  double CapacityFraction(const Host& host) const {
    if (host.started_at == Time(0)) {
      return 1;
    }
    const auto& rules = settings.rules;
    const double age = static_cast<double>((now - host.started_at).count()) /
                       static_cast<double>(rules.slow_start_duration.count());
    return rules.slow_start_initial_capacity +
           (1 - rules.slow_start_initial_capacity) * std::min(1.0, age);
  }

  void HandleActions(size_t i) {
    LoadBalancerHarness& gateway = *gateways[i];
    for (; handled_actions[i] < gateway.log.size(); ++handled_actions[i]) {
      const Action action = gateway.log[handled_actions[i]];
      if (const auto* send = std::get_if<StartAttempt>(&action)) {
        Host& host = hosts[send->endpoint];
        host.sends.push_back(now);
        host.attempts_while_unresponsive += host.unresponsive ? 1 : 0;
        host.gateways.insert(i);
        host.free = std::max(host.free, now) + Ms(1000 / (kPerSecond * CapacityFraction(host)));
        host.finish_times.push_back(host.free + Ms(120));
        if (host.failing) {
          ++attempts_at_failing[i];
        }
        const Time at = host.unresponsive ? now + Ms(2000)
                        : host.failing    ? now + Ms(5)
                                          : host.finish_times.back();
        attempts_in_flight.emplace(at, AttemptInFlight{i, send->id, send->endpoint, now});
        ++sends;
      } else if (const auto* probe = std::get_if<StartProbe>(&action)) {
        ++probes;
        Host& host = hosts[probe->endpoint];
        while (!host.finish_times.empty() && host.finish_times.front() <= now) {
          host.finish_times.pop_front();
        }
        const auto in_flight = static_cast<double>(host.finish_times.size());
        if (!host.unresponsive) {
          gateway.FinishProbe(probe->endpoint, in_flight, 150);
        }
      } else if (std::holds_alternative<RejectRequest>(action)) {
        ++refused;
      } else if (std::holds_alternative<WatchEndpoints>(action)) {
        calls.push_back(now);
        // Discovery has no capacity for all that ask at once.
        if (reject_list_calls) {
          gateway.Handle(EndpointUpdate{EndpointUpdateKind::kFailed, {}});
        }
      }
    }
  }

  void Play(Duration span) {
    const Time until = now + span;
    for (; now < until; now += Ms(kStep)) {
      while (!attempts_in_flight.empty() && attempts_in_flight.begin()->first <= now) {
        const AttemptInFlight d = attempts_in_flight.begin()->second;
        attempts_in_flight.erase(attempts_in_flight.begin());
        const bool late = now - d.sent >= Ms(2000);
        const bool failed = hosts[d.host].failing;
        const Outcome outcome = late ? Outcome::kTimeout : failed ? Outcome::kError : Outcome::kOk;
        gateways[d.gateway]->FinishAttempt(d.id, 0, d.host, outcome, now - d.sent, true);
        served += late || failed ? 0 : 1;
        served_by_incarnation[incarnations[d.gateway] > 1 ? 1 : 0] += late ? 0 : 1;
        HandleActions(d.gateway);
      }
      for (size_t i = 0; i < gateways.size(); ++i) {
        gateways[i]->Advance(now - gateways[i]->now);
        if (std::bernoulli_distribution(kArrivals * kStep / 1000 * Traffic(i))(rng)) {
          gateways[i]->Arrive("r" + std::to_string(asked++), 0, Ms(2000));
          ++asked_by_incarnation[incarnations[i] > 1 ? 1 : 0];
        }
        HandleActions(i);
      }
    }
  }

  // The traffic of gateway i as a multiple of the mean.
  double Traffic(size_t i) const { return burst * (traffic.empty() ? 1 : traffic[i]); }
  // A few gateways get several times the mean, as behind a balancer of connections; the others
  // share the rest alike.
  void SpreadTrafficUnevenly() {
    const size_t count = gateways.size(), busy = std::max<size_t>(count / 8, 1);
    const double rest = static_cast<double>(count) - 4.0 * static_cast<double>(busy);
    traffic.assign(count, rest / static_cast<double>(count - busy));
    for (size_t k = 0; k < busy; ++k) {
      traffic[k * count / busy] = 4;
    }
  }

  // The most attempts in a window at any host that warms up, as a fraction of what makes it
  // collapse: with N what the settings allow it, N + 2 x root of N + 2.
  double WorstCollapseFraction() const {
    const auto& rules = settings.rules;
    double worst = 0;
    for (const auto& [id, host] : hosts) {
      if (host.started_at == Time(0)) {
        continue;
      }
      for (size_t k = 0, end = 0; k < host.sends.size(); ++k) {
        const double age = static_cast<double>((host.sends[k] - host.started_at).count()) /
                           static_cast<double>(rules.slow_start_duration.count());
        if (age >= 1) {
          continue;
        }
        while (end < host.sends.size() &&
               host.sends[end] < host.sends[k] + rules.overload_collapse_duration) {
          ++end;
        }
        const double share =
            rules.slow_start_initial_capacity + (1 - rules.slow_start_initial_capacity) * age;
        const double n = rules.overload_collapse_multiple * share * kPerSecond *
                         std::chrono::duration<double>(rules.overload_collapse_duration).count();
        worst = std::max(worst, static_cast<double>(end - k) / (n + 2 * std::sqrt(n) + 2));
      }
    }
    return worst;
  }
  // The most attempts in a window at any host that warms up, as a fraction of what the rule allows.
  double WorstBudgetFraction() const {
    const auto& rules = settings.rules;
    double worst = 0;
    for (const auto& [id, host] : hosts) {
      if (host.started_at == Time(0)) {
        continue;
      }
      for (size_t k = 0; k < host.sends.size(); ++k) {
        const double age = static_cast<double>((host.sends[k] - host.started_at).count()) /
                           static_cast<double>(rules.slow_start_duration.count());
        if (age >= 1) {
          continue;
        }
        const double share =
            rules.slow_start_initial_capacity + (1 - rules.slow_start_initial_capacity) * age;
        const auto sent = std::count_if(host.sends.begin(), host.sends.end(), [&](Time t) {
          return t >= host.sends[k] && t < host.sends[k] + rules.overload_collapse_duration;
        });
        worst = std::max(worst, static_cast<double>(sent) /
                                    (rules.overload_collapse_multiple * share * kPerSecond * 1.5));
      }
    }
    return worst;
  }
  size_t MostGateways() const {
    size_t most = 0;
    for (const auto& [id, host] : hosts) {
      most = std::max(most, host.gateways.size());
    }
    return most;
  }
  // The most of the times that lie within a window.
  static size_t MostWithin(const std::vector<Time>& times, Duration window) {
    size_t most = 0;
    for (size_t k = 0, from = 0; k < times.size(); ++k) {
      while (times[k] - times[from] >= window) {
        ++from;
      }
      most = std::max(most, k - from + 1);
    }
    return most;
  }
  void ResetCounts() {
    asked_before = asked;
    served = refused = probes = sends = 0;
    for (auto* const counts : {&asked_by_incarnation, &served_by_incarnation}) {
      *counts = {0, 0};
    }
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
  std::vector<size_t> handled_actions;
  std::vector<int> incarnations,
      attempts_at_failing;  // of each gateway; the second to hosts that fail
  std::array<int64_t, 2> asked_by_incarnation{},
      served_by_incarnation{};  // in the first incarnation of a gateway; in later ones
  std::vector<Time> calls;      // for the list
  bool reject_list_calls = false;
  std::multimap<Time, AttemptInFlight> attempts_in_flight;
  std::mt19937_64 rng{11};
  Time now = Ms(1'000'000);
  uint64_t seed = 0;
  int64_t asked = 0, asked_before = 0, served = 0, refused = 0, probes = 0, sends = 0;
};

TEST(SmallFleetTest, AMassReplacementIsServedWithoutCollapse) {
  Fleet fleet;
  fleet.Play(Ms(6000));
  fleet.ResetCounts();
  for (int step = 0; step < 2; ++step) {
    for (int i = 0; i < 18; ++i) {
      const int n = 18 * step + i;
      fleet.hosts["h" + std::to_string(100 + n)].started_at = fleet.now;
    }
    fleet.UpdateAll();
    fleet.Play(Ms(1500));
    for (int i = 0; i < 18; ++i) {
      fleet.leaving.insert("h" + std::to_string(18 * step + i));
    }
    fleet.UpdateAll();
    fleet.Play(Ms(2000));
  }
  fleet.Play(Ms(3000));
  EXPECT_LE(fleet.WorstBudgetFraction(), 1.0);
  EXPECT_GE(fleet.Share(fleet.served), 0.72);
  EXPECT_LE(fleet.Share(fleet.probes), 0.3);
  EXPECT_LE(fleet.MostGateways(), 34U);
}

TEST(SmallFleetTest, AMassRestartBringsNoStormOfProbesOrConnections) {
  Fleet fleet;
  fleet.Play(Ms(5000));
  fleet.ResetCounts();
  for (size_t i = 0; i < 70; ++i) {
    fleet.Restart(i);
  }
  fleet.Play(Ms(2000));
  EXPECT_GE(fleet.Share(fleet.served), 0.7);
  EXPECT_LE(fleet.Share(fleet.probes), 0.45);
}

TEST(SmallFleetTest, AZoneThatReturnsDoesNotCollapse) {
  Fleet fleet;
  fleet.Play(Ms(5000));
  for (int i = 0; i < 60; i += 4) {
    fleet.Silence("h" + std::to_string(i));
  }
  fleet.Play(Ms(4000));
  fleet.ResetCounts();
  for (int i = 0; i < 60; i += 4) {
    fleet.RestartHost("h" + std::to_string(i));
  }
  fleet.UpdateAll();
  fleet.Play(Ms(5000));
  EXPECT_LE(fleet.WorstBudgetFraction(), 1.0);
  EXPECT_GE(fleet.Share(fleet.served), 0.5);
}

// ---- The whole fleet: 300 gateways, 200 hosts ------------------------------------------------

// Seven in ten gateways start at one moment.
TEST(LargeFleetTest, AMassRestartBoundsTheSumOfProbesAndAttempts) {
  Fleet fleet(300, 200);
  fleet.Play(Ms(4000));
  fleet.ResetCounts();
  for (size_t i = 0; i < 210; ++i) {
    fleet.Restart(i);
  }
  fleet.Play(Ms(2500));
  EXPECT_GE(fleet.Share(fleet.served), 0.88);
  EXPECT_LE(fleet.Share(fleet.probes), 0.4);  // 0.25 a request, and 8 a gateway once
  EXPECT_LE(fleet.Share(fleet.sends), 1.05);
  EXPECT_LE(fleet.MostGateways(), 32U);  // in both incarnations together
}

// A gateway that restarts in a busy fleet must serve nearly as the others do; with a tenth of the
// fleet at a time many are always in that state.
TEST(LargeFleetTest, GatewaysThatRestartInTurnServeAlmostAsTheOthers) {
  Fleet fleet(300, 200);
  fleet.Play(Ms(4000));
  fleet.ResetCounts();
  for (size_t step = 0; step < 4; ++step) {
    for (size_t i = 30 * step; i < 30 * step + 30; ++i) {
      fleet.Restart(i);
    }
    fleet.Play(Ms(1200));
  }
  const auto share = [&](size_t which) {
    return static_cast<double>(fleet.served_by_incarnation[which]) /
           static_cast<double>(fleet.asked_by_incarnation[which]);
  };
  EXPECT_GE(share(0), 0.95);
  EXPECT_GE(share(1), 0.84);
}

// 300 gateways see the same zone return at the same moment.
TEST(LargeFleetTest, AZoneThatReturnsDoesNotCollapse) {
  Fleet fleet(300, 200);
  fleet.Play(Ms(3000));
  fleet.ResetCounts();
  for (int i = 0; i < 200; i += 4) {
    fleet.Silence("h" + std::to_string(i));
  }
  fleet.Play(Ms(4000));
  EXPECT_LE(fleet.Share(fleet.sends), 0.95);  // retries must not feed the loss
  for (int i = 0; i < 200; i += 4) {
    fleet.RestartHost("h" + std::to_string(i));
  }
  fleet.UpdateAll();
  fleet.ResetCounts();
  fleet.Play(Ms(4000));
  EXPECT_LE(fleet.WorstBudgetFraction(), 0.4);
  EXPECT_GE(fleet.Share(fleet.served), 0.75);
}

// Six in ten hosts are new within seven seconds, and no gateway knows any of them.
TEST(LargeFleetTest, SixInTenReplacedWithinSevenSecondsWithoutCollapse) {
  Fleet fleet(300, 200);
  fleet.Play(Ms(3000));
  fleet.ResetCounts();
  for (int step = 0; step < 2; ++step) {
    for (int i = 60 * step; i < 60 * step + 60; ++i) {
      fleet.hosts["h" + std::to_string(1000 + i)].started_at = fleet.now;
    }
    fleet.UpdateAll();
    fleet.Play(Ms(1500));
    for (int i = 60 * step; i < 60 * step + 60; ++i) {
      fleet.leaving.insert("h" + std::to_string(i));
    }
    fleet.UpdateAll();
    fleet.Play(Ms(2000));
  }
  EXPECT_LE(fleet.WorstBudgetFraction(), 0.8);
  EXPECT_GE(fleet.Share(fleet.served), 0.8);
  EXPECT_LE(fleet.Share(fleet.probes), 0.27);
  EXPECT_LE(fleet.MostGateways(), 30U);
}

// A zone is cut off, no list says so for six seconds, and each gateway has to detect it by itself:
// that costs requests, which must stay few.
TEST(LargeFleetTest, AZoneCutOffBeforeAnyListUpdateCostsFewAttempts) {
  Fleet fleet(300, 200);
  fleet.Play(Ms(3000));
  fleet.ResetCounts();
  for (int i = 0; i < 200; i += 4) {
    fleet.Silence("h" + std::to_string(i));
  }
  fleet.Play(Ms(6000));
  int64_t shut = 0;
  for (const auto& [id, host] : fleet.hosts) {
    shut += host.attempts_while_unresponsive;
  }
  EXPECT_LE(fleet.Share(shut), 0.05);  // of a quarter of the hosts
  EXPECT_LE(fleet.Share(fleet.sends), 0.95);
  EXPECT_GE(fleet.Share(fleet.served), 0.75);
}

// A host that fails for all is detected 300 times, each time at a cost.
TEST(LargeFleetTest, HostsThatFailForAllCostEachGatewayFewRequests) {
  Fleet fleet(300, 200);
  fleet.Play(Ms(3000));
  fleet.ResetCounts();
  std::ranges::fill(fleet.attempts_at_failing, 0);
  for (int i = 0; i < 200; i += 8) {
    fleet.hosts["h" + std::to_string(i)].failing = true;
  }
  fleet.Play(Ms(8000));
  int64_t all = 0;
  for (const int n : fleet.attempts_at_failing) {
    all += n;
  }
  EXPECT_LE(fleet.Share(all), 0.025);  // 3 a gateway, of 128, at an eighth of the hosts
  EXPECT_GE(fleet.Share(fleet.served), 0.9);
}

// Seven in ten gateways start at one moment: if all asked for the list at once, discovery would
// refuse most of them.
TEST(LargeFleetTest, AMassStartDoesNotAskForListsAtOnce) {
  Fleet fleet(300, 200);
  fleet.settings.discovery_mode = DiscoveryMode::kPoll;
  for (size_t i = 0; i < 210; ++i) {
    fleet.Restart(i);
  }
  fleet.Play(fleet.settings.rules.discovery_interval / 4);
  EXPECT_EQ(fleet.calls.size(), 210U);  // each once
  EXPECT_LE(Fleet::MostWithin(fleet.calls, Ms(100)), 30U);
}

// Gateways that discovery refuses must not ask again in step.
TEST(LargeFleetTest, CallsForListsThinOutWhereTheyAreRefused) {
  Fleet fleet(300, 200);
  fleet.settings.discovery_mode = DiscoveryMode::kPoll;
  fleet.reject_list_calls = true;
  for (size_t i = 0; i < 300; ++i) {
    fleet.Restart(i);
  }
  fleet.Play(Ms(10'000));
  EXPECT_GE(fleet.calls.size(), 3U * 300U);  // all go on
  EXPECT_LE(fleet.calls.size(), 6U * 300U);
  std::vector<Time> later;
  std::ranges::copy_if(fleet.calls, std::back_inserter(later),
                       [&](Time t) { return t >= fleet.now - Ms(9500); });
  EXPECT_LE(Fleet::MostWithin(later, Ms(100)), 80U);
}

// ---- Twenty and thirty gateways of uneven traffic ---------------------------------------------

// Hosts join and others restart under a burst, and half of the gateways restart into it.
// `guess`: the number of gateways that each assumes, as a fraction of the true one.
double WorstCollapseOfUnevenGateways(size_t count, double guess,
                                     double* warming_up_share = nullptr) {
  Fleet fleet(count, static_cast<int>(count * 2 / 3));  // 0.89 of what they do
  fleet.settings.instance_count = static_cast<int>(std::lround(guess * static_cast<double>(count)));
  fleet.settings.rules.slow_start_initial_capacity = 0.12;  // the less, the sooner one collapses
  fleet.settings.rules.slow_start_duration = Ms(20'000);
  fleet.SpreadTrafficUnevenly();
  for (size_t i = 0; i < count; ++i) {
    fleet.Restart(i);
  }
  fleet.Play(Ms(6000));
  fleet.ResetCounts();
  fleet.burst = 1.5;
  const auto cold = [&](int from, int to) {
    for (int i = from; i < to; ++i) {
      fleet.RestartHost("h" + std::to_string(i));
    }
    for (int i = from; i < to; ++i) {
      fleet.hosts["h" + std::to_string(100 + i)].started_at = fleet.now;
    }
    fleet.UpdateAll();
  };
  cold(0, 3);
  fleet.Play(Ms(700));
  // Of the busy ones too: a new process knows neither its traffic nor the throughput of its hosts.
  for (size_t i = 0; i < count; i += 2) {
    fleet.Restart(i);
  }
  fleet.Play(Ms(1500));
  cold(3, 5);
  for (size_t i = 1; i < count; i += 4) {
    fleet.Restart(i);
  }
  fleet.Play(Ms(6000));
  if (warming_up_share != nullptr) {
    int64_t attempts_at_warming_up = 0;
    for (const auto& [id, host] : fleet.hosts) {
      if (host.started_at > Time(0)) {
        attempts_at_warming_up += static_cast<int64_t>(host.sends.size());
      }
    }
    *warming_up_share =
        static_cast<double>(attempts_at_warming_up) / static_cast<double>(fleet.sends);
  }
  return fleet.WorstCollapseFraction();
}

// A host that warms up collapses by what all processes together send it, and each knows only its
// own traffic and the number of gateways by the settings. Some get four times the mean and some
// have just started; the sum stays below what makes a host collapse all the same.
TEST(UnevenFleetTest, TheSumOverAllProcessesCollapsesNoHost) {
  for (const size_t count : {20U, 24U, 30U}) {
    double warming_up_share = 0;
    const double worst = WorstCollapseOfUnevenGateways(count, 1, &warming_up_share);
    std::printf("%zu gateways: worst %.2f of a fall, %.2f of the sends to cold hosts\n", count,
                worst, warming_up_share);
    EXPECT_LE(worst, 0.35) << count;             // 0.37 to 0.45 without the part of each
    EXPECT_GE(warming_up_share, 0.06) << count;  // they are used
  }
}

// The cost of a wrong guess: a gateway that assumes a half or a quarter of the gateways may send up
// to that many times its share; its arrivals by host, and the concurrency limit, which grows with
// the capacity fraction, bound the rest.
TEST(UnevenFleetTest, AWrongGatewayCountCollapsesNoHost) {
  for (const double guess : {0.5, 0.25, 2.0}) {
    const double worst = WorstCollapseOfUnevenGateways(24, guess);
    std::printf("24 gateways that take themselves for %.0f: worst %.2f of a fall\n", 24 * guess,
                worst);
    EXPECT_LE(worst, 0.36) << guess;
  }
}

}  // namespace
}  // namespace paddlestile::testing
