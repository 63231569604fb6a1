// A hundred instances of the module over sixty hosts, seeded, without sockets: what all gateways
// together do to a host is bounded through a mass restart, a zone that returns cold and a mass
// replacement. The hosts are queues of a fixed pace that start cold.
#include <gtest/gtest.h>

#include <algorithm>
#include <deque>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "bench.h"

namespace paddlestile::testing {
namespace {

constexpr int kGateways = 100, kHosts = 60;
constexpr double kPerSecond = 27;  // what a warm host does; 16 come to a gateway, so 0.99 at full

class Fleet {
 public:
  struct Host {
    Time launched{0};
    bool silent = false;
    Time free{0};
    std::vector<Time> sends;    // since it was launched
    std::deque<Time> leaves;    // of those it holds, when each is done
    std::set<size_t> gateways;  // that have sent to it
  };
  struct Done {
    size_t gateway;
    std::string id, host;
    Time sent;
  };

  Fleet() : settings(MakeSettings()) {
    settings.instances = kGateways;
    settings.zones = 4;
    settings.classes = {MakeClass(Effect::kSafe)};
    settings.classes[0].aim = Ms(700);
    settings.allowed.parallel_tries = false;
    settings.charges.probe = 0.08;
    for (int i = 0; i < kHosts; ++i) hosts["h" + std::to_string(i)];
    for (size_t i = 0; i < kGateways; ++i) Restart(i);
  }

  void Restart(size_t i) {
    Settings s = settings;
    s.zone = static_cast<int>(i % 4);
    gateways[i] = std::make_unique<Gateway>(s, ++seed);
    gateways[i]->now = now;
    gateways[i]->Give(List());
  }

  Members List() const {
    Members m;
    for (const auto& [id, host] : hosts) {
      EndpointInfo info;
      info.id = id;
      info.zone = std::stoi(id.substr(1)) % 4;
      info.launched = host.launched;
      if (!leaving.contains(id)) m.entries.push_back(info);
    }
    return m;
  }
  void TellAll() {
    for (auto& g : gateways) g->Give(List());
  }

  double Warmth(const Host& h) const {
    if (h.launched == Time(0)) return 1;
    const auto& o = settings.obligations;
    const double age = static_cast<double>((now - h.launched).count()) /
                       static_cast<double>(o.warm_within.count());
    return o.cold_from + (1 - o.cold_from) * std::min(1.0, age);
  }

  void Take(size_t i) {
    Gateway& g = *gateways[i];
    for (; taken[i] < g.log.size(); ++taken[i]) {
      const Action action = g.log[taken[i]];
      if (const auto* send = std::get_if<Send>(&action)) {
        Host& h = hosts[send->endpoint];
        h.sends.push_back(now);
        h.gateways.insert(i);
        h.free = std::max(h.free, now) + Ms(1000 / (kPerSecond * Warmth(h)));
        h.leaves.push_back(h.free + Ms(120));
        const Time at = h.silent ? now + Ms(2000) : h.leaves.back();
        due.emplace(at, Done{i, send->id, send->endpoint, now});
        ++sends;
      } else if (const auto* probe = std::get_if<Probe>(&action)) {
        ++probes;
        Host& h = hosts[probe->endpoint];
        while (!h.leaves.empty() && h.leaves.front() <= now) h.leaves.pop_front();
        const auto held = static_cast<double>(h.leaves.size());
        if (!h.silent) g.Probed(probe->endpoint, held, 150);
      } else if (std::holds_alternative<Refuse>(action)) {
        ++refused;
      }
    }
  }

  // Plays a span at 16 requests a second and gateway.
  void Play(Duration span) {
    const Time until = now + span;
    for (; now < until; now += Ms(10)) {
      while (!due.empty() && due.begin()->first <= now) {
        const Done d = due.begin()->second;
        due.erase(due.begin());
        if (d.gateway >= kGateways) continue;
        const bool late = now - d.sent >= Ms(2000);
        gateways[d.gateway]->End(d.id, 0, d.host, late ? Outcome::kTimeout : Outcome::kOk,
                                 now - d.sent, true);
        served += late ? 0 : 1;
        Take(d.gateway);
      }
      for (size_t i = 0; i < kGateways; ++i) {
        gateways[i]->Pass(now - gateways[i]->now);
        if (std::bernoulli_distribution(0.16)(rng)) {
          gateways[i]->Ask("r" + std::to_string(asked++), 0, Ms(2000));
        }
        Take(i);
      }
    }
  }

  // The most that any cold host was sent in a window, as a part of what the rule allows.
  double WorstCold() const {
    const auto& o = settings.obligations;
    double worst = 0;
    for (const auto& [id, h] : hosts) {
      if (h.launched == Time(0)) continue;
      for (size_t k = 0; k < h.sends.size(); ++k) {
        const double age = static_cast<double>((h.sends[k] - h.launched).count()) /
                           static_cast<double>(o.warm_within.count());
        if (age >= 1) continue;
        const double share = o.cold_from + (1 - o.cold_from) * age;
        const auto sent = std::count_if(h.sends.begin(), h.sends.end(), [&](Time t) {
          return t >= h.sends[k] && t < h.sends[k] + o.fall;
        });
        worst = std::max(worst,
                         static_cast<double>(sent) / (o.fall_multiple * share * kPerSecond * 1.5));
      }
    }
    return worst;
  }
  size_t MostGateways() const {
    size_t most = 0;
    for (const auto& [id, h] : hosts) most = std::max(most, h.gateways.size());
    return most;
  }
  void Forget() { asked_before = asked, served = refused = probes = sends = 0; }
  double Share(int64_t part) const {
    return static_cast<double>(part) / static_cast<double>(asked - asked_before);
  }

  Settings settings;
  std::map<std::string, Host> hosts;
  std::set<std::string> leaving;
  std::vector<std::unique_ptr<Gateway>> gateways = std::vector<std::unique_ptr<Gateway>>(kGateways);
  std::vector<size_t> taken = std::vector<size_t>(kGateways, 0);
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
    for (int i = 0; i < 18; ++i) f.leaving.insert("h" + std::to_string(18 * step + i));
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
  for (size_t i = 0; i < 70; ++i) {
    f.taken[i] = 0;
    std::erase_if(f.due, [&](const auto& d) { return d.second.gateway == i; });
    f.Restart(i);
  }
  f.Play(Ms(2000));
  EXPECT_GE(f.Share(f.served), 0.7);
  EXPECT_LE(f.Share(f.probes), 0.45);
}

TEST(FleetOfModules, AZoneThatReturnsColdIsNotPushedOver) {
  Fleet f;
  f.Play(Ms(5000));
  for (int i = 0; i < kHosts; i += 4) f.hosts["h" + std::to_string(i)].silent = true;
  f.Play(Ms(4000));
  f.Forget();
  for (int i = 0; i < kHosts; i += 4) {
    f.hosts["h" + std::to_string(i)] = Fleet::Host{};
    f.hosts["h" + std::to_string(i)].launched = f.now;
  }
  f.TellAll();
  f.Play(Ms(5000));
  EXPECT_LE(f.WorstCold(), 1.0);
  EXPECT_GE(f.Share(f.served), 0.5);
}

}  // namespace
}  // namespace paddlestile::testing
