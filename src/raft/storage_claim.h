// Detection of storage that was rolled back, for example restored from a copy: it has forgotten
// votes and acknowledgements that other members rely on.
//
// Every message carries a claim of what the sender's storage holds, and the latest claim that the
// sender remembers of the receiver. A member that receives a claim of its own that is newer than
// its storage has been rolled back and must not take part any more.
#ifndef PADDLESTILE_RAFT_STORAGE_CLAIM_H_
#define PADDLESTILE_RAFT_STORAGE_CLAIM_H_

#include <cstdint>
#include <map>
#include <string>

#include "raft/types.h"

namespace paddlestile::raft {

// What one member's storage was acknowledged to hold. Compared by restart count, then term, then
// match index; within one incarnation a later claim never compares less.
struct StorageClaim {
  uint64_t incarnation = 0;    // of the storage; 0: no claim
  uint64_t restart_count = 0;  // starts of that incarnation so far
  Term term = 0;               // the current term
  Index match_index = 0;       // greatest index acknowledged to the leader of `term`
};

// What a member knows of its own storage, against which claims of others are checked.
struct OwnStorage {
  uint64_t incarnation = 0;
  uint64_t restart_count = 0;
  Term term_at_start = 0;         // as storage was found at the last start
  Index last_index_at_start = 0;  // as storage was found at the last start
};

// Whether `claim` shows that storage held more than it does: own storage was rolled back.
// `current_term` is the term that storage holds now. Claims of other incarnations show nothing.
bool IsRolledBack(const OwnStorage& own, Term current_term, const StorageClaim& claim);

// The latest claim of every other member.
class KnownClaims {
 public:
  // Keeps the claim of `member` if it is newer than the known one or of another incarnation. No
  // effect for a claim with incarnation 0.
  void Remember(const std::string& member, const StorageClaim& claim);

  // The latest claim of `member`; one with incarnation 0 if there is none.
  [[nodiscard]] StorageClaim Of(const std::string& member) const;

 private:
  std::map<std::string, StorageClaim> claims_;
};

}  // namespace paddlestile::raft

#endif  // PADDLESTILE_RAFT_STORAGE_CLAIM_H_
