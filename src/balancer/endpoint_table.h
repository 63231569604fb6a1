// The endpoints of the list, by index, and the kinds of machines they run on.
#ifndef PADDLESTILE_BALANCER_ENDPOINT_TABLE_H_
#define PADDLESTILE_BALANCER_ENDPOINT_TABLE_H_

#include <cstddef>
#include <functional>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "balancer/events.h"
#include "balancer/learned_state.h"

namespace paddlestile {

// Whether something still refers to an endpoint by its index, so that the index can't be reused.
using IsReferenced = std::function<bool(size_t endpoint)>;

// Applies list updates to the records. The records outlive it; an index is reused for a new id
// only after its endpoint was removed and nothing refers to it.
class EndpointTable {
 public:
  struct UpdateResult {
    std::vector<size_t> newly_up;      // endpoints that became kUp, in the order of the list
    bool subset_needs_refill = false;  // a member of the subset may no longer be up
  };

  explicit EndpointTable(EndpointRecords& records) : records_(records) {}

  // Applies an update of any kind but kFailed. An endpoint with a later start loses its records.
  UpdateResult Apply(const EndpointUpdate& update, const IsReferenced& is_referenced);
  // The index of an id; an unknown one gets a new record.
  size_t IndexFor(const std::string& id, const IsReferenced& is_referenced);
  void SetState(size_t endpoint, EndpointState state);

  [[nodiscard]] std::optional<size_t> Find(const std::string& id) const;
  Endpoint& operator[](size_t endpoint) { return records_.endpoints[endpoint]; }
  const Endpoint& operator[](size_t endpoint) const { return records_.endpoints[endpoint]; }
  // Indices run from 0 to size() - 1; among them are those of removed endpoints.
  [[nodiscard]] size_t size() const { return records_.endpoints.size(); }
  // Endpoints in state kUp.
  [[nodiscard]] size_t up_count() const { return up_count_; }
  // The estimate that all endpoints of this one's kind share.
  ThroughputEstimate& MachineKind(const Endpoint& endpoint) {
    return records_.machine_kinds[endpoint.info.machine_kind];
  }
  [[nodiscard]] const ThroughputEstimate& MachineKind(const Endpoint& endpoint) const {
    return records_.machine_kinds[endpoint.info.machine_kind];
  }

 private:
  void RemoveAll();
  size_t ApplyInfo(const EndpointInfo& info, const IsReferenced& is_referenced);

  EndpointRecords& records_;
  std::set<size_t> removed_;  // exactly the indices in state kRemoved
  size_t up_count_ = 0;
};

inline bool IsUp(const Endpoint& endpoint) {
  return endpoint.info.state == EndpointState::kUp;
}

}  // namespace paddlestile

#endif  // PADDLESTILE_BALANCER_ENDPOINT_TABLE_H_
