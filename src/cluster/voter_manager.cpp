#include "cluster/voter_manager.h"

#include <algorithm>
#include <utility>

#include "cluster/cluster_entry.h"

namespace paddlestile::cluster {
namespace {

constexpr raft::Index kMaxEntriesBehind = 64;  // for a member to become a voter

auto FindVoter(std::vector<raft::Voter>& voters, const std::string& name) {
  return std::ranges::find(voters, name, &raft::Voter::name);
}

}  // namespace

VoterManager::VoterManager(std::string own_name, std::set<std::string> initial_voters,
                           raft::RaftNode& raft_node, const ConnectedMembers& connected)
    : own_name_(std::move(own_name)),
      initial_voters_(std::move(initial_voters)),
      raft_node_(raft_node),
      connected_(connected) {}

VoterManager::Proposal VoterManager::Propose(Time now, const ChangeRequest& request,
                                             raft::RaftOutput& output) {
  const auto refuse = [&](const std::string& reason) {
    return Proposal{0, request.name + ": " + reason};
  };
  NextVoters next = VotersAfterRequest(request);
  if (!next.refusal_reason.empty()) {
    return refuse(next.refusal_reason);
  }
  if (!IsMajorityConnected(next.voters)) {
    return refuse("too few of the voters that were left are here with their disks");
  }
  const auto index = raft_node_.ProposeVoters(now, std::move(next.voters), output);
  if (!index) {
    return refuse("an earlier change of voters is not agreed yet");
  }
  if (request.kind == ChangeRequest::Kind::kReplaceVoter) {
    voter_to_add_again_ = request.name;
  }
  return {*index, {}};
}

VoterManager::NextVoters VoterManager::VotersAfterRequest(const ChangeRequest& request) const {
  switch (request.kind) {
    case ChangeRequest::Kind::kRemoveVoter:
      return VotersWithout(request.name);
    case ChangeRequest::Kind::kAddVoter:
      return VotersWith(request.name);
    default:
      return VotersForReplacement(request.name);
  }
}

VoterManager::NextVoters VoterManager::VotersWithout(const std::string& name) const {
  std::vector<raft::Voter> voters = raft_node_.voters();
  const auto voter = FindVoter(voters, name);
  if (voter == voters.end()) {
    return {{}, "does not vote"};
  }
  if (voters.size() == 1) {
    return {{}, "is the last that votes"};
  }
  voters.erase(voter);
  return {std::move(voters), {}};
}

VoterManager::NextVoters VoterManager::VotersWith(const std::string& name) const {
  if (std::string reason = ReasonNotAddable(name); !reason.empty()) {
    return {{}, std::move(reason)};
  }
  std::vector<raft::Voter> voters = raft_node_.voters();
  if (FindVoter(voters, name) != voters.end()) {
    return {{}, "votes with another disk, expected replace"};
  }
  if (IsFarBehind(name)) {
    return {{}, "is far behind"};
  }
  if (voters.size() >= raft::kMaxVoters) {
    return {{}, "is one more than may vote"};
  }
  voters.push_back({name, IncarnationOf(name)});
  return {std::move(voters), {}};
}

// Returns the voters without the replaced one, which is added again later by Advance(). Replacing
// it in one step could result in a majority of the old voters and one of the new voters that have
// no member in common.
VoterManager::NextVoters VoterManager::VotersForReplacement(const std::string& name) const {
  if (std::string reason = ReasonNotAddable(name); !reason.empty()) {
    return {{}, std::move(reason)};
  }
  std::vector<raft::Voter> voters = raft_node_.voters();
  const auto voter = FindVoter(voters, name);
  if (voter == voters.end()) {
    return {{}, "does not vote, expected add"};
  }
  voters.erase(voter);
  return {std::move(voters), {}};
}

std::string VoterManager::ReasonNotAddable(const std::string& name) const {
  const uint64_t incarnation = IncarnationOf(name);
  if (incarnation == 0) {
    return "is not linked to the leader, or has no disk";
  }
  const std::vector<raft::Voter>& voters = raft_node_.voters();
  if (std::ranges::find(voters, raft::Voter{name, incarnation}) != voters.end()) {
    return "votes already";
  }
  return {};
}

uint64_t VoterManager::IncarnationOf(const std::string& name) const {
  if (name == own_name_) {
    return raft_node_.incarnation();
  }
  const auto connected = connected_.find(name);
  return connected != connected_.end() ? connected->second : 0;
}

bool VoterManager::IsMajorityConnected(const std::vector<raft::Voter>& voters) const {
  const auto connected_count = std::ranges::count_if(voters, [&](const raft::Voter& voter) {
    if (voter == raft::Voter{own_name_, raft_node_.incarnation()}) {
      return true;
    }
    const auto connected = connected_.find(voter.name);
    return connected != connected_.end() && connected->second == voter.incarnation;
  });
  return 2 * static_cast<size_t>(connected_count) > voters.size();
}

bool VoterManager::IsFarBehind(const std::string& name) const {
  return raft_node_.MatchIndexOf(name) + kMaxEntriesBehind < raft_node_.last_log_index();
}

bool VoterManager::IsInitialMajorityConnected() const {
  const auto connected_count = std::ranges::count_if(initial_voters_, [&](const std::string& name) {
    return name == own_name_ || connected_.contains(name);
  });
  return static_cast<size_t>(connected_count) > initial_voters_.size() / 2;
}

std::optional<raft::Index> VoterManager::Advance(Time now, bool is_formed,
                                                 raft::RaftOutput& output) {
  if (voter_to_add_again_) {
    return AddReplacedVoterAgain(now, output);
  }
  if (!is_formed && !formed_entry_proposed_) {
    AddNextInitialVoter(now, output);
  }
  return std::nullopt;
}

void VoterManager::Abandon() {
  voter_to_add_again_.reset();
  formed_entry_proposed_ = false;
}

std::optional<raft::Index> VoterManager::AddReplacedVoterAgain(Time now, raft::RaftOutput& output) {
  const auto connected = connected_.find(*voter_to_add_again_);
  if (connected == connected_.end()) {
    return std::nullopt;
  }
  std::vector<raft::Voter> voters = raft_node_.voters();
  if (FindVoter(voters, *voter_to_add_again_) != voters.end()) {
    voter_to_add_again_.reset();
    return std::nullopt;
  }
  voters.push_back({*voter_to_add_again_, connected->second});
  const auto index = raft_node_.ProposeVoters(now, std::move(voters), output);
  if (index) {
    voter_to_add_again_.reset();
  }
  return index;
}

// Adds one voter per call. Once all of them are voters, proposes the entry that declares the
// cluster formed.
void VoterManager::AddNextInitialVoter(Time now, raft::RaftOutput& output) {
  std::vector<raft::Voter> voters = raft_node_.voters();
  bool all_are_voters = true;
  for (const std::string& name : initial_voters_) {
    if (FindVoter(voters, name) != voters.end()) {
      continue;
    }
    all_are_voters = false;
    const auto connected = connected_.find(name);
    if (connected == connected_.end() || IsFarBehind(name)) {
      continue;
    }
    voters.push_back({name, connected->second});
    raft_node_.ProposeVoters(now, std::move(voters), output);
    return;
  }
  if (all_are_voters) {
    formed_entry_proposed_ = raft_node_.Propose(now, EncodeFormedEntry(), output).has_value();
  }
}

}  // namespace paddlestile::cluster
