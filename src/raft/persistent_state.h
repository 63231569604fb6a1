// What a Raft node keeps in stable storage, and the writes by which it changes that.
#ifndef PADDLESTILE_RAFT_PERSISTENT_STATE_H_
#define PADDLESTILE_RAFT_PERSISTENT_STATE_H_

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "raft/types.h"

namespace paddlestile::raft {

// State that survives a restart. The log holds the entries from snapshot.index + 1 on.
struct PersistentState {
  uint64_t incarnation = 0;    // drawn once for a storage folder; 0: not drawn yet
  uint64_t restart_count = 0;  // starts of this incarnation, the current one included
  Term current_term = 0;       // latest term seen; never decreases
  std::string voted_for;       // candidate that got the vote in current_term; empty: none
  Snapshot snapshot;
  std::vector<LogEntry> log;  // log[i] has index snapshot.index + 1 + i
  Index commit_index = 0;     // a lower bound of what is committed; may lag behind
};

// One change of the persistent state. Becomes durable completely or not at all, after all earlier
// writes.
struct StorageWrite {
  uint64_t sequence_number = 0;  // grows by one with each write that is not commit_only
  Term current_term = 0;
  std::string voted_for;
  Index first_index = 0;             // of `entries`, which replace the log from there on; 0: none
  std::vector<LogEntry> entries;     // the log from first_index on
  std::optional<Snapshot> snapshot;  // replaces the snapshot and all of the log
  Index commit_index = 0;
  // Only commit_index is new: nothing waits for this write, and it may be dropped. Its sequence
  // number is that of the write before it.
  bool commit_only = false;
};

// Applies `write` to `state`. Defines the meaning of a write for every kind of storage.
void ApplyStorageWrite(PersistentState& state, const StorageWrite& write);

}  // namespace paddlestile::raft

#endif  // PADDLESTILE_RAFT_PERSISTENT_STATE_H_
