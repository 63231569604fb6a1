#include "config/gateway_config.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <string>
#include <utility>
#include <vector>

#include "config/gateway_config_fixture.h"

namespace paddlestile {
namespace {

TEST_F(GatewayConfigTest, ReadsVariablesAndFile) {
  Write(ConfigText(
      kSettings,
      R"([{"id":"h1","host_port":"127.0.0.2:80","locality":"south east","flavor":"small",)"
      R"("cell":3,"phase":"active","size":1.5,"up_since_ms":7,"extra":{}}])"));
  const GatewayConfig config = Read();
  EXPECT_EQ(config.name, "n1");
  EXPECT_EQ(ToText(config.listen), "127.0.0.4:5000");
  EXPECT_EQ(ToText(config.discovery), "127.0.0.9:8500");
  EXPECT_EQ(config.seed, 0x8c1f30d27a5be964u);
  EXPECT_EQ(config.max_sockets, 512u);
  EXPECT_EQ(config.endpoint_idle_timeout, Duration(60'000'000));
  EXPECT_EQ(config.settings.instance_count, 3);
  ASSERT_EQ(config.settings.classes.size(), 2u);
  EXPECT_EQ(config.settings.classes[1].idempotency, Idempotency::kKeyed);
  EXPECT_EQ(config.settings.classes[1].deduplication_window, Duration(1'500'000));
  EXPECT_EQ(config.settings.load_report.latency_ms, 1u);
  EXPECT_EQ(config.names.classes.Find("book"), 1u);
  EXPECT_EQ(config.names.tenants.Find("t one"), 0u);
  EXPECT_EQ(config.names.tenants.Find("three"), 2u);
  EXPECT_EQ(config.names.report_fields, (std::vector<std::string>{"inflight", "latency_ms"}));
  ASSERT_EQ(config.initial_endpoints.endpoints.size(), 1u);
  const EndpointListEntry& host = config.initial_endpoints.endpoints[0];
  EXPECT_EQ(host.info.zone, 1);
  EXPECT_EQ(host.info.machine_kind, 1u);
  EXPECT_EQ(host.info.cell, 3);
  EXPECT_EQ(host.info.started_at, Time(7));
  EXPECT_EQ(ToText(host.address), "127.0.0.2:80");
}

TEST_F(GatewayConfigTest, ReadsTheMemoryLimit) {
  std::string text = ConfigText(kSettings);
  const std::string limits = R"("limits":{"sockets":512)";
  ASSERT_NE(text.find(limits), std::string::npos);
  text.insert(text.find(limits) + limits.size(), R"(,"memory_mb":64)");
  Write(text);
  EXPECT_EQ(Read().max_memory_bytes, 64U << 20);
  text.replace(text.find("\"memory_mb\":64"), 14, R"("memory_mb":"a")");
  Write(text);
  EXPECT_NE(Error().find("'limits.memory_mb' is a, expected 1 to 1000000"), std::string::npos);
}

// Older files lack the settings ResultMix.NinesPart, ResultMix.TopNines and FamilyInfo.WarmKeys.
TEST_F(GatewayConfigTest, OptionalSettingsAreCheckedAndHaveDefaults) {
  const auto settings_with = [](const std::string& added) {
    return "{" + added + "," + kSettings.substr(1);
  };
  Write(ConfigText(kSettings));
  EXPECT_FALSE(Read().settings.key_affinity);
  EXPECT_EQ(Read().settings.score_weights.nines, 0);
  Write(ConfigText(settings_with(
      R"("FamilyInfo":{"WarmKeys":true},"ResultMix":{"NinesPart":0.2,"TopNines":3})")));
  EXPECT_TRUE(Read().settings.key_affinity);
  EXPECT_EQ(Read().settings.score_weights.nines, 0.2);
  EXPECT_EQ(Read().settings.score_weights.top_nines, 3);
  const std::pair<std::string, std::string> invalid[] = {
      {R"({"NinesPart":-0.2,"TopNines":3})",
       "bad ResultMix.NinesPart '-0.200000', expected 0 or more"},
      {R"({"NinesPart":"much","TopNines":3})", "bad ResultMix.NinesPart 'much', expected a number"},
      {R"({"NinesPart":0.2})", "expected ResultMix.TopNines beside it"},
      {R"({"TopNines":0})", "bad ResultMix.TopNines '0.000000', expected a number above 0"}};
  for (const auto& [result_mix, expected] : invalid) {
    Write(ConfigText(settings_with(R"("ResultMix":)" + result_mix)));
    EXPECT_NE(Error().find(expected), std::string::npos) << Error();
    const auto faults = ValidateGatewayConfig(path_);
    ASSERT_EQ(faults.size(), 1u) << result_mix;
    EXPECT_NE(faults[0].find(expected), std::string::npos) << faults[0];
  }
}

// A setting that the gateway does not support is reported, not silently ignored.
TEST_F(GatewayConfigTest, ReportsUnsupportedSettings) {
  Settings settings;
  EXPECT_TRUE(UnsupportedSettings(settings).empty());
  settings.allowed.peer_messages = true;
  settings.allowed.max_streams = 8;
  ASSERT_EQ(UnsupportedSettings(settings).size(), 2u);
  EXPECT_NE(UnsupportedSettings(settings)[0].find("Allowed.PeerMessages"), std::string::npos);
  EXPECT_NE(UnsupportedSettings(settings)[1].find("Allowed.MaxStreams"), std::string::npos);
}

TEST_F(GatewayConfigTest, ReportsMissingAndMalformedVariables) {
  Write(ConfigText(kSettings));
  for (const char* const name : {"LB_NAME", "LB_LISTEN", "LB_DISCOVERY", "LB_CONFIG"}) {
    const std::string value = env_[name];
    env_.erase(name);
    EXPECT_EQ(Error(), std::string(name) + " is not set");
    env_[name] = value;
  }
  for (const char* const bad : {"here:5000", "127.0.0.1", "127.0.0.1:", "127.0.0.1:0",
                                "127.0.0.1:65536", "127.0.0.1:x", "1.2.3:5"}) {
    env_["LB_LISTEN"] = bad;
    EXPECT_EQ(Error().substr(0, 10), "LB_LISTEN:") << bad;
  }
}

TEST_F(GatewayConfigTest, ReportsFaultsOfFile) {
  env_["LB_CONFIG"] = "/nowhere/at/all";
  EXPECT_EQ(Error(), "LB_CONFIG: cannot read /nowhere/at/all, expected a file");
  const auto error_of = [&](const std::string& text) {
    Write(text);
    return Error();
  };
  EXPECT_NE(error_of("{").find("LB_CONFIG: "), std::string::npos);
  EXPECT_NE(error_of("{}").find("'seed' is missing"), std::string::npos);
  EXPECT_NE(error_of(R"({"seed":"xyz"})").find("'seed'"), std::string::npos);
  EXPECT_NE(error_of(R"({"seed":"1"})").find("'settings' is missing"), std::string::npos);
  EXPECT_NE(error_of(R"({"seed":"1","settings":{}})").find("'known' is missing"),
            std::string::npos);
  EXPECT_NE(error_of(ConfigText(R"({"NInstances":"many"})")).find("NInstances"), std::string::npos);
  EXPECT_NE(error_of(ConfigText(kSettings, R"([{"id":"a","phase":"active"}])")).find("host_port"),
            std::string::npos);
  EXPECT_NE(error_of(ConfigText(kSettings, R"([{"id":"a","host_port":"x","phase":"active"}])"))
                .find("no address"),
            std::string::npos);
}

// The error for an invalid setting has the file, the key and what was expected.
TEST_F(GatewayConfigTest, ReportsInvalidSettings) {
  const std::string valid_class = R"({"Name":"a","Effect":"safe","Slo":400.0,"Deadline":900.0})";
  const auto classes = [](const std::string& items, const std::string& added = "") {
    return R"({"Classes":[)" + items + R"(],"Allowed":{"SendCap":3})" + added + "}";
  };
  const auto classes_with = [&](const std::string& change) {
    return classes(valid_class + R"(,{"Name":"b","Effect":"keyed","Slo":400.0,"Deadline":900.0,)" +
                   change + "}");
  };
  const std::vector<std::pair<std::string, std::string>> cases = {
      {classes(R"({"Name":"a","Effect":"safe","Slo":400.0})"),
       "setting out of range: Classes.0.Deadline, expected over 0 and an hour at most"},
      {classes(R"({"Name":"a","Slo":-1.0,"Deadline":900.0})"),
       "setting out of range: Classes.0.Slo, expected over 0 and an hour at most"},
      {classes(""), "setting out of range: Classes, expected one at the least"},
      {classes_with(R"("Window":-5.0)"),
       "setting out of range: Classes.1.Window, expected 0 or more"},
      {classes_with(R"("Worth":-1.0)"),
       "setting out of range: Classes.1.Worth, expected 0 or more"},
      {classes(R"({"Name":"a","Effect":"perhaps","Slo":400.0,"Deadline":900.0})"),
       "bad Classes.0.Effect 'perhaps', expected one of safe, keyed, unsafe"},
      {classes(valid_class + "," + valid_class),
       "'settings.Classes' names one twice, expected each once"},
      {classes(valid_class, R"(,"Tenants":[{"Name":"t","Share":0.5},{"Name":"t","Share":0.5}])"),
       "'settings.Tenants' names one twice, expected each once"},
      {classes(valid_class, R"(,"Tenants":[{"Name":"t","Share":-0.5}])"),
       "setting out of range: Tenants.0.Share, expected 0 or more"},
      {R"({"Classes":[)" + valid_class + R"(],"Allowed":{"SendCap":0}})",
       "setting out of range: Allowed.SendCap, expected 1 to 1000"},
      {R"({"Classes":[)" + valid_class + R"(],"Allowed":{"SendCap":3,"ConnectTimeout":-1.0}})",
       "setting out of range: Allowed.ConnectTimeout, expected 0 or more"},
  };
  for (const auto& [settings, error] : cases) {
    Write(ConfigText(settings));
    EXPECT_EQ(Error(), "LB_CONFIG: " + path_ + ": " + error);
  }
  Write(ConfigText(classes(valid_class)));
  EXPECT_EQ(Error(), "");
}

TEST_F(GatewayConfigTest, RejectsEveryTruncatedFile) {
  const std::string whole = ConfigText(kSettings);
  for (size_t size = 0; size < whole.size(); size += 7) {
    Write(whole.substr(0, size));
    EXPECT_NE(Error(), "") << size;
  }
}

// Reports all faults at once. For a text that is not JSON, reports the line.
TEST_F(GatewayConfigTest, ValidationReportsEveryFault) {
  Write(ConfigText(kSettings));
  EXPECT_TRUE(ValidateGatewayConfig(path_).empty());
  Write(R"({"seed":"1","discovery":"here","known":{"revision":1,"members":[{"id":"a"},)"
        R"({"id":"b","phase":"active"}]},"settings":{"NInstances":"many",)"
        R"("Classes":[{"Name":"a","Effect":"maybe","Slo":1,"Deadline":"x"}]}})");
  const auto faults = ValidateGatewayConfig(path_);
  const auto is_reported = [&](const std::string& part) {
    return std::ranges::any_of(
        faults, [&](const std::string& fault) { return fault.find(part) != fault.npos; });
  };
  EXPECT_TRUE(is_reported("discovery: no address and port: 'here'"));
  EXPECT_TRUE(is_reported("NInstances 'many', expected a number"));
  EXPECT_TRUE(is_reported("Classes.0.Effect 'maybe', expected one of safe, keyed, unsafe"));
  EXPECT_TRUE(is_reported("Classes.0.Deadline 'x', expected a number"));
  EXPECT_TRUE(is_reported("known.members.0: 'phase' is missing"));
  EXPECT_TRUE(is_reported("known.members.1: no 'host_port'"));
  Write("{\n\"seed\":\n\n}");
  ASSERT_EQ(ValidateGatewayConfig(path_).size(), 1u);
  EXPECT_EQ(ValidateGatewayConfig(path_)[0].substr(0, 7), "line 4:");
  EXPECT_EQ(ValidateGatewayConfig("/no/such").size(), 1u);
}

// The variable takes precedence over the file, and neither is required.
TEST_F(GatewayConfigTest, AdminAddressComesFromVariableOrFile) {
  Write(ConfigText(kSettings));
  EXPECT_FALSE(Read().admin);
  std::string text = ConfigText(kSettings);
  Write(text.insert(1, R"("admin":"127.0.0.4:6000",)"));
  ASSERT_TRUE(Read().admin);
  EXPECT_EQ(ToText(*Read().admin), "127.0.0.4:6000");
  env_["LB_ADMIN"] = "127.0.0.4:6001";
  EXPECT_EQ(ToText(*Read().admin), "127.0.0.4:6001");
  env_["LB_ADMIN"] = "here";
  EXPECT_EQ(Error(), "LB_ADMIN: no address and port: 'here'");
  env_.erase("LB_ADMIN");
  Write(ConfigText(kSettings).insert(1, R"("admin":"there",)"));
  EXPECT_NE(Error().find("'admin'"), std::string::npos);
}

// ---- Reloading ---------------------------------------------------------------------------------

// The decision module refers to classes by position. If the positions changed with the order in the
// file, requests and learned state would be attributed to another class.
TEST_F(GatewayConfigReloadTest, NamesKeepTheirPositions) {
  const std::string classes =
      R"({"Name":"new","Effect":"unsafe","Slo":100.0,"Deadline":500.0,"Worth":2.0},)"
      R"({"Name":"book","Effect":"unsafe","Slo":200.0,"Deadline":900.0}],"Tenants":)"
      R"([{"Name":"two","Share":0.9},{"Name":"t one","Share":0.1}])";
  std::string text = ConfigText(kSettings);
  const size_t from = text.find(R"({"Name":"read")"), to = text.find(R"(,"Allowed")");
  text.replace(from, to - from, classes);
  text.replace(text.find(R"(["north","south east"])"), 22, R"(["south east","north"])");
  text.replace(text.find(R"("Zone":1)"), 8, R"("Zone":0)");
  const GatewayConfig now = Reload(text);
  EXPECT_EQ(now.names.classes.Find("read"), 0u);
  EXPECT_EQ(now.names.classes.Find("book"), 1u);
  EXPECT_EQ(now.names.classes.Find("new"), 2u);
  EXPECT_EQ(now.settings.classes[0], previous.settings.classes[0]);
  EXPECT_EQ(now.settings.classes[1].idempotency, Idempotency::kUnsafe);
  EXPECT_EQ(now.settings.classes[2].priority_weight, 2);
  EXPECT_EQ(now.settings.tenants[0].share, 0.1);
  EXPECT_EQ(now.settings.zone, 1);
  EXPECT_EQ(now.names.zones.Find("south east"), 1u);
  EXPECT_EQ(DescribeChanges(previous, now),
            "class book changed, class new added, class read removed");
  // A retired name is accepted for a while, a current one without a limit.
  EXPECT_FALSE(HasExpired(now.names.classes_expire_at, 0, Time(5'500'000)));
  EXPECT_TRUE(HasExpired(now.names.classes_expire_at, 0, Time(6'200'000)));
  EXPECT_FALSE(HasExpired(now.names.classes_expire_at, 1, Time(1'000'000'000)));
  // A name that is added again gets its old position.
  previous = now;
  const GatewayConfig back = Reload(ConfigText(kSettings));
  EXPECT_EQ(back.names.classes.Find("read"), 0u);
  EXPECT_FALSE(HasExpired(back.names.classes_expire_at, 0, Time(1'000'000'000)));
  EXPECT_TRUE(HasExpired(back.names.classes_expire_at, 2, Time(1'000'000'000)));
}

TEST_F(GatewayConfigReloadTest, RejectsInvalidFileAndReportsFault) {
  EXPECT_EQ(RejectionOf(ConfigText(kSettings)), "");
  EXPECT_NE(RejectionOf(""), "");
  const std::string whole = ConfigText(kSettings);
  for (size_t size = 0; size < whole.size(); size += 7) {
    EXPECT_NE(RejectionOf(whole.substr(0, size)), "");
  }
  const auto expect_error = [&](const std::string& text, const std::string& error) {
    EXPECT_NE(RejectionOf(text).find(error), std::string::npos)
        << error << ": " << RejectionOf(text);
  };
  expect_error(ConfigTextWith(R"("SendCap":3,)", ""), "no 'settings.Allowed.SendCap'");
  expect_error(ConfigTextWith(R"("SendCap":3,)", R"("SendCap":null,)"),
               "no 'settings.Allowed.SendCap'");
  expect_error(ConfigTextWith(R"("Deadline":1000.0,)", ""), "Deadline");
  expect_error(ConfigTextWith(R"("Effect":"safe",)", ""), "no 'settings.Classes.*.Effect'");
  expect_error(ConfigTextWith(R"("seed":"8c1f30d27a5be964",)", ""), "seed");
  expect_error(ConfigTextWith(R"("name":"n1",)", ""), "no 'name'");
  for (const char* const bad : {"0.0", "-5.0", "\"soon\"", "1e300", "[]"}) {
    expect_error(ConfigTextWith(R"("Deadline":1000.0)", std::string(R"("Deadline":)") + bad),
                 "Deadline");
  }
  for (const char* const bad : {"0", "-1", "2.5", "\"many\"", "100000"}) {
    expect_error(ConfigTextWith(R"("SendCap":3)", std::string(R"("SendCap":)") + bad), "SendCap");
  }
  expect_error(ConfigTextWith(R"("Name":"book")", R"("Name":"read")"), "names one twice");
  // Unknown fields may be added.
  EXPECT_EQ(RejectionOf(ConfigTextWith(R"("Me":1)", R"("Me":1,"More":{"x":[1]})")), "");
}

}  // namespace
}  // namespace paddlestile
