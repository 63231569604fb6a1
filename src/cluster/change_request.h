// Operators' change requests, their results, and the messages by which members forward them. No
// I/O.
#ifndef PADDLESTILE_CLUSTER_CHANGE_REQUEST_H_
#define PADDLESTILE_CLUSTER_CHANGE_REQUEST_H_

#include <cstdint>
#include <optional>
#include <string>

namespace paddlestile::cluster {

// A change of the replicated configuration.
struct Change {
  std::string id;               // chosen by the submitter; changes with the same ID are the same
  std::string author, reason;   // informational
  double submitted_unix_s = 0;  // informational
  std::optional<uint64_t> expected_version;  // refused if this is not the latest version on apply
  std::string document;                      // a whole version or a delta
  bool is_delta = false;  // `document` is a delta to the version that is the latest on apply
};

struct ChangeRequest {
  // The numeric values are part of the wire protocol.
  enum class Kind : uint8_t {
    kChange,
    kAddVoter,
    kRemoveVoter,
    kReplaceVoter
  };
  Kind kind = Kind::kChange;
  Change change;     // for kChange; the other kinds use only its ID and author
  std::string name;  // the voter's name, for the other kinds
};

struct ChangeResult {
  // The numeric values are part of the wire protocol.
  enum class Kind : uint8_t {
    kDone,      // committed, and in force on every gateway that holds a lease
    kRefused,   // not accepted; a change with this ID will never be
    kNoLeader,  // not accepted because no leader could be reached
    kUnknown    // possibly accepted; to be submitted again with the same ID
  };
  Kind kind = Kind::kUnknown;
  std::string id;        // of the change
  uint64_t version = 0;  // created by the change; 0: none
  std::string text;      // informational: why the change was not done
};

// Exchanged between members in addition to the Raft messages.
struct MemberMessage {
  std::string from, to;
  std::optional<ChangeRequest> request;  // forwarded to the leader
  std::optional<ChangeResult> result;    // from the leader, for a forwarded request
};

}  // namespace paddlestile::cluster

#endif  // PADDLESTILE_CLUSTER_CHANGE_REQUEST_H_
