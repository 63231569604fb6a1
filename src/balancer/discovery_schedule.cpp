#include "balancer/discovery_schedule.h"

#include <algorithm>
#include <cmath>
#include <utility>

#include "balancer/averages.h"

namespace paddlestile {
namespace {

constexpr int kMaxBackoffDoublings = 3;
constexpr double kBackoffDivisor = 20;   // of the discovery interval
constexpr double kMinBackoffUs = 2.5e5;  // soon at first: changes were missed
constexpr double kMaxFirstBackoffUs = 5e5;
constexpr double kStartSpreadDivisor = 5;  // of the discovery interval; many gateways may start
                                           // together, and the registry is small

}  // namespace

void DiscoverySchedule::OnUpdate(const EventContext& context, EndpointUpdateKind kind) {
  if (kind != EndpointUpdateKind::kCached) {
    failures_ = 0;
  }
  const bool is_first = !std::exchange(started_, true);
  if (!is_first || context.settings.discovery_mode != DiscoveryMode::kPoll) {
    return;
  }
  const double spread_us =
      context.settings.instance_count > 1
          ? ToUs(context.settings.rules.discovery_interval) / kStartSpreadDivisor
          : 0;
  const double delay_us = context.random.Uniform() * spread_us;
  context.Emit(SetTimer{Duration(std::llround(delay_us)), kDiscoveryToken});
}

void DiscoverySchedule::OnFailure(const EventContext& context) {
  const double base_us =
      std::clamp(ToUs(context.settings.rules.discovery_interval) / kBackoffDivisor, kMinBackoffUs,
                 kMaxFirstBackoffUs);
  const int doublings = std::min(failures_++, kMaxBackoffDoublings);
  const double delay_us = base_us * std::pow(2, doublings) * (0.5 + context.random.Uniform());
  context.Emit(SetTimer{Duration(std::llround(delay_us)), kDiscoveryToken});
}

void DiscoverySchedule::OnTimer(const EventContext& context) const {
  if (context.settings.discovery_mode == DiscoveryMode::kPoll) {
    context.Emit(WatchEndpoints{true});
  }
}

}  // namespace paddlestile
