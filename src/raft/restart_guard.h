// Restricts a voter's participation in elections after a restart.
//
// The voter's storage may have been rolled back while it was down. It then lacks votes that it gave
// and entries that were committed with its acknowledgement. StorageClaim detects this if a member
// that remembers the voter's claims is reachable, but such a member may be unreachable or may have
// restarted too. Therefore a restarted voter first waits until it has heard from so many other
// voters that at least one of them has everything that it may have lost. It then votes only for
// candidates whose log is at least as up to date as any log it has heard of.
//
// The wait is bounded, because the missing voters may never come back. When it ends, the voter
// participates with the state that it has.
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
  // Never restricts voting. For the first start of a storage folder, which cannot have lost
  // anything.
  RestartGuard() = default;
  // Restricts voting until `ends_at` at the latest. `self` is the name of this member.
  RestartGuard(std::string self, Time ends_at) : self_(std::move(self)), ends_at_(ends_at) {}

  // A message from `member` arrived that shows the end of its log and its current term.
  void OnHeardFrom(Time now, const std::string& member, LogPosition log_end, Term current_term,
                   const std::vector<Voter>& voters);
  // `member` has connected with a storage incarnation other than that of the voter with its name:
  // the data of that voter is lost, so there is nothing to wait for. The member counts as heard
  // from `counts_from` on.
  void OnStorageReplaced(const std::string& member, Time counts_from);

  // Whether this member may vote, in `term`, for a candidate whose log ends at `log_end`. The
  // candidate may be this member itself.
  [[nodiscard]] bool MayVote(Time now, Term term, LogPosition log_end,
                             const std::vector<Voter>& voters) const;
  // The greatest term heard of. This member may have voted in any term up to it.
  [[nodiscard]] Term greatest_term_heard() const { return greatest_term_heard_; }

 private:
  // Whether the voters heard from include at least one other member of every majority that
  // contains this member, and hence of any majority that committed an entry with it. False if no
  // voters are known: the log may have been rolled back to before its first configuration.
  [[nodiscard]] bool HasHeardFromQuorum(Time now, const std::vector<Voter>& voters) const;

  std::string self_;
  Time ends_at_{-1};
  std::map<std::string, Time> counts_from_;  // by name of a member heard from
  LogPosition newest_log_end_;               // among the members heard from
  Term greatest_term_heard_ = 0;
};

}  // namespace paddlestile::raft

#endif  // PADDLESTILE_RAFT_RESTART_GUARD_H_
