#include "raft/persistent_state.h"

#include <algorithm>
#include <cstddef>

namespace paddlestile::raft {

void ApplyStorageWrite(PersistentState& state, const StorageWrite& write) {
  state.commit_index = std::max(state.commit_index, write.commit_index);
  if (write.commit_only) {
    return;
  }
  state.current_term = write.current_term;
  state.voted_for = write.voted_for;
  if (write.snapshot) {
    state.snapshot = *write.snapshot;
    state.log.clear();
  }
  if (write.first_index == 0) {
    return;
  }
  const size_t kept_entries = write.first_index - state.snapshot.index - 1;
  state.log.resize(std::min<size_t>(state.log.size(), kept_entries));
  state.log.insert(state.log.end(), write.entries.begin(), write.entries.end());
}

}  // namespace paddlestile::raft
