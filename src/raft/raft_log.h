// The log in memory: a snapshot, the entries behind it, and the voter configurations in them.
#ifndef PADDLESTILE_RAFT_RAFT_LOG_H_
#define PADDLESTILE_RAFT_RAFT_LOG_H_

#include <cstddef>
#include <deque>
#include <string>
#include <vector>

#include "raft/types.h"

namespace paddlestile::raft {

// Bytes that `entry` counts for where the work of an event or a message is limited.
size_t SizeInBytes(const LogEntry& entry);

class RaftLog {
 public:
  // The log as found in storage; `entries` begin at snapshot.index + 1.
  RaftLog(Snapshot snapshot, const std::vector<LogEntry>& entries);

  [[nodiscard]] const Snapshot& snapshot() const { return snapshot_; }
  [[nodiscard]] Index first_index() const { return snapshot_.index + 1; }
  [[nodiscard]] Index last_index() const { return snapshot_.index + entries_.size(); }
  [[nodiscard]] Term last_term() const { return TermAt(last_index()); }

  // The entry at `index`, which must be in [first_index(), last_index()].
  [[nodiscard]] const LogEntry& EntryAt(Index index) const {
    return entries_[index - snapshot_.index - 1];
  }
  // The term of the entry at `index`, also for the last one in the snapshot. 0 where the log does
  // not know it.
  [[nodiscard]] Term TermAt(Index index) const;
  // A copy of all entries behind the snapshot.
  [[nodiscard]] std::vector<LogEntry> EntriesBehindSnapshot() const;

  // The latest configuration, in force from when it is in the log, committed or not.
  [[nodiscard]] const std::vector<Voter>& voters() const {
    return voter_configurations_.back().voters;
  }
  // Index of the entry with that configuration, or of the snapshot.
  [[nodiscard]] Index voters_index() const { return voter_configurations_.back().index; }

  // Appends at last_index() + 1.
  void Append(LogEntry entry);
  // Removes the entry at `index`, which must be behind the snapshot, and all after it.
  void TruncateFrom(Index index);
  // Takes over a leader's snapshot. Entries behind it stay if the log holds its last entry.
  void InstallSnapshot(const Snapshot& snapshot);
  // Replaces the entries up to `index`, which must be in the log, by a snapshot with `bytes`.
  void CompactTo(Index index, std::string bytes);

 private:
  struct VoterConfiguration {
    Index index = 0;  // of the entry that made it, or of the snapshot
    std::vector<Voter> voters;
  };
  [[nodiscard]] const std::vector<Voter>& VotersAt(Index index) const;
  void RebuildVoterConfigurations();

  Snapshot snapshot_;
  std::deque<LogEntry> entries_;  // entries_[i] has index snapshot_.index + 1 + i
  // By ascending index. Never empty: the first is the snapshot's.
  std::vector<VoterConfiguration> voter_configurations_;
};

}  // namespace paddlestile::raft

#endif  // PADDLESTILE_RAFT_RAFT_LOG_H_
