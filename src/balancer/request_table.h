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
  bool may_have_run = true;      // until an outcome proves otherwise
  double in_flight_at_send = 0;  // requests at its endpoint, itself included
};

// Open from its arrival until it is finished, not queued and without attempts in flight. Prober
// writes the fields of its probes, Admission its rank, Dispatcher its attempts and state.
struct Request {
  uint64_t sequence_number = 0;  // in order of arrival
  RequestClass request_class;    // as it and max_attempts were at the arrival
  int max_attempts = 1;
  RequestArrived arrival;  // request_class is below the number of classes at the arrival
  Time arrived_at{0};
  std::vector<Attempt> attempts;
  // Where its key is kept warm, best first; then further endpoints that it considers. Empty without
  // key affinity.
  std::vector<size_t> affinity_endpoints{};
  Time probed_at{0};        // when affinity endpoints were last probed for it
  size_t probed_count = 0;  // the first so many affinity endpoints have been probed
  int attempts_in_flight = 0;
  bool finished = false;           // no further attempt is made
  bool waiting = true;             // queued
  bool met_objective = false;      // had a response within its latency objective
  double priority_percentile = 0;  // among the arriving work, from the least (0) to the most (1)
  bool over_quota = false;         // above its tenant's share of the arrivals
};

// Owns the open requests. References to a request stay valid until it is erased.
class RequestTable {
 public:
  [[nodiscard]] bool Contains(const std::string& id) const { return by_id_.contains(id); }
  // nullptr if there is none.
  Request* Find(const std::string& id);
  // Throws std::out_of_range if there is none.
  Request& At(uint64_t sequence_number) { return requests_.at(sequence_number); }
  // Opens a request; the id must not be open. `request_class` is its index after bounds.
  Request& Add(const RequestArrived& arrival, size_t request_class, const Settings& settings,
               Time now);
  void Erase(const Request& request);
  // Whether an attempt of an open request went to the endpoint.
  [[nodiscard]] bool RefersTo(size_t endpoint) const;

 private:
  std::map<uint64_t, Request> requests_;
  std::unordered_map<std::string, uint64_t> by_id_;
  uint64_t next_sequence_number_ = 0;
};

}  // namespace paddlestile

#endif  // PADDLESTILE_BALANCER_REQUEST_TABLE_H_
