// Experiment files: each error is reported with its line, and the files in lab/experiments are
// valid.
#include "lab/experiment.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <filesystem>
#include <string>

#include "config/gateway_config.h"
#include "config/json.h"

namespace paddlestile::lab {
namespace {

std::string ErrorsOf(const std::string& text) {
  try {
    ParseExperiment(text, "x.toml");
    return "";
  } catch (const ExperimentError& error) {
    return error.what();
  }
}

const std::string kValidFile =
    "name = \"x\"\n[load]\nrate = 5\n[[hosts]]\ncount = 2\n[[classes]]\nname = \"a\"\n";

TEST(ExperimentFile, ReportsEachErrorWithItsLine) {
  EXPECT_EQ(ErrorsOf(kValidFile), "");
  const std::string errors = ErrorsOf(kValidFile +
                                      "deadline_ms = \"long\"\n"           // line 8
                                      "[[faults]]\nkind = \"slower\"\n"    // line 10
                                      "[[faults]]\nkind = \"slow\"\n"      // line 11
                                      "[must]\nworth_share_least = 1.5\n"  // line 14
                                      "served = 1\n");                     // line 15
  EXPECT_NE(errors.find("x.toml:8: classes[0].deadline_ms: "), std::string::npos) << errors;
  EXPECT_NE(errors.find("x.toml:10: faults[0].kind: 'slower', expected one of slow, "),
            std::string::npos)
      << errors;
  EXPECT_NE(errors.find("x.toml:11: faults[1].hosts: no host selected"), std::string::npos)
      << errors;
  EXPECT_NE(errors.find("x.toml:14: must.worth_share_least: "), std::string::npos) << errors;
  EXPECT_NE(errors.find("x.toml:15: must.served: unknown key"), std::string::npos) << errors;
}

TEST(ExperimentFile, ReportsFaultsOfUnknownHostsGatewaysAndZones) {
  const auto errors_with = [](const std::string& fault) {
    return ErrorsOf(kValidFile + "[[faults]]\n" + fault);
  };
  EXPECT_NE(errors_with("kind = \"slow\"\nnames = [\"h-3\"]\n").find("no host 'h-3'"),
            std::string::npos);
  EXPECT_NE(errors_with("kind = \"kill\"\ncount = 3\n").find("3 of 2 hosts"), std::string::npos);
  EXPECT_NE(errors_with("kind = \"gateway-kill\"\ngateway = 1\n").find("no gateway 1"),
            std::string::npos);
  EXPECT_NE(
      errors_with("kind = \"gateway-upgrade\"\nfate = \"dies\"\n").find("faults[0].fate: 'dies'"),
      std::string::npos);
  EXPECT_NE(errors_with("kind = \"gateway-term\"\nhup_ms = \"x\"\n").find("faults[0].hup_ms: "),
            std::string::npos);
  EXPECT_EQ(errors_with("kind = \"gateway-term\"\nhup_ms = 5\nsecond_term_ms = 9\n"), "");
  EXPECT_NE(errors_with("kind = \"slow\"\nhosts = 1.0\nzone = \"z\"\n").find("no host in 'z'"),
            std::string::npos);
}

// The generated settings must use the names that the gateway reads: it ignores a name that it does
// not know.
TEST(ExperimentFile, GatewayReadsGeneratedSettings) {
  Experiment experiment = ParseExperiment(
      kValidFile +
          "effect = \"keyed\"\ngroup = \"zone\"\nwindow_ms = 700\naim_ms = 90\ndeadline_ms = 800\n"
          "[rules]\ndrain_grace_s = 0.4\nsend_cap = 2\nfall_s = 0.9\n"
          "[gateway]\ncount = 3\n[gateway.settings.Allowed]\nMostHeld = 17\n",
      "x.toml");
  const Settings settings =
      ParseSettings(FlattenSettings(Json::Parse(SettingsJson(experiment, 2))));
  EXPECT_EQ(settings.instance_index, 2);
  EXPECT_EQ(settings.instance_count, 3);
  ASSERT_EQ(settings.classes.size(), 1u);
  EXPECT_EQ(settings.classes[0].idempotency, Idempotency::kKeyed);
  EXPECT_EQ(settings.classes[0].deduplication_scope, DeduplicationScope::kZone);
  EXPECT_EQ(settings.classes[0].deduplication_window, Duration(700'000));
  EXPECT_EQ(settings.classes[0].latency_objective, Duration(90'000));
  EXPECT_EQ(settings.rules.drain_grace, Duration(400'000));
  EXPECT_EQ(settings.rules.overload_collapse_duration, Duration(900'000));
  EXPECT_EQ(settings.allowed.max_attempts, 2);
  EXPECT_EQ(settings.allowed.max_held_requests, 17);
  EXPECT_EQ(settings.load_report.source, LoadReportSource::kProbes);
  EXPECT_EQ(settings.load_report.latency_ms, 1u);
}

TEST(ExperimentFile, FilesOfTheProjectAreValid) {
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
