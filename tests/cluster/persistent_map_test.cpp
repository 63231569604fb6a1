// Tests the contents of a persistent map after random changes, the independence of copies, and the
// differences between two maps.
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
  Texts texts;
  std::string previous_name;
  map.ForEach([&](const MapEntry& entry) {
    EXPECT_TRUE(texts.empty() || previous_name < entry.name);  // sorted by name
    previous_name = entry.name;
    texts[entry.name] = entry.text;
  });
  return texts;
}
// Compares the map with a std::map while chunks are split and become empty. An entry that is lost,
// duplicated or left in the wrong chunk would make a member's content differ from the others'.
TEST(PersistentMap, MatchesAStdMap) {
  for (uint64_t seed = 1; seed <= 20; ++seed) {
    std::mt19937_64 random(seed);
    const size_t names = seed % 2 == 0 ? 40 : 2000;
    PersistentMap map;
    Texts model;
    std::vector<std::string> order;
    std::vector<std::pair<PersistentMap, Texts>> copies;
    for (int step = 0; step < 4000; ++step) {
      const std::string name = TenantName(random() % names);
      // The map is alternately filled and emptied.
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
      // A map built from the same entries in another order is equal.
      std::vector<MapEntry> list;
      size_t text_bytes = 0, name_bytes = 0;
      for (const auto& [key, text] : model) {
        list.push_back({key, text});
        text_bytes += text.size();
        name_bytes += key.size() + 2;
      }
      std::shuffle(list.begin(), list.end(), random);
      const PersistentMap fresh(std::move(list));
      ASSERT_EQ(fresh, map);
      ASSERT_EQ(fresh.hash(), map.hash());
      ASSERT_EQ(map.text_bytes(), text_bytes);
      ASSERT_EQ(map.name_bytes(), name_bytes);
    }
    // Later changes have not affected the copies, and exactly the differences are reported.
    for (const auto& [copy, copied_model] : copies) {
      ASSERT_EQ(TextsOf(copy), copied_model);
      Texts reported, expected;
      PersistentMap::ForEachDifference(
          copy, map, [&](const std::string& name, const std::string* a, const std::string* b) {
            reported[name] = (a != nullptr ? *a : "-") + "/" + (b != nullptr ? *b : "-");
          });
      const auto text_or_dash = [](const Texts& texts, const std::string& name) {
        const auto found = texts.find(name);
        return found == texts.end() ? "-" : found->second;
      };
      for (size_t i = 0; i < names; ++i) {
        const std::string texts[] = {text_or_dash(copied_model, TenantName(i)),
                                     text_or_dash(model, TenantName(i))};
        if (texts[0] != texts[1]) {
          expected[TenantName(i)] = texts[0] + "/" + texts[1];
        }
      }
      ASSERT_EQ(reported, expected);
      ASSERT_EQ(copy == map, expected.empty());
    }
  }
}

// The hash must depend on the assignment of texts to names, and on where a name ends.
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
