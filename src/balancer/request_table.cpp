#include "balancer/request_table.h"

#include <algorithm>

namespace paddlestile {

Request* RequestTable::Find(const std::string& id) {
  const auto found = by_id_.find(id);
  return found == by_id_.end() ? nullptr : &requests_.at(found->second);
}

Request& RequestTable::Add(const RequestArrived& arrival, size_t request_class,
                           const Settings& settings, Time now) {
  const uint64_t sequence_number = next_sequence_number_++;
  by_id_[arrival.id] = sequence_number;
  Request& request = requests_[sequence_number];
  request.sequence_number = sequence_number;
  request.request_class = settings.classes[request_class];
  request.max_attempts = settings.allowed.max_attempts;
  request.arrival = arrival;
  request.arrival.request_class = request_class;
  request.arrived_at = now;
  return request;
}

void RequestTable::Erase(const Request& request) {
  const uint64_t sequence_number = request.sequence_number;
  by_id_.erase(request.arrival.id);
  requests_.erase(sequence_number);
}

bool RequestTable::RefersTo(size_t endpoint) const {
  return std::ranges::any_of(requests_, [&](const auto& entry) {
    return std::ranges::count(entry.second.attempts, endpoint, &Attempt::endpoint) > 0;
  });
}

}  // namespace paddlestile
