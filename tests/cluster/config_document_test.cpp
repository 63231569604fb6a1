// Versions: what is refused, what contradicts what, what may be done while two are possible.
#include "cluster/config_document.h"

#include <gtest/gtest.h>

#include "cluster/version_content.h"
#include "cluster/version_history.h"

namespace paddlestile::cluster {
namespace {

ConfigDocument With(const std::string& text) {
  return ParseDocument(text);
}
std::string Classes(const std::string& of) {
  return R"({"settings":{"Classes":[)" + of + "]}}";
}

const std::string kSafe = Classes(R"({"Name":"c","Effect":"safe"})");
const std::string kKeyed = Classes(R"({"Name":"c","Effect":"keyed","Window":3000})");

struct Pair {
  const char* what;
  std::string a, b;
  bool contradict;
};

// The table of docs/bank.md, a row each: one that is missing lets two gateways act apart unseen.
TEST(Contradictions, AreThoseOfTheTable) {
  const Pair pairs[] = {
      {"effect", kSafe, kKeyed, true},
      {"window", kKeyed, Classes(R"({"Name":"c","Effect":"keyed","Window":9})"), true},
      {"aim", kSafe, Classes(R"({"Name":"c","Effect":"safe","Slo":99,"Deadline":9})"), false},
      {"a class more", kSafe, Classes(R"({"Name":"c","Effect":"safe"},{"Name":"d"})"), false},
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
  for (const Pair& p : pairs) {
    EXPECT_EQ(!Contradictions(With(p.a), With(p.b)).empty(), p.contradict) << p.what;
    EXPECT_EQ(!Contradictions(With(p.b), With(p.a)).empty(), p.contradict) << p.what;
    // What stands between allows nothing that one of the two forbids.
    const ConfigDocument both = StricterOf(With(p.a), With(p.b)).ToDocument();
    const ConfigDocument back = StricterOf(With(p.b), With(p.a)).ToDocument();
    for (const ConfigDocument& rules : {With(p.a), With(p.b)}) {
      for (const auto& host : rules.excluded)
        EXPECT_TRUE(both.excluded.contains(host)) << p.what;
      for (const auto& host : rules.draining)
        EXPECT_TRUE(both.draining.contains(host)) << p.what;
    }
    EXPECT_EQ(both.strict, back.strict) << p.what;
  }
}

TEST(Stricter, TakesTheStricterOfEach) {
  const ConfigDocument both = StricterOf(With(kKeyed), With(kSafe)).ToDocument();
  EXPECT_EQ(both.settings["Classes"][0]["Effect"], "keyed");
  EXPECT_EQ(both.settings["Classes"][0]["Window"], 0.0);  // a safe one has none
  const ConfigDocument caps = StricterOf(With(R"({"settings":{"Allowed":{"SendCap":2}}})"),
                                         With(R"({"settings":{"Allowed":{"SendCap":5}}})"))
                                  .ToDocument();
  EXPECT_EQ(caps.settings["Allowed"]["SendCap"], 2);
  // Two zones that rule each other out leave none.
  EXPECT_TRUE(StricterOf(With(R"({"zone_only":{"h":"x"}})"), With(R"({"zone_only":{"h":"y"}})"))
                  .excluded.contains("h"));
  // What the platform's file says nobody knows here: nothing twice until it is settled.
  EXPECT_TRUE(StricterOf(With("{}"), With(kSafe)).strict);
}

// Every fault in one line each, with its key and what was expected.
TEST(CheckRules, NamesEveryFault) {
  const auto faults = ValidateDocument(
      R"({"bared":[],"barred":[""],"drain":3,"zone_only":{"h":1},"settings":{"Classes":[
          {"Name":"a","Effect":"odd","Deadline":0},{"Name":"a"},{}],
          "Tenants":[{"Name":"t","QuotaPerS":-1}],"Allowed":{"SendCap":0}}})");
  EXPECT_EQ(faults.size(), 10U);
  for (const char* const text : {"", "[]", "{\"barred\":"})
    EXPECT_EQ(ValidateDocument(text).size(), 1U);
  EXPECT_EQ(ValidateDocument(std::string(kMaxDocumentBytes + 1, ' ')).size(), 1U);
  EXPECT_TRUE(ValidateDocument("{}").empty());
}

std::string Entry(const std::string& id, const std::string& rules,
                  std::optional<uint64_t> expect = {}) {
  Change change;
  change.id = id;
  change.document = rules;
  change.expected_version = expect;
  return EncodeChangeEntry(change);
}

// A change whose answer was lost is submitted again: it must not count twice.
TEST(Versions, CountAChangeOnceWhateverIsSaidAgain) {
  VersionHistory h;
  EXPECT_EQ(h.Apply(1, Entry("x", "{}")).version, 1U);
  const auto again = h.Apply(2, Entry("x", R"({"barred":["h"]})"));
  EXPECT_TRUE(again.is_repeat);
  EXPECT_EQ(again.version, 1U);
  EXPECT_EQ(h.latest_version(), 1U);
  // One that was refused stays so, also when it would be taken now.
  EXPECT_EQ(h.Apply(3, Entry("y", "{}", 7)).version, 0U);
  EXPECT_EQ(h.Apply(4, Entry("y", "{}")).version, 0U);
}

TEST(Versions, ThatContradictComeIntoForceOnlyByAWord) {
  VersionHistory h;
  h.Apply(1, Entry("x", "{}"));
  EXPECT_EQ(h.version_in_force(), 1U);  // it changes nothing
  h.Apply(2, Entry("y", R"({"barred":["h"]})"));
  EXPECT_EQ(h.version_in_force(), 1U);
  EXPECT_TRUE(h.effective_content().excluded.contains("h"));  // held: nothing goes there any more
  h.Apply(3, Entry("z", "{}"));
  EXPECT_TRUE(h.effective_content().excluded.contains("h"));  // not allowed again before it is on
  h.Apply(4, EncodeInForceEntry(3));
  EXPECT_EQ(h.version_in_force(), 3U);
  EXPECT_FALSE(h.effective_content().excluded.contains("h"));
}

TEST(Versions, AreTheSameFromASnapshot) {
  VersionHistory h, copy;
  for (int i = 0; i < 300; ++i) {
    h.Apply(2 * i + 1,
            Entry("c" + std::to_string(i), R"({"barred":["h)" + std::to_string(i) + "\"]}"));
    if (i < 299)
      h.Apply(2 * i + 2, EncodeInForceEntry(h.latest_version()));
  }
  copy.Load(h.Save());
  EXPECT_EQ(copy.Save(), h.Save());
  EXPECT_EQ(copy.effective_content(), h.effective_content());
  EXPECT_EQ(copy.version_in_force(), 299U);
  EXPECT_EQ(copy.Apply(900, Entry("c298", "{}")).version, 299U);
  EXPECT_LE(h.versions().size(), VersionHistory::kMaxVersions);
}

}  // namespace
}  // namespace paddlestile::cluster
