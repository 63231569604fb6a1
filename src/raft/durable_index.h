// Tracks which storage writes are durable and, derived from that, the last durable log index.
#ifndef PADDLESTILE_RAFT_DURABLE_INDEX_H_
#define PADDLESTILE_RAFT_DURABLE_INDEX_H_

#include <cstdint>
#include <deque>

#include "raft/types.h"

namespace paddlestile::raft {

class DurableIndex {
 public:
  // `last_index` is the last index of the log that was read from storage.
  explicit DurableIndex(Index last_index) : last_index_(last_index) {}

  // Assigns the next sequence number to a write after which the log ends at `last_log_index`.
  uint64_t AddWrite(Index last_log_index);

  // The entries after `index` were replaced: all earlier writes, pending or durable, now count only
  // up to `index`.
  void LimitTo(Index index);

  // All writes up to `sequence_number` are durable. `last_log_index` is the current end of the log.
  void OnDurable(uint64_t sequence_number, Index last_log_index);

  // Sequence number of the latest write; 0 before the first.
  [[nodiscard]] uint64_t last_sequence_number() const { return last_sequence_number_; }

  // The current log is durable up to this index.
  [[nodiscard]] Index last_index() const { return last_index_; }

 private:
  struct PendingWrite {
    uint64_t sequence_number = 0;
    Index last_index = 0;  // last index that is durable once this write is
  };
  std::deque<PendingWrite> pending_writes_;  // by ascending sequence number
  uint64_t last_sequence_number_ = 0;
  Index last_index_;
};

}  // namespace paddlestile::raft

#endif  // PADDLESTILE_RAFT_DURABLE_INDEX_H_
