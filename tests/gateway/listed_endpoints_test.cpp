#include "gateway/listed_endpoints.h"

#include <gtest/gtest.h>

#include <chrono>
#include <string>

namespace paddlestile {
namespace {

EndpointInfo MakeInfo(const std::string& id) {
  EndpointInfo info;
  info.id = id;
  return info;
}

TEST(ListedEndpointsTest, UnlistedDrainingAndExcludedEndpointsAreUnavailable) {
  ListedEndpoints endpoints;
  EXPECT_NE(endpoints.Set(MakeInfo("active")).state, EndpointState::kDraining);
  EndpointInfo draining = MakeInfo("draining");
  draining.state = EndpointState::kDraining;
  endpoints.Set(draining);
  EXPECT_FALSE(endpoints.IsUnavailable("active"));
  EXPECT_TRUE(endpoints.IsUnavailable("draining"));
  EXPECT_TRUE(endpoints.IsUnavailable("unknown"));
  endpoints.SetExcluded({"active"}, false);
  EXPECT_TRUE(endpoints.IsUnavailable("active"));
}

TEST(ListedEndpointsTest, ExclusionUpdatesOnlyChangedEndpoints) {
  ListedEndpoints endpoints;
  endpoints.Set(MakeInfo("a"));
  endpoints.Set(MakeInfo("b"));
  EndpointUpdate update = endpoints.SetExcluded({"a", "unknown"}, false);
  ASSERT_EQ(update.endpoints.size(), 1u);
  EXPECT_EQ(update.endpoints[0].id, "a");
  EXPECT_EQ(update.endpoints[0].state, EndpointState::kDraining);
  EXPECT_TRUE(endpoints.SetExcluded({"a"}, false).endpoints.empty());
  // Excluding all changes the other endpoint. Excluding none changes both back to their listed
  // state.
  EXPECT_EQ(endpoints.SetExcluded({"a"}, true).endpoints.size(), 1u);
  update = endpoints.SetExcluded({}, false);
  ASSERT_EQ(update.endpoints.size(), 2u);
  EXPECT_NE(update.endpoints[0].state, EndpointState::kDraining);
  EXPECT_NE(update.endpoints[1].state, EndpointState::kDraining);
}

TEST(ListedEndpointsTest, ExclusionAppliesToLaterLists) {
  ListedEndpoints endpoints;
  endpoints.SetExcluded({"a"}, false);
  EXPECT_EQ(endpoints.Set(MakeInfo("a")).state, EndpointState::kDraining);
  EXPECT_NE(endpoints.Set(MakeInfo("b")).state, EndpointState::kDraining);
}

TEST(ListedEndpointsTest, WarmsUpOnlyAfterAKnownStartTime) {
  ListedEndpoints endpoints;
  EndpointInfo info = MakeInfo("a");
  info.started_at = std::chrono::seconds(100);
  endpoints.Set(info);
  endpoints.Set(MakeInfo("unknown start"));
  const Duration slow_start = std::chrono::seconds(10);
  EXPECT_TRUE(endpoints.IsWarmingUp("a", std::chrono::seconds(109), slow_start));
  EXPECT_FALSE(endpoints.IsWarmingUp("a", std::chrono::seconds(110), slow_start));
  EXPECT_FALSE(endpoints.IsWarmingUp("unknown start", std::chrono::seconds(1), slow_start));
}

}  // namespace
}  // namespace paddlestile
