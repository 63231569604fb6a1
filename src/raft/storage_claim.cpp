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
  // Everything claimed before this start must have been in storage at this start.
  return claim.term > own.term_at_start ||
         (claim.term == own.term_at_start && claim.match_index > own.last_index_at_start);
}

void KnownClaims::Remember(const std::string& member, const StorageClaim& claim) {
  if (claim.incarnation == 0) {
    return;
  }
  StorageClaim& known = claims_[member];
  const auto order_key = [](const StorageClaim& value) {
    return std::tuple(value.restart_count, value.term, value.match_index);
  };
  if (known.incarnation != claim.incarnation) {
    known = claim;
  } else if (order_key(known) < order_key(claim)) {
    // A restart within a term does not invalidate the acknowledgements given in that term.
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
