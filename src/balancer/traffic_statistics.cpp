#include "balancer/traffic_statistics.h"

#include <algorithm>
#include <cmath>

namespace paddlestile {
namespace {

// Initial mean time of a class, as a fraction of its latency objective.
constexpr double kInitialTimeFraction = 0.25;
// Assumed time before the first arrival.
constexpr double kInitialSpanUs = kRateTimeConstantUs / 10;
constexpr double kMinExpectedWorkUs = 1;  // lower bound of a divisor

}  // namespace

TrafficStatistics::TrafficStatistics(TrafficRecords& records, double initial_mean_time_us)
    : records_(records) {
  records_.mean_request_time_us = initial_mean_time_us;
}

void TrafficStatistics::ApplySettings(const Settings& settings) {
  const size_t count = settings.classes.size();
  for (size_t i = records_.mean_time_us.size(); i < count; ++i) {
    records_.mean_time_us.push_back(kInitialTimeFraction *
                                    ToUs(settings.classes[i].latency_objective));
  }
  // Reset for all classes: otherwise a class that was removed would stay the worst served.
  records_.objective_met_rate.assign(count, 1);
  records_.arrival_shares.resize(count, 1.0 / static_cast<double>(count));
}

double TrafficStatistics::RecordArrival(const EventContext& context, const RequestArrived& arrival,
                                        size_t request_class) {
  for (size_t i = 0; i < records_.arrival_shares.size(); ++i) {
    MoveTowards(records_.arrival_shares[i], i == request_class ? 1 : 0, kSlowSampleWeight);
  }
  const double expected_us =
      std::max(arrival.expected_work ? ToUs(*arrival.expected_work) : 0, kMinExpectedWorkUs);
  MoveTowards(records_.mean_expected_us, expected_us,
              records_.mean_expected_us > 0 ? kSlowSampleWeight : 1);

  const double elapsed_us = records_.arrivals_span_us > 0
                                ? ToUs(context.now - records_.arrivals_updated_at)
                                : kInitialSpanUs;
  const double kept_fraction = std::exp(-elapsed_us / kRateTimeConstantUs);
  MoveTowards(records_.arrivals_span_us, kRateTimeConstantUs, 1 - kept_fraction);
  records_.decayed_arrivals = records_.decayed_arrivals * kept_fraction + 1;
  records_.arrivals_updated_at = context.now;
  return elapsed_us;
}

void TrafficStatistics::RecordSuccess(const EventContext& context, const Request& request,
                                      Duration elapsed) {
  const double elapsed_us = ToUs(elapsed);
  MoveTowards(records_.mean_time_us[request.arrival.request_class], elapsed_us, kSlowSampleWeight);
  MoveTowards(records_.mean_request_time_us, elapsed_us, kSlowSampleWeight);
  const double since_update_us = ToUs(context.now - records_.finished_work_updated_at);
  records_.finished_work_per_us =
      records_.finished_work_per_us * std::exp(-since_update_us / kRateTimeConstantUs) +
      Cost(request) / kRateTimeConstantUs;
  records_.finished_work_updated_at = context.now;
}

void TrafficStatistics::RecordClosed(const Request& request) {
  MoveTowards(records_.objective_met_rate[request.arrival.request_class],
              request.met_objective ? 1 : 0, kSlowSampleWeight);
}

bool TrafficStatistics::IsServedWorst(size_t request_class) const {
  return records_.objective_met_rate[request_class] <=
         std::ranges::min(records_.objective_met_rate);
}

}  // namespace paddlestile
