// Detects storage that was rolled back, for example restored from a backup. Such storage lacks
// votes and acknowledgements that other members rely on.
//
// Every message carries a claim that states what the sender's storage contains, and the receiver's
// latest claim that the sender remembers. If a member receives a claim of its own that is newer
// than its storage, that storage has been rolled back, and the member must stop participating.
#ifndef PADDLESTILE_RAFT_STORAGE_CLAIM_H_
#define PADDLESTILE_RAFT_STORAGE_CLAIM_H_

#include <cstdint>
#include <map>
#include <string>

#include "raft/types.h"

namespace paddlestile::raft {

// States what a member's storage contains. Claims are compared by restart count, then term, then
// match index; within one incarnation a later claim never compares less.
struct StorageClaim {
  uint64_t incarnation = 0;    // of the storage; 0: no claim
  uint64_t restart_count = 0;  // starts of that incarnation so far
  Term term = 0;               // the current term
  Index match_index = 0;       // greatest index acknowledged to the leader of `term`
};

// A member's own storage, against which claims that others remember are checked.
struct OwnStorage {
  uint64_t incarnation = 0;
  uint64_t restart_count = 0;
  Term term_at_start = 0;         // read from storage at the last start
  Index last_index_at_start = 0;  // read from storage at the last start
};

// Whether `claim` proves that the own storage was rolled back, as it once contained more than now.
// `current_term` is the term that storage contains now. Claims of other incarnations are ignored.
bool IsRolledBack(const OwnStorage& own, Term current_term, const StorageClaim& claim);

// Stores the latest claim of every other member.
class KnownClaims {
 public:
  // Stores the claim of `member` if it is newer than the known one or of another incarnation. A
  // claim with incarnation 0 is ignored.
  void Remember(const std::string& member, const StorageClaim& claim);

  // Returns the latest claim of `member`, or one with incarnation 0 if there is none.
  [[nodiscard]] StorageClaim Of(const std::string& member) const;

 private:
  std::map<std::string, StorageClaim> claims_;
};

}  // namespace paddlestile::raft

#endif  // PADDLESTILE_RAFT_STORAGE_CLAIM_H_
