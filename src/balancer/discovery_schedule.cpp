#include "balancer/discovery_schedule.h"

#include <algorithm>
#include <cmath>
#include <utility>

#include "balancer/averages.h"

namespace paddlestile {
namespace {

constexpr int kMaxBackoffDoublings = 3;
// The first backoff is the discovery interval divided by kBackoffDivisor, within these bounds. It
// is short because changes are missed while there is no watch.
constexpr double kBackoffDivisor = 20;
constexpr double kMinFirstBackoffUs = 2.5e5;
constexpr double kMaxFirstBackoffUs = 5e5;
// The first watch is delayed by up to the discovery interval divided by this: many gateways may
// start at the same time, and the registry has little capacity.
constexpr double kStartSpreadDivisor = 5;

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
      std::clamp(ToUs(context.settings.rules.discovery_interval) / kBackoffDivisor,
                 kMinFirstBackoffUs, kMaxFirstBackoffUs);
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
