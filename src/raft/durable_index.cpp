#include "raft/durable_index.h"

#include <algorithm>

namespace paddlestile::raft {

uint64_t DurableIndex::AddWrite(Index last_log_index) {
  ++last_sequence_number_;
  pending_writes_.push_back({last_sequence_number_, last_log_index});
  return last_sequence_number_;
}

void DurableIndex::LimitTo(Index index) {
  last_index_ = std::min(last_index_, index);
  for (PendingWrite& write : pending_writes_) {
    write.last_index = std::min(write.last_index, index);
  }
}

void DurableIndex::OnDurable(uint64_t sequence_number, Index last_log_index) {
  while (!pending_writes_.empty() && pending_writes_.front().sequence_number <= sequence_number) {
    last_index_ = pending_writes_.front().last_index;
    pending_writes_.pop_front();
  }
  last_index_ = std::min(last_index_, last_log_index);
}

}  // namespace paddlestile::raft
