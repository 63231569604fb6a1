// The in-memory log: a snapshot, the entries after it, and the voter configurations they contain.
#ifndef PADDLESTILE_RAFT_RAFT_LOG_H_
#define PADDLESTILE_RAFT_RAFT_LOG_H_

#include <cstddef>
#include <deque>
#include <string>
#include <vector>

#include "raft/types.h"

namespace paddlestile::raft {

// Returns the size that `entry` contributes to the limits on bytes per message and per event.
size_t SizeInBytes(const LogEntry& entry);

class RaftLog {
 public:
  // Creates the log from the contents of storage. `entries` start at index snapshot.index + 1.
  RaftLog(Snapshot snapshot, const std::vector<LogEntry>& entries);

  [[nodiscard]] const Snapshot& snapshot() const { return snapshot_; }
  [[nodiscard]] Index first_index() const { return snapshot_.index + 1; }
  [[nodiscard]] Index last_index() const { return snapshot_.index + entries_.size(); }
  [[nodiscard]] Term last_term() const { return TermAt(last_index()); }

  // Returns the entry at `index`, which must be in [first_index(), last_index()].
  [[nodiscard]] const LogEntry& EntryAt(Index index) const {
    return entries_[index - snapshot_.index - 1];
  }
  // Returns the term of the entry at `index`, or 0 if it is not known. It is known for all entries
  // in the log and for the last entry that the snapshot covers.
  [[nodiscard]] Term TermAt(Index index) const;
  // Returns a copy of all entries after the snapshot.
  [[nodiscard]] std::vector<LogEntry> EntriesAfterSnapshot() const;

  // The latest voter configuration. It applies as soon as it is in the log, committed or not.
  [[nodiscard]] const std::vector<Voter>& voters() const {
    return voter_configurations_.back().voters;
  }
  // Index of the entry that contains voters(), or the snapshot's index.
  [[nodiscard]] Index voters_index() const { return voter_configurations_.back().index; }

  // Appends `entry` at index last_index() + 1.
  void Append(LogEntry entry);
  // Removes the entry at `index`, which must be after the snapshot, and all later entries.
  void TruncateFrom(Index index);
  // Installs a leader's snapshot. Keeps the entries after it if the log contains the last entry
  // that the snapshot covers, and discards them otherwise.
  void InstallSnapshot(const Snapshot& snapshot);
  // Replaces the entries up to `index`, which must be in the log, with a snapshot that contains
  // `bytes`.
  void CompactTo(Index index, std::string bytes);

 private:
  struct VoterConfiguration {
    Index index = 0;  // of the entry that contains it, or of the snapshot
    std::vector<Voter> voters;
  };
  [[nodiscard]] const std::vector<Voter>& VotersAt(Index index) const;
  void RebuildVoterConfigurations();

  Snapshot snapshot_;
  std::deque<LogEntry> entries_;  // entries_[i] has index snapshot_.index + 1 + i
  // In ascending order of index. Never empty: the first is the snapshot's.
  std::vector<VoterConfiguration> voter_configurations_;
};

}  // namespace paddlestile::raft

#endif  // PADDLESTILE_RAFT_RAFT_LOG_H_
