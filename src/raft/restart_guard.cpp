#include "raft/restart_guard.h"

#include <algorithm>

namespace paddlestile::raft {

void RestartGuard::OnHeard(Time now, const std::string& member, LogPosition log_end,
                           Term current_term, const std::vector<Voter>& voters) {
  // What members do after enough were heard is no concern: this one votes as usual by then.
  if (now >= ends_at_ || HasHeardEnough(now, voters)) {
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
  return HasHeardEnough(now, voters) && term > greatest_term_heard_ && log_end >= newest_log_end_;
}

bool RestartGuard::HasHeardEnough(Time now, const std::vector<Voter>& voters) const {
  const auto is_heard = [&](const Voter& voter) {
    const auto found = counts_from_.find(voter.name);
    return voter.name != self_ && found != counts_from_.end() && found->second <= now;
  };
  const auto heard = static_cast<size_t>(std::ranges::count_if(voters, is_heard));
  // A majority has size / 2 members beside this one; each choice of those must include one that
  // was heard. At most all others can be heard.
  const size_t size = voters.size();
  return size > 0 && heard >= std::min(size - 1, size - size / 2);
}

}  // namespace paddlestile::raft
