// Helpers for tests that measure the cost of operations.
#ifndef PADDLESTILE_TESTS_CLUSTER_TEST_COSTS_H_
#define PADDLESTILE_TESTS_CLUSTER_TEST_COSTS_H_

#include <algorithm>
#include <chrono>
#include <cstddef>
#include <string>

#include "cluster/config_document.h"

namespace paddlestile::cluster::testing {

inline std::string TenantName(size_t i) {
  return "t" + std::to_string(i);
}

// Returns a document with quotas for this many tenants.
inline ConfigDocument TenantQuotas(size_t tenants) {
  ConfigDocument document;
  document.settings["Tenants"] = nlohmann::json::array();
  for (size_t i = 0; i < tenants; ++i) {
    document.settings["Tenants"].push_back({{"Name", TenantName(i)}, {"QuotaPerS", i}});
  }
  return document;
}

// Returns the minimum over several runs of the mean duration of `work`. The minimum is robust
// against other load on the machine.
template <typename Work>
double LeastMicroseconds(Work&& work) {
  double least_us = 1e18;
  for (int i = 0; i < 7; ++i) {
    const auto started_at = std::chrono::steady_clock::now();
    for (int j = 0; j < 20; ++j) {
      work();
    }
    const std::chrono::duration<double, std::micro> elapsed_us =
        std::chrono::steady_clock::now() - started_at;
    least_us = std::min(least_us, elapsed_us.count() / 20);
  }
  return least_us;
}

}  // namespace paddlestile::cluster::testing

#endif  // PADDLESTILE_TESTS_CLUSTER_TEST_COSTS_H_
