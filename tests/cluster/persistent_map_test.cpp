// What a map holds after any changes, what its copies share, and what differs between two.
#include "cluster/persistent_map.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <map>
#include <random>
#include <string>
#include <utility>
#include <vector>

#include "cluster/test_costs.h"

namespace paddlestile::cluster {
namespace {

using testing::TenantName;

using Texts = std::map<std::string, std::string>;

Texts TextsOf(const PersistentMap& map) {
  Texts all;
  std::string last;
  map.ForEach([&](const MapEntry& entry) {
    EXPECT_TRUE(all.empty() || last < entry.name);  // by name
    last = entry.name;
    all[entry.name] = entry.text;
  });
  return all;
}
// Against a plain map, over chunks that split and empty: an entry that is lost, doubled or left in
// a wrong chunk is content that no other member has.
TEST(PersistentMap, HoldsWhatAMapHolds) {
  for (uint64_t seed = 1; seed <= 20; ++seed) {
    std::mt19937_64 random(seed);
    const size_t names = seed % 2 == 0 ? 40 : 2000;
    PersistentMap map;
    Texts model;
    std::vector<std::string> order;
    std::vector<std::pair<PersistentMap, Texts>> copies;
    for (int step = 0; step < 4000; ++step) {
      const std::string name = TenantName(random() % names);
      // Filled, emptied, filled again.
      const bool set = step / 1000 % 2 == 0 ? random() % 4 != 0 : random() % 4 == 0;
      if (set) {
        const std::string text = std::to_string(random() % 3);
        if (!model.contains(name)) {
          order.push_back(name);
        }
        model[name] = text;
        map.Set(name, text);
      } else {
        std::erase(order, name);
        model.erase(name);
        map.Remove(name);
      }
      ASSERT_EQ(map.Find(name) != nullptr, set);
      if (step % 500 == 0) {
        copies.emplace_back(map, model);
      }
      if (step % 250 != 0) {
        continue;
      }
      ASSERT_EQ(TextsOf(map), model) << seed << " " << step;
      ASSERT_EQ(map.size(), model.size());
      std::vector<std::string> ordered;
      for (const MapEntry* const entry : map.EntriesInOrder()) {
        ordered.push_back(entry->name);
      }
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
      ASSERT_EQ(fresh, map);
      ASSERT_EQ(fresh.hash(), map.hash());
      ASSERT_EQ(map.text_bytes(), texts);
      ASSERT_EQ(map.name_bytes(), written);
    }
    // What was copied has not changed with it, and exactly what differs is reported.
    for (const auto& [copy, was] : copies) {
      ASSERT_EQ(TextsOf(copy), was);
      Texts reported, expected;
      PersistentMap::ForEachDifference(
          copy, map, [&](const std::string& n, const std::string* a, const std::string* b) {
            reported[n] = (a != nullptr ? *a : "-") + "/" + (b != nullptr ? *b : "-");
          });
      const auto of = [](const Texts& texts, const std::string& n) {
        const auto at = texts.find(n);
        return at == texts.end() ? "-" : at->second;
      };
      for (size_t i = 0; i < names; ++i) {
        const std::string both[] = {of(was, TenantName(i)), of(model, TenantName(i))};
        if (both[0] != both[1]) {
          expected[TenantName(i)] = both[0] + "/" + both[1];
        }
      }
      ASSERT_EQ(reported, expected);
      ASSERT_EQ(copy == map, expected.empty());
    }
  }
}

// A text under another name, or two texts exchanged, is other content.
TEST(PersistentMap, HashesDifferByNameAndText) {
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

}  // namespace
}  // namespace paddlestile::cluster
