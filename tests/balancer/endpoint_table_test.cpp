// Tests of endpoint list updates.
#include "balancer/endpoint_table.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <map>
#include <string>
#include <vector>

#include "balancer/learned_state.h"
#include "balancer/load_balancer_fixture.h"
#include "balancer/probe_pool.h"
#include "balancer/request_table.h"

namespace paddlestile {
namespace {

using testing::LoadBalancerHarness;
using testing::MakeSettings;
using testing::Ms;

TEST(EndpointTableTest, DrainingAndRemovedEndpointsGetNoRequests) {
  LoadBalancerHarness gateway(MakeSettings());
  gateway.ListEndpoints(3);
  gateway.UpdateEndpoint("e0", EndpointState::kDraining);
  EndpointUpdate full;
  full.kind = EndpointUpdateKind::kFull;
  EndpointInfo kept;
  kept.id = "e1";
  full.endpoints = {kept};
  gateway.Handle(full);  // e2 is absent from a full list, so it is removed
  gateway.WarmUp(60);
  ASSERT_FALSE(gateway.attempts.empty());
  for (const StartAttempt& attempt : gateway.attempts) {
    EXPECT_EQ(attempt.endpoint, "e1");
  }
}

TEST(EndpointTableTest, ARestartedEndpointLosesItsErrorRate) {
  LoadBalancerHarness gateway(MakeSettings());
  gateway.ListEndpoints(2);
  for (int i = 0; i < 12; ++i) {
    const std::string id = "r" + std::to_string(i);
    gateway.Arrive(id, 4);
    const bool bad = gateway.attempts.back().endpoint == "e0";
    gateway.FinishAttempt(id, 0, gateway.attempts.back().endpoint,
                          bad ? Outcome::kError : Outcome::kOk, Ms(5), !bad);
  }
  gateway.UpdateEndpoint("e0", EndpointState::kUp, gateway.now - Ms(20'000));
  const size_t before = gateway.attempts.size();
  for (int i = 0; i < 8; ++i) {
    gateway.Arrive("s" + std::to_string(i), 4);
  }
  EXPECT_TRUE(std::any_of(gateway.attempts.begin() + static_cast<long>(before),
                          gateway.attempts.end(),
                          [](const StartAttempt& attempt) { return attempt.endpoint == "e0"; }));
}

// Endpoints are often replaced by others with new ids. Guards against a table that grows with each.
TEST(EndpointTableTest, IndicesOfRemovedEndpointsAreReused) {
  EndpointRecords records;
  EndpointTable table(records);
  RequestTable requests;
  std::vector<PoolEntry> pool;
  const auto is_referenced = [&](size_t endpoint) {
    return requests.RefersTo(endpoint) ||
           std::ranges::count(pool, endpoint, &PoolEntry::endpoint) > 0;
  };
  for (int i = 0; i < 5000; ++i) {
    const size_t index = table.IndexFor("e" + std::to_string(i), is_referenced);
    EXPECT_EQ(table[index].info.id, "e" + std::to_string(i));
    EXPECT_EQ(table[index].error_rate, 0);  // not that of the previous endpoint
    table[index].error_rate = 1;
    if (i < 10) {
      continue;
    }
    const size_t removed = records.endpoint_index.at("e" + std::to_string(i - 10));
    table.SetState(removed, EndpointState::kRemoved);
  }
  EXPECT_LE(table.size(), 12U);
  EXPECT_LE(records.endpoint_index.size(), 12U);
  // An index is not reused while a request or a pool entry refers to it.
  const size_t removed = records.endpoint_index.begin()->second;
  for (size_t i = 0; i < table.size(); ++i) {
    table.SetState(i, EndpointState::kUp);
  }
  table.SetState(removed, EndpointState::kRemoved);
  Request& request = requests.Add(RequestArrived{}, 0, MakeSettings(), Time(0));
  request.attempts.push_back({.endpoint = removed});
  EXPECT_NE(table.IndexFor("x", is_referenced), removed);
  requests.Erase(request);
  pool.push_back({.endpoint = removed});
  EXPECT_NE(table.IndexFor("y", is_referenced), removed);
  pool.clear();
  EXPECT_EQ(table.IndexFor("z", is_referenced), removed);
}

// Guards against an id that is listed twice and takes two places in the subset.
TEST(EndpointTableTest, AnIdThatIsListedTwiceIsOneEndpoint) {
  Settings settings = MakeSettings();
  settings.instance_count = 1;
  settings.allowed.probes = false;
  LoadBalancerHarness gateway(settings);
  gateway.ListEndpoints(40);
  EndpointInfo info;
  info.id = "twice";
  gateway.Handle(EndpointUpdate{EndpointUpdateKind::kDelta, {info, info}});
  std::map<std::string, int> count;
  for (int i = 0; i < 8000; ++i) {
    const std::string id = "r" + std::to_string(i);
    const auto attempts = LoadBalancerHarness::ActionsOf<StartAttempt>(gateway.Arrive(id));
    ASSERT_EQ(attempts.size(), 1U);
    ++count[attempts[0].endpoint];
    gateway.FinishAttempt(id, 0, attempts[0].endpoint, Outcome::kOk, Ms(10), true);
  }
  EXPECT_EQ(count.size(), 41U);
  EXPECT_GT(count["twice"], 100);
  EXPECT_LT(count["twice"], 300);  // its share is 195
}

}  // namespace
}  // namespace paddlestile
