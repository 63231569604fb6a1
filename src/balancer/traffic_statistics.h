// Averages over the requests of one gateway: their cost, their arrival rate and the fraction that
// meets the latency objective.
#ifndef PADDLESTILE_BALANCER_TRAFFIC_STATISTICS_H_
#define PADDLESTILE_BALANCER_TRAFFIC_STATISTICS_H_

#include <cstddef>
#include <vector>

#include "balancer/averages.h"
#include "balancer/event_context.h"
#include "balancer/learned_state.h"
#include "balancer/request_table.h"

namespace paddlestile {

// Updates the traffic records, which must outlive it.
class TrafficStatistics {
 public:
  // `initial_mean_time_us`: the mean request time that is assumed at the start.
  TrafficStatistics(TrafficRecords& records, double initial_mean_time_us);

  // Existing classes keep their mean times and arrival shares, by index; new ones get defaults. The
  // rates at which classes meet their latency objectives are reset.
  void ApplySettings(const Settings& settings);

  // Counts an arrival of a class. Returns the time since the previous arrival of any class, in us.
  double RecordArrival(const EventContext& context, const RequestArrived& arrival,
                       size_t request_class);
  // Counts a successful attempt of `request` that took `elapsed`.
  void RecordSuccess(const EventContext& context, const Request& request, Duration elapsed);
  // Counts a closed request.
  void RecordClosed(const Request& request);

  // The work of a request in mean requests, from the client's hint or else from its class.
  [[nodiscard]] double Cost(const Request& request) const {
    return request.arrival.expected_work
               ? ToUs(*request.arrival.expected_work) / records_.mean_expected_us
               : records_.mean_time_us[request.arrival.request_class] /
                     records_.mean_request_time_us;
  }
  // The arrivals per us at this gateway, multiplied by `factor`.
  [[nodiscard]] double ArrivalsPerUs(double factor = 1) const {
    return factor * records_.decayed_arrivals / records_.arrivals_span_us;
  }
  // The work that this gateway recently finished, in mean requests per us.
  [[nodiscard]] double FinishedWorkPerUs() const { return records_.finished_work_per_us; }
  // The mean time of a successful attempt, over all classes.
  [[nodiscard]] double MeanRequestTimeUs() const { return records_.mean_request_time_us; }
  // The mean time of a successful attempt of one class.
  [[nodiscard]] double MeanTimeUs(size_t request_class) const {
    return records_.mean_time_us[request_class];
  }
  // The fraction of the arrivals by class, with one entry for each class in the settings.
  [[nodiscard]] const std::vector<double>& ArrivalShares() const { return records_.arrival_shares; }
  // Whether no other class meets its latency objective less often than this one.
  [[nodiscard]] bool IsServedWorst(size_t request_class) const;

 private:
  TrafficRecords& records_;
};

}  // namespace paddlestile

#endif  // PADDLESTILE_BALANCER_TRAFFIC_STATISTICS_H_
