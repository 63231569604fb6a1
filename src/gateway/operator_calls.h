// Operators' calls that come on the members' port as JSON values: status, history, change requests.
// Decides what a call asks for and remembers which calls wait for a change's result. Does no I/O.
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
  // What a call asks for.
  struct Request {
    enum class Kind : uint8_t {
      kStatus,   // to be replied to with the member's status
      kHistory,  // to be replied to with HistoryReply()
      kChange,   // `change` is to be submitted to the cluster
      kUnknown   // to be replied to with an error
    };
    Kind kind = Kind::kUnknown;
    std::optional<cluster::ChangeRequest> change;  // of kChange
  };
  // Decodes a call; one that cannot be read is kUnknown.
  [[nodiscard]] static Request ParseRequest(const nlohmann::json& value);

  // The versions that `history` remembers. `value` may name those to send with their text under
  // "texts"; else the newest that fit into one reply have it.
  [[nodiscard]] static nlohmann::json HistoryReply(const nlohmann::json& value,
                                                   const cluster::VersionHistory& history);

  // The reply that refuses this change before it is submitted, as this gateway could not act on it
  // or too many calls wait already; nothing: it may be submitted.
  [[nodiscard]] std::optional<nlohmann::json> RejectionOf(const cluster::ChangeRequest& request,
                                                          const cluster::VersionHistory& history,
                                                          const VersionApplier& applier) const;

  // Registers a call that waits for a change's result; its request number, never used before.
  uint64_t AddPending(uint64_t call);
  // The call that waits under this request number, which is forgotten; nothing where none does.
  std::optional<uint64_t> TakePending(uint64_t request_number);

  [[nodiscard]] static nlohmann::json ResultReply(const cluster::ChangeResult& result);
  [[nodiscard]] static nlohmann::json ErrorReply(const std::string& text);

 private:
  uint64_t next_request_number_ = 1;
  std::map<uint64_t, uint64_t> pending_calls_;  // request number to call
};

}  // namespace paddlestile

#endif  // PADDLESTILE_GATEWAY_OPERATOR_CALLS_H_
