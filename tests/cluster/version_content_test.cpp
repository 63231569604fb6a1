// Tests the text, size and hash of a version's content, and the cost of changing it.
#include "cluster/version_content.h"

#include <gtest/gtest.h>

#include <string>

#include "cluster/test_costs.h"

namespace paddlestile::cluster {
namespace {

using testing::LeastMicroseconds;
using testing::TenantName;
using testing::TenantQuotas;

// The hash depends on each part of a version's content, but not on the order of its lists. Members
// that arrived at the same content by different changes must have the same hash.
TEST(VersionContent, HashDependsOnAllPartsButNotOnOrder) {
  const std::string texts[] = {
      "{}",
      R"({"barred":["h"]})",
      R"({"drain":["h"]})",
      R"({"zone_only":{"h":"z"}})",
      R"({"settings":{"Tenants":[]}})",
      R"({"settings":{"Classes":[]}})",
      R"({"settings":{"Odd":[]}})",
      R"({"settings":{"Tenants":[{"Name":"a"},{"Name":"b"}]}})",
      R"({"settings":{"Classes":[{"Name":"a"},{"Name":"b"}]}})",
      R"({"settings":{"Tenants":[{"Name":"a","QuotaPerS":1},{"Name":"b"}]}})",
      R"({"settings":{"Tenants":[{"Name":"a","QuotaPerS":1.0},{"Name":"b"}]}})"};
  for (const std::string& a : texts) {
    for (const std::string& b : texts) {
      EXPECT_EQ(
          HashOf(VersionContent(ParseDocument(a))) == HashOf(VersionContent(ParseDocument(b))),
          a == b)
          << a << b;
    }
    const VersionContent content = ParseDocument(a);
    EXPECT_EQ(TextBytes(content), ToText(content).size());
    EXPECT_EQ(ToText(content), ToText(ParseDocument(a)));
    EXPECT_EQ(ToText(content.ToDocument()), ToText(content));
  }
  const VersionContent reordered =
      ParseDocument(R"({"settings":{"Tenants":[{"Name":"b"},{"QuotaPerS":1,"Name":"a"}]}})");
  EXPECT_EQ(HashOf(reordered), HashOf(VersionContent(ParseDocument(texts[9]))));
  EXPECT_NE(ToText(reordered), ToText(ParseDocument(texts[9])));
}

// The keys of the settings are sorted, including those of the named lists. Another order would be a
// different text, and operators and older builds read a version's text.
TEST(VersionContent, TextEqualsThatOfItsDocument) {
  const ConfigDocument document = ParseDocument(
      R"({"settings":{"Zone":1,"Tenants":[{"Name":"q\"\u00e9"}],"Classes":[{"Name":"z"},
          {"Name":"a"}],"Allowed":{"SendCap":2},"D":{"x":null},"A":3,"U\n":-0.0},"barred":["b","a"],
          "zone_only":{"h\"":"z","g":""},"drain":["\u00fc"]})");
  EXPECT_EQ(ToText(VersionContent(document)), ToText(document));
  EXPECT_EQ(TextBytes(document), ToText(document).size());
  EXPECT_EQ(VersionContent(document).ToDocument(), document);
}

// With 240,000 tenants, copying, parsing, writing or comparing an entire version would block a
// gateway's event loop for a second. 64 times as many tenants may cost up to 16 times as much here,
// because the list of chunks grows; the entries of unchanged chunks must not be visited.
TEST(VersionContent, CostDependsOnTheChangeOnly) {
  double least_us[2] = {};
  for (const bool large : {false, true}) {
    const size_t tenants = large ? 64 * 1000 : 1000;
    const VersionContent base = TenantQuotas(tenants);
    int iteration = 0;
    least_us[large ? 1 : 0] = LeastMicroseconds([&] {
      VersionContent next = base;
      const size_t tenant = static_cast<size_t>(++iteration) * 7919 % tenants;
      next.tenants->Set(TenantName(tenant),
                        R"({"Name":")" + TenantName(tenant) + R"(","QuotaPerS":0.5})");
      EXPECT_EQ(Contradictions(base, next).size(), 1U);
      const VersionContent stricter = StricterOf(base, next);
      EXPECT_NE(stricter, base);
      EXPECT_NE(HashOf(next), HashOf(base));
      EXPECT_GT(TextBytes(next), 0U);
    });
  }
  EXPECT_LT(least_us[1], 16 * least_us[0])
      << "at 1,000: " << least_us[0] << " us, at 64,000: " << least_us[1];
}

}  // namespace
}  // namespace paddlestile::cluster
