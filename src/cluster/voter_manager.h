// Manages changes of the Raft voters: those requested by operators, and the initial voters, which
// are added one by one until the cluster is formed. No I/O.
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

// Incarnation by name of the connected members; 0 for a member without storage.
using ConnectedMembers = std::map<std::string, uint64_t>;

class VoterManager {
 public:
  // `raft_node` and `connected` must outlive this object. `initial_voters` are those named in the
  // configuration file.
  VoterManager(std::string own_name, std::set<std::string> initial_voters,
               raft::RaftNode& raft_node, const ConnectedMembers& connected);

  // The outcome of Propose().
  struct Proposal {
    raft::Index index = 0;       // of the proposed entry; 0: refused
    std::string refusal_reason;  // if refused
  };
  // Leader only: proposes the change of voters that `request` describes.
  Proposal Propose(Time now, const ChangeRequest& request, raft::RaftOutput& output);

  // Leader only, to be called after each event: adds a replaced voter again or, if the cluster is
  // not formed yet, the next initial voter. Returns the index of the entry that completes a
  // replacement when it is proposed, and std::nullopt otherwise.
  std::optional<raft::Index> Advance(Time now, bool is_formed, raft::RaftOutput& output);
  // To be called after each event while this member is not the leader: abandons changes in
  // progress. They have to be completed under another leader.
  void Abandon();

  // Whether a replaced voter was removed but not added again yet.
  [[nodiscard]] bool is_replacing() const { return voter_to_add_again_.has_value(); }
  // Whether more than half of the initial voters are connected, including this member if it is one.
  [[nodiscard]] bool IsInitialMajorityConnected() const;

 private:
  // The voters to propose, or the reason why the change is refused.
  struct NextVoters {
    std::vector<raft::Voter> voters;
    std::string refusal_reason;
  };
  [[nodiscard]] NextVoters VotersAfterRequest(const ChangeRequest& request) const;
  [[nodiscard]] NextVoters VotersWithout(const std::string& name) const;
  [[nodiscard]] NextVoters VotersWith(const std::string& name) const;
  [[nodiscard]] NextVoters VotersForReplacement(const std::string& name) const;
  // Returns the reason why the member cannot be added as a voter. Empty if it can: it is this
  // member or a connected one, has storage, and is not a voter yet.
  [[nodiscard]] std::string ReasonNotAddable(const std::string& name) const;
  // Returns 0 if the member is not connected or has no storage.
  [[nodiscard]] uint64_t IncarnationOf(const std::string& name) const;
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
