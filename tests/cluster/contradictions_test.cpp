// Which versions contradict each other, and what may be done while two are possible.
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

struct Row {
  const char* name;
  std::string a, b;
  bool contradict;
};

// The table of docs/bank.md, a row each: a missing one would let two gateways contradict each
// other.
TEST(Contradictions, AreThoseOfTheTable) {
  const Row rows[] = {
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
  for (const Row& row : rows) {
    EXPECT_EQ(!Contradictions(ParseDocument(row.a), ParseDocument(row.b)).empty(), row.contradict)
        << row.name;
    EXPECT_EQ(!Contradictions(ParseDocument(row.b), ParseDocument(row.a)).empty(), row.contradict)
        << row.name;
    // What stands between allows nothing that one of the two forbids.
    const ConfigDocument both = StricterOf(ParseDocument(row.a), ParseDocument(row.b)).ToDocument();
    const ConfigDocument reversed =
        StricterOf(ParseDocument(row.b), ParseDocument(row.a)).ToDocument();
    for (const ConfigDocument& document : {ParseDocument(row.a), ParseDocument(row.b)}) {
      for (const auto& host : document.excluded) {
        EXPECT_TRUE(both.excluded.contains(host)) << row.name;
      }
      for (const auto& host : document.draining) {
        EXPECT_TRUE(both.draining.contains(host)) << row.name;
      }
    }
    EXPECT_EQ(both.strict, reversed.strict) << row.name;
  }
}

TEST(StricterOf, TakesTheStricterOfEachPart) {
  const ConfigDocument both = StricterOf(ParseDocument(kKeyed), ParseDocument(kSafe)).ToDocument();
  EXPECT_EQ(both.settings["Classes"][0]["Effect"], "keyed");
  EXPECT_EQ(both.settings["Classes"][0]["Window"], 0.0);  // a safe one has none
  const ConfigDocument caps = StricterOf(ParseDocument(R"({"settings":{"Allowed":{"SendCap":2}}})"),
                                         ParseDocument(R"({"settings":{"Allowed":{"SendCap":5}}})"))
                                  .ToDocument();
  EXPECT_EQ(caps.settings["Allowed"]["SendCap"], 2);
  // A host that each keeps for another zone is for none.
  EXPECT_TRUE(StricterOf(ParseDocument(R"({"zone_only":{"h":"x"}})"),
                         ParseDocument(R"({"zone_only":{"h":"y"}})"))
                  .excluded.contains("h"));
  // What the platform's file says is not known here: nothing is retried until that is settled.
  EXPECT_TRUE(StricterOf(ParseDocument("{}"), ParseDocument(kSafe)).strict);
}

}  // namespace
}  // namespace paddlestile::cluster
