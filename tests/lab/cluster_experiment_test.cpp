// Runs the cluster's experiments with real processes: correct gateways keep every rule, and a
// gateway with a fault is reported under the rule that it breaks.
#include <gtest/gtest.h>
#include <sys/wait.h>
#include <unistd.h>

#include <array>
#include <cstdio>
#include <filesystem>
#include <fstream>
#include <nlohmann/json.hpp>
#include <set>
#include <string>

#include "lab/cluster_invariants.h"
#include "lab/exclusion_plan.h"

namespace paddlestile::lab {
namespace {

namespace fs = std::filesystem;
using nlohmann::json;

struct FaultCase {
  const char* experiment;
  const char* gateway;  // fault of the gateway; empty: the unmodified program
  const char* rule;
};
void PrintTo(const FaultCase& fault_case, std::ostream* out) {
  *out << fault_case.experiment << " " << fault_case.gateway;
}

class Bank : public ::testing::TestWithParam<FaultCase> {};

TEST_P(Bank, IsJudgedByItsTerms) {
  const FaultCase& fault_case = GetParam();
  const bool correct = *fault_case.gateway == '\0';
  const std::string path = ::testing::TempDir() + "bank-" + std::to_string(getpid()) + ".json";
  std::string command = std::string(PADDLESTILE_PROGRAM) + " lab run " + PADDLESTILE_SOURCE +
                        "/lab/experiments/" + fault_case.experiment + ".toml --json " + path;
  if (!correct) {
    command +=
        std::string(" --gateway ") + PADDLESTILE_FAULTY_CLUSTER_MEMBER + " " + fault_case.gateway;
  }
  json result;
  // Repeats the run if the machine was too busy for a verdict.
  for (int run = 0; run < 3; ++run) {
    FILE* const pipe = popen((command + " 2>&1").c_str(), "r");  // NOLINT: a fixed program
    std::array<char, 4096> buffer{};
    std::string output;
    while (fgets(buffer.data(), buffer.size(), pipe) != nullptr) {
      output += buffer.data();
    }
    const int status = pclose(pipe);
    std::ifstream file(path);
    result = json::parse(file, nullptr, false);
    ASSERT_FALSE(result.is_discarded()) << output;
    if (result["verdict"] == "void") {
      continue;
    }
    EXPECT_EQ(WEXITSTATUS(status), correct ? 0 : 1) << output;
    break;
  }
  fs::remove(path);
  ASSERT_NE(result["verdict"], "void") << "the machine was too busy three times";
  const json& bank = result["bank"];
  if (correct) {
    EXPECT_EQ(bank["changes_lost"], 0);
    EXPECT_EQ(bank["changes_twice"], 0);
    EXPECT_LE(bank["bound_ms"], 2000);
    EXPECT_LE(bank["contradiction_ms_most"], bank["bound_ms"]);
    return;
  }
  bool reported = false;
  for (const std::string line : result["broken"]) {
    reported = reported || line.starts_with(std::string("bank: ") + fault_case.rule + ": ");
  }
  EXPECT_TRUE(reported) << result["broken"].dump(1);
}

INSTANTIATE_TEST_SUITE_P(
    Experiments, Bank,
    ::testing::Values(FaultCase{"bank-change", "", ""}, FaultCase{"bank-stopped", "", ""},
                      FaultCase{"scale-delta", "", ""}, FaultCase{"scale-delta-return", "", ""},
                      FaultCase{"scale-delta", "misapplies", "contradiction"},
                      FaultCase{"bank-split", "acts-on", "contradiction"},
                      FaultCase{"bank-change", "applies-late", "contradiction"},
                      FaultCase{"bank-change", "takes-twice", "twice"},
                      FaultCase{"bank-return", "forgets", "lost"}));

// ---- Excluded hosts -----------------------------------------------------------------------------

// A host excluded after a link cut was sometimes also excluded by a version from before it. A
// gateway that acted on the old version then sent nothing there and was not detected (`bank-split
// acts-on`, 3 of 48 runs; seed 35: host 6, excluded when the cut began).
TEST(ExclusionPlan, BlocksAndSingleChangesExcludeDisjointHosts) {
  for (const size_t hosts : {3, 4, 5, 12, 37}) {
    for (const size_t at_once : {size_t{1}, ExclusionPlan::RecommendedCount(hosts)}) {
      for (uint64_t seed = 1; seed <= 50; ++seed) {
        const ExclusionPlan plan(hosts, at_once, seed);
        ASSERT_GE(plan.blocks(), 2U);
        std::set<size_t> excluded_in_blocks;
        for (size_t block = 0; block < plan.blocks(); ++block) {
          for (const size_t host : plan.ExcludedInBlock(block)) {
            EXPECT_TRUE(excluded_in_blocks.insert(host).second)
                << hosts << " " << at_once << " " << seed;
          }
        }
        EXPECT_EQ(excluded_in_blocks.size(), plan.blocks() * at_once);
        std::set<size_t> excluded_by_one_change;
        for (size_t n = 0; n < 2 * hosts; ++n) {
          excluded_by_one_change.insert(plan.ExcludedByOneChange(n));
        }
        for (const size_t host : excluded_by_one_change) {
          EXPECT_LT(host, hosts);
          EXPECT_FALSE(excluded_in_blocks.contains(host)) << hosts << " " << at_once << " " << seed;
        }
        EXPECT_EQ(excluded_in_blocks.size() + excluded_by_one_change.size(), hosts);
      }
    }
  }
}

// With one slow host of twelve excluded, the three gateways that acted on an older version sent it
// only 3 of their 1,100 requests and none past the bound, so they were not detected (`bank-split
// acts-on`, seed 1, 10 of 48 concurrent runs).
TEST(ExclusionPlan, ExcludesSeveralHostsAtOnce) {
  for (const size_t hosts : {6, 12, 37}) {
    const ExclusionPlan plan(hosts, ExclusionPlan::RecommendedCount(hosts), 1);
    for (size_t block = 0; block < 5; ++block) {
      EXPECT_GE(plan.ExcludedInBlock(block).size(), hosts / 3) << hosts;
    }
  }
}

TEST(ExclusionPlan, AcceptsFewHosts) {
  for (const size_t hosts : {1, 2, 3}) {
    const ExclusionPlan plan(hosts, ExclusionPlan::RecommendedCount(hosts), 1);
    for (size_t n = 0; n < 9; ++n) {
      for (const size_t host : plan.ExcludedInBlock(n)) {
        EXPECT_LT(host, hosts);
      }
      EXPECT_LT(plan.ExcludedByOneChange(n), hosts);
    }
  }
}

// ---- The invariant checks alone -----------------------------------------------------------------

constexpr Duration kBound{1'000'000}, kSlack{100'000};

struct ClusterInvariants : ::testing::Test {
  ClusterInvariantChecker checker{kBound, kSlack};
  bool Reports(const std::string& rule) {
    for (const std::string& line : checker.Finish(Time(9'000'000), Time(9'000'000)).broken) {
      if (line.starts_with("bank: " + rule)) {
        return true;
      }
    }
    return false;
  }
  static Time At(double s) { return Time(static_cast<int64_t>(s * 1e6)); }
};

TEST_F(ClusterInvariants, OneVersionForTwoChangesIsALostChange) {
  checker.RecordSubmission(At(1), {});
  checker.RecordSubmission(At(1), {});
  checker.RecordAcknowledgement(At(2), 0, 1);
  checker.RecordAcknowledgement(At(2), 1, 1);
  EXPECT_TRUE(Reports("lost"));
}

TEST_F(ClusterInvariants, MoreVersionsThanChangesIsADuplicate) {
  checker.RecordSubmission(At(1), {});
  checker.RecordAcknowledgement(At(2), 0, 2);
  EXPECT_TRUE(Reports("twice"));
}

TEST_F(ClusterInvariants, LaterSubmissionWithLowerVersionIsAnOrderViolation) {
  checker.RecordSubmission(At(1), {});
  checker.RecordAcknowledgement(At(2), 0, 2);
  checker.RecordSubmission(At(3), {});
  checker.RecordAcknowledgement(At(4), 1, 1);
  EXPECT_TRUE(Reports("order"));
}

// A receipt at an excluded host is a violation past the bound, but not within it, not after a
// change without the exclusion was submitted, and not if the gateway may serve while isolated.
TEST_F(ClusterInvariants, ReceiptAtExcludedHostIsAContradictionPastTheBound) {
  for (const auto& [at, readmitted, excused, violation] :
       {std::tuple(2.5, false, false, false), std::tuple(3.5, false, false, true),
        std::tuple(3.5, true, false, false), std::tuple(3.5, false, true, false)}) {
    checker = ClusterInvariantChecker(kBound, kSlack);
    checker.RecordSubmission(At(1), {{7}, {}});
    checker.RecordAcknowledgement(At(2), 0, 1);
    if (readmitted) {
      checker.RecordSubmission(At(3), {});
    }
    checker.RecordReceipt(At(at), 7, 0, 0, At(at), 1, excused, "r");
    checker.RecordReceipt(At(at), 8, 0, 0, At(at), 1, false, "r");
    EXPECT_EQ(Reports("contradiction"), violation) << at << readmitted << excused;
  }
}

TEST_F(ClusterInvariants, SecondAttemptUnderASingleAttemptVersionIsAContradiction) {
  for (const auto& [handed_over, request_class, violation] :
       {std::tuple(3.2, 0, true), std::tuple(2.5, 0, false), std::tuple(3.2, 1, false)}) {
    checker = ClusterInvariantChecker(kBound, kSlack);
    checker.RecordSubmission(At(1), {{}, 0});
    checker.RecordAcknowledgement(At(2), 0, 1);
    checker.RecordReceipt(At(3.5), 7, 0, static_cast<size_t>(request_class), At(handed_over), 1,
                          false, "r");
    checker.RecordReceipt(At(3.6), 7, 0, static_cast<size_t>(request_class), At(handed_over), 2,
                          false, "r");
    EXPECT_EQ(Reports("contradiction"), violation) << handed_over << request_class;
  }
}

}  // namespace
}  // namespace paddlestile::lab
