// Key affinity: which endpoints keep a key's cached work warm, and what that is worth.
#ifndef PADDLESTILE_BALANCER_AFFINITY_H_
#define PADDLESTILE_BALANCER_AFFINITY_H_

#include <cstddef>
#include <string>
#include <vector>

#include "balancer/endpoint_table.h"
#include "balancer/request_table.h"

namespace paddlestile {

constexpr size_t kAffinityEndpoints = 3;  // of a key; a popular one needs two or three

// The affinity endpoints of a key, best first, by weighted rendezvous hashing over the endpoints
// that are up: gateways with the same list agree on them without exchanging messages.
std::vector<size_t> FindAffinityEndpoints(const EndpointTable& endpoints, const std::string& key);

// The fraction of its usual latency that an endpoint takes for the request, by how warm its key is
// there: 1 without affinity.
double AffinityFactor(const Request& request, size_t endpoint);

}  // namespace paddlestile

#endif  // PADDLESTILE_BALANCER_AFFINITY_H_
