// Tests of whole fleets: 100 load balancers with 60 hosts, 300 with 200 hosts, and some smaller
// fleets with uneven traffic. They are seeded and use no sockets. The load that all gateways
// together put on a host and on discovery must stay bounded through mass restarts, a zone that is
// cut off or returns with cold hosts, late lists and a mass replacement. A host is modelled as a
// queue with a fixed throughput and a slow start.
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

constexpr double kHostRequestsPerSecond = 27;  // throughput of a warm host
// Arrivals per second at a gateway. This is a utilization of 0.99 with 100 gateways and 60 hosts,
// and of 0.89 with 300 gateways and 200 hosts.
constexpr double kArrivalsPerSecond = 16;
constexpr double kStepMs = 10;

class Fleet {
 public:
  struct Host {
    Time started_at{0};
    bool unresponsive = false, failing = false;
    Time idle_at{0};                  // when its queue will be empty
    std::vector<Time> attempt_times;  // since its start
    std::deque<Time> finish_times;    // of the requests that it holds
    std::set<size_t> gateways;        // that have sent to it
    int64_t attempts_while_unresponsive = 0;
  };
  struct AttemptInFlight {
    size_t gateway;
    std::string id, host;
    Time started_at;
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
      RestartGateway(i);
    }
  }

  // Replaces the process of a gateway. The attempts of the earlier process never end.
  void RestartGateway(size_t i) {
    handled_actions[i] = 0;
    ++incarnations[i];
    std::erase_if(attempts_in_flight, [&](const auto& entry) { return entry.second.gateway == i; });
    Settings own_settings = settings;
    own_settings.zone = static_cast<int>(i % 4);
    gateways[i] = std::make_unique<LoadBalancerHarness>(own_settings, ++seed);
    gateways[i]->now = now;
    gateways[i]->Handle(CurrentList());
  }
  void MakeUnresponsive(const std::string& host) { hosts[host].unresponsive = true; }
  void RestartHost(const std::string& host) {
    hosts[host] = Host{};
    hosts[host].started_at = now;
  }

  EndpointUpdate CurrentList() const {
    EndpointUpdate update;
    for (const auto& [id, host] : hosts) {
      EndpointInfo info;
      info.id = id;
      info.zone = std::stoi(id.substr(1)) % 4;
      info.started_at = host.started_at;
      if (!unlisted_hosts.contains(id)) {
        update.endpoints.push_back(info);
      }
    }
    return update;
  }
  void SendListToAll() {
    for (auto& gateway : gateways) {
      gateway->Handle(CurrentList());
    }
  }

  double CapacityFraction(const Host& host) const {
    if (host.started_at == Time(0)) {
      return 1;
    }
    const auto& rules = settings.rules;
    const double progress = static_cast<double>((now - host.started_at).count()) /
                            static_cast<double>(rules.slow_start_duration.count());
    return rules.slow_start_initial_capacity +
           (1 - rules.slow_start_initial_capacity) * std::min(1.0, progress);
  }

  void HandleActions(size_t i) {
    LoadBalancerHarness& gateway = *gateways[i];
    for (; handled_actions[i] < gateway.log.size(); ++handled_actions[i]) {
      const Action action = gateway.log[handled_actions[i]];
      if (const auto* start = std::get_if<StartAttempt>(&action)) {
        Host& host = hosts[start->endpoint];
        host.attempt_times.push_back(now);
        host.attempts_while_unresponsive += host.unresponsive ? 1 : 0;
        host.gateways.insert(i);
        host.idle_at = std::max(host.idle_at, now) +
                       Ms(1000 / (kHostRequestsPerSecond * CapacityFraction(host)));
        host.finish_times.push_back(host.idle_at + Ms(120));
        if (host.failing) {
          ++attempts_at_failing[i];
        }
        const Time ends_at = host.unresponsive ? now + Ms(2000)
                             : host.failing    ? now + Ms(5)
                                               : host.finish_times.back();
        attempts_in_flight.emplace(ends_at, AttemptInFlight{i, start->id, start->endpoint, now});
        ++attempts;
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
        ++rejected;
      } else if (std::holds_alternative<WatchEndpoints>(action)) {
        list_requests.push_back(now);
        // Discovery rejects requests when all gateways send them at the same time.
        if (reject_list_requests) {
          gateway.Handle(EndpointUpdate{EndpointUpdateKind::kFailed, {}});
        }
      }
    }
  }

  void Run(Duration span) {
    const Time until = now + span;
    for (; now < until; now += Ms(kStepMs)) {
      while (!attempts_in_flight.empty() && attempts_in_flight.begin()->first <= now) {
        const AttemptInFlight attempt = attempts_in_flight.begin()->second;
        attempts_in_flight.erase(attempts_in_flight.begin());
        const bool late = now - attempt.started_at >= Ms(2000);
        const bool failed = hosts[attempt.host].failing;
        const Outcome outcome = late ? Outcome::kTimeout : failed ? Outcome::kError : Outcome::kOk;
        gateways[attempt.gateway]->FinishAttempt(attempt.id, 0, attempt.host, outcome,
                                                 now - attempt.started_at, true);
        served += late || failed ? 0 : 1;
        served_by_incarnation[incarnations[attempt.gateway] > 1 ? 1 : 0] += late ? 0 : 1;
        HandleActions(attempt.gateway);
      }
      for (size_t i = 0; i < gateways.size(); ++i) {
        gateways[i]->Advance(now - gateways[i]->now);
        if (std::bernoulli_distribution(kArrivalsPerSecond * kStepMs / 1000 * Traffic(i))(rng)) {
          gateways[i]->Arrive("r" + std::to_string(arrivals++), 0, Ms(2000));
          ++arrivals_by_incarnation[incarnations[i] > 1 ? 1 : 0];
        }
        HandleActions(i);
      }
    }
  }

  // The traffic of gateway i as a multiple of the mean, temporary changes included.
  double Traffic(size_t i) const { return traffic_factor * (traffic.empty() ? 1 : traffic[i]); }
  // An eighth of the gateways get four times the mean, as happens behind a load balancer of
  // connections. The others share the rest equally.
  void SpreadTrafficUnevenly() {
    const size_t count = gateways.size(), busy = std::max<size_t>(count / 8, 1);
    const double rest = static_cast<double>(count) - 4.0 * static_cast<double>(busy);
    traffic.assign(count, rest / static_cast<double>(count - busy));
    for (size_t i = 0; i < busy; ++i) {
      traffic[i * count / busy] = 4;
    }
  }

  // Returns the most attempts in a window of the collapse duration at any host that is warming up,
  // as a fraction of the number that makes it collapse: N + 2 * sqrt(N) + 2, where N is the number
  // that the settings allow.
  double WorstCollapseFraction() const {
    const auto& rules = settings.rules;
    double worst = 0;
    for (const auto& [id, host] : hosts) {
      if (host.started_at == Time(0)) {
        continue;
      }
      for (size_t first = 0, end = 0; first < host.attempt_times.size(); ++first) {
        const double progress =
            static_cast<double>((host.attempt_times[first] - host.started_at).count()) /
            static_cast<double>(rules.slow_start_duration.count());
        if (progress >= 1) {
          continue;
        }
        while (end < host.attempt_times.size() &&
               host.attempt_times[end] <
                   host.attempt_times[first] + rules.overload_collapse_duration) {
          ++end;
        }
        const double capacity =
            rules.slow_start_initial_capacity + (1 - rules.slow_start_initial_capacity) * progress;
        const double allowed =
            rules.overload_collapse_multiple * capacity * kHostRequestsPerSecond *
            std::chrono::duration<double>(rules.overload_collapse_duration).count();
        worst = std::max(worst,
                         static_cast<double>(end - first) / (allowed + 2 * std::sqrt(allowed) + 2));
      }
    }
    return worst;
  }
  // Returns the most attempts in a window of the collapse duration at any host that is warming up,
  // as a fraction of the number that the settings allow.
  double WorstBudgetFraction() const {
    const auto& rules = settings.rules;
    double worst = 0;
    for (const auto& [id, host] : hosts) {
      if (host.started_at == Time(0)) {
        continue;
      }
      for (size_t first = 0; first < host.attempt_times.size(); ++first) {
        const double progress =
            static_cast<double>((host.attempt_times[first] - host.started_at).count()) /
            static_cast<double>(rules.slow_start_duration.count());
        if (progress >= 1) {
          continue;
        }
        const double capacity =
            rules.slow_start_initial_capacity + (1 - rules.slow_start_initial_capacity) * progress;
        const auto attempts_in_window =
            std::count_if(host.attempt_times.begin(), host.attempt_times.end(), [&](Time time) {
              return time >= host.attempt_times[first] &&
                     time < host.attempt_times[first] + rules.overload_collapse_duration;
            });
        worst = std::max(worst, static_cast<double>(attempts_in_window) /
                                    (rules.overload_collapse_multiple * capacity *
                                     kHostRequestsPerSecond * 1.5));
      }
    }
    return worst;
  }
  size_t MaxGatewaysPerHost() const {
    size_t most = 0;
    for (const auto& [id, host] : hosts) {
      most = std::max(most, host.gateways.size());
    }
    return most;
  }
  // Returns the largest number of `times` within any interval of length `window`. `times` must be
  // in ascending order.
  static size_t MaxWithin(const std::vector<Time>& times, Duration window) {
    size_t most = 0;
    for (size_t last = 0, first = 0; last < times.size(); ++last) {
      while (times[last] - times[first] >= window) {
        ++first;
      }
      most = std::max(most, last - first + 1);
    }
    return most;
  }
  void ResetCounts() {
    arrivals_before = arrivals;
    served = rejected = probes = attempts = 0;
    for (auto* const counts : {&arrivals_by_incarnation, &served_by_incarnation}) {
      *counts = {0, 0};
    }
    list_requests.clear();
  }
  double FractionOfArrivals(int64_t count) const {
    return static_cast<double>(count) / static_cast<double>(arrivals - arrivals_before);
  }

  Settings settings;
  std::map<std::string, Host> hosts;
  std::set<std::string> unlisted_hosts;
  std::vector<std::unique_ptr<LoadBalancerHarness>> gateways;
  std::vector<double> traffic;  // of each gateway, as a multiple of the mean; empty: all equal
  double traffic_factor = 1;    // scales the traffic of all gateways
  std::vector<size_t> handled_actions;
  // By gateway: the number of its processes so far, and its attempts at failing hosts.
  std::vector<int> incarnations, attempts_at_failing;
  // Index 0: the first process of each gateway. Index 1: later processes.
  std::array<int64_t, 2> arrivals_by_incarnation{}, served_by_incarnation{};
  std::vector<Time> list_requests;
  bool reject_list_requests = false;
  std::multimap<Time, AttemptInFlight> attempts_in_flight;
  std::mt19937_64 rng{11};
  Time now = Ms(1'000'000);
  uint64_t seed = 0;
  int64_t arrivals = 0, arrivals_before = 0, served = 0, rejected = 0, probes = 0, attempts = 0;
};

TEST(SmallFleetTest, AMassReplacementIsServedWithoutCollapse) {
  Fleet fleet;
  fleet.Run(Ms(6000));
  fleet.ResetCounts();
  for (int step = 0; step < 2; ++step) {
    for (int i = 0; i < 18; ++i) {
      const int n = 18 * step + i;
      fleet.hosts["h" + std::to_string(100 + n)].started_at = fleet.now;
    }
    fleet.SendListToAll();
    fleet.Run(Ms(1500));
    for (int i = 0; i < 18; ++i) {
      fleet.unlisted_hosts.insert("h" + std::to_string(18 * step + i));
    }
    fleet.SendListToAll();
    fleet.Run(Ms(2000));
  }
  fleet.Run(Ms(3000));
  EXPECT_LE(fleet.WorstBudgetFraction(), 1.0);
  EXPECT_GE(fleet.FractionOfArrivals(fleet.served), 0.72);
  EXPECT_LE(fleet.FractionOfArrivals(fleet.probes), 0.3);
  EXPECT_LE(fleet.MaxGatewaysPerHost(), 34U);
}

TEST(SmallFleetTest, AMassRestartCausesNoBurstOfProbesOrConnections) {
  Fleet fleet;
  fleet.Run(Ms(5000));
  fleet.ResetCounts();
  for (size_t i = 0; i < 70; ++i) {
    fleet.RestartGateway(i);
  }
  fleet.Run(Ms(2000));
  EXPECT_GE(fleet.FractionOfArrivals(fleet.served), 0.7);
  EXPECT_LE(fleet.FractionOfArrivals(fleet.probes), 0.45);
}

TEST(SmallFleetTest, AZoneThatReturnsDoesNotCollapse) {
  Fleet fleet;
  fleet.Run(Ms(5000));
  for (int i = 0; i < 60; i += 4) {
    fleet.MakeUnresponsive("h" + std::to_string(i));
  }
  fleet.Run(Ms(4000));
  fleet.ResetCounts();
  for (int i = 0; i < 60; i += 4) {
    fleet.RestartHost("h" + std::to_string(i));
  }
  fleet.SendListToAll();
  fleet.Run(Ms(5000));
  EXPECT_LE(fleet.WorstBudgetFraction(), 1.0);
  EXPECT_GE(fleet.FractionOfArrivals(fleet.served), 0.5);
}

// ---- Large fleet: 300 gateways, 200 hosts ----------------------------------------------------

// Seven in ten gateways restart at the same time.
TEST(LargeFleetTest, AMassRestartBoundsTheSumOfProbesAndAttempts) {
  Fleet fleet(300, 200);
  fleet.Run(Ms(4000));
  fleet.ResetCounts();
  for (size_t i = 0; i < 210; ++i) {
    fleet.RestartGateway(i);
  }
  fleet.Run(Ms(2500));
  EXPECT_GE(fleet.FractionOfArrivals(fleet.served), 0.88);
  // 0.25 probes per request, and 8 for each gateway that restarts.
  EXPECT_LE(fleet.FractionOfArrivals(fleet.probes), 0.4);
  EXPECT_LE(fleet.FractionOfArrivals(fleet.attempts), 1.05);
  EXPECT_LE(fleet.MaxGatewaysPerHost(), 32U);  // before and after the restart together
}

// A gateway that restarts in a busy fleet must serve almost as many of its requests as the others.
// In a rolling restart of a tenth of the fleet at a time, many gateways are always in that state.
TEST(LargeFleetTest, RestartedGatewaysServeAlmostAsWellAsTheOthers) {
  Fleet fleet(300, 200);
  fleet.Run(Ms(4000));
  fleet.ResetCounts();
  for (size_t step = 0; step < 4; ++step) {
    for (size_t i = 30 * step; i < 30 * step + 30; ++i) {
      fleet.RestartGateway(i);
    }
    fleet.Run(Ms(1200));
  }
  const auto served_fraction = [&](size_t incarnation) {
    return static_cast<double>(fleet.served_by_incarnation[incarnation]) /
           static_cast<double>(fleet.arrivals_by_incarnation[incarnation]);
  };
  EXPECT_GE(served_fraction(0), 0.95);
  EXPECT_GE(served_fraction(1), 0.84);
}

// Guards against a collapse when 300 gateways see the same zone return at the same time.
TEST(LargeFleetTest, AZoneThatReturnsDoesNotCollapse) {
  Fleet fleet(300, 200);
  fleet.Run(Ms(3000));
  fleet.ResetCounts();
  for (int i = 0; i < 200; i += 4) {
    fleet.MakeUnresponsive("h" + std::to_string(i));
  }
  fleet.Run(Ms(4000));
  // Retries must not add to the load while the zone is unresponsive.
  EXPECT_LE(fleet.FractionOfArrivals(fleet.attempts), 0.95);
  for (int i = 0; i < 200; i += 4) {
    fleet.RestartHost("h" + std::to_string(i));
  }
  fleet.SendListToAll();
  fleet.ResetCounts();
  fleet.Run(Ms(4000));
  EXPECT_LE(fleet.WorstBudgetFraction(), 0.4);
  EXPECT_GE(fleet.FractionOfArrivals(fleet.served), 0.75);
}

// Six in ten hosts are replaced within seven seconds, and no gateway knows any of the new ones.
TEST(LargeFleetTest, ReplacingSixInTenHostsCausesNoCollapse) {
  Fleet fleet(300, 200);
  fleet.Run(Ms(3000));
  fleet.ResetCounts();
  for (int step = 0; step < 2; ++step) {
    for (int i = 60 * step; i < 60 * step + 60; ++i) {
      fleet.hosts["h" + std::to_string(1000 + i)].started_at = fleet.now;
    }
    fleet.SendListToAll();
    fleet.Run(Ms(1500));
    for (int i = 60 * step; i < 60 * step + 60; ++i) {
      fleet.unlisted_hosts.insert("h" + std::to_string(i));
    }
    fleet.SendListToAll();
    fleet.Run(Ms(2000));
  }
  EXPECT_LE(fleet.WorstBudgetFraction(), 0.8);
  EXPECT_GE(fleet.FractionOfArrivals(fleet.served), 0.8);
  EXPECT_LE(fleet.FractionOfArrivals(fleet.probes), 0.27);
  EXPECT_LE(fleet.MaxGatewaysPerHost(), 30U);
}

// A zone is cut off, and no list shows this for six seconds. Each gateway has to detect it by
// failed attempts, which must be few.
TEST(LargeFleetTest, AZoneCutOffBeforeAnyListUpdateCostsFewAttempts) {
  Fleet fleet(300, 200);
  fleet.Run(Ms(3000));
  fleet.ResetCounts();
  for (int i = 0; i < 200; i += 4) {
    fleet.MakeUnresponsive("h" + std::to_string(i));
  }
  fleet.Run(Ms(6000));
  int64_t attempts_at_cut_off = 0;
  for (const auto& [id, host] : fleet.hosts) {
    attempts_at_cut_off += host.attempts_while_unresponsive;
  }
  // Few, although the zone has a quarter of the hosts.
  EXPECT_LE(fleet.FractionOfArrivals(attempts_at_cut_off), 0.05);
  EXPECT_LE(fleet.FractionOfArrivals(fleet.attempts), 0.95);
  EXPECT_GE(fleet.FractionOfArrivals(fleet.served), 0.75);
}

// Each of 300 gateways has to detect a failing host by failed attempts, which must be few.
TEST(LargeFleetTest, FailingHostsCostEachGatewayFewRequests) {
  Fleet fleet(300, 200);
  fleet.Run(Ms(3000));
  fleet.ResetCounts();
  std::ranges::fill(fleet.attempts_at_failing, 0);
  for (int i = 0; i < 200; i += 8) {
    fleet.hosts["h" + std::to_string(i)].failing = true;
  }
  fleet.Run(Ms(8000));
  int64_t attempts_at_failing = 0;
  for (const int count : fleet.attempts_at_failing) {
    attempts_at_failing += count;
  }
  // 3 of 128 requests per gateway, although an eighth of the hosts fail.
  EXPECT_LE(fleet.FractionOfArrivals(attempts_at_failing), 0.025);
  EXPECT_GE(fleet.FractionOfArrivals(fleet.served), 0.9);
}

// Seven in ten gateways start at the same time. If all requested the list at once, discovery would
// reject most of the requests.
TEST(LargeFleetTest, AMassStartSpreadsListRequests) {
  Fleet fleet(300, 200);
  fleet.settings.discovery_mode = DiscoveryMode::kPoll;
  for (size_t i = 0; i < 210; ++i) {
    fleet.RestartGateway(i);
  }
  fleet.Run(fleet.settings.rules.discovery_interval / 4);
  EXPECT_EQ(fleet.list_requests.size(), 210U);  // one per gateway
  EXPECT_LE(Fleet::MaxWithin(fleet.list_requests, Ms(100)), 30U);
}

// Guards against gateways that repeat rejected requests for the list in lockstep.
TEST(LargeFleetTest, RejectedListRequestsBackOff) {
  Fleet fleet(300, 200);
  fleet.settings.discovery_mode = DiscoveryMode::kPoll;
  fleet.reject_list_requests = true;
  for (size_t i = 0; i < 300; ++i) {
    fleet.RestartGateway(i);
  }
  fleet.Run(Ms(10'000));
  EXPECT_GE(fleet.list_requests.size(), 3U * 300U);  // all gateways keep retrying
  EXPECT_LE(fleet.list_requests.size(), 6U * 300U);
  std::vector<Time> later_requests;
  std::ranges::copy_if(fleet.list_requests, std::back_inserter(later_requests),
                       [&](Time time) { return time >= fleet.now - Ms(9500); });
  EXPECT_LE(Fleet::MaxWithin(later_requests, Ms(100)), 80U);
}

// ---- Uneven fleet: 20 to 30 gateways with uneven traffic ---------------------------------------

// Returns WorstCollapseFraction of a fleet with uneven traffic. During a burst, hosts join and
// others restart, and so does half of the gateways and later a quarter. `assumed_fraction`: the
// number of gateways in the settings, as a fraction of the true one. `warming_up_share`: if not
// null, receives the fraction of the attempts that went to hosts started during the test.
double WorstCollapseOfUnevenGateways(size_t count, double assumed_fraction,
                                     double* warming_up_share = nullptr) {
  Fleet fleet(count, static_cast<int>(count * 2 / 3));  // utilization of 0.89
  fleet.settings.instance_count =
      static_cast<int>(std::lround(assumed_fraction * static_cast<double>(count)));
  // The lower the initial capacity, the sooner a host collapses.
  fleet.settings.rules.slow_start_initial_capacity = 0.12;
  fleet.settings.rules.slow_start_duration = Ms(20'000);
  fleet.SpreadTrafficUnevenly();
  for (size_t i = 0; i < count; ++i) {
    fleet.RestartGateway(i);
  }
  fleet.Run(Ms(6000));
  fleet.ResetCounts();
  fleet.traffic_factor = 1.5;
  const auto start_hosts = [&](int first, int last) {
    for (int i = first; i < last; ++i) {
      fleet.RestartHost("h" + std::to_string(i));
    }
    for (int i = first; i < last; ++i) {
      fleet.hosts["h" + std::to_string(100 + i)].started_at = fleet.now;
    }
    fleet.SendListToAll();
  };
  start_hosts(0, 3);
  fleet.Run(Ms(700));
  // Busy gateways restart too. A new process knows neither its traffic nor the throughput of hosts.
  for (size_t i = 0; i < count; i += 2) {
    fleet.RestartGateway(i);
  }
  fleet.Run(Ms(1500));
  start_hosts(3, 5);
  for (size_t i = 1; i < count; i += 4) {
    fleet.RestartGateway(i);
  }
  fleet.Run(Ms(6000));
  if (warming_up_share != nullptr) {
    int64_t attempts_at_warming_up = 0;
    for (const auto& [id, host] : fleet.hosts) {
      if (host.started_at > Time(0)) {
        attempts_at_warming_up += static_cast<int64_t>(host.attempt_times.size());
      }
    }
    *warming_up_share =
        static_cast<double>(attempts_at_warming_up) / static_cast<double>(fleet.attempts);
  }
  return fleet.WorstCollapseFraction();
}

// A host that is warming up collapses under the sum of what all gateways send, while each gateway
// knows only its own traffic and the number of gateways in the settings. The sum must not make a
// host collapse, although some gateways get four times the mean traffic and some have just started.
TEST(UnevenFleetTest, AllGatewaysTogetherCollapseNoHost) {
  for (const size_t count : {20U, 24U, 30U}) {
    double warming_up_share = 0;
    const double worst = WorstCollapseOfUnevenGateways(count, 1, &warming_up_share);
    std::printf("%zu gateways: worst %.2f of a collapse, %.2f of the attempts at new hosts\n",
                count, worst, warming_up_share);
    // 0.37 to 0.45 if each gateway did not limit itself to its share.
    EXPECT_LE(worst, 0.35) << count;
    // The new hosts must be used.
    EXPECT_GE(warming_up_share, 0.06) << count;
  }
}

// A gateway that assumes a half or a quarter of the gateways may send up to two or four times its
// share. Its arrival rate per host and the concurrency limit, which grows with the capacity
// fraction, keep the sum bounded.
TEST(UnevenFleetTest, AWrongGatewayCountCollapsesNoHost) {
  for (const double assumed_fraction : {0.5, 0.25, 2.0}) {
    const double worst = WorstCollapseOfUnevenGateways(24, assumed_fraction);
    std::printf("24 gateways that assume %.0f: worst %.2f of a collapse\n", 24 * assumed_fraction,
                worst);
    EXPECT_LE(worst, 0.36) << assumed_fraction;
  }
}

}  // namespace
}  // namespace paddlestile::testing
