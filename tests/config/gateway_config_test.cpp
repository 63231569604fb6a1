#include "config/gateway_config.h"

#include <gtest/gtest.h>
#include <unistd.h>

#include <algorithm>
#include <cstdio>
#include <fstream>
#include <map>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>

#include "simulator/protocol.h"

namespace paddlestile {
namespace {

const std::string kSettings =
    R"({"Me":1,"NInstances":3,"Zone":1,"FailureDomains":["north","south east"],)"
    R"("Kinds":["big","small"],"Classes":[)"
    R"({"Name":"read","Effect":"safe","Slo":400.0,"Deadline":1000.0,"Worth":1.0},)"
    R"({"Name":"book","Effect":"keyed","Group":"all","Window":1500.0,"Slo":300.0,"Deadline":900.0}],)"
    R"("Tenants":[{"Name":"t one","Share":0.5},{"Name":"two","Share":0.5}],)"
    R"("Allowed":{"Probes":true,"SendCap":3,"ConnectTimeout":250.0,"IdleClose":60000.0},)"
    R"("Stats":{"Source":"probe","Fields":["inflight","latency_ms"]},)"
    R"("Obligations":{"ColdFrom":0.3},"SomethingNew":{"Deep":[{"x":1}]},"Nothing":null})";

std::string File(const std::string& settings, const std::string& members = "[]") {
  return R"({"name":"n1","seed":"8c1f30d27a5be964","limits":{"sockets":512},"known":)"
         R"({"revision":41,"complete":true,"members":)" +
         members + R"(},"settings":)" + settings + "}";
}

class ConfigFile : public ::testing::Test {
 protected:
  void Write(const std::string& text) {
    std::ofstream(path_, std::ios::binary) << text;
    env_["LB_CONFIG"] = path_;
  }
  GatewayConfig Read() {
    return ReadGatewayConfig(
        [this](const char* name) {
          const auto at = env_.find(name);
          return at == env_.end() ? nullptr : at->second.c_str();
        },
        [](double ms) { return Time(static_cast<int64_t>(ms)); });
  }
  std::string Error() {
    try {
      Read();
      return "";
    } catch (const ConfigError& error) {
      return error.what();
    }
  }
  void TearDown() override { std::remove(path_.c_str()); }

  std::string path_ =
      ::testing::TempDir() + "paddlestile-config-" + std::to_string(getpid()) + ".json";
  std::map<std::string, std::string> env_{
      {"LB_NAME", "n1"}, {"LB_LISTEN", "127.0.0.4:5000"}, {"LB_DISCOVERY", "127.0.0.9:8500"}};
};

TEST_F(ConfigFile, ReadsAllThatItIsTold) {
  Write(File(kSettings,
             R"([{"id":"h1","host_port":"127.0.0.2:80","locality":"south east","flavor":"small",)"
             R"("cell":3,"phase":"active","size":1.5,"up_since_ms":7,"extra":{}}])"));
  const GatewayConfig c = Read();
  EXPECT_EQ(c.name, "n1");
  EXPECT_EQ(ToText(c.listen), "127.0.0.4:5000");
  EXPECT_EQ(ToText(c.discovery), "127.0.0.9:8500");
  EXPECT_EQ(c.seed, 0x8c1f30d27a5be964u);
  EXPECT_EQ(c.max_sockets, 512u);
  EXPECT_EQ(c.endpoint_idle_timeout, Duration(60'000'000));
  EXPECT_EQ(c.settings.instance_count, 3);
  ASSERT_EQ(c.settings.classes.size(), 2u);
  EXPECT_EQ(c.settings.classes[1].idempotency, Idempotency::kKeyed);
  EXPECT_EQ(c.settings.classes[1].deduplication_window, Duration(1'500'000));
  EXPECT_EQ(c.settings.load_report.latency_ms, 1u);
  EXPECT_EQ(c.names.classes.Find("book"), 1u);
  EXPECT_EQ(c.names.tenants.Find("t one"), 0u);
  EXPECT_EQ(c.names.tenants.Find("three"), 2u);
  EXPECT_EQ(c.names.report_fields, (std::vector<std::string>{"inflight", "latency_ms"}));
  ASSERT_EQ(c.initial_endpoints.endpoints.size(), 1u);
  const EndpointListEntry& host = c.initial_endpoints.endpoints[0];
  EXPECT_EQ(host.info.zone, 1);
  EXPECT_EQ(host.info.machine_kind, 1u);
  EXPECT_EQ(host.info.cell, 3);
  EXPECT_EQ(host.info.started_at, Time(7));
  EXPECT_EQ(ToText(host.address), "127.0.0.2:80");
}

// The wire owns the names of the settings; the file's nesting comes out as its pairs.
TEST_F(ConfigFile, NestedSettingsMeanWhatTheWireMeans) {
  const Settings wire = simulator::ParseSettings(
      "Me=1 NInstances=3 Zone=1 FailureDomains=north,south_east Classes.count=2 "
      "Classes.0.Effect=safe Classes.0.Slo=400 Classes.0.Deadline=1000 Classes.1.Effect=keyed "
      "Classes.1.Group=all Classes.1.Window=1500 Classes.1.Slo=300 Classes.1.Deadline=900 "
      "Allowed.Probes=true Allowed.SendCap=3");
  const Settings nested = simulator::ParseSettings(FlattenSettings(Json::Parse(kSettings)));
  EXPECT_EQ(nested.instance_index, wire.instance_index);
  EXPECT_EQ(nested.zone_count, wire.zone_count);
  EXPECT_EQ(nested.zone, wire.zone);
  EXPECT_EQ(nested.allowed.probes, wire.allowed.probes);
  EXPECT_EQ(nested.allowed.max_attempts, wire.allowed.max_attempts);
  EXPECT_EQ(nested.classes[0].latency_objective, wire.classes[0].latency_objective);
  EXPECT_EQ(nested.classes[1].deadline, wire.classes[1].deadline);
}

// The nines of the result and warm keys: read, checked, and absent as padana's files leave them.
TEST_F(ConfigFile, SettingsOfTheNewShapeAreCheckedAndDefaultToTheOld) {
  const auto with = [](const std::string& more) {
    return "{" + more + "," + kSettings.substr(1);
  };
  Write(File(kSettings));
  EXPECT_FALSE(Read().settings.key_affinity);
  EXPECT_EQ(Read().settings.score_weights.nines, 0);
  Write(File(with(R"("FamilyInfo":{"WarmKeys":true},"ResultMix":{"NinesPart":0.2,"TopNines":3})")));
  EXPECT_TRUE(Read().settings.key_affinity);
  EXPECT_EQ(Read().settings.score_weights.nines, 0.2);
  EXPECT_EQ(Read().settings.score_weights.top_nines, 3);
  const std::pair<std::string, std::string> wrong[] = {
      {R"({"NinesPart":-0.2,"TopNines":3})",
       "bad ResultMix.NinesPart '-0.200000', expected 0 or more"},
      {R"({"NinesPart":"much","TopNines":3})", "bad ResultMix.NinesPart 'much', expected a number"},
      {R"({"NinesPart":0.2})", "expected ResultMix.TopNines beside it"},
      {R"({"TopNines":0})", "bad ResultMix.TopNines '0.000000', expected a number above 0"}};
  for (const auto& [mix, what] : wrong) {
    Write(File(with(R"("ResultMix":)" + mix)));
    EXPECT_NE(Error().find(what), std::string::npos) << Error();
    const auto faults = ValidateGatewayConfig(path_);
    ASSERT_EQ(faults.size(), 1u) << mix;
    EXPECT_NE(faults[0].find(what), std::string::npos) << faults[0];
  }
}

// What sockets cannot do is told, never silently taken.
TEST_F(ConfigFile, WhatSocketsDoNotCarryOutIsNamed) {
  Settings settings;
  EXPECT_TRUE(UnsupportedSettings(settings).empty());
  settings.allowed.peer_messages = true;
  settings.allowed.max_streams = 8;
  ASSERT_EQ(UnsupportedSettings(settings).size(), 2u);
  EXPECT_NE(UnsupportedSettings(settings)[0].find("Allowed.PeerMessages"), std::string::npos);
  EXPECT_NE(UnsupportedSettings(settings)[1].find("Allowed.MaxStreams"), std::string::npos);
}

TEST_F(ConfigFile, NamesEachMissingOrMalformedVariable) {
  Write(File(kSettings));
  for (const char* const name : {"LB_NAME", "LB_LISTEN", "LB_DISCOVERY", "LB_CONFIG"}) {
    const std::string held = env_[name];
    env_.erase(name);
    EXPECT_EQ(Error(), std::string(name) + " is not set");
    env_[name] = held;
  }
  for (const char* const bad : {"here:5000", "127.0.0.1", "127.0.0.1:", "127.0.0.1:0",
                                "127.0.0.1:65536", "127.0.0.1:x", "1.2.3:5"}) {
    env_["LB_LISTEN"] = bad;
    EXPECT_EQ(Error().substr(0, 10), "LB_LISTEN:") << bad;
  }
}

TEST_F(ConfigFile, NamesWhatIsWrongWithTheFile) {
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
  EXPECT_NE(error_of(File(R"({"NInstances":"many"})")).find("NInstances"), std::string::npos);
  EXPECT_NE(error_of(File(kSettings, R"([{"id":"a","phase":"active"}])")).find("host_port"),
            std::string::npos);
  EXPECT_NE(error_of(File(kSettings, R"([{"id":"a","host_port":"x","phase":"active"}])"))
                .find("no address"),
            std::string::npos);
}

// Settings that make no sense: one line with the file, the key and what was expected, and none of
// them starts a gateway.
TEST_F(ConfigFile, SettingsThatMakeNoSenseAreNamed) {
  const std::string good = R"({"Name":"a","Effect":"safe","Slo":400.0,"Deadline":900.0})";
  const auto classes = [](const std::string& items, const std::string& more = "") {
    return R"({"Classes":[)" + items + R"(],"Allowed":{"SendCap":3})" + more + "}";
  };
  const auto with = [&](const std::string& change) {
    return classes(good + R"(,{"Name":"b","Effect":"keyed","Slo":400.0,"Deadline":900.0,)" +
                   change + "}");
  };
  const std::vector<std::pair<std::string, std::string>> cases = {
      {classes(R"({"Name":"a","Effect":"safe","Slo":400.0})"),
       "setting out of range: Classes.0.Deadline, expected over 0 and an hour at most"},
      {classes(R"({"Name":"a","Slo":-1.0,"Deadline":900.0})"),
       "setting out of range: Classes.0.Slo, expected over 0 and an hour at most"},
      {classes(""), "setting out of range: Classes, expected one at the least"},
      {with(R"("Window":-5.0)"), "setting out of range: Classes.1.Window, expected 0 or more"},
      {with(R"("Worth":-1.0)"), "setting out of range: Classes.1.Worth, expected 0 or more"},
      {classes(R"({"Name":"a","Effect":"perhaps","Slo":400.0,"Deadline":900.0})"),
       "bad Classes.0.Effect 'perhaps', expected one of safe, keyed, unsafe"},
      {classes(good + "," + good), "'settings.Classes' names one twice, expected each once"},
      {classes(good, R"(,"Tenants":[{"Name":"t","Share":0.5},{"Name":"t","Share":0.5}])"),
       "'settings.Tenants' names one twice, expected each once"},
      {classes(good, R"(,"Tenants":[{"Name":"t","Share":-0.5}])"),
       "setting out of range: Tenants.0.Share, expected 0 or more"},
      {R"({"Classes":[)" + good + R"(],"Allowed":{"SendCap":0}})",
       "setting out of range: Allowed.SendCap, expected 1 to 1000"},
      {R"({"Classes":[)" + good + R"(],"Allowed":{"SendCap":3,"ConnectTimeout":-1.0}})",
       "setting out of range: Allowed.ConnectTimeout, expected 0 or more"},
  };
  for (const auto& [settings, told] : cases) {
    Write(File(settings));
    EXPECT_EQ(Error(), "LB_CONFIG: " + path_ + ": " + told);
  }
  Write(File(classes(good)));
  EXPECT_EQ(Error(), "");
}

TEST_F(ConfigFile, EveryTruncatedFileIsRefused) {
  const std::string whole = File(kSettings);
  for (size_t size = 0; size < whole.size(); size += 7) {
    Write(whole.substr(0, size));
    EXPECT_NE(Error(), "") << size;
  }
}

// A name twice in a list must not move the places of those behind it.
TEST(NameTable, KeepsPlacesBehindARepeatedName) {
  NameTable table;
  for (const char* const name : {"a", "b", "a", "c"})
    table.Add(name);
  EXPECT_EQ(table.Find("a"), 0u);
  EXPECT_EQ(table.Find("c"), 3u);
  EXPECT_EQ(table.size(), 4u);
  EXPECT_EQ(table.Find("d"), 4u);
}

TEST(HostList, PhasesAndUnknownNames) {
  NameTables names;
  names.zones.Add("a");
  names.kinds.Add("k");
  const EndpointList list = ParseEndpointList(
      Json::Parse(R"({"revision":5,"members":[)"
                  R"({"id":"1","host_port":"127.0.0.1:1","phase":"leaving","locality":"a"},)"
                  R"({"id":"2","host_port":"127.0.0.1:1","phase":"resting","locality":"zz"},)"
                  R"({"id":"3","phase":"left","flavor":"new"}]})"),
      names, [](double) { return Time(0); });
  EXPECT_FALSE(list.complete);
  ASSERT_EQ(list.endpoints.size(), 3u);
  EXPECT_EQ(list.endpoints[0].info.state, EndpointState::kDraining);
  // A phase that nobody knows here is none that asks for work.
  EXPECT_EQ(list.endpoints[1].info.state, EndpointState::kDraining);
  EXPECT_EQ(list.endpoints[1].info.zone, 1);  // in no zone of ours
  EXPECT_EQ(list.endpoints[2].info.state, EndpointState::kRemoved);
  EXPECT_EQ(list.endpoints[2].info.machine_kind, 1u);
}

// `check` names all that is wrong at once, with the line of what is no JSON.
TEST_F(ConfigFile, CheckNamesEveryFault) {
  Write(File(kSettings));
  EXPECT_TRUE(ValidateGatewayConfig(path_).empty());
  Write(R"({"seed":"1","discovery":"here","known":{"revision":1,"members":[{"id":"a"},)"
        R"({"id":"b","phase":"active"}]},"settings":{"NInstances":"many",)"
        R"("Classes":[{"Name":"a","Effect":"maybe","Slo":1,"Deadline":"x"}]}})");
  const auto faults = ValidateGatewayConfig(path_);
  const auto named = [&](const std::string& part) {
    return std::ranges::any_of(faults,
                               [&](const std::string& f) { return f.find(part) != f.npos; });
  };
  EXPECT_TRUE(named("discovery: no address and port: 'here'"));
  EXPECT_TRUE(named("NInstances 'many', expected a number"));
  EXPECT_TRUE(named("Classes.0.Effect 'maybe', expected one of safe, keyed, unsafe"));
  EXPECT_TRUE(named("Classes.0.Deadline 'x', expected a number"));
  EXPECT_TRUE(named("known.members.0: 'phase' is missing"));
  EXPECT_TRUE(named("known.members.1: no 'host_port'"));
  Write("{\n\"seed\":\n\n}");
  ASSERT_EQ(ValidateGatewayConfig(path_).size(), 1u);
  EXPECT_EQ(ValidateGatewayConfig(path_)[0].substr(0, 7), "line 4:");
  EXPECT_EQ(ValidateGatewayConfig("/no/such").size(), 1u);
}

// Where operators call: the variable goes before the file, and neither is needed.
TEST_F(ConfigFile, TheAdminAddressComesFromTheVariableElseTheFile) {
  Write(File(kSettings));
  EXPECT_FALSE(Read().admin);
  std::string text = File(kSettings);
  Write(text.insert(1, R"("admin":"127.0.0.4:6000",)"));
  ASSERT_TRUE(Read().admin);
  EXPECT_EQ(ToText(*Read().admin), "127.0.0.4:6000");
  env_["LB_ADMIN"] = "127.0.0.4:6001";
  EXPECT_EQ(ToText(*Read().admin), "127.0.0.4:6001");
  env_["LB_ADMIN"] = "here";
  EXPECT_EQ(Error(), "LB_ADMIN: no address and port: 'here'");
  env_.erase("LB_ADMIN");
  Write(File(kSettings).insert(1, R"("admin":"there",)"));
  EXPECT_NE(Error().find("'admin'"), std::string::npos);
}

// ---- Read again ------------------------------------------------------------------------------

class ReadAgainTest : public ConfigFile {
 protected:
  void SetUp() override {
    Write(File(kSettings));
    was = Read();
  }
  // The file with a part of it replaced.
  static std::string With(const std::string& from, const std::string& to) {
    std::string text = File(kSettings);
    const size_t at = text.find(from);
    EXPECT_NE(at, std::string::npos) << from;
    return text.replace(at, from.size(), to);
  }
  GatewayConfig Again(const std::string& text) {
    Write(text);
    return ReloadGatewayConfig(was, Time(5'000'000),
                               [](double ms) { return Time(static_cast<int64_t>(ms)); });
  }
  std::string Refused(const std::string& text) {
    try {
      Again(text);
      return "";
    } catch (const ConfigError& error) {
      return error.what();
    }
  }
  GatewayConfig was;
};

// The trouble: classes are told to the module by place. In a file of another order each request
// would have become one of another class, and what was learned another's.
TEST_F(ReadAgainTest, NamesKeepTheirPlaces) {
  const std::string classes =
      R"({"Name":"new","Effect":"unsafe","Slo":100.0,"Deadline":500.0,"Worth":2.0},)"
      R"({"Name":"book","Effect":"unsafe","Slo":200.0,"Deadline":900.0}],"Tenants":)"
      R"([{"Name":"two","Share":0.9},{"Name":"t one","Share":0.1}])";
  std::string text = File(kSettings);
  const size_t from = text.find(R"({"Name":"read")"), to = text.find(R"(,"Allowed")");
  text.replace(from, to - from, classes);
  text.replace(text.find(R"(["north","south east"])"), 22, R"(["south east","north"])");
  text.replace(text.find(R"("Zone":1)"), 8, R"("Zone":0)");
  const GatewayConfig now = Again(text);
  EXPECT_EQ(now.names.classes.Find("read"), 0u);
  EXPECT_EQ(now.names.classes.Find("book"), 1u);
  EXPECT_EQ(now.names.classes.Find("new"), 2u);
  EXPECT_EQ(now.settings.classes[0], was.settings.classes[0]);
  EXPECT_EQ(now.settings.classes[1].idempotency, Idempotency::kUnsafe);
  EXPECT_EQ(now.settings.classes[2].priority_weight, 2);
  EXPECT_EQ(now.settings.tenants[0].share, 0.1);
  EXPECT_EQ(now.settings.zone, 1);
  EXPECT_EQ(now.names.zones.Find("south east"), 1u);
  EXPECT_EQ(DescribeChanges(was, now), "class book changed, class new new, class read gone");
  // What has gone is taken a little longer; what is there, for good.
  EXPECT_FALSE(HasExpired(now.names.classes_expire_at, 0, Time(5'500'000)));
  EXPECT_TRUE(HasExpired(now.names.classes_expire_at, 0, Time(6'200'000)));
  EXPECT_FALSE(HasExpired(now.names.classes_expire_at, 1, Time(1'000'000'000)));
  // And comes back to its place.
  was = now;
  const GatewayConfig back = Again(File(kSettings));
  EXPECT_EQ(back.names.classes.Find("read"), 0u);
  EXPECT_FALSE(HasExpired(back.names.classes_expire_at, 0, Time(1'000'000'000)));
  EXPECT_TRUE(HasExpired(back.names.classes_expire_at, 2, Time(1'000'000'000)));
}

// ---- The bank's rules over the file -----------------------------------------------------------

class UnderRules : public ReadAgainTest {
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

// What a version changes is worked out from the one before: it must be what working out the whole
// of it gives, whatever came before it, in whatever order.
TEST_F(UnderRules, AChangeMakesWhatTheWholeMakes) {
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
  const VersionedSettings file(was);
  std::optional<cluster::VersionContent> before;
  for (const char* const from : versions) {
    for (const char* const to : versions) {
      for (const bool strict : {false, true}) {
        for (const char* const text : {from, to}) {
          cluster::VersionContent rules = Of(text);
          rules.strict = strict;
          const GatewayConfig whole = file.ApplyVersion(rules, was, nullptr, kNow);
          const GatewayConfig now =
              file.ApplyVersion(rules, was, before ? &*before : nullptr, kNow);
          SCOPED_TRACE(std::string(from) + " to " + to);
          ExpectSame(now, whole);
          EXPECT_EQ(now.settings.allowed.max_attempts == 1, strict);
          was = now;
          before = rules;
        }
      }
    }
  }
}

// A gateway that reads all of its settings again for one tenant's quota stands for all tenants.
TEST_F(UnderRules, AChangeOfATenantLooksAtThatTenantAlone) {
  const VersionedSettings file(was);
  const cluster::VersionContent a =
      Of(R"({"settings":{"Tenants":[{"Name":"t one","QuotaPerS":5},{"Name":"two"}]}})");
  const cluster::VersionContent b =
      Of(R"({"settings":{"Tenants":[{"Name":"t one","QuotaPerS":6},{"Name":"two"}]}})");
  GatewayConfig now = file.ApplyVersion(a, was, nullptr, kNow);
  now.settings.tenants[1].requests_per_second = 77;  // as no version says: seen to be left alone
  const GatewayConfig next = file.ApplyVersion(b, now, &a, kNow);
  EXPECT_EQ(next.settings.tenants[0].requests_per_second, 6);
  EXPECT_EQ(next.settings.tenants[1].requests_per_second, 77);
  EXPECT_EQ(file.ApplyVersion(b, now, nullptr, kNow).settings.tenants[1].requests_per_second, 0);
  // What makes no sense is refused by this way as by the other.
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

// More names than any two versions have at once: places of those that are gone stay for requests
// that have them, and without a bound a gateway that runs for months would hold all there ever
// were. By the count of all names, as it was, 1,100 tenants could be started with and never
// changed.
TEST_F(UnderRules, NamesThatAreGoneAreBoundedAndThoseThatAreThereAreNot) {
  const auto named = [&](size_t from, size_t count) {
    nlohmann::json settings;
    for (size_t i = from; i < from + count; ++i) {
      settings["Tenants"].push_back({{"Name", "n" + std::to_string(i)}, {"Share", 0.1}});
    }
    return Of(nlohmann::json{{"settings", settings}}.dump());
  };
  const VersionedSettings file(was);
  was = file.ApplyVersion(named(0, 3000), was, nullptr, kNow);
  EXPECT_GE(was.names.tenants.size(), 3000u);
  const GatewayConfig some = file.ApplyVersion(named(1000, 3000), was, nullptr, kNow);
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
    // Any may go, as that takes no room, and who comes back makes some.
    EXPECT_NO_THROW(static_cast<void>(with(named(3999, 1))));
    EXPECT_NO_THROW(static_cast<void>(with(named(0, 4000))));
  }
  // Back to the file's own, as where a version cannot be acted on: no new name stands in its way.
  EXPECT_EQ(Refused(File(kSettings)), "");
}

// A copy of the names is theirs alone once either changes.
TEST(NameTable, CopiesShareUntilOneChanges) {
  NameTable a;
  a.Add("x");
  NameTable b = a;
  EXPECT_EQ(&a.positions(), &b.positions());
  b.Add("y");
  EXPECT_EQ(a.Find("y"), a.size());
  EXPECT_EQ(b.Find("y"), 1u);
  a.Add("z");
  EXPECT_EQ(b.Find("z"), b.size());
  EXPECT_EQ(a.size(), 2u);
}

// The list of hosts that the file holds is none of a version's: 99,000 of them were read, and their
// text kept, with each.
TEST_F(UnderRules, TheFilesHostsAreNotReadAgain) {
  Write(File(kSettings, R"([{"id":"h1","host_port":"127.0.0.2:80","phase":"active"}])"));
  const GatewayConfig file = Read();
  ASSERT_EQ(file.initial_endpoints.endpoints.size(), 1u);
  const GatewayConfig now = VersionedSettings(file).ApplyVersion({}, file, nullptr, kNow);
  EXPECT_TRUE(now.initial_endpoints.endpoints.empty());
  EXPECT_TRUE(now.file_text.empty());
  EXPECT_EQ(now.settings.classes, file.settings.classes);
}

TEST_F(ReadAgainTest, ABrokenFileIsRefusedWithWhatWasExpected) {
  EXPECT_EQ(Refused(File(kSettings)), "");
  EXPECT_NE(Refused(""), "");
  const std::string whole = File(kSettings);
  for (size_t size = 0; size < whole.size(); size += 7)
    EXPECT_NE(Refused(whole.substr(0, size)), "");
  const auto expect = [&](const std::string& text, const std::string& says) {
    EXPECT_NE(Refused(text).find(says), std::string::npos) << says << ": " << Refused(text);
  };
  expect(With(R"("SendCap":3,)", ""), "no 'settings.Allowed.SendCap'");
  expect(With(R"("SendCap":3,)", R"("SendCap":null,)"), "no 'settings.Allowed.SendCap'");
  expect(With(R"("Deadline":1000.0,)", ""), "Deadline");
  expect(With(R"("Effect":"safe",)", ""), "no 'settings.Classes.*.Effect'");
  expect(With(R"("seed":"8c1f30d27a5be964",)", ""), "seed");
  expect(With(R"("name":"n1",)", ""), "no 'name'");
  for (const char* const bad : {"0.0", "-5.0", "\"soon\"", "1e300", "[]"}) {
    expect(With(R"("Deadline":1000.0)", std::string(R"("Deadline":)") + bad), "Deadline");
  }
  for (const char* const bad : {"0", "-1", "2.5", "\"many\"", "100000"}) {
    expect(With(R"("SendCap":3)", std::string(R"("SendCap":)") + bad), "SendCap");
  }
  expect(With(R"("Name":"book")", R"("Name":"read")"), "names one twice");
  // Fields that nobody knows come as they like; the file is that of the check on the command line.
  EXPECT_EQ(Refused(With(R"("Me":1)", R"("Me":1,"More":{"x":[1]})")), "");
}

}  // namespace
}  // namespace paddlestile
