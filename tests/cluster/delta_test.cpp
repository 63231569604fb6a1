// Tests the application, validation and computation of deltas.
#include "cluster/delta.h"

#include <gtest/gtest.h>

#include <stdexcept>
#include <string>
#include <utility>
#include <vector>

#include "cluster/test_documents.h"
#include "cluster/version_content.h"

namespace paddlestile::cluster {
namespace {

using nlohmann::json;
using testing::CanonicalText;
using testing::RandomDocuments;

std::string TextAfterDelta(const std::string& base, const std::string& delta) {
  return ToText(ApplyDelta(ParseDocument(base), delta));
}

// A delta must change only the parts that it names. Otherwise it would undo other operators'
// changes that were accepted in the meantime.
TEST(ApplyDelta, ChangesOnlyNamedParts) {
  const std::string base =
      R"({"settings":{"Allowed":{"SendCap":2,"MaxRetryAfter":5},"Tenants":[
          {"Name":"b","QuotaPerS":1,"Share":3},{"Name":"a","QuotaPerS":2},{"Name":"c"}]},
          "barred":["h1","h2"],"drain":["h3"],"zone_only":{"h4":"x","h5":"y"}})";
  EXPECT_EQ(TextAfterDelta(base, R"({"settings":{"Allowed":{"SendCap":3},
                        "Tenants":{"b":{"QuotaPerS":9,"Share":null},"c":null,"z":{},"d":{"Share":1}}},
                        "barred":{"add":["h9"],"remove":["h1"]},"drain":{"remove":["h3"]},
                        "zone_only":{"h4":null,"h5":"z","h6":"x"}})"),
            CanonicalText(R"({"settings":{"Allowed":{"SendCap":3,"MaxRetryAfter":5},"Tenants":[
          {"Name":"b","QuotaPerS":9},{"Name":"a","QuotaPerS":2},{"Name":"d","Share":1},
          {"Name":"z"}]},"barred":["h2","h9"],"zone_only":{"h5":"z","h6":"x"}})"));
  // Removing an absent part has no effect, so applying the same delta twice changes nothing more.
  EXPECT_EQ(TextAfterDelta("{}", R"({"settings":{"Odd":null,"Tenants":{"gone":null}},
                              "barred":{"remove":["h"]},"zone_only":{"h":null}})"),
            CanonicalText("{}"));
  EXPECT_EQ(TextAfterDelta(base, "{}"), CanonicalText(base));
  EXPECT_EQ(TextAfterDelta("{}", R"({"replace":{"Odd":{"x":null}}})"),
            CanonicalText(R"({"settings":{"Odd":{"x":null}}})"));
}

// Each error is one line with the key. An invalid delta is refused as a whole, before any gateway
// acts on a part of it.
TEST(ValidateDelta, ReportsEveryError) {
  const auto errors = ValidateDelta(
      R"({"bared":{},"barred":["h"],"drain":{"add":["h",""],"ad":[]},"zone_only":{"h":1},
          "settings":{"Tenants":[],"Classes":{"c":{"Name":"d"},"e":3},"Odd":1},
          "replace":{"Odd":2}})");
  EXPECT_EQ(errors.size(), 9U) << json(errors).dump(1);
  EXPECT_EQ(ValidateDelta(R"({"barred":{"add":["h"],"remove":["h"]}})").size(), 1U);
  for (const char* const text : {"", "[]", "{\"barred\":"}) {
    EXPECT_EQ(ValidateDelta(text).size(), 1U);
  }
  EXPECT_EQ(ValidateDelta(std::string(kMaxDeltaBytes + 1, ' ')).size(), 1U);
  const std::string deep = std::string(40, '[') + std::string(40, ']');
  EXPECT_EQ(ValidateDelta(R"({"settings":{"a":)" + deep + "}}").size(), 1U);
  EXPECT_TRUE(ValidateDelta("{}").empty());
}

// The resulting version is limited in size and validated like one that was submitted whole.
TEST(ApplyDelta, RefusesInvalidResultingVersions) {
  const VersionContent base =
      ParseVersion(R"({"settings":{"A":")" + std::string(kMaxVersionBytes - 1000, 'x') + "\"}}");
  EXPECT_NO_THROW(ApplyDelta(base, R"({"settings":{"B":")" + std::string(200, 'x') + "\"}}"));
  EXPECT_THROW(ApplyDelta(base, R"({"settings":{"B":")" + std::string(2000, 'x') + "\"}}"),
               std::invalid_argument);
  EXPECT_THROW(ApplyDelta({}, R"({"settings":{"Tenants":{"t":{"QuotaPerS":-1}}}})"),
               std::invalid_argument);
  EXPECT_THROW(ApplyDelta({}, R"({"settings":{"Allowed":3}})"), std::invalid_argument);
}

// Every member must get exactly the same text from the delta, or their hashes differ. Covers nulls,
// 3 and 3.0, different orders, empty objects and empty names.
TEST(ComputeDelta, ApplyingItYieldsTheOtherVersion) {
  size_t smaller_deltas = 0;
  for (uint64_t seed = 1; seed <= 4000; ++seed) {
    RandomDocuments documents(seed);
    const ConfigDocument a = documents.Next(), b = seed % 5 == 0 ? a : documents.Next();
    const std::string delta = ComputeDelta(a, b);
    ASSERT_TRUE(ValidateDelta(delta).empty())
        << seed << ": " << ValidateDelta(delta).front() << delta;
    const VersionContent result = ApplyDelta(a, delta);
    ASSERT_EQ(ToText(result), ToText(b)) << seed << ": " << delta;
    ASSERT_EQ(HashOf(result), HashOf(VersionContent(b))) << seed << ": " << delta;
    ASSERT_EQ(TextBytes(result), ToText(b).size()) << seed << ": " << delta;
    // The delta between equal versions is empty.
    if (seed % 5 == 0) {
      ASSERT_EQ(delta, "{}") << seed;
    }
    smaller_deltas += delta.size() < ToText(b).size() ? 1 : 0;
  }
  EXPECT_GT(smaller_deltas, 800U);
}

// The size of a delta depends on the size of the change, not on that of the version.
TEST(ComputeDelta, SizeDependsOnTheChangeOnly) {
  ConfigDocument a;
  for (int i = 0; i < 4000; ++i) {
    a.settings["Tenants"].push_back({{"Name", "t" + std::to_string(i)}, {"QuotaPerS", i}});
  }
  ConfigDocument b = a;
  b.settings["Tenants"][77]["QuotaPerS"] = 9000;
  EXPECT_GT(ToText(b).size(), 100'000U);
  EXPECT_EQ(ComputeDelta(a, b), R"({"settings":{"Tenants":{"t77":{"QuotaPerS":9000}}}})");
}

}  // namespace
}  // namespace paddlestile::cluster
