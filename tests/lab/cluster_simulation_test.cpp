// The deterministic world: honest members hold every term, one that breaks a term is found out.
#include "lab/cluster_simulation.h"

#include <gtest/gtest.h>

namespace paddlestile::lab {
namespace {

WorldsResult Play(Mischief mischief, uint64_t schedules, uint64_t seed = 1,
                  WorldChanges changes = WorldChanges::kMixed) {
  WorldsOptions options;
  options.changes = changes;
  options.world.mischief = mischief;
  options.world.seed = seed;
  options.schedules = schedules;
  options.jobs = 4;
  return PlayWorlds(options);
}

// The bounded part of the million schedules of docs/bank.md, the same ones each time.
TEST(BankWorld, HoldsThroughFaults) {
  const WorldsResult r = Play(Mischief::kNone, 300);
  EXPECT_EQ(r.broken, 0U) << ToText(r, {});
  // Each is told: done, or refused where it said itself which version it was to follow.
  EXPECT_EQ(r.told_done + r.refused, r.submitted);
  EXPECT_GT(r.refused, 0U);
  EXPECT_EQ(r.with_deltas, 150U);
  EXPECT_GT(r.forgot, 0U);  // older disks did come back
  EXPECT_FALSE(r.takeover_ms.empty());
}

// Whole changes alone: none is refused, and all are told done, as before there were deltas.
TEST(BankWorld, HoldsThroughFaultsWithWholeChanges) {
  const WorldsResult r = Play(Mischief::kNone, 150, 1, WorldChanges::kWhole);
  EXPECT_EQ(r.broken, 0U) << ToText(r, {});
  EXPECT_EQ(r.told_done, r.submitted);
  EXPECT_EQ(r.with_deltas, 0U);
  EXPECT_EQ(r.contradiction_ms_most, 0);
}

TEST(BankWorld, IsTheSameForTheSameSeed) {
  EXPECT_EQ(Play(Mischief::kNone, 20, 77).digest, Play(Mischief::kNone, 20, 77).digest);
  EXPECT_NE(Play(Mischief::kNone, 20, 77).digest, Play(Mischief::kNone, 20, 78).digest);
}

// Seeds on which an earlier text broke a term. 300336: a disk from before the bank was formed led a
// bank of its own. 41: a voter was let out while another had lost its disk. 101: the first leader's
// disk went back, and nobody had been told what it held.
TEST(BankWorld, HoldsWhereItOnceDidNot) {
  for (const uint64_t seed : {41, 101, 300336, 300353, 400273, 500203, 700192, 10062763}) {
    for (const WorldChanges changes : {WorldChanges::kWhole, WorldChanges::kDelta}) {
      const WorldsResult r = Play(Mischief::kNone, 1, seed, changes);
      EXPECT_EQ(r.broken, 0U) << ToText(r, {});
    }
  }
}

// A voter came back with an older disk, and those that knew what it had held were cut off (42094)
// or had restarted (300023): it and a voter that lagged made another history.
TEST(BankWorld, HoldsWhereNobodyRemembersWhatADiskHeld) {
  for (const uint64_t seed : {42094, 300023}) {
    const WorldsResult r = Play(Mischief::kNone, 1, seed);
    EXPECT_EQ(r.broken, 0U) << ToText(r, {});
  }
}

// A client whose submission was answered within itself asked again after four seconds only, and was
// not told its change done within eight of the mending.
TEST(BankWorld, LongOutagesLeaveNoChangeUntold) {
  for (const uint64_t seed : {3000569, 3001301, 3001448}) {
    WorldsOptions options;
    options.schedules = 1;
    options.world.seed = seed;
    options.world.seconds = 60;
    options.world.long_outages = true;
    const WorldsResult r = PlayWorlds(options);
    EXPECT_EQ(r.broken, 0U) << ToText(r, {});
  }
}

struct Found {
  Mischief mischief;
  std::vector<const char*> terms;
  WorldChanges changes = WorldChanges::kMixed;
};
void PrintTo(const Found& found, std::ostream* out) {
  *out << NameOf(found.mischief);
}
class Breaks : public ::testing::TestWithParam<Found> {};

// A judge that cannot fail shows nothing.
TEST_P(Breaks, IsFoundOutByName) {
  const WorldsResult r = Play(GetParam().mischief, 60, 1, GetParam().changes);
  uint64_t named = 0;
  for (const char* const term : GetParam().terms) {
    const auto at = r.terms.find(term);
    if (at != r.terms.end()) {
      named += at->second;
    }
  }
  EXPECT_GT(named, 0U) << ToText(r, {});
  EXPECT_EQ(named, r.broken) << ToText(r, {});
}

INSTANTIATE_TEST_SUITE_P(
    BankWorld, Breaks,
    ::testing::Values(Found{Mischief::kForgetsVote, {"memory"}},
                      Found{Mischief::kForgetsLog, {"memory"}},
                      Found{Mischief::kActsOn, {"contradiction"}},
                      Found{Mischief::kAppliesLate, {"contradiction"}},
                      Found{Mischief::kVotesForAll, {"agreement", "one leader", "contradiction"}},
                      Found{Mischief::kTakesTwice, {"twice"}},
                      Found{Mischief::kMisapplies, {"content"}, WorldChanges::kDelta}));

}  // namespace
}  // namespace paddlestile::lab
