#include "raft/raft_log.h"

#include <utility>

namespace paddlestile::raft {
namespace {

constexpr size_t kEntryOverheadBytes = 32;  // in addition to LogEntry::bytes
constexpr size_t kVoterBytes = 32;

}  // namespace

size_t SizeInBytes(const LogEntry& entry) {
  return kEntryOverheadBytes + entry.bytes.size() + kVoterBytes * entry.voters.size();
}

RaftLog::RaftLog(Snapshot snapshot, const std::vector<LogEntry>& entries)
    : snapshot_(std::move(snapshot)), entries_(entries.begin(), entries.end()) {
  RebuildVoterConfigurations();
}

Term RaftLog::TermAt(Index index) const {
  if (index == snapshot_.index) {
    return snapshot_.term;
  }
  if (index < snapshot_.index || index > last_index()) {
    return 0;
  }
  return EntryAt(index).term;
}

std::vector<LogEntry> RaftLog::EntriesAfterSnapshot() const {
  return {entries_.begin(), entries_.end()};
}

const std::vector<Voter>& RaftLog::VotersAt(Index index) const {
  size_t position = voter_configurations_.size() - 1;
  while (position > 0 && voter_configurations_[position].index > index) {
    --position;
  }
  return voter_configurations_[position].voters;
}

void RaftLog::Append(LogEntry entry) {
  entries_.push_back(std::move(entry));
  const LogEntry& appended = entries_.back();
  if (appended.kind == LogEntry::Kind::kVoters) {
    voter_configurations_.push_back({last_index(), appended.voters});
  }
}

void RaftLog::TruncateFrom(Index index) {
  entries_.resize(index - snapshot_.index - 1);
  while (voter_configurations_.size() > 1 && voters_index() >= index) {
    voter_configurations_.pop_back();
  }
}

void RaftLog::InstallSnapshot(const Snapshot& snapshot) {
  const bool contains_last_entry =
      snapshot.index <= last_index() && TermAt(snapshot.index) == snapshot.term;
  if (contains_last_entry) {
    entries_.erase(entries_.begin(),
                   entries_.begin() + static_cast<long>(snapshot.index - snapshot_.index));
  } else {
    entries_.clear();
  }
  snapshot_ = snapshot;
  RebuildVoterConfigurations();
}

void RaftLog::CompactTo(Index index, std::string bytes) {
  Snapshot snapshot{index, TermAt(index), VotersAt(index), std::move(bytes)};
  entries_.erase(entries_.begin(), entries_.begin() + static_cast<long>(index - snapshot_.index));
  snapshot_ = std::move(snapshot);
  RebuildVoterConfigurations();
}

void RaftLog::RebuildVoterConfigurations() {
  voter_configurations_.assign(1, {snapshot_.index, snapshot_.voters});
  for (Index index = first_index(); index <= last_index(); ++index) {
    const LogEntry& entry = EntryAt(index);
    if (entry.kind == LogEntry::Kind::kVoters) {
      voter_configurations_.push_back({index, entry.voters});
    }
  }
}

}  // namespace paddlestile::raft
