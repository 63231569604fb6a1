// A Raft node: one member of the replicated log, with three or five voters and any number of
// members that only follow.
//
// The algorithm is that of Ongaro and Ousterhout, "In Search of an Understandable Consensus
// Algorithm" (2014), with pre-vote, single-server membership changes and a leader lease;
// docs/bank.md has the differences and their reasons. The node does no I/O, reads no clock, starts
// no thread and has no globals: its owner reports events with the time by the member's own
// monotonic clock, and carries out what the RaftOutput asks for.
//
// Definitions are by concern: election.cpp, replication.cpp, lease.cpp, and raft_node.cpp for
// dispatch, connections and timeouts.
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

//   role          event                                                    next role
//   follower      election timeout, a voter and allowed to campaign        pre-candidate
//   pre-candidate a majority would vote for it                             candidate, in a new term
//   candidate     a majority voted for it, its own vote being durable      leader
//   candidate     election timeout                                         pre-candidate
//   leader        no quorum answered for an election timeout               follower
//   leader        the committed configuration does not contain it          follower
//   any           message of a later term, or of the leader of its term    follower
//   any           own storage found rolled back                            follower, for good
enum class Role : uint8_t {
  kFollower,
  kPreCandidate,
  kCandidate,
  kLeader
};

class RaftNode {
 public:
  // `state` is what storage held, with its restart count already increased for this start; `seed`
  // is for the random election timeouts. Throws std::invalid_argument as ValidateTiming() does.
  RaftNode(std::string name, const RaftTiming& timing, PersistentState state, uint64_t seed,
           Time now);

  // ---- Events -------------------------------------------------------------------------------

  // A connection to `name` came up. `claim_of_this` is what that member remembers of this one's
  // storage; to be reported before any message that comes on the connection.
  void OnPeerConnected(Time now, const std::string& name, uint64_t incarnation,
                       const StorageClaim& claim_of_this, RaftOutput& out);
  void OnPeerDisconnected(const std::string& name);

  // A message arrived. One for another member is ignored.
  void OnMessage(Time now, const Message& message, RaftOutput& out);

  // The write with this number, and all before it, are durable.
  void OnDurable(Time now, uint64_t sequence_number, RaftOutput& out);

  // Does what is due. To be called at NextTimeout() at the latest; earlier calls do no harm.
  void OnTimeout(Time now, RaftOutput& out);
  // Time(0): at once. Time::max(): nothing is due.
  [[nodiscard]] Time NextTimeout() const;

  // ---- Calls of the owner -------------------------------------------------------------------

  // Appends an entry and returns its index. The entry is committed if it is applied with the same
  // term. Nothing if this member is not the leader with a valid lease.
  std::optional<Index> Propose(Time now, std::string bytes, RaftOutput& out);

  // Appends a configuration, which must differ from the present one by one voter: added, removed,
  // or with another incarnation. Nothing if this member is not the leader with a valid lease, has
  // no committed entry of its term, or an earlier configuration is not committed.
  std::optional<Index> ProposeVoters(Time now, std::vector<Voter> voters, RaftOutput& out);

  // Replaces the log up to `index` by a snapshot with `bytes`. No effect unless `index` is applied
  // and behind the present snapshot.
  void TakeSnapshot(Index index, std::string bytes, RaftOutput& out);

  // What applying one entry of the owner's costs beside the entry's own bytes. One event applies
  // entries up to RaftTiming::max_apply_bytes, the rest is due at once in further events, so that
  // catching up does not delay other work of the process.
  void set_apply_cost_bytes(size_t bytes) { apply_cost_bytes_ = bytes; }

  // As leader, grants no lease to a member that has not applied `index`: a slow member then delays
  // others for no longer than the lease that it holds.
  void RequireAppliedForLease(Index index) { required_for_lease_ = index; }

  // While false, this member starts no election. For a cluster that is being formed: a member whose
  // storage was rolled back to before that would otherwise lead a cluster of its own.
  void set_may_campaign(bool may) { may_campaign_ = may; }

  // ---- Leases -------------------------------------------------------------------------------

  // Whether this member is the leader and can know that no other one has been elected.
  [[nodiscard]] bool IsLeaderWithLease(Time now) const { return now < LeaderLeaseUntil(now); }
  // Until when that holds if no further acknowledgement arrives. Before `now` or negative: it does
  // not hold.
  [[nodiscard]] Time LeaderLeaseUntil(Time now) const;
  // Until when this member may act on what it has applied. Negative: never had a lease.
  [[nodiscard]] Time LeaseUntil(Time now) const;
  // On the leader: whether every member that may hold a lease has applied `index`.
  [[nodiscard]] bool AllLeaseHoldersApplied(Time now, Index index) const;

  // ---- State --------------------------------------------------------------------------------

  [[nodiscard]] Role role() const { return role_; }
  [[nodiscard]] Term current_term() const { return current_term_; }
  // Name of the leader of the current term; empty if not known.
  [[nodiscard]] const std::string& leader() const { return leader_; }
  // When a leader was last heard, or the start.
  [[nodiscard]] Time leader_heard_at() const { return leader_heard_at_; }
  [[nodiscard]] Index last_applied() const { return last_applied_; }
  [[nodiscard]] Index commit_index() const { return commit_index_; }
  [[nodiscard]] Index last_log_index() const { return log_.last_index(); }
  [[nodiscard]] Index first_log_index() const { return log_.first_index(); }
  // An entry from first_log_index() to last_log_index(), committed or not.
  [[nodiscard]] const LogEntry& EntryAt(Index index) const { return log_.EntryAt(index); }
  // The latest configuration in the log, committed or not.
  [[nodiscard]] const std::vector<Voter>& voters() const { return log_.voters(); }
  // Whether this member, with its incarnation, is a voter.
  [[nodiscard]] bool IsVotingMember() const;
  // Whether committed entries are still to be applied here.
  [[nodiscard]] bool HasEntriesToApply() const {
    return last_applied_ < commit_index_ && !storage_rolled_back_;
  }
  // Whether this member's storage was found rolled back; see RaftOutput::storage_rolled_back.
  [[nodiscard]] bool storage_rolled_back() const { return storage_rolled_back_; }
  [[nodiscard]] uint64_t incarnation() const { return own_storage_.incarnation; }
  // What is known of another member's storage, to be sent to it when a connection comes up.
  [[nodiscard]] StorageClaim ClaimKnownOf(const std::string& name) const {
    return known_claims_.Of(name);
  }
  // Leader: greatest index that the member is known to hold. 0 for an unknown one.
  [[nodiscard]] Index MatchIndexOf(const std::string& name) const;

 private:
  // What is known of another member. Fields from next_index on are used by the leader only; all but
  // lease_ends_at are reset when the member connects.
  struct Peer {
    uint64_t incarnation = 0;
    bool connected = false;
    bool vote_granted = false;        // in the present election or pre-vote
    Index next_index = 1;             // of the next entry to send; above match_index
    Index match_index = 0;            // greatest index that it acknowledged in this term
    Index last_applied = 0;           // greatest index that it reported as applied
    Index notified_commit_index = 0;  // latest commit index that it was sent
    bool append_in_flight = false;    // entries or a snapshot were sent and not answered
    Time last_append_sent_at{0};
    Time acknowledged_sent_at{-1};    // when the latest message that it answered was sent
    Time lease_asked_at{-1};          // by its own clock, to be returned; negative: not asked
    Time lease_asked_received_at{0};  // by this member's clock
    Time lease_ends_at{-1};           // by this member's clock; outlives a connection
  };

  // raft_node.cpp
  [[nodiscard]] bool IsVoter(const std::string& name, uint64_t incarnation) const;
  [[nodiscard]] bool IsSelf(const Voter& voter) const { return voter.name == name_; }
  // The peer with the voter's name and incarnation, or null.
  [[nodiscard]] const Peer* FindPeer(const Voter& voter) const;
  [[nodiscard]] Peer* FindSender(const Message& message);
  // False if `claim` shows that the storage was rolled back, then or earlier.
  bool CheckOwnClaim(const StorageClaim& claim, RaftOutput& out);
  // Writes the term, the vote and `entries` from `first_index` on (0: none).
  void WriteToStorage(RaftOutput& out, Index first_index, std::vector<LogEntry> entries,
                      std::optional<Snapshot> snapshot = std::nullopt);
  // Writes the snapshot and all entries behind it.
  void WriteSnapshotAndLog(RaftOutput& out);
  // Completes `message` and sends it after the write `after_sequence_number` (0: at once).
  void SendMessage(RaftOutput& out, Message message, const std::string& to,
                   uint64_t after_sequence_number);
  // Sends `message` once all that was written so far is durable.
  void SendWhenDurable(RaftOutput& out, Message message, const std::string& to);
  void SendStorageClaims(Time now, RaftOutput& out);
  void SendStorageClaim(const std::string& to, RaftOutput& out);
  void OnStorageClaim(const Message& message, RaftOutput& out);
  // Tells the restart guard what a message shows of its sender.
  void NoteSender(Time now, const Message& message);
  void OnLeaderTimeout(Time now, RaftOutput& out);
  [[nodiscard]] Time NextLeaderTimeout() const;

  // election.cpp
  void ResetElectionTimer(Time now);
  [[nodiscard]] bool HeardFromLeaderRecently(Time now) const;
  void EnterTerm(Term term, const std::string& voted_for, RaftOutput& out);
  // Follows `leader` (empty: not known) in `term`, which is at least the current one.
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
  // What AppendEntries and InstallSnapshot begin with: follows the sender, takes the lease that it
  // grants, and begins `reply`. False if the sender's term is over: `reply` is sent.
  bool AcceptLeader(Time now, const Message& request, Message& reply, RaftOutput& out);
  void OnAppendEntries(Time now, const Message& request, RaftOutput& out);
  [[nodiscard]] Index LastPossibleMatch(Index previous) const;
  void StoreEntries(const Message& request, size_t known, Index previous, RaftOutput& out);
  void OnInstallSnapshot(Time now, const Message& request, RaftOutput& out);
  // Acknowledges all entries up to `index` in `reply`.
  void Acknowledge(Message& reply, Index index);
  void ReplyToLeader(Message reply, const std::string& to, RaftOutput& out);
  void OnAppendEntriesReply(Time now, const Message& reply, RaftOutput& out);
  void AdvanceCommitIndex(Time now, RaftOutput& out);
  void ApplyCommittedEntries(RaftOutput& out);
  void NotifyApplied(RaftOutput& out);

  // lease.cpp
  // Latest time at which this leader sent something that a quorum acknowledged; negative: none.
  [[nodiscard]] Time QuorumAcknowledgedSentAt(Time now) const;
  [[nodiscard]] bool HasAppliedAllOfEarlierTerms() const;
  // Whether a lease may be granted to the peer with the next message.
  [[nodiscard]] bool MayGrantLease(Time now, const Peer& peer) const;

  std::string name_;
  RaftTiming timing_;
  OwnStorage own_storage_;
  std::mt19937_64 random_;

  // Persistent: each change is written, and messages that rely on it wait for the write.
  Term current_term_;
  std::string voted_for_;  // in current_term_; empty: none
  RaftLog log_;

  Index commit_index_;      // at least log_.snapshot().index; never decreases
  Index last_applied_ = 0;  // at most commit_index_; never decreases
  DurableIndex durable_;
  Index acknowledged_index_ = 0;  // greatest index acknowledged to the leader of current_term_
  Index required_for_lease_ = 0;
  size_t apply_cost_bytes_ = 0;
  bool storage_rolled_back_ = false;  // never false again
  bool may_campaign_ = true;

  Role role_ = Role::kFollower;
  std::string leader_;  // of current_term_; empty: not known
  Time leader_heard_at_;
  // Follower, candidate: when the next election starts. Leader: when it checks for its quorum.
  Time election_timer_due_at_{0};
  Time lease_until_{-1};  // of the lease that an earlier or the present leader granted
  Time leader_since_{0};  // leader only
  Time claims_due_at_;    // when the other voters are sent the next storage claim

  bool own_vote_granted_ = false;      // candidate: its vote for itself is durable
  uint64_t vote_sequence_number_ = 0;  // candidate: the write of that vote

  std::map<std::string, Peer> peers_;  // every member that was ever connected
  KnownClaims known_claims_;
  RestartGuard restart_guard_;
};

}  // namespace paddlestile::raft

#endif  // PADDLESTILE_RAFT_RAFT_NODE_H_
