#include "raft/restart_guard.h"

#include <algorithm>

namespace paddlestile::raft {

void RestartGuard::OnHeardFrom(Time now, const std::string& member, LogPosition log_end,
                               Term current_term, const std::vector<Voter>& voters) {
  // Once a quorum was heard, this member votes normally. Later messages must not tighten the
  // restriction: candidates keep raising their terms and would never get this member's vote.
  if (now >= ends_at_ || HasHeardFromQuorum(now, voters)) {
    return;
  }
  counts_from_[member] = now;
  newest_log_end_ = std::max(newest_log_end_, log_end);
  greatest_term_heard_ = std::max(greatest_term_heard_, current_term);
}

void RestartGuard::OnStorageReplaced(const std::string& member, Time counts_from) {
  counts_from_.emplace(member, counts_from);
}

bool RestartGuard::MayVote(Time now, Term term, LogPosition log_end,
                           const std::vector<Voter>& voters) const {
  if (now >= ends_at_) {
    return true;
  }
  return HasHeardFromQuorum(now, voters) && term > greatest_term_heard_ &&
         log_end >= newest_log_end_;
}

bool RestartGuard::HasHeardFromQuorum(Time now, const std::vector<Voter>& voters) const {
  const auto is_heard = [&](const Voter& voter) {
    const auto found = counts_from_.find(voter.name);
    return voter.name != self_ && found != counts_from_.end() && found->second <= now;
  };
  const auto heard = static_cast<size_t>(std::ranges::count_if(voters, is_heard));
  // A minimal majority consists of this member and size / 2 others. Any size / 2 others include one
  // that was heard if fewer than size / 2 were not heard. At most all others can be heard.
  const size_t size = voters.size();
  return size > 0 && heard >= std::min(size - 1, size - size / 2);
}

}  // namespace paddlestile::raft
