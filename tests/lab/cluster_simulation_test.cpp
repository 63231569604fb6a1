// The deterministic simulation: correct members keep every rule, and a member with a fault is
// detected by the name of the rule that it breaks.
#include "lab/cluster_simulation.h"

#include <gtest/gtest.h>

namespace paddlestile::lab {
namespace {

WorldsResult RunSchedules(Mischief mischief, uint64_t schedules, uint64_t seed = 1,
                          WorldChanges changes = WorldChanges::kMixed) {
  WorldsOptions options;
  options.changes = changes;
  options.world.mischief = mischief;
  options.world.seed = seed;
  options.schedules = schedules;
  options.jobs = 4;
  return PlayWorlds(options);
}

// A fixed subset of the million schedules of docs/bank.md.
TEST(BankWorld, KeepsAllRulesUnderFaults) {
  const WorldsResult result = RunSchedules(Mischief::kNone, 300);
  EXPECT_EQ(result.broken, 0U) << ToText(result, {});
  // Each change is answered: done, or refused if it named a stale expected version.
  EXPECT_EQ(result.acknowledged + result.refused, result.submitted);
  EXPECT_GT(result.refused, 0U);
  EXPECT_EQ(result.with_deltas, 150U);
  EXPECT_GT(result.rollbacks_detected, 0U);  // members did restart with older disks
  EXPECT_FALSE(result.failover_ms.empty());
}

// With whole versions only, no change is refused and all are acknowledged.
TEST(BankWorld, KeepsAllRulesUnderFaultsWithWholeVersions) {
  const WorldsResult result = RunSchedules(Mischief::kNone, 150, 1, WorldChanges::kWhole);
  EXPECT_EQ(result.broken, 0U) << ToText(result, {});
  EXPECT_EQ(result.acknowledged, result.submitted);
  EXPECT_EQ(result.with_deltas, 0U);
  EXPECT_EQ(result.max_contradiction_ms, 0);
}

TEST(BankWorld, SameSeedGivesSameDigest) {
  EXPECT_EQ(RunSchedules(Mischief::kNone, 20, 77).digest,
            RunSchedules(Mischief::kNone, 20, 77).digest);
  EXPECT_NE(RunSchedules(Mischief::kNone, 20, 77).digest,
            RunSchedules(Mischief::kNone, 20, 78).digest);
}

// Seeds that once broke a rule. 300336: a member with a disk from before the cluster was formed led
// a cluster of its own. 41: a voter was removed while another one had lost its disk. 101: the first
// leader's disk was rolled back, and no other member had been told what it held.
TEST(BankWorld, KeepsAllRulesOnFormerlyBrokenSeeds) {
  for (const uint64_t seed : {41, 101, 300336, 300353, 400273, 500203, 700192, 10062763}) {
    for (const WorldChanges changes : {WorldChanges::kWhole, WorldChanges::kDelta}) {
      const WorldsResult result = RunSchedules(Mischief::kNone, 1, seed, changes);
      EXPECT_EQ(result.broken, 0U) << ToText(result, {});
    }
  }
}

// A voter came back with an older disk while the members that knew its former contents were cut off
// (42094) or had restarted (300023); together with a lagging voter it formed a second history.
TEST(BankWorld, KeepsAllRulesWhenNoReachableMemberKnowsARolledBackDisk) {
  for (const uint64_t seed : {42094, 300023}) {
    const WorldsResult result = RunSchedules(Mischief::kNone, 1, seed);
    EXPECT_EQ(result.broken, 0U) << ToText(result, {});
  }
}

// A client whose submission was answered within the call itself retried only after four seconds, so
// its change was not acknowledged within eight seconds of the repair of all faults.
TEST(BankWorld, AcknowledgesEveryChangeAfterLongOutages) {
  for (const uint64_t seed : {3000569, 3001301, 3001448}) {
    WorldsOptions options;
    options.schedules = 1;
    options.world.seed = seed;
    options.world.seconds = 60;
    options.world.long_outages = true;
    const WorldsResult result = PlayWorlds(options);
    EXPECT_EQ(result.broken, 0U) << ToText(result, {});
  }
}

struct FaultCase {
  Mischief mischief;
  std::vector<const char*> rules;
  WorldChanges changes = WorldChanges::kMixed;
};
void PrintTo(const FaultCase& fault_case, std::ostream* out) {
  *out << NameOf(fault_case.mischief);
}
class FaultDetection : public ::testing::TestWithParam<FaultCase> {};

// Shows that the invariant checks can fail: each fault is reported under the expected rules only.
TEST_P(FaultDetection, IsReportedUnderItsRule) {
  const WorldsResult result = RunSchedules(GetParam().mischief, 60, 1, GetParam().changes);
  uint64_t reported = 0;
  for (const char* const rule : GetParam().rules) {
    const auto entry = result.violations_by_rule.find(rule);
    if (entry != result.violations_by_rule.end()) {
      reported += entry->second;
    }
  }
  EXPECT_GT(reported, 0U) << ToText(result, {});
  EXPECT_EQ(reported, result.broken) << ToText(result, {});
}

INSTANTIATE_TEST_SUITE_P(
    BankWorld, FaultDetection,
    ::testing::Values(FaultCase{Mischief::kForgetsVote, {"memory"}},
                      FaultCase{Mischief::kForgetsLog, {"memory"}},
                      FaultCase{Mischief::kActsOn, {"contradiction"}},
                      FaultCase{Mischief::kAppliesLate, {"contradiction"}},
                      FaultCase{Mischief::kVotesForAll,
                                {"agreement", "one leader", "contradiction"}},
                      FaultCase{Mischief::kTakesTwice, {"twice"}},
                      FaultCase{Mischief::kMisapplies, {"content"}, WorldChanges::kDelta}));

}  // namespace
}  // namespace paddlestile::lab
