#include "config/balancer_settings.h"

#include <gtest/gtest.h>

#include "config/gateway_config_fixture.h"

namespace paddlestile {
namespace {

// The JSON file and the simulator's pairs give the same settings.
TEST(BalancerSettings, FlattenedJsonEqualsPairs) {
  const Settings from_pairs = ParseSettings(
      "Me=1 NInstances=3 Zone=1 FailureDomains=north,south_east Classes.count=2 "
      "Classes.0.Effect=safe Classes.0.Slo=400 Classes.0.Deadline=1000 Classes.1.Effect=keyed "
      "Classes.1.Group=all Classes.1.Window=1500 Classes.1.Slo=300 Classes.1.Deadline=900 "
      "Allowed.Probes=true Allowed.SendCap=3");
  const Settings from_json = ParseSettings(FlattenSettings(Json::Parse(kSettings)));
  EXPECT_EQ(from_json.instance_index, from_pairs.instance_index);
  EXPECT_EQ(from_json.zone_count, from_pairs.zone_count);
  EXPECT_EQ(from_json.zone, from_pairs.zone);
  EXPECT_EQ(from_json.allowed.probes, from_pairs.allowed.probes);
  EXPECT_EQ(from_json.allowed.max_attempts, from_pairs.allowed.max_attempts);
  EXPECT_EQ(from_json.classes[0].latency_objective, from_pairs.classes[0].latency_objective);
  EXPECT_EQ(from_json.classes[1].deadline, from_pairs.classes[1].deadline);
}

TEST(BalancerSettings, ReadsAllGroupsOfSettings) {
  const Settings settings = ParseSettings(
      "Me=1 NInstances=4 Zone=3 FailureDomains=a,b,c,d Classes.count=1 Classes.0.Effect=keyed "
      "Classes.0.Group=zone Classes.0.Window=2000.0 Classes.0.Slo=150.0 Classes.0.Deadline=400.0 "
      "Classes.0.Worth=8.0 Tenants.count=1 Tenants.0.QuotaPerS=41.5 Tenants.0.Share=0.5 "
      "RegistryMode=subscribe ValueBy=work WeightKind=none Allowed.ParallelTries=true "
      "Allowed.SendCap=5 Charges.Probe=0.04 Obligations.Fall=1500.0 Obligations.ColdFrom=0.31 "
      "Stats.Fields=util,inflight,latency_ms Stats.Source=probe ResultMix.Whole=0.25 "
      "Brand.New=whatever OverShareWorth=0.05");
  EXPECT_EQ(settings.instance_count, 4);
  EXPECT_EQ(settings.zone_count, 4);
  ASSERT_EQ(settings.classes.size(), 1U);
  EXPECT_EQ(settings.classes[0].idempotency, Idempotency::kKeyed);
  EXPECT_EQ(settings.classes[0].deduplication_scope, DeduplicationScope::kZone);
  EXPECT_EQ(settings.classes[0].deduplication_window, Duration(2'000'000));
  EXPECT_DOUBLE_EQ(settings.classes[0].priority_weight, 8);
  EXPECT_DOUBLE_EQ(settings.tenants.at(0).requests_per_second, 41.5);
  EXPECT_EQ(settings.discovery_mode, DiscoveryMode::kPoll);
  EXPECT_TRUE(settings.priority_scales_with_work);
  EXPECT_TRUE(settings.allowed.parallel_attempts);
  EXPECT_EQ(settings.load_report.inflight, 1U);
  EXPECT_EQ(settings.load_report.latency_ms, 2U);
  EXPECT_DOUBLE_EQ(settings.over_quota_priority_factor, 0.05);
}

}  // namespace
}  // namespace paddlestile
