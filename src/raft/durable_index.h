// Tracks which storage writes are durable, and up to which index the log is durable by them.
#ifndef PADDLESTILE_RAFT_DURABLE_INDEX_H_
#define PADDLESTILE_RAFT_DURABLE_INDEX_H_

#include <cstdint>
#include <deque>

#include "raft/types.h"

namespace paddlestile::raft {

class DurableIndex {
 public:
  // `last_index` is the last index of the log as found in storage.
  explicit DurableIndex(Index last_index) : last_index_(last_index) {}

  // Assigns the next sequence number to a write after which the log ends at `last_log_index`.
  uint64_t AddWrite(Index last_log_index);

  // The entries behind `index` were replaced: writes that are still pending, and those that are
  // durable, hold the log only up to `index`.
  void LimitTo(Index index);

  // All writes up to `sequence_number` are durable. The log ends at `last_log_index` now.
  void OnDurable(uint64_t sequence_number, Index last_log_index);

  // Sequence number of the latest write; 0 before the first.
  [[nodiscard]] uint64_t last_sequence_number() const { return last_sequence_number_; }

  // Last index up to which the current log is durable.
  [[nodiscard]] Index last_index() const { return last_index_; }

 private:
  struct PendingWrite {
    uint64_t sequence_number = 0;
    Index last_index = 0;  // up to which the log is durable once this write is
  };
  std::deque<PendingWrite> pending_writes_;  // by ascending sequence number
  uint64_t last_sequence_number_ = 0;
  Index last_index_;
};

}  // namespace paddlestile::raft

#endif  // PADDLESTILE_RAFT_DURABLE_INDEX_H_
