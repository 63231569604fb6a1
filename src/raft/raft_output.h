// What a Raft node asks of its owner after an event: writes, messages, entries to apply.
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
  // To be sent only once the write with this number is durable; 0: at once.
  uint64_t after_sequence_number = 0;
};

// A committed entry, or a snapshot in place of all entries up to `index`.
struct AppliedEntry {
  Index index = 0;
  LogEntry entry;                    // default if `snapshot` is set
  std::optional<Snapshot> snapshot;  // replaces all of the state machine
};

// Each list is in the order in which the owner must carry it out. The lists only ever grow: one
// output may collect several events.
struct RaftOutput {
  std::vector<StorageWrite> writes;
  std::vector<OutgoingMessage> messages;
  std::vector<AppliedEntry> applied;
  // This member's storage was rolled back: the node takes no part any more, and must be replaced
  // by one with a new incarnation. See raft/storage_claim.h.
  bool storage_rolled_back = false;
};

}  // namespace paddlestile::raft

#endif  // PADDLESTILE_RAFT_RAFT_OUTPUT_H_
