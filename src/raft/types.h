// Basic types of the Raft implementation: log positions, voters, log entries and snapshots.
// raft/codec.h encodes them positionally for storage and for the wire.
#ifndef PADDLESTILE_RAFT_TYPES_H_
#define PADDLESTILE_RAFT_TYPES_H_

#include <compare>
#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace paddlestile::raft {

// Position of an entry in the log. The first entry has index 1; 0 is the position before it.
using Index = uint64_t;

// Election term. Increases monotonically; at most one leader is elected per term.
using Term = uint64_t;

// A position in a log, usually its end. Of two logs, the one with the greater end is more up to
// date (section 5.4.1 of the Raft paper).
struct LogPosition {
  Term term = 0;  // of the entry at `index`
  Index index = 0;
  auto operator<=>(const LogPosition&) const = default;
};

// Maximum number of voters in one configuration.
inline constexpr size_t kMaxVoters = 9;

// Identity of a voter. A member that comes back with an empty storage folder keeps its name but
// gets a new incarnation, and thus does not count as the same voter.
struct Voter {
  std::string name;
  uint64_t incarnation = 0;
  auto operator<=>(const Voter&) const = default;
};

// One entry of the replicated log. Entries with the same index and term are identical on all
// members, and so are all entries before them (the Log Matching property of the Raft paper).
struct LogEntry {
  // The numeric values are stored and sent, and must not change.
  enum class Kind : uint8_t {
    kNone,    // no content; a new leader appends one at the start of its term
    kVoters,  // changes the voter configuration
    kData     // contains a command for the state machine
  };
  Term term = 0;  // of the leader that created the entry
  Kind kind = Kind::kNone;
  std::string bytes;          // of kData, opaque to Raft; otherwise empty
  std::vector<Voter> voters;  // of kVoters, the configuration from this entry on; otherwise empty
  bool operator==(const LogEntry&) const = default;
};

// Replaces all log entries up to and including `index`, all of which are committed.
struct Snapshot {
  Index index = 0;            // of the last entry that the snapshot covers; 0: covers none
  Term term = 0;              // of that entry
  std::vector<Voter> voters;  // the configuration as of `index`
  std::string bytes;          // the state machine as of `index`, opaque to Raft
  bool operator==(const Snapshot&) const = default;
};

}  // namespace paddlestile::raft

#endif  // PADDLESTILE_RAFT_TYPES_H_
