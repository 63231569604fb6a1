// Operators' calls, which arrive as JSON values on the port of the members: status, history and
// change requests. Parses the calls and keeps track of those that wait for the result of a change.
// Does no I/O.
#ifndef PADDLESTILE_GATEWAY_OPERATOR_CALLS_H_
#define PADDLESTILE_GATEWAY_OPERATOR_CALLS_H_

#include <cstdint>
#include <map>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>

#include "cluster/cluster_member.h"
#include "gateway/version_applier.h"

namespace paddlestile {

class OperatorCalls {
 public:
  // A parsed call.
  struct Request {
    enum class Kind : uint8_t {
      kStatus,   // the reply is the member's status
      kHistory,  // the reply is HistoryReply()
      kChange,   // `change` is submitted to the cluster, and the reply is its result
      kUnknown   // the reply is an error
    };
    Kind kind = Kind::kUnknown;
    std::optional<cluster::ChangeRequest> change;  // set if the kind is kChange
  };
  // Parses a call. A malformed one is of kind kUnknown.
  [[nodiscard]] static Request ParseRequest(const nlohmann::json& value);

  // Returns the reply with all versions in `history`. The call `value` may list under "texts" the
  // numbers of the versions whose text is wanted; by default all texts are. The newest texts that
  // fit into one reply are included.
  [[nodiscard]] static nlohmann::json HistoryReply(const nlohmann::json& value,
                                                   const cluster::VersionHistory& history);

  // Returns the reply that rejects a request before it is submitted, because this gateway could not
  // apply the change or too many calls are pending. Returns nullopt if it may be submitted.
  // `is_current`: this member holds a lease, so that `history` has every version in force.
  // Otherwise a delta that seems not to be applicable is not refused for good, but is to be
  // submitted again.
  [[nodiscard]] std::optional<nlohmann::json> RejectionOf(const cluster::ChangeRequest& request,
                                                          const cluster::VersionHistory& history,
                                                          const VersionApplier& applier,
                                                          bool is_current) const;

  // Registers a call that waits for the result of a change, and returns a new request number for
  // it.
  uint64_t AddPending(uint64_t call);
  // Removes and returns the call with this request number. Returns nullopt if none is pending.
  std::optional<uint64_t> TakePending(uint64_t request_number);

  [[nodiscard]] static nlohmann::json ResultReply(const cluster::ChangeResult& result);
  [[nodiscard]] static nlohmann::json ErrorReply(const std::string& text);

 private:
  uint64_t next_request_number_ = 1;
  std::map<uint64_t, uint64_t> pending_calls_;  // request number to call
};

}  // namespace paddlestile

#endif  // PADDLESTILE_GATEWAY_OPERATOR_CALLS_H_
