// Keyed parts: what a map of them holds after any changes, what a copy shares, and that a change
// and a comparison cost what differs, whatever there is beside it.
#include "cluster/persistent_map.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <chrono>
#include <map>
#include <random>
#include <string>
#include <utility>
#include <vector>

#include "cluster/delta.h"
#include "cluster/version_content.h"
#include "cluster/version_history.h"

namespace paddlestile::cluster {
namespace {

using Texts = std::map<std::string, std::string>;

Texts All(const PersistentMap& parts) {
  Texts all;
  std::string last;
  parts.ForEach([&](const MapEntry& part) {
    EXPECT_TRUE(all.empty() || last < part.name);  // by name
    last = part.name;
    all[part.name] = part.text;
  });
  return all;
}
std::string Name(size_t i) {
  return "t" + std::to_string(i);
}

// Against a plain map, over chunks that split and empty: a part that is lost, doubled or left in a
// wrong chunk is content that no other member has.
TEST(Parts, HoldWhatAMapHolds) {
  for (uint64_t seed = 1; seed <= 20; ++seed) {
    std::mt19937_64 random(seed);
    const size_t names = seed % 2 == 0 ? 40 : 2000;
    PersistentMap parts;
    Texts model;
    std::vector<std::string> order;
    std::vector<std::pair<PersistentMap, Texts>> copies;
    for (int step = 0; step < 4000; ++step) {
      const std::string name = Name(random() % names);
      // Filled, emptied, filled again.
      const bool set = step / 1000 % 2 == 0 ? random() % 4 != 0 : random() % 4 == 0;
      if (set) {
        const std::string text = std::to_string(random() % 3);
        if (!model.contains(name))
          order.push_back(name);
        model[name] = text;
        parts.Set(name, text);
      } else {
        std::erase(order, name);
        model.erase(name);
        parts.Remove(name);
      }
      ASSERT_EQ(parts.Find(name) != nullptr, set);
      if (step % 500 == 0)
        copies.emplace_back(parts, model);
      if (step % 250 != 0)
        continue;
      ASSERT_EQ(All(parts), model) << seed << " " << step;
      ASSERT_EQ(parts.size(), model.size());
      std::vector<std::string> ordered;
      for (const MapEntry* const part : parts.EntriesInOrder())
        ordered.push_back(part->name);
      ASSERT_EQ(ordered, order);
      // The same from nothing, whatever way it came.
      std::vector<MapEntry> list;
      size_t texts = 0, written = 0;
      for (const auto& [n, text] : model) {
        list.push_back({n, text});
        texts += text.size();
        written += n.size() + 2;
      }
      std::shuffle(list.begin(), list.end(), random);
      const PersistentMap fresh(std::move(list));
      ASSERT_EQ(fresh, parts);
      ASSERT_EQ(fresh.hash(), parts.hash());
      ASSERT_EQ(parts.text_bytes(), texts);
      ASSERT_EQ(parts.name_bytes(), written);
    }
    // What was copied has not changed with it, and what differs is told.
    for (const auto& [copy, was] : copies) {
      ASSERT_EQ(All(copy), was);
      Texts told, differs;
      PersistentMap::ForEachDifference(
          copy, parts, [&](const std::string& n, const std::string* a, const std::string* b) {
            told[n] = (a != nullptr ? *a : "-") + "/" + (b != nullptr ? *b : "-");
          });
      const auto of = [](const Texts& texts, const std::string& n) {
        const auto at = texts.find(n);
        return at == texts.end() ? "-" : at->second;
      };
      for (size_t i = 0; i < names; ++i) {
        const std::string both[] = {of(was, Name(i)), of(model, Name(i))};
        if (both[0] != both[1])
          differs[Name(i)] = both[0] + "/" + both[1];
      }
      ASSERT_EQ(told, differs);
      ASSERT_EQ(copy == parts, differs.empty());
    }
  }
}

// A part that moved to another name, or two that exchanged their texts, is other content.
TEST(Parts, HashesTellPartsApart) {
  PersistentMap a, b, c, d;
  a.Set("x", "1");
  a.Set("y", "2");
  b.Set("x", "2");
  b.Set("y", "1");
  c.Set("x", "12");
  c.Set("y", "");
  d.Set("xy", "12");
  const PersistentMap* const all[] = {&a, &b, &c, &d};
  for (const PersistentMap* const one : all) {
    for (const PersistentMap* const other : all) {
      EXPECT_EQ(one->hash() == other->hash(), one == other);
      EXPECT_EQ(*one == *other, one == other);
    }
  }
}

// ---- What it is for ---------------------------------------------------------------------------

ConfigDocument Quotas(size_t tenants) {
  ConfigDocument rules;
  rules.settings["Tenants"] = nlohmann::json::array();
  for (size_t i = 0; i < tenants; ++i) {
    rules.settings["Tenants"].push_back({{"Name", Name(i)}, {"QuotaPerS", i}});
  }
  return rules;
}

// The content of a version is told apart by each of its parts, and not by the order of its lists:
// members that came to it by other ways would else hold each other wrong.
TEST(Content, HashTellsEachPartAndNoOrder) {
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
  const VersionContent turned =
      ParseDocument(R"({"settings":{"Tenants":[{"Name":"b"},{"QuotaPerS":1,"Name":"a"}]}})");
  EXPECT_EQ(HashOf(turned), HashOf(VersionContent(ParseDocument(texts[9]))));
  EXPECT_NE(ToText(turned), ToText(ParseDocument(texts[9])));
}

// Keys of the settings stand in their order, the lists among them: another order is another text,
// and a version's text is what operators and older programs read.
TEST(Content, WritesTheTextOfItsRules) {
  const ConfigDocument rules = ParseDocument(
      R"({"settings":{"Zone":1,"Tenants":[{"Name":"q\"\u00e9"}],"Classes":[{"Name":"z"},
          {"Name":"a"}],"Allowed":{"SendCap":2},"D":{"x":null},"A":3,"U\n":-0.0},"barred":["b","a"],
          "zone_only":{"h\"":"z","g":""},"drain":["\u00fc"]})");
  EXPECT_EQ(ToText(VersionContent(rules)), ToText(rules));
  EXPECT_EQ(TextBytes(rules), ToText(rules).size());
  EXPECT_EQ(VersionContent(rules).ToDocument(), rules);
}

// The least of several looks, in us: the machine may be busy.
template <typename What>
double Least(What&& what) {
  double least = 1e18;
  for (int i = 0; i < 7; ++i) {
    const auto from = std::chrono::steady_clock::now();
    for (int j = 0; j < 20; ++j)
      what();
    const std::chrono::duration<double, std::micro> took = std::chrono::steady_clock::now() - from;
    least = std::min(least, took.count() / 20);
  }
  return least;
}

// At 240,000 tenants a change of one of them was the work of all of them, a second of a gateway's
// loop, wherever the whole version was copied, read, put into text or held against another. Here
// 64 times as many may cost 16 times as much: chunks are listed, no part of theirs is looked at.
TEST(Content, AChangeCostsWhatItChanges) {
  double took[2] = {};
  for (const bool large : {false, true}) {
    const size_t tenants = large ? 64 * 1000 : 1000;
    const VersionContent base = Quotas(tenants);
    int turn = 0;
    took[large ? 1 : 0] = Least([&] {
      VersionContent next = base;
      const size_t at = static_cast<size_t>(++turn) * 7919 % tenants;
      next.tenants->Set(Name(at), R"({"Name":")" + Name(at) + R"(","QuotaPerS":0.5})");
      EXPECT_EQ(Contradictions(base, next).size(), 1U);
      const VersionContent both = StricterOf(base, next);
      EXPECT_NE(both, base);
      EXPECT_NE(HashOf(next), HashOf(base));
      EXPECT_GT(TextBytes(next), 0U);
    });
  }
  EXPECT_LT(took[1], 16 * took[0]) << "at 1,000: " << took[0] << " us, at 64,000: " << took[1];
}

// The same of a history that takes changes one after another, as every member does. It holds
// sixteen versions, which share what they have in common.
TEST(Content, AHistoryTakesAChangeForWhatItChanges) {
  double took[2] = {};
  for (const bool large : {false, true}) {
    const size_t tenants = large ? 7000 : 100;
    VersionHistory h;
    Change whole;
    whole.id = "whole";
    whole.document = ToText(Quotas(tenants));
    ASSERT_EQ(h.Apply(1, EncodeChangeEntry(whole)).version, 1U);
    h.Apply(2, EncodeInForceEntry(1));
    raft::Index index = 2;
    took[large ? 1 : 0] = Least([&] {
      Change change;
      change.id = std::to_string(index);
      change.is_delta = true;
      change.document = R"({"settings":{"Tenants":{")" + Name(index * 7919 % tenants) +
                        R"(":{"QuotaPerS":)" + std::to_string(index) + "}}}}";
      const VersionContent next = ApplyDelta(h.latest_content(), change.document);
      ++index;
      ASSERT_GT(
          h.Apply(index, EncodeChangeEntry(change, {h.latest_version(), HashOf(next)})).version,
          1U);
      ++index;
      h.Apply(index, EncodeInForceEntry(h.latest_version(), HashOf(next)));
      ASSERT_EQ(h.version_in_force(), h.latest_version());
      ASSERT_EQ(h.content_mismatch(), "");
    });
  }
  EXPECT_LT(took[1], 6 * took[0]) << "at 100: " << took[0] << " us, at 7,000: " << took[1];
}

}  // namespace
}  // namespace paddlestile::cluster
