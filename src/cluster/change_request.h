// What an operator asks of the cluster, what comes of it, and how members pass both on. No I/O.
#ifndef PADDLESTILE_CLUSTER_CHANGE_REQUEST_H_
#define PADDLESTILE_CLUSTER_CHANGE_REQUEST_H_

#include <cstdint>
#include <optional>
#include <string>

namespace paddlestile::cluster {

// A change of the replicated configuration.
struct Change {
  std::string id;               // chosen by the submitter; a repeated id is the same change
  std::string author, reason;   // for people
  double submitted_unix_s = 0;  // for people; nothing is decided by it
  std::optional<uint64_t> expected_version;  // refused unless it is the latest when applied
  std::string document;                      // a whole version, or a delta
  bool is_delta = false;  // `document` is a delta to the latest version when it is applied
};

struct ChangeRequest {
  // The numbers are on the wire.
  enum class Kind : uint8_t {
    kChange,
    kAddVoter,
    kRemoveVoter,
    kReplaceVoter
  };
  Kind kind = Kind::kChange;
  Change change;     // of kChange; its id and author count for all kinds
  std::string name;  // the voter's, of the other kinds
};

struct ChangeResult {
  // The numbers are on the wire.
  enum class Kind : uint8_t {
    kDone,      // committed, and acted on by every gateway that may act
    kRefused,   // not taken, and never will be under this id
    kNoLeader,  // not taken: no leader could be reached
    kUnknown    // may have been taken: to be submitted again under the same id
  };
  Kind kind = Kind::kUnknown;
  std::string id;        // of the change
  uint64_t version = 0;  // that it made; 0: none
  std::string text;      // for people: why it was not done
};

// Between members, beside the Raft messages.
struct MemberMessage {
  std::string from, to;
  std::optional<ChangeRequest> request;  // forwarded to the leader
  std::optional<ChangeResult> result;    // the leader's, of a forwarded request
};

}  // namespace paddlestile::cluster

#endif  // PADDLESTILE_CLUSTER_CHANGE_REQUEST_H_
