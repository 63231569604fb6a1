// Documents for the tests of the cluster library.
#ifndef PADDLESTILE_TESTS_CLUSTER_TEST_DOCUMENTS_H_
#define PADDLESTILE_TESTS_CLUSTER_TEST_DOCUMENTS_H_

#include <cstdint>
#include <nlohmann/json.hpp>
#include <random>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "cluster/config_document.h"

namespace paddlestile::cluster::testing {

using nlohmann::json;

inline std::string CanonicalText(const std::string& document) {
  return ToText(ParseDocument(document));
}

// Generates random valid documents with JSON corner cases: nulls, 3 and 3.0, empty objects and
// empty names.
class RandomDocuments {
 public:
  explicit RandomDocuments(uint64_t seed) : random_(seed) {}
  // Returns a random number below `count`.
  size_t Pick(size_t count) { return std::uniform_int_distribution<size_t>(0, count - 1)(random_); }
  json RandomValue(int depth = 0) {
    switch (Pick(depth < 3 ? 9 : 6)) {
      case 0:
        return nullptr;
      case 1:
        return Pick(4);
      case 2:
        return static_cast<double>(Pick(4));  // 3 and 3.0 are equal, but have different texts
      case 3:
        return std::vector<std::string>{"", "x", "\xc3\xa9", "a/b~c"}[Pick(4)];
      case 4:
        return Pick(2) == 0;
      case 5:
        return -0.0;
      case 6:
        return json::array({RandomValue(depth + 1), {{"n", nullptr}}});
      default: {
        json object = json::object();
        for (size_t i = Pick(4); i > 0; --i) {
          object["k" + std::to_string(Pick(4))] = RandomValue(depth + 1);
        }
        return object;
      }
    }
  }
  json RandomList() {
    json list = json::array();
    std::set<std::string> names;
    for (size_t i = Pick(7); i > 0; --i) {
      json item = {{"Name", std::vector<std::string>{"", "a", "b", "c", "d", "e"}[Pick(6)]}};
      if (!names.insert(item["Name"]).second) {
        continue;
      }
      if (Pick(2) == 0) {
        item["QuotaPerS"] = Pick(3);
      }
      if (Pick(3) == 0) {
        item["QuotaPerS"] = static_cast<double>(Pick(3));
      }
      if (Pick(3) == 0) {
        item["Odd"] = RandomValue();
      }
      if (Pick(3) == 0) {
        item["Effect"] = Pick(2) == 0 ? "safe" : "keyed";
      }
      list.push_back(std::move(item));
    }
    return list;
  }
  ConfigDocument Next() {
    ConfigDocument document;
    for (size_t i = Pick(4); i > 0; --i) {
      document.settings["S" + std::to_string(Pick(3))] = RandomValue();
    }
    if (Pick(2) == 0) {
      document.settings["Tenants"] = RandomList();
    }
    if (Pick(2) == 0) {
      document.settings["Classes"] = RandomList();
    }
    if (Pick(2) == 0) {
      document.settings["Allowed"] = {{"SendCap", 1 + Pick(3)}, {"Odd", RandomValue()}};
    }
    for (size_t i = Pick(4); i > 0; --i) {
      document.excluded.insert("h" + std::to_string(Pick(5)));
    }
    for (size_t i = Pick(3); i > 0; --i) {
      document.draining.insert("h" + std::to_string(Pick(5)));
    }
    for (size_t i = Pick(4); i > 0; --i) {
      document.zone_only["h" + std::to_string(Pick(4))] = "z" + std::to_string(Pick(2));
    }
    return ParseDocument(ToText(document));
  }

 private:
  std::mt19937_64 random_;
};

}  // namespace paddlestile::cluster::testing

#endif  // PADDLESTILE_TESTS_CLUSTER_TEST_DOCUMENTS_H_
