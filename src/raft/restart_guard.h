// What a voter that restarted must know before it takes part in elections again.
//
// Its storage may have been rolled back while it was down: it has then forgotten votes, and entries
// that were committed with its acknowledgement. StorageClaim finds that out where a member that
// remembers the claims is heard. But such a member may be unreachable, or may have restarted too.
// So after a restart a voter first hears enough of the other voters that one of them holds whatever
// this one may have forgotten, and then votes for no candidate that lacks it.
//
// The wait is bounded, as the voters that are missing may never come back: after it the voter
// takes part with what it has.
#ifndef PADDLESTILE_RAFT_RESTART_GUARD_H_
#define PADDLESTILE_RAFT_RESTART_GUARD_H_

#include <cstddef>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include "base/time.h"
#include "raft/types.h"

namespace paddlestile::raft {

class RestartGuard {
 public:
  // Never restricts anything: for storage in its first start, which can have forgotten nothing.
  RestartGuard() = default;
  // Restricts until `ends_at` at the latest. `self` is the name of this member.
  RestartGuard(std::string self, Time ends_at) : self_(std::move(self)), ends_at_(ends_at) {}

  // A member was heard: the end of its log, and its current term.
  void OnHeard(Time now, const std::string& member, LogPosition log_end, Term current_term,
               const std::vector<Voter>& voters);
  // A member has other storage than the voter of its name: what that voter held is lost, and
  // nothing that is heard later can bring it back. It counts as heard from `counts_from` on.
  void OnStorageReplaced(const std::string& member, Time counts_from);

  // Whether this member may vote, in `term`, for a candidate whose log ends at `log_end`. Also
  // asked for itself.
  [[nodiscard]] bool MayVote(Time now, Term term, LogPosition log_end,
                             const std::vector<Voter>& voters) const;
  // This member may have voted in each term up to this one.
  [[nodiscard]] Term greatest_term_heard() const { return greatest_term_heard_; }

 private:
  // Whether the voters that were heard include, whichever majority once committed an entry with
  // this member, another one of that majority. Not where no voters are known: a log that lacks them
  // may have been rolled back to before it had any.
  [[nodiscard]] bool HasHeardEnough(Time now, const std::vector<Voter>& voters) const;

  std::string self_;
  Time ends_at_{-1};
  std::map<std::string, Time> counts_from_;  // by name of a member that was heard
  LogPosition newest_log_end_;               // of the members that were heard
  Term greatest_term_heard_ = 0;
};

}  // namespace paddlestile::raft

#endif  // PADDLESTILE_RAFT_RESTART_GUARD_H_
