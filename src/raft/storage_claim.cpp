#include "raft/storage_claim.h"

#include <algorithm>
#include <tuple>

namespace paddlestile::raft {

bool IsRolledBack(const OwnStorage& own, Term current_term, const StorageClaim& claim) {
  if (claim.incarnation != own.incarnation) {
    return false;
  }
  if (claim.restart_count > own.restart_count) {
    return true;
  }
  if (claim.restart_count == own.restart_count) {
    return claim.term > current_term;
  }
  // What was claimed before this start must have been found at this start.
  return claim.term > own.term_at_start ||
         (claim.term == own.term_at_start && claim.match_index > own.last_index_at_start);
}

void KnownClaims::Remember(const std::string& member, const StorageClaim& claim) {
  if (claim.incarnation == 0) {
    return;
  }
  StorageClaim& known = claims_[member];
  const auto age = [](const StorageClaim& of) {
    return std::tuple(of.restart_count, of.term, of.match_index);
  };
  if (known.incarnation != claim.incarnation) {
    known = claim;
  } else if (age(known) < age(claim)) {
    // An acknowledgement in a term stays valid when its member restarts within that term.
    const Index match_index = known.term == claim.term ? known.match_index : 0;
    known = claim;
    known.match_index = std::max(known.match_index, match_index);
  }
}

StorageClaim KnownClaims::Of(const std::string& member) const {
  const auto found = claims_.find(member);
  return found == claims_.end() ? StorageClaim{} : found->second;
}

}  // namespace paddlestile::raft
