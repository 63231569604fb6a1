// Experiment files: every fault is named with its line, and the project's own files are good.
#include "lab/experiment.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <filesystem>
#include <string>

#include "config/gateway_config.h"
#include "config/json.h"

namespace paddlestile::lab {
namespace {

std::string FaultsOf(const std::string& text) {
  try {
    ParseExperiment(text, "x.toml");
    return "";
  } catch (const ExperimentError& error) {
    return error.what();
  }
}

const std::string kGood =
    "name = \"x\"\n[load]\nrate = 5\n[[hosts]]\ncount = 2\n[[classes]]\nname = \"a\"\n";

TEST(ExperimentFile, NamesAllThatIsWrongWithItsLine) {
  EXPECT_EQ(FaultsOf(kGood), "");
  const std::string faults = FaultsOf(kGood +
                                      "deadline_ms = \"long\"\n"           // line 8
                                      "[[faults]]\nkind = \"slower\"\n"    // line 10
                                      "[[faults]]\nkind = \"slow\"\n"      // line 11
                                      "[must]\nworth_share_least = 1.5\n"  // line 14
                                      "served = 1\n");                     // line 15
  EXPECT_NE(faults.find("x.toml:8: classes[0].deadline_ms: "), std::string::npos) << faults;
  EXPECT_NE(faults.find("x.toml:10: faults[0].kind: 'slower', expected one of slow, "),
            std::string::npos)
      << faults;
  EXPECT_NE(faults.find("x.toml:11: faults[1].hosts: no host named"), std::string::npos) << faults;
  EXPECT_NE(faults.find("x.toml:14: must.worth_share_least: "), std::string::npos) << faults;
  EXPECT_NE(faults.find("x.toml:15: must.served: unknown key"), std::string::npos) << faults;
}

TEST(ExperimentFile, FaultsOnWhatIsNotThereAreNamed) {
  const auto with = [](const std::string& fault) {
    return FaultsOf(kGood + "[[faults]]\n" + fault);
  };
  EXPECT_NE(with("kind = \"slow\"\nnames = [\"h-3\"]\n").find("no host 'h-3'"), std::string::npos);
  EXPECT_NE(with("kind = \"kill\"\ncount = 3\n").find("3 of 2 hosts"), std::string::npos);
  EXPECT_NE(with("kind = \"gateway-kill\"\ngateway = 1\n").find("no gateway 1"), std::string::npos);
  EXPECT_NE(with("kind = \"gateway-upgrade\"\nfate = \"dies\"\n").find("faults[0].fate: 'dies'"),
            std::string::npos);
  EXPECT_NE(with("kind = \"gateway-term\"\nhup_ms = \"x\"\n").find("faults[0].hup_ms: "),
            std::string::npos);
  EXPECT_EQ(with("kind = \"gateway-term\"\nhup_ms = 5\nsecond_term_ms = 9\n"), "");
  EXPECT_NE(with("kind = \"slow\"\nhosts = 1.0\nzone = \"z\"\n").find("no host in 'z'"),
            std::string::npos);
}

// What a gateway is given must be what the gateway reads: a name that it does not know is ignored.
TEST(ExperimentFile, SettingsAreUnderstoodByTheGateway) {
  Experiment e = ParseExperiment(
      kGood +
          "effect = \"keyed\"\ngroup = \"zone\"\nwindow_ms = 700\naim_ms = 90\ndeadline_ms = 800\n"
          "[rules]\ndrain_grace_s = 0.4\nsend_cap = 2\nfall_s = 0.9\n"
          "[gateway]\ncount = 3\n[gateway.settings.Allowed]\nMostHeld = 17\n",
      "x.toml");
  const Settings s = ParseSettings(FlattenSettings(Json::Parse(SettingsJson(e, 2))));
  EXPECT_EQ(s.instance_index, 2);
  EXPECT_EQ(s.instance_count, 3);
  ASSERT_EQ(s.classes.size(), 1u);
  EXPECT_EQ(s.classes[0].idempotency, Idempotency::kKeyed);
  EXPECT_EQ(s.classes[0].deduplication_scope, DeduplicationScope::kZone);
  EXPECT_EQ(s.classes[0].deduplication_window, Duration(700'000));
  EXPECT_EQ(s.classes[0].latency_objective, Duration(90'000));
  EXPECT_EQ(s.rules.drain_grace, Duration(400'000));
  EXPECT_EQ(s.rules.overload_collapse_duration, Duration(900'000));
  EXPECT_EQ(s.allowed.max_attempts, 2);
  EXPECT_EQ(s.allowed.max_held_requests, 17);
  EXPECT_EQ(s.load_report.source, LoadReportSource::kProbes);
  EXPECT_EQ(s.load_report.latency_ms, 1u);
}

TEST(ExperimentFile, TheProjectsOwnAreGood) {
  size_t files = 0;
  for (const auto& entry :
       std::filesystem::directory_iterator(std::string(PADDLESTILE_SOURCE) + "/lab/experiments")) {
    EXPECT_NO_THROW(ReadExperiment(entry.path().string())) << entry.path();
    ++files;
  }
  EXPECT_GE(files, 10u);
}

}  // namespace
}  // namespace paddlestile::lab
