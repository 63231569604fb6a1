// One gateway's membership in its cluster: the Raft node, the configuration versions that result
// from its log, the changes waiting for a result, and the configuration that this gateway may act
// on. Does no I/O, reads no clock, starts no thread and has no globals: the owner reports events
// with their time and performs the actions in the MemberOutput.
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

// The result of a change, with the request number that was passed to Submit().
struct SubmittedResult {
  uint64_t request_number = 0;
  ChangeResult result;
};

// The actions that an event requests from the owner, who must perform all of them.
struct MemberOutput : raft::RaftOutput {
  std::vector<MemberMessage> member_messages;  // to be sent immediately
  std::vector<SubmittedResult> results;
  std::vector<std::string> log;  // lines for the process log
  // If not empty, the reason why this non-voting member must discard its log and fetch all content
  // again.
  std::string needs_resync;
};

class ClusterMember {
 public:
  struct Options {
    std::string name;
    raft::RaftTiming timing;
    std::set<std::string> initial_voters;  // from the configuration file; they join one by one
    Duration result_timeout{3'000'000};    // of a submitted change
    size_t compact_after = 512;            // log entries between two snapshots
    bool deltas = false;                   // as leader, propose deltas if they are smaller
  };
  // `state` is the state read from storage, with its restart count already incremented. Throws
  // std::invalid_argument if the timing is invalid.
  ClusterMember(Options options, raft::PersistentState state, uint64_t seed, Time now);
  ClusterMember(const ClusterMember&) = delete;
  ClusterMember& operator=(const ClusterMember&) = delete;

  // A connection to another member was established or lost. `claim` is the claim of this member's
  // storage that the other member remembers.
  void OnPeerConnected(Time now, const std::string& name, uint64_t incarnation,
                       const raft::StorageClaim& claim, MemberOutput& output);
  void OnPeerDisconnected(Time now, const std::string& name, MemberOutput& output);
  void OnMessage(Time now, const raft::Message& message, MemberOutput& output);
  void OnMessage(Time now, const MemberMessage& message, MemberOutput& output);
  // The storage write with this sequence number and all earlier ones are durable.
  void OnDurable(Time now, uint64_t sequence_number, MemberOutput& output);
  // Must be called at NextTimeout() at the latest.
  void OnTimeout(Time now, MemberOutput& output);
  [[nodiscard]] Time NextTimeout() const;

  // Processes the request, or forwards it if another member is the leader. Its result is reported
  // exactly once, in the output of this or a later event, within Options::result_timeout.
  void Submit(Time now, ChangeRequest request, uint64_t request_number, MemberOutput& output);

  [[nodiscard]] EffectiveConfig CurrentConfig(Time now) const;
  // Returns the content to act on, given the latest result of CurrentConfig().
  [[nodiscard]] VersionContent ContentOf(const EffectiveConfig& effective) const;

  [[nodiscard]] const raft::RaftNode& raft_node() const { return raft_node_; }
  [[nodiscard]] const VersionHistory& history() const { return history_; }
  // How often the content of this member was found to differ from the agreed content.
  [[nodiscard]] uint64_t content_mismatch_count() const { return content_mismatch_count_; }
  // Returns the fields of `bank status`. Operators' tools use the keys, which must not change.
  [[nodiscard]] nlohmann::json Status(Time now) const;

 private:
  // A change whose submitter is waiting for the result.
  //
  //   state      is_forwarded  voters_index  version  next event
  //   forwarded  yes           0             0        the leader sends the result: finished
  //   proposed   no            0             0        the entry is applied: refused or accepted
  //   accepted   no            0             set      the version comes into force: finished
  //   voters     no            set           0        the entry is applied in `term`: finished
  //
  // Any state also finishes at the deadline, and all but "forwarded" when leadership is lost.
  struct PendingChange {
    std::optional<uint64_t> request_number;  // if submitted here; otherwise see `from_member`
    std::string from_member;                 // the member that forwarded the request
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
  void UpdateContentMismatch(MemberOutput& output);
  void RunLeaderTasks(Time now, MemberOutput& output);
  void ProposeInForce(Time now, MemberOutput& output);
  void FinishPendingChanges(Time now, bool is_leader, MemberOutput& output);
  // Returns the result of a pending change, or std::nullopt if it is not finished.
  [[nodiscard]] std::optional<ChangeResult> FindResult(const std::string& id,
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
  std::map<std::string, PendingChange> pending_changes_;  // by change ID
  // The term and version of the in-force entry that this member proposed last.
  struct InForceProposal {
    raft::Term term = 0;
    uint64_t version = 0;
    bool operator==(const InForceProposal&) const = default;
  };
  InForceProposal last_in_force_proposal_;
  bool has_content_mismatch_ = false;  // the state that was last logged
  uint64_t content_mismatch_count_ = 0;
};

}  // namespace paddlestile::cluster

#endif  // PADDLESTILE_CLUSTER_CLUSTER_MEMBER_H_
