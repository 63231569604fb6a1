// Averages over the requests of one gateway: what they cost, how often they come, how many meet
// their latency objective.
#ifndef PADDLESTILE_BALANCER_TRAFFIC_STATISTICS_H_
#define PADDLESTILE_BALANCER_TRAFFIC_STATISTICS_H_

#include <cstddef>
#include <vector>

#include "balancer/averages.h"
#include "balancer/event_context.h"
#include "balancer/learned_state.h"
#include "balancer/request_table.h"

namespace paddlestile {

// Keeps the traffic records, which outlive it.
class TrafficStatistics {
 public:
  // `initial_mean_time_us`: of a request, until responses are known.
  TrafficStatistics(TrafficRecords& records, double initial_mean_time_us);

  // Classes keep their indices and with them what was learned of them.
  void ApplySettings(const Settings& settings);

  // Counts an arrival of a class. Returns the time since the one before, in us.
  double RecordArrival(const EventContext& context, const RequestArrived& arrival,
                       size_t request_class);
  // Counts a successful attempt of `request` that took `elapsed`.
  void RecordSuccess(const EventContext& context, const Request& request, Duration elapsed);
  // Counts a request that is closed.
  void RecordClosed(const Request& request);

  // Work of a request in mean requests: by the client's hint, else by its class.
  [[nodiscard]] double Cost(const Request& request) const {
    return request.arrival.expected_work
               ? ToUs(*request.arrival.expected_work) / records_.mean_expected_us
               : records_.mean_time_us[request.arrival.request_class] /
                     records_.mean_request_time_us;
  }
  // `factor` times the arrivals per us at this gateway.
  [[nodiscard]] double ArrivalsPerUs(double factor = 1) const {
    return factor * records_.decayed_arrivals / records_.arrivals_span_us;
  }
  // Mean requests per us that this gateway finished of late.
  [[nodiscard]] double FinishedWorkPerUs() const { return records_.finished_work_per_us; }
  // Mean time of a successful attempt, over all classes.
  [[nodiscard]] double MeanRequestTimeUs() const { return records_.mean_request_time_us; }
  // The same of one class.
  [[nodiscard]] double MeanTimeUs(size_t request_class) const {
    return records_.mean_time_us[request_class];
  }
  // Part of the arrivals by class; it has an entry for each class that ever was.
  [[nodiscard]] const std::vector<double>& ArrivalShares() const { return records_.arrival_shares; }
  // Whether no class meets its latency objective more seldom than this one.
  [[nodiscard]] bool IsServedWorst(size_t request_class) const;

 private:
  TrafficRecords& records_;
};

}  // namespace paddlestile

#endif  // PADDLESTILE_BALANCER_TRAFFIC_STATISTICS_H_
