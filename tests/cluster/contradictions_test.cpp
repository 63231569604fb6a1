// Tests which versions contradict each other, and which content is safe while either may be in use.
#include <gtest/gtest.h>

#include <string>

#include "cluster/config_document.h"
#include "cluster/version_content.h"

namespace paddlestile::cluster {
namespace {

std::string WithClasses(const std::string& classes) {
  return R"({"settings":{"Classes":[)" + classes + "]}}";
}

const std::string kSafe = WithClasses(R"({"Name":"c","Effect":"safe"})");
const std::string kKeyed = WithClasses(R"({"Name":"c","Effect":"keyed","Window":3000})");

struct TestCase {
  const char* name;
  std::string a, b;
  bool expects_contradiction;
};

// One test case for each row of the table in docs/bank.md. An undetected contradiction would let
// two gateways act on contradicting versions at the same time.
TEST(Contradictions, MatchTheDocumentedTable) {
  const TestCase test_cases[] = {
      {"effect", kSafe, kKeyed, true},
      {"window", kKeyed, WithClasses(R"({"Name":"c","Effect":"keyed","Window":9})"), true},
      {"aim", kSafe, WithClasses(R"({"Name":"c","Effect":"safe","Slo":99,"Deadline":9})"), false},
      {"a class more", kSafe, WithClasses(R"({"Name":"c","Effect":"safe"},{"Name":"d"})"), false},
      {"said by one", "{}", kSafe, true},
      {"attempts", R"({"settings":{"Allowed":{"SendCap":2}}})",
       R"({"settings":{"Allowed":{"SendCap":3}}})", true},
      {"quota", R"({"settings":{"Tenants":[{"Name":"t","QuotaPerS":2}]}})",
       R"({"settings":{"Tenants":[{"Name":"t","QuotaPerS":3}]}})", true},
      {"share", R"({"settings":{"Tenants":[{"Name":"t","Share":2}]}})",
       R"({"settings":{"Tenants":[{"Name":"t","Share":3}]}})", false},
      {"barred", R"({"barred":["h"]})", "{}", true},
      {"drain", R"({"drain":["h"]})", "{}", true},
      {"zone", R"({"zone_only":{"h":"x"}})", R"({"zone_only":{"h":"y"}})", true},
      {"the same", R"({"barred":["h","i"]})", R"({"barred":["i","h"]})", false}};
  for (const TestCase& test_case : test_cases) {
    EXPECT_EQ(!Contradictions(ParseDocument(test_case.a), ParseDocument(test_case.b)).empty(),
              test_case.expects_contradiction)
        << test_case.name;
    EXPECT_EQ(!Contradictions(ParseDocument(test_case.b), ParseDocument(test_case.a)).empty(),
              test_case.expects_contradiction)
        << test_case.name;
    // The stricter content allows nothing that one of the two versions forbids.
    const ConfigDocument stricter =
        StricterOf(ParseDocument(test_case.a), ParseDocument(test_case.b)).ToDocument();
    const ConfigDocument reversed =
        StricterOf(ParseDocument(test_case.b), ParseDocument(test_case.a)).ToDocument();
    for (const ConfigDocument& document :
         {ParseDocument(test_case.a), ParseDocument(test_case.b)}) {
      for (const auto& host : document.excluded) {
        EXPECT_TRUE(stricter.excluded.contains(host)) << test_case.name;
      }
      for (const auto& host : document.draining) {
        EXPECT_TRUE(stricter.draining.contains(host)) << test_case.name;
      }
    }
    EXPECT_EQ(stricter.strict, reversed.strict) << test_case.name;
  }
}

TEST(StricterOf, TakesTheStricterOfEachPart) {
  const ConfigDocument stricter =
      StricterOf(ParseDocument(kKeyed), ParseDocument(kSafe)).ToDocument();
  EXPECT_EQ(stricter.settings["Classes"][0]["Effect"], "keyed");
  EXPECT_EQ(stricter.settings["Classes"][0]["Window"], 0.0);  // the safe class has none
  const ConfigDocument caps = StricterOf(ParseDocument(R"({"settings":{"Allowed":{"SendCap":2}}})"),
                                         ParseDocument(R"({"settings":{"Allowed":{"SendCap":5}}})"))
                                  .ToDocument();
  EXPECT_EQ(caps.settings["Allowed"]["SendCap"], 2);
  // A host that the versions reserve for different zones may not be used by any zone.
  EXPECT_TRUE(StricterOf(ParseDocument(R"({"zone_only":{"h":"x"}})"),
                         ParseDocument(R"({"zone_only":{"h":"y"}})"))
                  .excluded.contains("h"));
  // The platform's file is not known here, so requests are not retried until one version is in
  // force.
  EXPECT_TRUE(StricterOf(ParseDocument("{}"), ParseDocument(kSafe)).strict);
}

}  // namespace
}  // namespace paddlestile::cluster
