// Changes of the Raft voters: those that operators ask for, and the initial ones, which join one by
// one until the cluster is formed. No I/O.
#ifndef PADDLESTILE_CLUSTER_VOTER_MANAGER_H_
#define PADDLESTILE_CLUSTER_VOTER_MANAGER_H_

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>

#include "cluster/change_request.h"
#include "raft/raft_node.h"

namespace paddlestile::cluster {

// Name to incarnation of the members to which there is a connection; 0: one without storage.
using ConnectedMembers = std::map<std::string, uint64_t>;

class VoterManager {
 public:
  // `raft_node` and `connected` must outlive it. `initial_voters`: those that the file names.
  VoterManager(std::string own_name, std::set<std::string> initial_voters,
               raft::RaftNode& raft_node, const ConnectedMembers& connected);

  // Leader: proposes the change of voters that `request` asks for.
  struct Proposal {
    raft::Index index = 0;       // of the entry; 0: refused
    std::string refusal_reason;  // where it is
  };
  Proposal Propose(Time now, const ChangeRequest& request, raft::RaftOutput& output);

  // Leader, after each event: adds a replaced voter again, or the next initial voter while the
  // cluster `is_formed` not. The index of the entry that completes a replacement, once proposed.
  std::optional<raft::Index> Advance(Time now, bool is_formed, raft::RaftOutput& output);
  // After each event while this member does not lead: what it has begun is another's to finish.
  void Abandon();

  // A replaced voter was removed and is not added again yet.
  [[nodiscard]] bool is_replacing() const { return voter_to_add_again_.has_value(); }
  // More than half of the initial voters are connected, this member counted in if it is one.
  [[nodiscard]] bool IsInitialMajorityConnected() const;

 private:
  // What is to be proposed; `refusal_reason` is set instead where nothing is.
  struct NextVoters {
    std::vector<raft::Voter> voters;
    std::string refusal_reason;
  };
  [[nodiscard]] NextVoters VotersAfter(const ChangeRequest& request) const;
  [[nodiscard]] NextVoters VotersWithout(const std::string& name) const;
  [[nodiscard]] NextVoters VotersWith(const std::string& name) const;
  [[nodiscard]] NextVoters VotersForReplacement(const std::string& name) const;
  // Empty: this member, which need not be connected to itself, or a connected one, may be a voter.
  [[nodiscard]] std::string WhyNotAddable(const std::string& name) const;
  [[nodiscard]] uint64_t IncarnationOf(const std::string& name) const;  // 0: none known
  [[nodiscard]] bool IsMajorityConnected(const std::vector<raft::Voter>& voters) const;
  [[nodiscard]] bool IsFarBehind(const std::string& name) const;
  std::optional<raft::Index> AddReplacedVoterAgain(Time now, raft::RaftOutput& output);
  void AddNextInitialVoter(Time now, raft::RaftOutput& output);

  std::string own_name_;
  std::set<std::string> initial_voters_;
  raft::RaftNode& raft_node_;
  const ConnectedMembers& connected_;
  std::optional<std::string> voter_to_add_again_;
  bool formed_entry_proposed_ = false;  // in this term as leader
};

}  // namespace paddlestile::cluster

#endif  // PADDLESTILE_CLUSTER_VOTER_MANAGER_H_
