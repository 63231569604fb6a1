// What a delta makes of a version, which deltas are refused, and the delta between two versions.
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

std::string TextAfter(const std::string& base, const std::string& delta) {
  return ToText(ApplyDelta(ParseDocument(base), delta));
}

// Each part is set and removed alone: one that touched its neighbours would undo what others agreed
// on meanwhile.
TEST(ApplyDelta, SetsAndRemovesPartsAlone) {
  const std::string base =
      R"({"settings":{"Allowed":{"SendCap":2,"MaxRetryAfter":5},"Tenants":[
          {"Name":"b","QuotaPerS":1,"Share":3},{"Name":"a","QuotaPerS":2},{"Name":"c"}]},
          "barred":["h1","h2"],"drain":["h3"],"zone_only":{"h4":"x","h5":"y"}})";
  EXPECT_EQ(TextAfter(base, R"({"settings":{"Allowed":{"SendCap":3},
                        "Tenants":{"b":{"QuotaPerS":9,"Share":null},"c":null,"z":{},"d":{"Share":1}}},
                        "barred":{"add":["h9"],"remove":["h1"]},"drain":{"remove":["h3"]},
                        "zone_only":{"h4":null,"h5":"z","h6":"x"}})"),
            CanonicalText(R"({"settings":{"Allowed":{"SendCap":3,"MaxRetryAfter":5},"Tenants":[
          {"Name":"b","QuotaPerS":9},{"Name":"a","QuotaPerS":2},{"Name":"d","Share":1},
          {"Name":"z"}]},"barred":["h2","h9"],"zone_only":{"h5":"z","h6":"x"}})"));
  // What is not there and is removed changes nothing: the same delta twice is the same version.
  EXPECT_EQ(TextAfter("{}", R"({"settings":{"Odd":null,"Tenants":{"gone":null}},
                              "barred":{"remove":["h"]},"zone_only":{"h":null}})"),
            CanonicalText("{}"));
  EXPECT_EQ(TextAfter(base, "{}"), CanonicalText(base));
  EXPECT_EQ(TextAfter("{}", R"({"replace":{"Odd":{"x":null}}})"),
            CanonicalText(R"({"settings":{"Odd":{"x":null}}})"));
}

// A line each with its key: an operator's delta is refused before any gateway acts on half of it.
TEST(ValidateDelta, NamesEveryFault) {
  const auto faults = ValidateDelta(
      R"({"bared":{},"barred":["h"],"drain":{"add":["h",""],"ad":[]},"zone_only":{"h":1},
          "settings":{"Tenants":[],"Classes":{"c":{"Name":"d"},"e":3},"Odd":1},
          "replace":{"Odd":2}})");
  EXPECT_EQ(faults.size(), 9U) << json(faults).dump(1);
  EXPECT_EQ(ValidateDelta(R"({"barred":{"add":["h"],"remove":["h"]}})").size(), 1U);
  for (const char* const text : {"", "[]", "{\"barred\":"}) {
    EXPECT_EQ(ValidateDelta(text).size(), 1U);
  }
  EXPECT_EQ(ValidateDelta(std::string(kMaxDeltaBytes + 1, ' ')).size(), 1U);
  const std::string deep = std::string(40, '[') + std::string(40, ']');
  EXPECT_EQ(ValidateDelta(R"({"settings":{"a":)" + deep + "}}").size(), 1U);
  EXPECT_TRUE(ValidateDelta("{}").empty());
}

// The version that comes of it is bounded and checked like one that was submitted whole.
TEST(ApplyDelta, MakesNoVersionThatIsRefusedWhole) {
  const VersionContent base =
      ParseVersion(R"({"settings":{"A":")" + std::string(kMaxVersionBytes - 1000, 'x') + "\"}}");
  EXPECT_NO_THROW(ApplyDelta(base, R"({"settings":{"B":")" + std::string(200, 'x') + "\"}}"));
  EXPECT_THROW(ApplyDelta(base, R"({"settings":{"B":")" + std::string(2000, 'x') + "\"}}"),
               std::invalid_argument);
  EXPECT_THROW(ApplyDelta({}, R"({"settings":{"Tenants":{"t":{"QuotaPerS":-1}}}})"),
               std::invalid_argument);
  EXPECT_THROW(ApplyDelta({}, R"({"settings":{"Allowed":3}})"), std::invalid_argument);
}

// Every member makes the very text of the version out of the delta, or hashes part: nulls, 3 and
// 3.0, another order, empty objects and names.
TEST(ComputeDelta, MakesTheOneVersionOfTheOther) {
  size_t smaller = 0;
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
    // Of the same two nothing is left to do.
    if (seed % 5 == 0) {
      ASSERT_EQ(delta, "{}") << seed;
    }
    smaller += delta.size() < ToText(b).size() ? 1 : 0;
  }
  EXPECT_GT(smaller, 800U);
}

// A delta has the size of the change, whatever the version's: that is what it is for.
TEST(ComputeDelta, IsAsLargeAsTheChange) {
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
