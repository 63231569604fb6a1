#include "balancer/affinity.h"

#include <algorithm>
#include <cmath>
#include <functional>

#include "balancer/hashing.h"

namespace paddlestile {
namespace {

constexpr double kBestFactor = 0.3;  // at the first affinity endpoint
constexpr double kFactorStep = 0.3;  // added per rank: later endpoints see the key less often
constexpr double kMinWeight = 1e-3;  // lower bound of a divisor

struct Candidate {
  double score = 0;
  size_t endpoint = 0;
  auto operator<=>(const Candidate&) const = default;
};

}  // namespace

std::vector<size_t> FindAffinityEndpoints(const EndpointTable& endpoints, const std::string& key) {
  const uint64_t key_hash = HashOfId(key);
  std::vector<Candidate> candidates;
  for (size_t i = 0; i < endpoints.size(); ++i) {
    const Endpoint& endpoint = endpoints[i];
    if (IsUp(endpoint)) {
      const double weight = std::max(endpoint.info.weight, kMinWeight);
      candidates.push_back({std::log(UniformFromHashes(key_hash, endpoint.id_hash)) / weight, i});
    }
  }
  const size_t count = std::min(kAffinityEndpoints, candidates.size());
  std::ranges::partial_sort(candidates, candidates.begin() + static_cast<long>(count),
                            std::greater{});
  std::vector<size_t> best;
  for (size_t i = 0; i < count; ++i) {
    best.push_back(candidates[i].endpoint);
  }
  return best;
}

double AffinityFactor(const Request& request, size_t endpoint) {
  const std::vector<size_t>& affinity = request.affinity_endpoints;
  if (affinity.empty()) {
    return 1;
  }
  const auto rank = std::ranges::find(affinity, endpoint) - affinity.begin();
  return std::min(1.0, kBestFactor + kFactorStep * static_cast<double>(rank));
}

}  // namespace paddlestile
