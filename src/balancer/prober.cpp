#include "balancer/prober.h"

#include <algorithm>

#include "balancer/sampling.h"

namespace paddlestile {
namespace {

constexpr size_t kFirstProbes = 2;         // affinity endpoints; the first may be slow or crowded
constexpr Duration kMaxProbeWait{20'000};  // some round trips, little of any latency objective

}  // namespace

void Prober::ProbeForRequest(const EventContext& context, Request& request) {
  if (!request.affinity_endpoints.empty()) {
    ProbeAffinityEndpoints(context, request,
                           std::min(kFirstProbes, request.affinity_endpoints.size()));
    return;
  }
  probes_due_ += pool_.ProbesPerRequest(context.settings);
  for (; probes_due_ >= 1; probes_due_ -= 1) {
    ProbeRandomEndpoint(context);
  }
}

void Prober::RecordProbeFinished(Endpoint& endpoint) {
  // A probe may outlive the record of its endpoint.
  endpoint.probes_in_flight = std::max(0, endpoint.probes_in_flight - 1);
}

void Prober::ProbeForRetry(const EventContext& context, Request& request) {
  request.probed_count = 0;
  if (!request.affinity_endpoints.empty()) {
    ProbeAffinityEndpoints(context, request, request.affinity_endpoints.size());
  }
}

bool Prober::AreProbesSettled(const EventContext& context, const Request& request) const {
  if (context.now - request.probed_at >= kMaxProbeWait || IsNearDeadline(context.now, request)) {
    return true;
  }
  return std::ranges::none_of(request.affinity_endpoints, [&](size_t index) {
    const Endpoint& endpoint = endpoints_[index];
    return endpoint.probes_in_flight > 0 && endpoint.reported_at < request.probed_at;
  });
}

bool Prober::ConsiderMoreEndpoints(const EventContext& context, Request& request, size_t count) {
  std::vector<size_t>& considered = request.affinity_endpoints;
  if (considered.empty() || IsNearDeadline(context.now, request)) {
    return false;
  }
  for (int draw = 0; draw < kMaxDraws && !subset_.empty() && considered.size() < count; ++draw) {
    const size_t drawn = subset_.members()[context.random.IndexBelow(subset_.size())];
    if (std::ranges::count(considered, drawn) == 0) {
      considered.push_back(drawn);
    }
  }
  const size_t probe_count = std::min(count, considered.size());
  if (request.probed_count >= probe_count) {
    return false;
  }
  ProbeAffinityEndpoints(context, request, probe_count);
  return true;
}

// Those of the first `count` that were not probed for it and of which nothing fresh is known.
void Prober::ProbeAffinityEndpoints(const EventContext& context, Request& request, size_t count) {
  request.probed_at = context.now;
  for (; request.probed_count < count; ++request.probed_count) {
    Endpoint& endpoint = endpoints_[request.affinity_endpoints[request.probed_count]];
    const bool is_stale = context.now - endpoint.reported_at > kFreshReportAge;
    if (context.settings.allowed.probes && endpoint.in_subset && is_stale &&
        endpoint.probes_in_flight == 0) {
      SendProbe(context, endpoint);
    }
  }
}

// One without any report comes first: by chance alone a new endpoint would wait for seconds.
void Prober::ProbeRandomEndpoint(const EventContext& context) {
  std::optional<size_t> index = FirstUnreported();
  if (!index) {
    index = DrawWithoutProbe(context);
  }
  if (index) {
    SendProbe(context, endpoints_[*index]);
  }
}

std::optional<size_t> Prober::FirstUnreported() const {
  if (subset_.size() > kMaxScannedSubset) {
    return std::nullopt;
  }
  for (const size_t index : subset_.members()) {
    const Endpoint& endpoint = endpoints_[index];
    if (endpoint.reported_at < Time(0) && endpoint.probes_in_flight == 0) {
      return index;
    }
  }
  return std::nullopt;
}

std::optional<size_t> Prober::DrawWithoutProbe(const EventContext& context) const {
  for (int draw = 0; draw < kMaxDraws && !subset_.empty(); ++draw) {
    const size_t drawn = subset_.members()[context.random.IndexBelow(subset_.size())];
    if (endpoints_[drawn].probes_in_flight == 0) {
      return drawn;
    }
  }
  return std::nullopt;
}

void Prober::SendProbe(const EventContext& context, Endpoint& endpoint) {
  ++endpoint.probes_in_flight;
  pool_.CountProbe();
  context.Emit(StartProbe{endpoint.info.id});
}

}  // namespace paddlestile
