// The actions that a Raft node requests from its owner after an event: writes to storage, messages
// to send, and entries to apply.
#ifndef PADDLESTILE_RAFT_RAFT_OUTPUT_H_
#define PADDLESTILE_RAFT_RAFT_OUTPUT_H_

#include <cstdint>
#include <optional>
#include <vector>

#include "raft/messages.h"
#include "raft/persistent_state.h"
#include "raft/types.h"

namespace paddlestile::raft {

struct OutgoingMessage {
  Message message;
  // Must not be sent before the write with this number is durable; 0: send immediately.
  uint64_t after_sequence_number = 0;
};

// A committed entry to apply, or a snapshot that replaces all entries up to `index`.
struct AppliedEntry {
  Index index = 0;
  LogEntry entry;                    // default if `snapshot` is set
  std::optional<Snapshot> snapshot;  // replaces the entire state machine
};

// The owner must process each list in order. Events only append to the lists, so one output may
// collect the actions of several events.
struct RaftOutput {
  std::vector<StorageWrite> writes;
  std::vector<OutgoingMessage> messages;
  std::vector<AppliedEntry> applied;
  // This member's storage was rolled back: the node has stopped participating and must be replaced
  // by one with a new incarnation. See raft/storage_claim.h.
  bool storage_rolled_back = false;
};

}  // namespace paddlestile::raft

#endif  // PADDLESTILE_RAFT_RAFT_OUTPUT_H_
