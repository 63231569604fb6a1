// Tests of tenant quotas and request priorities.
#include <gtest/gtest.h>

#include <algorithm>
#include <chrono>
#include <functional>
#include <iterator>
#include <map>
#include <stdexcept>
#include <string>
#include <vector>

#include "balancer/load_balancer_fixture.h"

namespace paddlestile {
namespace {

using testing::LoadBalancerHarness;
using testing::MakeClass;
using testing::MakeSettings;
using testing::Ms;

// Guards against starving the class with the lowest value per unit of work under overload, if the
// score gives weight to the worst-served class.
TEST(AdmissionTest, TheWorstServedClassGainsItsScoreWeight) {
  const auto count_low_priority_attempts = [](double worst_class) {
    Settings settings = MakeSettings();
    settings.instance_count = 1;
    settings.classes = {settings.classes[4], settings.classes[4]};
    settings.classes[0].priority_weight = 3;
    settings.classes[1].priority_weight = 1;
    settings.priority_scales_with_work = true;
    settings.score_weights.worst_class = worst_class;
    LoadBalancerHarness gateway(settings);
    gateway.ListEndpoints(1);
    std::map<std::string, Time> in_flight;
    size_t low_priority_attempts = 0, recorded = 0;
    for (int i = 0; i < 400; ++i) {
      gateway.Arrive("a" + std::to_string(i), 0);
      gateway.Arrive("b" + std::to_string(i), 1);
      gateway.Advance(Ms(20));
      for (auto entry = in_flight.begin(); entry != in_flight.end();) {
        if (gateway.now - entry->second < Ms(200)) {
          ++entry;
          continue;
        }
        gateway.FinishAttempt(entry->first, 0, "e0", Outcome::kOk, Ms(200), true);
        entry = in_flight.erase(entry);
      }
      for (; recorded < gateway.attempts.size(); ++recorded) {
        in_flight[gateway.attempts[recorded].id] = gateway.now;
        if (i >= 100 && gateway.attempts[recorded].id[0] == 'b') {
          ++low_priority_attempts;
        }
      }
    }
    return low_priority_attempts;
  };
  EXPECT_EQ(count_low_priority_attempts(0), 0U);
  EXPECT_GE(count_low_priority_attempts(0.8), 10U);
}

TEST(AdmissionTest, OnlyRequestsOverQuotaLosePriority) {
  Settings settings = MakeSettings();
  settings.instance_count = 1;
  settings.tenants = {{180, 0.9}, {20, 0.1}};
  settings.over_quota_priority_factor = 0.01;
  LoadBalancerHarness gateway(settings);
  gateway.ListEndpoints(1);
  std::map<size_t, size_t> sent;
  std::map<std::string, Time> in_flight;
  size_t recorded = 0;
  for (int i = 0; i < 600; ++i) {  // both send equally, so tenant 1 is far over its quota
    for (const int tenant : {i % 2, (i + 1) % 2}) {
      gateway.Arrive(std::to_string(tenant) + "-" + std::to_string(i), 4, Ms(1000),
                     static_cast<size_t>(tenant));
    }
    gateway.Advance(Ms(20));
    for (auto entry = in_flight.begin(); entry != in_flight.end();) {
      const bool done = gateway.now - entry->second >= Ms(200);
      if (done) {
        gateway.FinishAttempt(entry->first, 0, "e0", Outcome::kOk, Ms(200), true);
      }
      entry = done ? in_flight.erase(entry) : std::next(entry);
    }
    for (; recorded < gateway.attempts.size(); ++recorded) {
      in_flight[gateway.attempts[recorded].id] = gateway.now;
      if (i >= 300) {
        ++sent[gateway.attempts[recorded].id[0] == '0' ? 0 : 1];
      }
    }
  }
  EXPECT_GT(sent[0], 2 * sent[1]);
  EXPECT_GT(sent[1], 0U);  // its requests within the quota are served
}

// Returns the attempts of a gateway, in order, for two tenants that send equally.
// `change_settings` runs before the first request.
std::vector<std::string> AttemptsOfTwoTenants(
    const Settings& settings, const std::function<void(LoadBalancerHarness&)>& change_settings) {
  LoadBalancerHarness gateway(settings);
  gateway.ListEndpoints(1);
  change_settings(gateway);
  std::map<std::string, Time> in_flight;
  size_t recorded = 0;
  for (int i = 0; i < 200; ++i) {
    for (const int tenant : {i % 2, (i + 1) % 2}) {
      gateway.Arrive(std::to_string(tenant) + "-" + std::to_string(i), 4, Ms(1000),
                     static_cast<size_t>(tenant));
    }
    gateway.Advance(Ms(20));
    for (auto entry = in_flight.begin(); entry != in_flight.end();) {
      const bool done = gateway.now - entry->second >= Ms(200);
      if (done) {
        gateway.FinishAttempt(entry->first, 0, "e0", Outcome::kOk, Ms(200), true);
      }
      entry = done ? in_flight.erase(entry) : std::next(entry);
    }
    for (; recorded < gateway.attempts.size(); ++recorded) {
      in_flight[gateway.attempts[recorded].id] = gateway.now;
    }
  }
  std::vector<std::string> sent;
  for (const StartAttempt& attempt : gateway.attempts) {
    sent.push_back(attempt.id + " " + attempt.endpoint);
  }
  return sent;
}

// A quota update avoids copying the settings with 240,000 tenants. It must have the same effect as
// new settings with the same quotas. An update that is out of range must change nothing.
TEST(AdmissionTest, AQuotaUpdateEqualsNewSettings) {
  Settings before = MakeSettings();
  before.instance_count = 1;
  before.over_quota_priority_factor = 0.01;
  before.tenants = {{20, 0.1}};
  Settings after = before;
  after.tenants = {{180, 0.9}, {20, 0.1}};
  const auto by_settings =
      AttemptsOfTwoTenants(before, [&](LoadBalancerHarness& gateway) { gateway.Handle(after); });
  const auto by_update = AttemptsOfTwoTenants(before, [&](LoadBalancerHarness& gateway) {
    gateway.Handle(TenantQuotaUpdate{{{0, {180, 0.9}}, {1, {20, 0.1}}}});
    EXPECT_THROW(gateway.Handle(TenantQuotaUpdate{{{0, {1, 0.01}}, {1, {1, -1}}}}),
                 std::invalid_argument);
  });
  EXPECT_EQ(by_update, by_settings);
  EXPECT_NE(AttemptsOfTwoTenants(before, [](LoadBalancerHarness&) {}), by_settings);
}

// Guards against a quota update whose time grows with the number of tenants. With 64 times as many
// tenants it may take up to four times as long.
TEST(AdmissionTest, AQuotaUpdateVisitsOneTenantOnly) {
  double time_us[2] = {};
  for (const bool many : {false, true}) {
    Settings settings = MakeSettings();
    settings.tenants.assign(many ? 64'000 : 1'000, {1, 0.001});
    LoadBalancerHarness gateway(settings);
    gateway.ListEndpoints(1);
    time_us[many ? 1 : 0] = 1e18;
    for (int repetition = 0; repetition < 5; ++repetition) {
      const auto start = std::chrono::steady_clock::now();
      for (size_t i = 0; i < 200; ++i) {
        gateway.Handle(TenantQuotaUpdate{{{i * 3, {2, 0.002}}}});
      }
      const std::chrono::duration<double, std::micro> elapsed =
          std::chrono::steady_clock::now() - start;
      time_us[many ? 1 : 0] = std::min(time_us[many ? 1 : 0], elapsed.count() / 200);
    }
  }
  EXPECT_LT(time_us[1], 4 * time_us[0])
      << "at 1,000: " << time_us[0] << " us, at 64,000: " << time_us[1];
}

// Guards against requests whose time grows with the number of tenants. With 64 times as many
// tenants a request may take up to four times as long.
TEST(AdmissionTest, ARequestVisitsItsOwnTenantOnly) {
  double time_us[2] = {};
  for (const bool many : {false, true}) {
    Settings settings = MakeSettings();
    settings.tenants.assign(many ? 64'000 : 1'000, {1, 0.001});
    time_us[many ? 1 : 0] = 1e18;
    for (int repetition = 0; repetition < 5; ++repetition) {
      LoadBalancerHarness gateway(settings);
      gateway.ListEndpoints(1);
      const auto start = std::chrono::steady_clock::now();
      for (int i = 0; i < 60; ++i) {
        const std::string id = std::to_string(i);
        gateway.Arrive(id, 4, Ms(1000), static_cast<size_t>(i * 13));
        gateway.FinishAttempt(id, 0, "e0", Outcome::kOk, Ms(5), true);
        gateway.Advance(Ms(20));
      }
      const std::chrono::duration<double, std::micro> elapsed =
          std::chrono::steady_clock::now() - start;
      time_us[many ? 1 : 0] = std::min(time_us[many ? 1 : 0], elapsed.count() / 60);
    }
  }
  EXPECT_LT(time_us[1], 4 * time_us[0])
      << "at 1,000: " << time_us[0] << " us, at 64,000: " << time_us[1];
}

// A gateway with one request at a time has no queue that it could order by priority. Endpoints at
// the concurrency limit must exclude requests of low priority first.
TEST(AdmissionTest, TheConcurrencyLimitIncreasesWithPriority) {
  Settings settings = MakeSettings();
  settings.classes = {MakeClass(Idempotency::kSafe), MakeClass(Idempotency::kSafe)};
  settings.classes[1].priority_weight = 5;
  settings.score_weights.worst_class = 0;
  LoadBalancerHarness gateway(settings);
  gateway.ListEndpoints(4);
  int sent[2] = {0, 0};
  for (int i = 0; i < 400; ++i) {
    for (const char* id : {"e0", "e1", "e2", "e3"}) {
      gateway.FinishProbe(id, 3, 20);  // one more request reaches the initial limit
    }
    const size_t before = gateway.attempts.size(), request_class = static_cast<size_t>(i % 2);
    const std::string id = "r" + std::to_string(i);
    gateway.Arrive(id, request_class);
    if (gateway.attempts.size() > before) {
      ++sent[request_class];
      gateway.FinishAttempt(id, 0, gateway.attempts.back().endpoint, Outcome::kRejected, Ms(1));
    } else {
      gateway.Handle(ClientDisconnected{id});
    }
  }
  EXPECT_GT(sent[1], 150);
  EXPECT_LT(sent[0], 50);
}

}  // namespace
}  // namespace paddlestile
