// One gateway's part in its cluster: the Raft node, the versions that its log makes, the changes
// that wait for a result, and what this gateway may act on. No I/O, clock, thread or global: events
// go in with their time, a MemberOutput comes out.
#ifndef PADDLESTILE_CLUSTER_CLUSTER_MEMBER_H_
#define PADDLESTILE_CLUSTER_CLUSTER_MEMBER_H_

#include <cstdint>
#include <map>
#include <nlohmann/json.hpp>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "cluster/change_request.h"
#include "cluster/effective_config.h"
#include "cluster/version_content.h"
#include "cluster/version_history.h"
#include "cluster/voter_manager.h"
#include "raft/raft_node.h"

namespace paddlestile::cluster {

// The result of a submitted change, under the request number that Submit was given.
struct SubmittedResult {
  uint64_t request_number = 0;
  ChangeResult result;
};

// What an event asks of the caller, who carries all of it out.
struct MemberOutput : raft::RaftOutput {
  std::vector<MemberMessage> member_messages;  // to be sent at once
  std::vector<SubmittedResult> results;
  std::vector<std::string> log;  // lines for people
  // Why this member, which has no vote, needs an empty log and all content anew; empty: it does
  // not.
  std::string needs_resync;
};

class ClusterMember {
 public:
  struct Options {
    std::string name;
    raft::RaftTiming timing;
    std::set<std::string> initial_voters;  // that the file names; they join one by one
    Duration result_timeout{3'000'000};    // us; of a submitted change
    size_t compact_after = 512;            // log entries between two snapshots
    bool deltas = false;                   // as leader it proposes deltas where they are smaller
  };
  // `state` is what was durable, its restart count already raised. Throws std::invalid_argument for
  // a timing that makes no sense.
  ClusterMember(Options options, raft::PersistentState state, uint64_t seed, Time now);
  ClusterMember(const ClusterMember&) = delete;
  ClusterMember& operator=(const ClusterMember&) = delete;

  // A connection to another member came up, or went down. `claim`: what the other remembers of this
  // member's storage.
  void OnPeerConnected(Time now, const std::string& name, uint64_t incarnation,
                       const raft::StorageClaim& claim, MemberOutput& output);
  void OnPeerDisconnected(Time now, const std::string& name, MemberOutput& output);
  void OnMessage(Time now, const raft::Message& message, MemberOutput& output);
  void OnMessage(Time now, const MemberMessage& message, MemberOutput& output);
  // The storage write with this sequence number and all before it are durable.
  void OnDurable(Time now, uint64_t sequence_number, MemberOutput& output);
  // To be called at NextTimeout() at the latest.
  void OnTimeout(Time now, MemberOutput& output);
  [[nodiscard]] Time NextTimeout() const;

  // Has the change made, by the leader if this member is not. Its result comes exactly once, in the
  // output of this or a later event, within `result_timeout`.
  void Submit(Time now, ChangeRequest request, uint64_t request_number, MemberOutput& output);

  [[nodiscard]] EffectiveConfig CurrentConfig(Time now) const;
  // The content to act on for what CurrentConfig has just returned.
  [[nodiscard]] VersionContent ContentOf(const EffectiveConfig& effective) const;

  [[nodiscard]] const raft::RaftNode& raft_node() const { return raft_node_; }
  [[nodiscard]] const VersionHistory& history() const { return history_; }
  // How often its content was found to differ from what was agreed.
  [[nodiscard]] uint64_t content_mismatch_count() const { return content_mismatch_count_; }
  // The fields of `bank status`; the keys are the operators' and stay.
  [[nodiscard]] nlohmann::json Status(Time now) const;

 private:
  // A change whose submitter waits for the result.
  //   state       is_forwarded  voters_index  version  finished by
  //   forwarded   yes           0             0        the leader's result
  //   proposed    no            0             0        its entry being applied: refused, or
  //   `version` voters      no            set           0        that entry being applied in `term`
  //   taken       no            0             set      that version coming into force
  // In any state by the deadline, and unless forwarded by the loss of leadership.
  struct PendingChange {
    std::optional<uint64_t> request_number;  // submitted here; nothing: by `from_member`
    std::string from_member;
    Time deadline{0};
    bool is_forwarded = false;
    raft::Index voters_index = 0;
    raft::Term term = 0;
    uint64_t version = 0;
  };
  [[nodiscard]] PendingChange MakePendingChange(Time now) const;

  // ---- Requests
  void HandleRequest(Time now, ChangeRequest request, PendingChange pending, MemberOutput& output);
  void ForwardToLeader(Time now, ChangeRequest request, PendingChange pending,
                       MemberOutput& output);
  void ProposeVoterChange(Time now, const ChangeRequest& request, PendingChange pending,
                          MemberOutput& output);
  void ProposeChange(Time now, const Change& change, PendingChange pending, MemberOutput& output);
  void SendResult(const PendingChange& pending, ChangeResult result, MemberOutput& output);
  [[nodiscard]] std::string DescribeLeader(Time now) const;

  // ---- After each event
  void AfterEvent(Time now, MemberOutput& output);
  void ApplyEntries(MemberOutput& output);
  void ApplyEntry(const raft::AppliedEntry& applied, MemberOutput& output);
  void CheckContent(MemberOutput& output);
  void ActAsLeader(Time now, MemberOutput& output);
  void ProposeInForce(Time now, MemberOutput& output);
  void FinishPendingChanges(Time now, bool is_leader, MemberOutput& output);
  [[nodiscard]] std::optional<ChangeResult> ResultOf(const std::string& id,
                                                     const PendingChange& pending, Time now,
                                                     bool is_leader) const;
  void CompactLog(MemberOutput& output);

  [[nodiscard]] nlohmann::json DescribeConnectedMembers(Time now) const;

  Options options_;
  raft::RaftNode raft_node_;
  VersionHistory history_;
  Time started_at_;
  ConnectedMembers connected_;
  VoterManager voter_manager_;                            // refers to raft_node_ and connected_
  std::map<std::string, PendingChange> pending_changes_;  // by the change's id
  // The in-force entry that was proposed last: as leader of this term, for this version.
  struct InForceProposal {
    raft::Term term = 0;
    uint64_t version = 0;
    bool operator==(const InForceProposal&) const = default;
  };
  InForceProposal last_in_force_proposal_;
  bool has_content_mismatch_ = false;  // as last logged
  uint64_t content_mismatch_count_ = 0;
};

}  // namespace paddlestile::cluster

#endif  // PADDLESTILE_CLUSTER_CLUSTER_MEMBER_H_
