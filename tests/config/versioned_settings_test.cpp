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
  static cluster::VersionContent ContentOf(const std::string& text) {
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

// Applying only the changes from the previous version must have the same result as applying the
// whole version, for any sequence of versions.
TEST_F(VersionedSettingsTest, ApplyingChangesEqualsApplyingWholeVersion) {
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
          cluster::VersionContent content = ContentOf(text);
          content.strict = strict;
          const GatewayConfig whole = file.ApplyVersion(content, previous, nullptr, kNow);
          const GatewayConfig changed =
              file.ApplyVersion(content, previous, before ? &*before : nullptr, kNow);
          SCOPED_TRACE(std::string(from) + " to " + to);
          ExpectSame(changed, whole);
          EXPECT_EQ(changed.settings.allowed.max_attempts == 1, strict);
          previous = changed;
          before = content;
        }
      }
    }
  }
}

// If a change of one tenant's quota made the gateway parse all of its settings again, the requests
// of all tenants would be delayed.
TEST_F(VersionedSettingsTest, ChangeOfTenantParsesOnlyThatTenant) {
  const VersionedSettings file(previous);
  const cluster::VersionContent a =
      ContentOf(R"({"settings":{"Tenants":[{"Name":"t one","QuotaPerS":5},{"Name":"two"}]}})");
  const cluster::VersionContent b =
      ContentOf(R"({"settings":{"Tenants":[{"Name":"t one","QuotaPerS":6},{"Name":"two"}]}})");
  GatewayConfig now = file.ApplyVersion(a, previous, nullptr, kNow);
  now.settings.tenants[1].requests_per_second = 77;  // in no version, so it shows a parsed tenant
  const GatewayConfig next = file.ApplyVersion(b, now, &a, kNow);
  EXPECT_EQ(next.settings.tenants[0].requests_per_second, 6);
  EXPECT_EQ(next.settings.tenants[1].requests_per_second, 77);
  EXPECT_EQ(file.ApplyVersion(b, now, nullptr, kNow).settings.tenants[1].requests_per_second, 0);
  // An invalid quota is rejected either way.
  for (const char* const invalid_share : {R"("soon")", "{}"}) {
    const cluster::VersionContent valid =
        ContentOf(R"({"settings":{"Tenants":[{"Name":"t one","QuotaPerS":5},)"
                  R"({"Name":"two","OddShare":1,"Share":0.1}]}})");
    cluster::VersionContent invalid = valid;
    invalid.tenants->Set(
        "two", R"({"Name":"two","OddShare":1,"Share":)" + std::string(invalid_share) + "}");
    std::string whole_error, change_error;
    try {
      static_cast<void>(file.ApplyVersion(invalid, now, nullptr, kNow));
    } catch (const ConfigError& error) {
      whole_error = error.what();
    }
    try {
      static_cast<void>(file.ApplyVersion(invalid, now, &valid, kNow));
    } catch (const ConfigError& error) {
      change_error = error.what();
    }
    EXPECT_EQ(whole_error.empty(), change_error.empty())
        << invalid_share << ": " << whole_error << " / " << change_error;
  }
}

// Retired names keep their positions for the requests that refer to them. Without a limit, a
// gateway that runs for months would keep all names there ever were. Current names do not count:
// with a limit on all names, a gateway could start with 1,100 tenants but never change them.
TEST_F(VersionedSettingsTest, LimitsRetiredButNotCurrentNames) {
  const auto content_with_tenants = [&](size_t from, size_t count) {
    nlohmann::json settings;
    for (size_t i = from; i < from + count; ++i) {
      settings["Tenants"].push_back({{"Name", "n" + std::to_string(i)}, {"Share", 0.1}});
    }
    return ContentOf(nlohmann::json{{"settings", settings}}.dump());
  };
  const VersionedSettings file(previous);
  previous = file.ApplyVersion(content_with_tenants(0, 3000), previous, nullptr, kNow);
  EXPECT_GE(previous.names.tenants.size(), 3000u);
  const GatewayConfig current =
      file.ApplyVersion(content_with_tenants(1000, 3000), previous, nullptr, kNow);
  for (const bool as_changes : {false, true}) {
    const cluster::VersionContent before = content_with_tenants(1000, 3000);
    const auto apply = [&](const cluster::VersionContent& content) {
      return file.ApplyVersion(content, current, as_changes ? &before : nullptr, kNow);
    };
    EXPECT_NO_THROW(static_cast<void>(apply(content_with_tenants(1010, 3000))));
    try {
      static_cast<void>(apply(content_with_tenants(1100, 3000)));
      FAIL() << "accepted 1,100 retired names together with 100 new ones";
    } catch (const ConfigError& error) {
      EXPECT_STREQ(error.what(),
                   "bank: over 1024 tenants gone since the start, expected a restart");
    }
    // Names may be retired as long as no name is added, and adding a retired name again lowers the
    // number of retired names.
    EXPECT_NO_THROW(static_cast<void>(apply(content_with_tenants(3999, 1))));
    EXPECT_NO_THROW(static_cast<void>(apply(content_with_tenants(0, 4000))));
  }
  // Returning to the file's settings, as after a version that cannot be applied, adds no name.
  EXPECT_EQ(RejectionOf(ConfigText(kSettings)), "");
}

// A version has no endpoints. Applying it must not parse the file's endpoints again or copy the
// text of the file, which may have 99,000 endpoints.
TEST_F(VersionedSettingsTest, DoesNotParseEndpointsOfFileAgain) {
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
