// Key affinity: which endpoints have the cached work of a key, and how much latency that saves.
#ifndef PADDLESTILE_BALANCER_AFFINITY_H_
#define PADDLESTILE_BALANCER_AFFINITY_H_

#include <cstddef>
#include <string>
#include <vector>

#include "balancer/endpoint_table.h"
#include "balancer/request_table.h"

namespace paddlestile {

constexpr size_t kAffinityEndpoints = 3;  // per key; a popular key needs two or three

// Returns the affinity endpoints of a key, best first, by weighted rendezvous hashing over the
// endpoints that are up. Gateways with the same endpoint list get the same result without
// exchanging messages.
std::vector<size_t> FindAffinityEndpoints(const EndpointTable& endpoints, const std::string& key);

// Returns the expected latency of the request at the endpoint as a fraction of the endpoint's usual
// latency. It is lowest at the first affinity endpoint, where the key's work is most likely cached,
// and 1 without affinity.
double AffinityFactor(const Request& request, size_t endpoint);

}  // namespace paddlestile

#endif  // PADDLESTILE_BALANCER_AFFINITY_H_
