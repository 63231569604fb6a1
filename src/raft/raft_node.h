// A Raft node: one member of a cluster that replicates a log. A cluster typically has three or five
// voters and any number of non-voting members.
//
// The algorithm is that of Ongaro and Ousterhout, "In Search of an Understandable Consensus
// Algorithm" (2014), with pre-vote, single-server membership changes and a leader lease;
// docs/bank.md describes the differences and their reasons. The node does no I/O, reads no clock,
// starts no thread and has no globals: its owner reports events with the time of the member's own
// monotonic clock, and performs the actions in the RaftOutput.
//
// The definitions are split by concern into election.cpp, replication.cpp, lease.cpp, and
// raft_node.cpp for dispatch, connections and timeouts.
#ifndef PADDLESTILE_RAFT_RAFT_NODE_H_
#define PADDLESTILE_RAFT_RAFT_NODE_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <random>
#include <string>
#include <vector>

#include "base/time.h"
#include "raft/durable_index.h"
#include "raft/messages.h"
#include "raft/persistent_state.h"
#include "raft/raft_log.h"
#include "raft/raft_output.h"
#include "raft/restart_guard.h"
#include "raft/storage_claim.h"
#include "raft/timing.h"
#include "raft/types.h"

namespace paddlestile::raft {

// State transitions:
//
//   role          event                                                    next role
//   follower      election timeout, if a voter and allowed to campaign     pre-candidate
//   pre-candidate a majority would vote for it                             candidate, in a new term
//   candidate     a majority voted for it, its own vote is durable         leader
//   candidate     election timeout                                         pre-candidate
//   leader        no quorum responded for an election timeout              follower
//   leader        the committed configuration does not contain it          follower
//   any           message of a later term, or from the leader of its term  follower
//   any           own storage was rolled back                              follower, permanently
enum class Role : uint8_t {
  kFollower,
  kPreCandidate,
  kCandidate,
  kLeader
};

class RaftNode {
 public:
  // `state` is the state read from storage, with its restart count already incremented for this
  // start. `seed` seeds the random election timeouts. Throws std::invalid_argument like
  // ValidateTiming().
  RaftNode(std::string name, const RaftTiming& timing, PersistentState state, uint64_t seed,
           Time now);

  // ---- Events -------------------------------------------------------------------------------

  // A connection to the member `name` was established. `claim_of_this` is the claim of this
  // member's storage that the other member remembers. Must be called before any message from the
  // connection is reported.
  void OnPeerConnected(Time now, const std::string& name, uint64_t incarnation,
                       const StorageClaim& claim_of_this, RaftOutput& out);
  void OnPeerDisconnected(const std::string& name);

  // A message arrived. Messages addressed to other members are ignored.
  void OnMessage(Time now, const Message& message, RaftOutput& out);

  // The write with this sequence number and all earlier writes are durable.
  void OnDurable(Time now, uint64_t sequence_number, RaftOutput& out);

  // Performs the actions that are due. Must be called at NextTimeout() at the latest; earlier calls
  // are harmless.
  void OnTimeout(Time now, RaftOutput& out);
  // Time(0): call OnTimeout() immediately. Time::max(): nothing is due.
  [[nodiscard]] Time NextTimeout() const;

  // ---- Calls of the owner -------------------------------------------------------------------

  // Appends an entry and returns its index, or std::nullopt if this member is not the leader with a
  // valid lease. The entry is committed once the entry applied at this index has the same term.
  std::optional<Index> Propose(Time now, std::string bytes, RaftOutput& out);

  // Appends a voter configuration and returns its index. It must differ from the current one by one
  // voter that is added, removed, or has another incarnation. Returns std::nullopt if this member
  // is not the leader with a valid lease, if no entry of its term is committed, or if an earlier
  // configuration is not committed yet.
  std::optional<Index> ProposeVoters(Time now, std::vector<Voter> voters, RaftOutput& out);

  // Replaces the log up to `index` with a snapshot that contains `bytes`. No effect unless `index`
  // is applied and greater than the index of the current snapshot.
  void TakeSnapshot(Index index, std::string bytes, RaftOutput& out);

  // Sets the cost of applying one data entry, in addition to the entry's own size. One event
  // applies entries up to a total cost of RaftTiming::max_apply_bytes. The rest is due immediately
  // in further events, so that catching up does not delay other work of the process.
  void set_apply_cost_bytes(size_t bytes) { apply_cost_bytes_ = bytes; }

  // From now on, as leader, grants no lease to a member that has not applied `index`. A slow member
  // then delays the others no longer than until the lease that it already holds expires.
  void RequireAppliedForLease(Index index) { required_for_lease_ = index; }

  // While false, this member starts no election. Needed while a cluster is being formed: otherwise,
  // a member whose storage was rolled back to before the formation could lead a cluster of its own.
  void set_may_campaign(bool may) { may_campaign_ = may; }

  // ---- Leases -------------------------------------------------------------------------------

  // Whether this member is the leader and certain that no other leader has been elected.
  [[nodiscard]] bool IsLeaderWithLease(Time now) const { return now < LeaderLeaseUntil(now); }
  // When the leader lease expires if no further acknowledgement arrives. If this is negative or
  // before `now`, this member has no leader lease.
  [[nodiscard]] Time LeaderLeaseUntil(Time now) const;
  // When the lease under which this member may act on its applied state expires. Negative: it never
  // had a lease.
  [[nodiscard]] Time LeaseUntil(Time now) const;
  // Leader only: whether every member that may hold a lease has applied `index`.
  [[nodiscard]] bool AllLeaseHoldersApplied(Time now, Index index) const;

  // ---- State --------------------------------------------------------------------------------

  [[nodiscard]] Role role() const { return role_; }
  [[nodiscard]] Term current_term() const { return current_term_; }
  // Name of the leader of the current term; empty if unknown.
  [[nodiscard]] const std::string& leader() const { return leader_; }
  // When a message from a leader last arrived; initially the time of the start.
  [[nodiscard]] Time leader_heard_at() const { return leader_heard_at_; }
  [[nodiscard]] Index last_applied() const { return last_applied_; }
  [[nodiscard]] Index commit_index() const { return commit_index_; }
  [[nodiscard]] Index last_log_index() const { return log_.last_index(); }
  [[nodiscard]] Index first_log_index() const { return log_.first_index(); }
  // Returns the entry at `index`, which must be in [first_log_index(), last_log_index()]. The entry
  // may be uncommitted.
  [[nodiscard]] const LogEntry& EntryAt(Index index) const { return log_.EntryAt(index); }
  // The latest voter configuration in the log, committed or not.
  [[nodiscard]] const std::vector<Voter>& voters() const { return log_.voters(); }
  // Whether this member is a voter with its current incarnation.
  [[nodiscard]] bool IsVotingMember() const;
  // Whether this member has committed entries that it has not applied yet.
  [[nodiscard]] bool HasEntriesToApply() const {
    return last_applied_ < commit_index_ && !storage_rolled_back_;
  }
  // Whether this member's storage was rolled back; see RaftOutput::storage_rolled_back.
  [[nodiscard]] bool storage_rolled_back() const { return storage_rolled_back_; }
  [[nodiscard]] uint64_t incarnation() const { return own_storage_.incarnation; }
  // The latest known claim of another member's storage, to be sent to it when a connection is
  // established.
  [[nodiscard]] StorageClaim ClaimKnownOf(const std::string& name) const {
    return known_claims_.Of(name);
  }
  // Leader only: greatest index known to be replicated to the member; 0 if the member is unknown.
  [[nodiscard]] Index MatchIndexOf(const std::string& name) const;

 private:
  // State of another member. The fields from next_index on are used by the leader only. All fields
  // except lease_ends_at are reset when the member connects.
  struct Peer {
    uint64_t incarnation = 0;
    bool connected = false;
    bool vote_granted = false;        // in the current election or pre-vote
    Index next_index = 1;             // of the next entry to send; above match_index
    Index match_index = 0;            // greatest index acknowledged in this term
    Index last_applied = 0;           // greatest index reported as applied
    Index notified_commit_index = 0;  // latest commit index sent to the member
    bool append_in_flight = false;    // entries or a snapshot were sent and not acknowledged yet
    Time last_append_sent_at{0};
    Time acknowledged_sent_at{-1};    // when the latest acknowledged message was sent
    Time lease_asked_at{-1};          // by the member's clock, to be echoed; negative: no request
    Time lease_asked_received_at{0};  // by the leader's clock
    Time lease_ends_at{-1};           // by the leader's clock; kept across connections
  };

  // raft_node.cpp
  [[nodiscard]] bool IsVoter(const std::string& name, uint64_t incarnation) const;
  [[nodiscard]] bool IsSelf(const Voter& voter) const { return voter.name == name_; }
  // Returns the peer with the voter's name and incarnation, or null.
  [[nodiscard]] const Peer* FindPeer(const Voter& voter) const;
  // Returns the peer that sent `message`, or null if it is unknown with that incarnation.
  [[nodiscard]] Peer* FindSender(const Message& message);
  // Checks a claim of this member that another one remembers. Returns false if the storage was
  // rolled back, as shown by this claim or an earlier one.
  bool CheckOwnClaim(const StorageClaim& claim, RaftOutput& out);
  // Writes the term, the vote and `entries` from `first_index` on (0: none).
  void WriteToStorage(RaftOutput& out, Index first_index, std::vector<LogEntry> entries,
                      std::optional<Snapshot> snapshot = std::nullopt);
  // Writes the snapshot and all entries after it.
  void WriteSnapshotAndLog(RaftOutput& out);
  // Fills in the common fields of `message` and sends it once the write `after_sequence_number` is
  // durable (0: immediately).
  void SendMessage(RaftOutput& out, Message message, const std::string& to,
                   uint64_t after_sequence_number);
  // Sends `message` once all writes so far are durable.
  void SendWhenDurable(RaftOutput& out, Message message, const std::string& to);
  void SendStorageClaims(Time now, RaftOutput& out);
  void SendStorageClaim(const std::string& to, RaftOutput& out);
  void OnStorageClaim(const Message& message, RaftOutput& out);
  // Reports to the restart guard what a message reveals about its sender's log and term.
  void UpdateRestartGuard(Time now, const Message& message);
  void OnLeaderTimeout(Time now, RaftOutput& out);
  [[nodiscard]] Time NextLeaderTimeout() const;

  // election.cpp
  void ResetElectionTimer(Time now);
  [[nodiscard]] bool HeardFromLeaderRecently(Time now) const;
  void EnterTerm(Term term, const std::string& voted_for, RaftOutput& out);
  // Becomes a follower of `leader` (empty: unknown) in `term`, which must be at least the current
  // term.
  void BecomeFollower(Time now, Term term, const std::string& leader, RaftOutput& out);
  void StepDown();
  void StartNewElection(Time now, bool is_pre_vote, RaftOutput& out);
  void RequestVotes(bool is_pre_vote, RaftOutput& out);
  void CountVotes(Time now, RaftOutput& out);
  void BecomeLeader(Time now, RaftOutput& out);
  [[nodiscard]] LogPosition LogEnd() const { return {log_.last_term(), log_.last_index()}; }
  void OnRequestVote(Time now, const Message& request, RaftOutput& out);
  void OnRequestVoteReply(Time now, const Message& reply, RaftOutput& out);

  // replication.cpp
  Index AppendToOwnLog(Time now, LogEntry entry, RaftOutput& out);
  void SendAppendEntries(Time now, const std::string& name, Peer& peer, RaftOutput& out);
  void SendAppendEntriesToAll(Time now, RaftOutput& out);
  void AddEntries(const Peer& peer, Message& request) const;
  // Common first step of handling AppendEntries and InstallSnapshot: becomes a follower of the
  // sender, stores the lease that it grants, and initializes `reply`. If the sender's term is
  // outdated, rejects the request by sending `reply`, and returns false.
  bool AcceptLeader(Time now, const Message& request, Message& reply, RaftOutput& out);
  void OnAppendEntries(Time now, const Message& request, RaftOutput& out);
  // Returns the last index at which the log may match the leader's, given that it does not match at
  // `previous`. Skips all entries of the conflicting term, down to the commit index.
  [[nodiscard]] Index LastPossibleMatch(Index previous) const;
  // Replaces the log after `previous` with the entries of `request`, without the first
  // `known_count`, which the log already contains.
  void StoreEntries(const Message& request, size_t known_count, Index previous, RaftOutput& out);
  void OnInstallSnapshot(Time now, const Message& request, RaftOutput& out);
  // Sets `reply` to acknowledge all entries up to `index`.
  void Acknowledge(Message& reply, Index index);
  void ReplyToLeader(Message reply, const std::string& to, RaftOutput& out);
  void OnAppendEntriesReply(Time now, const Message& reply, RaftOutput& out);
  void AdvanceCommitIndex(Time now, RaftOutput& out);
  void ApplyCommittedEntries(RaftOutput& out);
  // Reports last_applied_ to the leader once all committed entries are applied.
  void NotifyApplied(RaftOutput& out);

  // lease.cpp
  // Latest time at which this leader sent messages that a quorum has acknowledged; negative: none.
  [[nodiscard]] Time QuorumAcknowledgedSentAt(Time now) const;
  // Leader only: whether all committed entries of earlier terms are known and applied.
  [[nodiscard]] bool HasAppliedAllOfEarlierTerms() const;
  // Whether the next message to the peer may grant a lease.
  [[nodiscard]] bool MayGrantLease(Time now, const Peer& peer) const;

  std::string name_;
  RaftTiming timing_;
  OwnStorage own_storage_;
  std::mt19937_64 random_;

  // Persistent state: each change is written to storage, and messages that depend on it are sent
  // only after the write is durable.
  Term current_term_;
  std::string voted_for_;  // candidate voted for in current_term_; empty: none
  RaftLog log_;

  Index commit_index_;      // at least log_.snapshot().index; never decreases
  Index last_applied_ = 0;  // at most commit_index_; never decreases
  DurableIndex durable_;
  Index acknowledged_index_ = 0;  // greatest index acknowledged to the leader of current_term_
  Index required_for_lease_ = 0;
  size_t apply_cost_bytes_ = 0;
  bool storage_rolled_back_ = false;  // never reset
  bool may_campaign_ = true;

  Role role_ = Role::kFollower;
  std::string leader_;  // of current_term_; empty: unknown
  Time leader_heard_at_;
  // Followers and candidates: when the next election starts. Leader: when it next checks whether a
  // quorum has responded.
  Time election_timer_due_at_{0};
  Time lease_until_{-1};  // end of the latest lease that any leader granted to this member
  Time leader_since_{0};  // leader only
  Time claims_due_at_;    // when the next storage claim is sent to the other voters

  bool own_vote_granted_ = false;      // candidate only: its vote for itself is durable
  uint64_t vote_sequence_number_ = 0;  // candidate only: sequence number of the write of that vote

  std::map<std::string, Peer> peers_;  // by name: all members that were ever connected
  KnownClaims known_claims_;
  RestartGuard restart_guard_;
};

}  // namespace paddlestile::raft

#endif  // PADDLESTILE_RAFT_RAFT_NODE_H_
