// Applies versions to a gateway whose file, or whose earlier versions, stand in their way.
#include "gateway/version_applier.h"

#include <fmt/format.h>
#include <gtest/gtest.h>
#include <unistd.h>

#include <filesystem>
#include <fstream>
#include <map>
#include <string>

#include "base/config_error.h"
#include "cluster/config_document.h"
#include "config/gateway_config.h"
#include "gateway/gateway_fixture.h"

namespace paddlestile {
namespace {

using cluster::VersionContent;

VersionContent Content(const std::string& text) {
  return VersionContent(cluster::ParseDocument(text));
}

class VersionApplierTest : public testing::GatewayTest {
 protected:
  VersionApplierTest() : path_(::testing::TempDir() + "applier-" + std::to_string(getpid())) {}
  ~VersionApplierTest() override { std::filesystem::remove(path_); }

  // Returns the configuration of a file with these tenants.
  GatewayConfig FileWith(const std::string& tenants) {
    std::ofstream(path_)
        << R"({"seed":"1f","limits":{"sockets":256},"known":{"revision":1,"complete":true,)"
        << R"("members":[]},"settings":{"Classes":[{"Name":"safe","Effect":"safe","Slo":400.0,)"
        << R"("Deadline":1000.0}],"Tenants":[)" << tenants << "]}}";
    const std::map<std::string, std::string> environment = {{"LB_NAME", "g0"},
                                                            {"LB_LISTEN", "127.0.0.1:5000"},
                                                            {"LB_DISCOVERY", "127.0.0.1:5001"},
                                                            {"LB_CONFIG", path_}};
    return ReadGatewayConfig(
        [&](const char* name) {
          const auto variable = environment.find(name);
          return variable == environment.end() ? nullptr : variable->second.c_str();
        },
        [&](double unix_ms) { return loop.clock().FromUnixMillis(unix_ms); });
  }

 private:
  std::string path_;
};

const char* const kTenant = R"({"Name":"t","QuotaPerS":5,"Burst":5,"Share":1})";

// Guards against a gateway that ends on SIGHUP: after more than 1,024 names have gone, a file with
// a further tenant can be applied to no version, and what applied it threw out of the event loop.
TEST_F(VersionApplierTest, FileThatCannotBeAppliedChangesNothing) {
  Start();
  VersionApplier applier(loop, *gateway, FileWith(kTenant));
  std::string tenants = kTenant;
  for (int i = 0; i < 1100; ++i) {
    tenants += fmt::format(R"(,{{"Name":"t{}","QuotaPerS":5,"Burst":5,"Share":1}})", i);
  }
  applier.Apply(Content(R"({"settings":{"Tenants":[)" + tenants + "]}}"), 1, false);
  applier.Apply(Content("{}"), 2, false);
  ASSERT_EQ(applier.applied_count(), 2u);
  const GatewayConfig larger_file =
      FileWith(std::string(kTenant) + R"(,{"Name":"new","QuotaPerS":5,"Burst":5,"Share":1})");
  EXPECT_THROW(applier.set_file(larger_file), ConfigError);
  EXPECT_NE(applier.applied_content(), nullptr);
  applier.Apply(Content(R"({"settings":{"Allowed":{"SendCap":2}}})"), 3, false);
  EXPECT_EQ(applier.applied_count(), 3u);
}

// Guards against requests to hosts that a version drains, or keeps to another zone, at a gateway
// that cannot apply the version's settings.
TEST_F(VersionApplierTest, ContentThatCannotBeAppliedExcludesItsHosts) {
  const auto serve = [](const std::string&) {
    return testing::Http200("served");
  };
  Host& drained = AddHost("drained", serve);
  Host& elsewhere = AddHost("elsewhere", serve);
  Host& barred = AddHost("barred", serve);
  Host& usable = AddHost("usable", serve);
  Start();
  VersionApplier applier(loop, *gateway, FileWith(""));
  const VersionContent content = Content(
      R"({"settings":{"ResultMix":{"NinesPart":0.1}},"drain":["drained"],"barred":["barred"],)"
      R"("zone_only":{"elsewhere":"far"}})");
  ASSERT_FALSE(applier.WhyNotApplicable(content).empty());
  applier.Apply(content, 1, false);
  EXPECT_EQ(applier.applied_count(), 0u);
  for (int i = 0; i < 20; ++i) {
    testing::Peer client = SendRequest(testing::RequestText(std::to_string(i)));
    EXPECT_TRUE(RunHostsUntil([&] { return client.Has("\r\n\r\n"); }));
  }
  EXPECT_EQ(drained.requests, 0);
  EXPECT_EQ(elsewhere.requests, 0);
  EXPECT_EQ(barred.requests, 0);
  EXPECT_GT(usable.requests, 0);
}

}  // namespace
}  // namespace paddlestile
