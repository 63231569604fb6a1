#include "balancer/prober.h"

#include <algorithm>

#include "balancer/sampling.h"

namespace paddlestile {
namespace {

// Affinity endpoints probed on arrival. More than one, as the first may be slow or overloaded.
constexpr size_t kInitialProbes = 2;
// A few round trips, and a small fraction of any useful latency objective.
constexpr Duration kMaxProbeWait{20'000};

}  // namespace

void Prober::ProbeForRequest(const EventContext& context, Request& request) {
  if (!request.affinity_endpoints.empty()) {
    ProbeAffinityEndpoints(context, request,
                           std::min(kInitialProbes, request.affinity_endpoints.size()));
    return;
  }
  probes_due_ += pool_.ProbesPerRequest(context.settings);
  for (; probes_due_ >= 1; probes_due_ -= 1) {
    ProbeRandomEndpoint(context);
  }
}

void Prober::RecordProbeFinished(Endpoint& endpoint) {
  // The record of the endpoint may have been replaced while the probe was in flight.
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

// Probes those of the first `count` affinity endpoints that were not yet probed for the request and
// that have no fresh load report.
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

// Prefers an endpoint that has never reported its load. With random draws alone a new endpoint
// could go unprobed for seconds.
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
