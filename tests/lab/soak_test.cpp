// The experiments that the soak generates from seeds. Running them is a stage of CI.
#include "lab/soak.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <functional>
#include <set>
#include <string>

namespace paddlestile::lab {
namespace {

constexpr uint64_t kSeedCount = 100;

std::string Describe(const Experiment& experiment) {
  std::string text;
  for (const Fault& fault : experiment.faults) {
    text += fault.name + " " + std::to_string(fault.at.count()) + " " +
            std::to_string(fault.gateway) + " " + std::to_string(fault.duration.count()) + ";";
  }
  return text;
}

// The number of the first kSeedCount seeds with a matching fault.
size_t CountSeedsWith(const std::function<bool(const Fault&)>& is_wanted) {
  size_t seeds = 0;
  for (uint64_t seed = 1; seed <= kSeedCount; ++seed) {
    seeds += std::ranges::any_of(DrawSoakExperiment(seed).faults, is_wanted) ? 1 : 0;
  }
  return seeds;
}

TEST(SoakExperiment, IsTheSameForTheSameSeed) {
  EXPECT_EQ(Describe(DrawSoakExperiment(7)), Describe(DrawSoakExperiment(7)));
  EXPECT_NE(Describe(DrawSoakExperiment(7)), Describe(DrawSoakExperiment(8)));
}

// review/9 went unnoticed while the emulated discovery always answered at once.
TEST(SoakExperiment, DiscoveryIsSlowInSomeAndInPieces) {
  size_t slow = 0, in_pieces = 0;
  for (uint64_t seed = 1; seed <= kSeedCount; ++seed) {
    const Experiment experiment = DrawSoakExperiment(seed);
    slow += experiment.discovery_response_ms.high > 2000 ? 1 : 0;
    in_pieces += experiment.discovery_response_pieces > 1 ? 1 : 0;
  }
  EXPECT_GT(slow, kSeedCount / 10);
  EXPECT_GT(in_pieces, kSeedCount / 4);
  EXPECT_LT(in_pieces, kSeedCount);
}

// Guards against a kind of fault that is no longer generated and thus no longer tested.
TEST(SoakExperiment, GeneratesEachKindOfFault) {
  std::set<std::string> names;
  for (uint64_t seed = 1; seed <= kSeedCount; ++seed) {
    for (const Fault& fault : DrawSoakExperiment(seed).faults) {
      names.insert(fault.name);
    }
  }
  EXPECT_EQ(names, (std::set<std::string>{"gateway-hup", "gateway-kill", "gateway-stop",
                                          "gateway-term", "gateway-upgrade", "link-cut",
                                          "link-flap", "link-noise", "link-slow", "list-silent"}));
  constexpr size_t kOften = kSeedCount / 10;
  EXPECT_GT(CountSeedsWith([](const Fault& fault) { return fault.kill_at_earliest; }), kOften);
  EXPECT_GT(CountSeedsWith([](const Fault& fault) { return fault.second_term_after.has_value(); }),
            kOften);
  EXPECT_GT(CountSeedsWith([](const Fault& fault) { return fault.hup_after.has_value(); }), kOften);
  EXPECT_GT(CountSeedsWith([](const Fault& fault) {
              return fault.upgrade_outcome == UpgradeOutcome::kKilled;
            }),
            kOften);
  EXPECT_GT(CountSeedsWith([](const Fault& fault) {
              return fault.upgrade_outcome == UpgradeOutcome::kStopped;
            }),
            kOften);
  EXPECT_GT(CountSeedsWith([](const Fault& fault) { return fault.disk != DiskState::kKept; }), 0U);
}

// The wide mix covers features of the gateway that the base mix does not.
TEST(SoakExperiment, WideMixGeneratesAdditionalFaults) {
  std::set<std::string> names, in_clusters;
  for (uint64_t seed = 1; seed <= kSeedCount; ++seed) {
    const Experiment experiment = DrawSoakExperiment(seed, SoakMix::kWide);
    EXPECT_FALSE(experiment.load.misbehaving_clients.empty());
    for (const Fault& fault : experiment.faults) {
      names.insert(fault.name);
      if (experiment.cluster.enabled) {
        in_clusters.insert(fault.name);
      }
    }
  }
  for (const char* const name : {"gateway-reload", "list-malformed", "list-old", "list-lag",
                                 "list-moved", "drain", "restart"}) {
    EXPECT_TRUE(names.contains(name)) << name;
  }
  for (const char* const name : {"gateway-upgrade", "gateway-quiesce", "gateway-disk"}) {
    EXPECT_TRUE(in_clusters.contains(name)) << name;
  }
}

// The draws of the slow peers leave the other faults of a seed as they are.
TEST(SoakExperiment, SlowPeersAreAddedToTheBaseMix) {
  for (uint64_t seed = 1; seed <= kSeedCount; ++seed) {
    const Experiment base = DrawSoakExperiment(seed);
    const Experiment slow = DrawSoakExperiment(seed, SoakMix::kSlowPeers);
    EXPECT_GT(slow.load.slow_read_share, 0);
    EXPECT_EQ(slow.classes.size(), base.classes.size() + 2);
    ASSERT_EQ(slow.faults.size(), base.faults.size() + 2);
    for (size_t i = 0; i < base.faults.size(); ++i) {
      const size_t in_slow = base.faults[i].name == "list-silent" ? i + 2 : i;
      EXPECT_EQ(slow.faults[in_slow].name, base.faults[i].name);
      EXPECT_EQ(slow.faults[in_slow].at, base.faults[i].at);
    }
  }
}

TEST(SoakExperiment, HasIdleClientsClustersAndPersistentConnections) {
  size_t crowds = 0, clusters = 0;
  for (uint64_t seed = 1; seed <= kSeedCount; ++seed) {
    const Experiment experiment = DrawSoakExperiment(seed);
    EXPECT_TRUE(experiment.load.keeps_open_connections);
    EXPECT_TRUE(experiment.requirements.max_descriptors && experiment.requirements.max_rss_mb);
    crowds += experiment.load.idle_connections > experiment.gateway.sockets ? 1 : 0;
    clusters += experiment.cluster.enabled ? 1 : 0;
  }
  EXPECT_GT(crowds, kSeedCount / 10);
  EXPECT_GT(clusters, kSeedCount / 4);
}

TEST(SoakLine, ContainsSeedVerdictAndCommand) {
  Result result;
  result.seed = 12;
  EXPECT_EQ(SoakLine(result),
            "seed 12: held; excused: none | paddlestile lab soak --seed 12 --seeds 1");
  result.verdict = Verdict::kBroken;
  result.broken = {"rule: lost", "another"};
  EXPECT_EQ(
      SoakLine(result),
      "seed 12: broken, rule: lost (2 in all); excused: none | paddlestile lab soak --seed 12 "
      "--seeds 1");
}

// Guards against reporting the number of breaches kept for the report, which is limited, as the
// number of breaches.
TEST(SoakLine, CountsAllBreachesAndReportsTheirPeriod) {
  Ledger ledger({.classes = {RequestClass{}}});
  for (int i = 0; i < 50; ++i) {
    const size_t request = ledger.AddRequest(Duration(0), {});
    const size_t attempt = ledger.AddAttempt(Duration(0), request, 0, Duration(1'000'000));
    ledger.OnRequestSent(attempt);
    ledger.OnConnectionLost(Duration(2'000'000 + i * 10'000), attempt, "closed");
  }
  Result result;
  result.seed = 12;
  result.verdict = Verdict::kBroken;
  result.counts = ledger.counts();
  Judge(Experiment{}, ledger.breaches(), result);
  EXPECT_EQ(
      SoakLine(result),
      "seed 12: broken, rule: lost at 2.000 s, r-0: closed, 0 bytes to send, 0 to receive (50 "
      "in all, from 2.000 to 2.490 s); excused: none | paddlestile lab soak --seed 12 "
      "--seeds 1");
}

TEST(SoakExperiment, WideMixDrawsTheShareOfLongRequests) {
  double least = 1, most = 0;
  for (uint64_t seed = 1; seed <= kSeedCount; ++seed) {
    const Experiment experiment = DrawSoakExperiment(seed, SoakMix::kWide);
    for (const ClassSpec& request_class : experiment.classes) {
      if (request_class.name == "soak-long") {
        least = std::min(least, request_class.share);
        most = std::max(most, request_class.share);
      }
    }
  }
  EXPECT_GE(least, 0.02);
  EXPECT_LT(least, 0.03);
  EXPECT_GT(most, 0.11);
  EXPECT_LE(most, 0.12);
}

// A run with many excused failures is distinguishable from one with none, and so is a broken run
// that was repeated because it had no verdict.
TEST(SoakLine, ReportsExcusesAndFailuresWithoutVerdict) {
  Result result;
  result.seed = 3;
  result.counts.excused[static_cast<size_t>(Excuse::kProcessKilled)] = 400;
  result.broken_without_verdict = {"rule: lost", "another"};
  EXPECT_EQ(SoakLine(result),
            "seed 3: held; before, without a verdict: rule: lost (2 in all); excused: 400 process "
            "killed | paddlestile lab soak --seed 3 --seeds 1");
}

}  // namespace
}  // namespace paddlestile::lab
