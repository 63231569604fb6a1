// The open requests of one gateway and their attempts.
#ifndef PADDLESTILE_BALANCER_REQUEST_TABLE_H_
#define PADDLESTILE_BALANCER_REQUEST_TABLE_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <unordered_map>
#include <vector>

#include "balancer/events.h"
#include "balancer/settings.h"
#include "base/time.h"

namespace paddlestile {

struct Attempt {
  size_t endpoint = 0;  // index into the endpoint table
  Time sent_at{0};
  bool in_flight = true;
  bool may_have_run = true;      // until the outcome shows that it did not
  double in_flight_at_send = 0;  // requests at the endpoint, this one included
};

// A request is open from its arrival until it is finished, not queued and has no attempts in
// flight. Prober writes the probe fields, Admission the rank, Dispatcher the attempts and the
// state.
struct Request {
  uint64_t sequence_number = 0;  // in order of arrival
  RequestClass request_class;    // the class in the settings at the time of arrival
  int max_attempts = 1;          // from the settings at the time of arrival
  RequestArrived arrival;        // with request_class limited to the existing classes
  Time arrived_at{0};
  std::vector<Attempt> attempts;
  // The endpoints that the request considers with key affinity: those of its key, best first, then
  // random ones. Empty without key affinity.
  std::vector<size_t> affinity_endpoints{};
  Time probed_at{0};        // when affinity endpoints were last probed for the request
  size_t probed_count = 0;  // how many affinity endpoints, from the front, were probed for it
  int attempts_in_flight = 0;
  bool finished = false;           // no further attempt is made
  bool queued = true;              // in the dispatcher's queue
  bool met_objective = false;      // got a response within its latency objective
  double priority_percentile = 0;  // among the arriving work, from 0 (lowest priority) to 1
  bool over_quota = false;         // its tenant had no quota token left
};

// Owns the open requests. References to a request stay valid until it is erased.
class RequestTable {
 public:
  [[nodiscard]] bool Contains(const std::string& id) const { return by_id_.contains(id); }
  // Returns nullptr if there is no open request with the id.
  Request* Find(const std::string& id);
  // Throws std::out_of_range if there is no such request.
  Request& At(uint64_t sequence_number) { return requests_.at(sequence_number); }
  // Adds an open request. No open request may have the same id. `request_class` must be a valid
  // index into the classes of `settings`; it replaces that of `arrival`.
  Request& Add(const RequestArrived& arrival, size_t request_class, const Settings& settings,
               Time now);
  void Erase(const Request& request);
  // Whether an attempt of an open request went to the endpoint.
  [[nodiscard]] bool RefersTo(size_t endpoint) const;

 private:
  std::map<uint64_t, Request> requests_;
  std::unordered_map<std::string, uint64_t> by_id_;  // sequence numbers
  uint64_t next_sequence_number_ = 0;
};

}  // namespace paddlestile

#endif  // PADDLESTILE_BALANCER_REQUEST_TABLE_H_
