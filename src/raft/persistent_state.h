// The state that a Raft node keeps in stable storage, and the writes that change it.
#ifndef PADDLESTILE_RAFT_PERSISTENT_STATE_H_
#define PADDLESTILE_RAFT_PERSISTENT_STATE_H_

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "raft/types.h"

namespace paddlestile::raft {

// State that survives a restart. The log starts at index snapshot.index + 1.
struct PersistentState {
  uint64_t incarnation = 0;    // random ID of the storage folder; 0: not assigned yet
  uint64_t restart_count = 0;  // starts of this incarnation, including the current one
  Term current_term = 0;       // latest term seen; never decreases
  std::string voted_for;       // candidate voted for in current_term; empty: none
  Snapshot snapshot;
  std::vector<LogEntry> log;  // log[i] has index snapshot.index + 1 + i
  Index commit_index = 0;     // lower bound of the committed index; may lag behind
};

// One change of the persistent state. A write is atomic and becomes durable only after all earlier
// writes.
struct StorageWrite {
  uint64_t sequence_number = 0;  // incremented with each write that is not commit_only
  Term current_term = 0;
  std::string voted_for;
  Index first_index = 0;             // the log is replaced from this index on; 0: no entries
  std::vector<LogEntry> entries;     // the log from first_index on
  std::optional<Snapshot> snapshot;  // replaces the snapshot and the entire log
  Index commit_index = 0;
  // Only commit_index has changed: nothing waits for this write, and it may be dropped. It has the
  // sequence number of the preceding write.
  bool commit_only = false;
};

// Applies `write` to `state`. This is the reference semantics of a write for all kinds of storage.
void ApplyStorageWrite(PersistentState& state, const StorageWrite& write);

}  // namespace paddlestile::raft

#endif  // PADDLESTILE_RAFT_PERSISTENT_STATE_H_
