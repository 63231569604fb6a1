// The values that all parts of the Raft implementation share: log positions, voters, log entries
// and snapshots. The layout in which raft/codec.h stores and sends them is positional.
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

// Election term. Grows monotonically; at most one leader is elected in a term.
using Term = uint64_t;

// The end of a log, or a position in it. Of two logs the one with the later end is more up to date
// (section 5.4.1 of the paper).
struct LogPosition {
  Term term = 0;  // of the entry at `index`
  Index index = 0;
  auto operator<=>(const LogPosition&) const = default;
};

// Upper bound on the voters of one configuration.
inline constexpr size_t kMaxVoters = 9;

// Identity of a voter. A member that comes back with an empty storage folder keeps its name but
// draws another incarnation, and thus does not count as the same voter.
struct Voter {
  std::string name;
  uint64_t incarnation = 0;
  auto operator<=>(const Voter&) const = default;
};

// One entry of the replicated log. Entries with equal index and term are equal on all members, and
// so are all entries before them (Log Matching in the paper).
struct LogEntry {
  // The numbers are stored and sent; they must not change.
  enum class Kind : uint8_t {
    kNone,    // carries nothing: what a new leader commits first in its term
    kVoters,  // changes the voter configuration
    kData     // carries bytes for the state machine
  };
  Term term = 0;  // of the leader that created the entry
  Kind kind = Kind::kNone;
  std::string bytes;          // kData: opaque to Raft; otherwise empty
  std::vector<Voter> voters;  // kVoters: the configuration from this entry on; otherwise empty
  bool operator==(const LogEntry&) const = default;
};

// Replaces all log entries up to and including `index`, which are committed.
struct Snapshot {
  Index index = 0;            // of the last entry that the snapshot covers; 0: covers none
  Term term = 0;              // of that entry
  std::vector<Voter> voters;  // the configuration in force at `index`
  std::string bytes;          // state machine at `index`, opaque to Raft
  bool operator==(const Snapshot&) const = default;
};

}  // namespace paddlestile::raft

#endif  // PADDLESTILE_RAFT_TYPES_H_
