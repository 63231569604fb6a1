// The endpoints of the endpoint list, by index, and the machine kinds that they run on.
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

// Whether anything still refers to an endpoint by its index; the index is then not reused.
using IsReferenced = std::function<bool(size_t endpoint)>;

// Applies endpoint updates to the records, which must outlive the table. An index is reused for a
// new id only after its endpoint was removed and nothing refers to it.
class EndpointTable {
 public:
  struct UpdateResult {
    std::vector<size_t> newly_up;      // endpoints that became kUp, in list order
    bool subset_needs_refill = false;  // a member of the subset may no longer be up
  };

  explicit EndpointTable(EndpointRecords& records) : records_(records) {}

  // Applies an update of any kind except kFailed. An endpoint with a later start time than before
  // has restarted: what was learned of it is discarded.
  UpdateResult Apply(const EndpointUpdate& update, const IsReferenced& is_referenced);
  // Returns the index of an id; creates a record for an unknown id.
  size_t IndexFor(const std::string& id, const IsReferenced& is_referenced);
  void SetState(size_t endpoint, EndpointState state);

  [[nodiscard]] std::optional<size_t> Find(const std::string& id) const;
  Endpoint& operator[](size_t endpoint) { return records_.endpoints[endpoint]; }
  const Endpoint& operator[](size_t endpoint) const { return records_.endpoints[endpoint]; }
  // Indices run from 0 to size() - 1, including those of removed endpoints.
  [[nodiscard]] size_t size() const { return records_.endpoints.size(); }
  // The number of endpoints in state kUp.
  [[nodiscard]] size_t up_count() const { return up_count_; }
  // The estimate for the endpoint's machine kind, shared by all endpoints of that kind.
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
  std::set<size_t> removed_;  // the indices in state kRemoved
  size_t up_count_ = 0;
};

inline bool IsUp(const Endpoint& endpoint) {
  return endpoint.info.state == EndpointState::kUp;
}

}  // namespace paddlestile

#endif  // PADDLESTILE_BALANCER_ENDPOINT_TABLE_H_
