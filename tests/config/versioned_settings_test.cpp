#include "config/versioned_settings.h"

#include <gtest/gtest.h>

#include <nlohmann/json.hpp>
#include <optional>
#include <string>

#include "config/gateway_config_fixture.h"

namespace paddlestile {
namespace {

class VersionedSettingsTest : public GatewayConfigReloadTest {
 protected:
  static cluster::VersionContent Of(const std::string& text) {
    return cluster::ParseDocument(text);
  }
  static void ExpectSame(const GatewayConfig& a, const GatewayConfig& b) {
    EXPECT_EQ(a.names.tenants.positions(), b.names.tenants.positions());
    EXPECT_EQ(a.names.tenants_expire_at, b.names.tenants_expire_at);
    EXPECT_EQ(a.names.classes.positions(), b.names.classes.positions());
    EXPECT_EQ(a.names.classes_expire_at, b.names.classes_expire_at);
    EXPECT_EQ(a.settings.classes, b.settings.classes);
    ASSERT_EQ(a.settings.tenants.size(), b.settings.tenants.size());
    for (size_t i = 0; i < a.settings.tenants.size(); ++i) {
      EXPECT_EQ(a.settings.tenants[i].requests_per_second,
                b.settings.tenants[i].requests_per_second)
          << i;
      EXPECT_EQ(a.settings.tenants[i].share, b.settings.tenants[i].share) << i;
    }
    EXPECT_EQ(a.settings.allowed.max_attempts, b.settings.allowed.max_attempts);
    EXPECT_EQ(a.settings.over_quota_priority_factor, b.settings.over_quota_priority_factor);
    EXPECT_EQ(a.discovery, b.discovery);
    EXPECT_EQ(a.endpoint_idle_timeout, b.endpoint_idle_timeout);
    EXPECT_EQ(a.max_sockets, b.max_sockets);
    EXPECT_EQ(a.name, b.name);
  }
  const Time kNow{7'000'000};
};

// A version that is applied as changes of the one before must give what applying all of it gives,
// whatever came before it, in whatever order.
TEST_F(VersionedSettingsTest, ChangeEqualsWholeVersion) {
  const char* const versions[] = {
      "{}",
      R"({"settings":{"Tenants":[{"Name":"t one","QuotaPerS":5},{"Name":"x","Share":0.2}]}})",
      R"({"settings":{"Tenants":[{"Name":"t one","QuotaPerS":6},{"Name":"x","Share":0.2}]}})",
      R"({"settings":{"Tenants":[{"Name":"t one"},{"Name":"x","Share":0.4,"QuotaPerS":1}]}})",
      R"({"settings":{"Tenants":[{"Name":"x","Share":0.4},{"Name":"t one","QuotaPerS":6}]}})",
      R"({"settings":{"Tenants":[{"Name":"x","Share":0.4}],"Allowed":{"SendCap":2}}})",
      R"({"settings":{"Tenants":[{"Name":"x","Share":0.4}],"Allowed":{"SendCap":3}}})",
      R"({"settings":{"Tenants":[{"Name":"t one"},{"Name":"two","Share":0.4}]}})",
      R"({"settings":{"Tenants":[{"Name":"t one"},{"Name":"new","Share":0.4}]}})",
      R"({"settings":{"Tenants":[{"Name":"x","Share":0.5}],"Allowed":{"SendCap":2}},"barred":["h"]})",
      R"({"settings":{"Tenants":[{"Name":"x","Share":0.6}],"OverShareWorth":0.5}})",
      R"({"settings":{"Classes":[{"Name":"read","Slo":10,"Deadline":20}]}})"};
  const VersionedSettings file(previous);
  std::optional<cluster::VersionContent> before;
  for (const char* const from : versions) {
    for (const char* const to : versions) {
      for (const bool strict : {false, true}) {
        for (const char* const text : {from, to}) {
          cluster::VersionContent rules = Of(text);
          rules.strict = strict;
          const GatewayConfig whole = file.ApplyVersion(rules, previous, nullptr, kNow);
          const GatewayConfig now =
              file.ApplyVersion(rules, previous, before ? &*before : nullptr, kNow);
          SCOPED_TRACE(std::string(from) + " to " + to);
          ExpectSame(now, whole);
          EXPECT_EQ(now.settings.allowed.max_attempts == 1, strict);
          previous = now;
          before = rules;
        }
      }
    }
  }
}

// A gateway that read all of its settings again for one tenant's quota would stall all tenants.
TEST_F(VersionedSettingsTest, ChangeOfATenantReadsThatTenantAlone) {
  const VersionedSettings file(previous);
  const cluster::VersionContent a =
      Of(R"({"settings":{"Tenants":[{"Name":"t one","QuotaPerS":5},{"Name":"two"}]}})");
  const cluster::VersionContent b =
      Of(R"({"settings":{"Tenants":[{"Name":"t one","QuotaPerS":6},{"Name":"two"}]}})");
  GatewayConfig now = file.ApplyVersion(a, previous, nullptr, kNow);
  now.settings.tenants[1].requests_per_second = 77;  // in no version: shows that it is left alone
  const GatewayConfig next = file.ApplyVersion(b, now, &a, kNow);
  EXPECT_EQ(next.settings.tenants[0].requests_per_second, 6);
  EXPECT_EQ(next.settings.tenants[1].requests_per_second, 77);
  EXPECT_EQ(file.ApplyVersion(b, now, nullptr, kNow).settings.tenants[1].requests_per_second, 0);
  // An invalid quota is rejected either way.
  for (const char* const bad : {R"("soon")", "{}"}) {
    const cluster::VersionContent odd =
        Of(R"({"settings":{"Tenants":[{"Name":"t one","QuotaPerS":5},)"
           R"({"Name":"two","OddShare":1,"Share":0.1}]}})");
    cluster::VersionContent wrong = odd;
    wrong.tenants->Set("two", R"({"Name":"two","OddShare":1,"Share":)" + std::string(bad) + "}");
    std::string whole, part;
    try {
      static_cast<void>(file.ApplyVersion(wrong, now, nullptr, kNow));
    } catch (const ConfigError& error) {
      whole = error.what();
    }
    try {
      static_cast<void>(file.ApplyVersion(wrong, now, &odd, kNow));
    } catch (const ConfigError& error) {
      part = error.what();
    }
    EXPECT_EQ(whole.empty(), part.empty()) << bad << ": " << whole << " / " << part;
  }
}

// Retired names keep their positions for the requests that have them; without a bound a gateway
// that runs for months would hold all names there ever were. Current names do not count: with a
// bound on all names, 1,100 tenants could be started with and never changed.
TEST_F(VersionedSettingsTest, BoundsRetiredNamesAndNotCurrentOnes) {
  const auto named = [&](size_t from, size_t count) {
    nlohmann::json settings;
    for (size_t i = from; i < from + count; ++i) {
      settings["Tenants"].push_back({{"Name", "n" + std::to_string(i)}, {"Share", 0.1}});
    }
    return Of(nlohmann::json{{"settings", settings}}.dump());
  };
  const VersionedSettings file(previous);
  previous = file.ApplyVersion(named(0, 3000), previous, nullptr, kNow);
  EXPECT_GE(previous.names.tenants.size(), 3000u);
  const GatewayConfig some = file.ApplyVersion(named(1000, 3000), previous, nullptr, kNow);
  for (const bool part : {false, true}) {
    const cluster::VersionContent before = named(1000, 3000);
    const auto with = [&](const cluster::VersionContent& rules) {
      return file.ApplyVersion(rules, some, part ? &before : nullptr, kNow);
    };
    EXPECT_NO_THROW(static_cast<void>(with(named(1010, 3000))));
    try {
      static_cast<void>(with(named(1100, 3000)));
      FAIL() << "1,100 gone beside 100 new ones were taken";
    } catch (const ConfigError& error) {
      EXPECT_STREQ(error.what(),
                   "bank: over 1024 tenants gone since the start, expected a restart");
    }
    // Retiring takes no room, and a name that comes back frees some.
    EXPECT_NO_THROW(static_cast<void>(with(named(3999, 1))));
    EXPECT_NO_THROW(static_cast<void>(with(named(0, 4000))));
  }
  // Back to the file's own settings, as when a version cannot be applied: it brings no new name.
  EXPECT_EQ(RejectionOf(ConfigText(kSettings)), "");
}

// A version has no endpoints: the file's 99,000 were once read, and their text kept, with each.
TEST_F(VersionedSettingsTest, DoesNotReadTheFilesEndpointsAgain) {
  Write(ConfigText(kSettings, R"([{"id":"h1","host_port":"127.0.0.2:80","phase":"active"}])"));
  const GatewayConfig file = Read();
  ASSERT_EQ(file.initial_endpoints.endpoints.size(), 1u);
  const GatewayConfig now = VersionedSettings(file).ApplyVersion({}, file, nullptr, kNow);
  EXPECT_TRUE(now.initial_endpoints.endpoints.empty());
  EXPECT_TRUE(now.file_text.empty());
  EXPECT_EQ(now.settings.classes, file.settings.classes);
}

}  // namespace
}  // namespace paddlestile
