// The bank's agreed history: one log of entries by three or five voters, with any number of members
// that follow. No I/O, clock, thread or global: what happened goes in, with the time that it
// happened at by this member's own monotonic clock; what is to be written, sent and applied comes
// out. The algorithm is Raft (Ongaro and Ousterhout, "In search of an understandable consensus
// algorithm", 2014) with its pre-vote, its single-server changes of voters (with an entry of the
// term committed first) and its leader's lease; docs/bank.md tells what differs and why.
#ifndef PADDLESTILE_RAFT_RAFT_NODE_H_
#define PADDLESTILE_RAFT_RAFT_NODE_H_

#include <algorithm>
#include <array>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <random>
#include <string>
#include <utility>
#include <vector>

#include "base/time.h"

namespace paddlestile::raft {

using Index = uint64_t;  // of an entry; the first is 1
using Term = uint64_t;
inline constexpr size_t kMaxVoters = 9;

// How long things take. All clocks may run apart by `clock_rate` (0.01: one part in a hundred).
struct RaftTiming {
  Duration heartbeat_interval{100'000};  // from the leader to a voter; to others 2.5 times that
  Duration election_timeout{
      500'000};  // no leader heard for so long, up to twice that: one is elected
  Duration lease_duration{1'000'000};  // a member acts on what it knows for so long after it asked
  double clock_rate_error = 0.01;      // 0 to 0.2
  size_t max_append_bytes = 64 << 10;  // of entries in one message, beyond the first
  size_t max_apply_bytes = 64 << 10;   // of work in one event, beyond its first entry; see Weigh
};

// A lease as its holder counts it, from when it asked, and as everybody else must wait for it.
inline Duration LeaseHolderDuration(const RaftTiming& t) {
  return Duration(static_cast<int64_t>(static_cast<double>(t.lease_duration.count()) *
                                       (1 - 2 * t.clock_rate_error)));
}
inline Duration LeaseWaitDuration(const RaftTiming& t) {
  return Duration(static_cast<int64_t>(static_cast<double>(t.lease_duration.count()) *
                                       (1 + 2 * t.clock_rate_error)));
}

// A member's disk as one life of it: a folder that was lost gives another life under the same name.
struct Voter {
  std::string name;
  uint64_t incarnation = 0;
  auto operator<=>(const Voter&) const = default;
};

struct LogEntry {
  enum class Kind : uint8_t {
    kNone,
    kVoters,
    kData
  };
  Term term = 0;
  Kind kind = Kind::kNone;
  std::string bytes;          // kData: the users'
  std::vector<Voter> voters;  // kVoters: those from this entry on
  bool operator==(const LogEntry&) const = default;
};

// All up to `index`, as the users put it together.
struct Snapshot {
  Index index = 0;
  Term term = 0;
  std::vector<Voter> voters;
  std::string bytes;
  bool operator==(const Snapshot&) const = default;
};

// What must survive a restart.
struct PersistentState {
  uint64_t incarnation = 0;    // drawn once for a folder; 0: never
  uint64_t restart_count = 0;  // how often this life has started, this time included
  Term current_term = 0;
  std::string voted_for;  // who got this member's vote in that term
  Snapshot snapshot;
  std::vector<LogEntry> log;  // behind the snapshot
  Index commit_index = 0;     // agreed by then, or more
};

// What one member remembers that another has told of its disk, by which a disk that has gone back
// to an older state is found out.
struct StorageClaim {
  uint64_t incarnation = 0, restart_count = 0;
  Term term = 0;
  Index match_index = 0;  // acknowledged to the leader of that term
};

struct Message {
  enum class Type : uint8_t {
    kRequestVote,
    kRequestVoteReply,
    kAppendEntries,
    kAppendEntriesReply,
    kInstallSnapshot,
    kStorageClaim
  };
  Type type = Type::kAppendEntries;
  std::string from, to;
  uint64_t from_incarnation = 0;
  Term term = 0;
  bool is_pre_vote = false;  // kAskVote, kVote: whether it would; nothing is bound by it
  bool granted = false;      // kVote, kAppended: yes
  Index index = 0;  // kAskVote: last entry; kAppend: the one before; kAppended: match, or a hint
  Term index_term = 0;     // kAskVote, kAppend: its term
  Index commit_index = 0;  // kAppend, kSnapshot; kAppended: applied
  Time sent_at{0};         // kAppend, kSnapshot: by the leader's clock; kAppended: that told back
  Time asked_at{-1};  // kAppended: by the member's clock; kAppend: that told back, a lease with it
  std::vector<LogEntry> entries;
  Snapshot snapshot;
  StorageClaim own_claim,
      claim_of_receiver;  // what the sender's disk holds; what it knows of the receiver's
};

// To be made durable as a whole and in order.
struct StorageWrite {
  uint64_t sequence_number = 0;
  Term current_term = 0;
  std::string voted_for;
  Index first_index = 0;  // where `entries` begin; what was there and behind goes. 0: none
  std::vector<LogEntry> entries;
  std::optional<Snapshot> snapshot;  // replaces all that was there
  Index commit_index = 0;
  bool commit_only = false;  // `commit` alone is news: nothing waits for it
};

// What a disk holds once a write is durable: the one meaning of writes for all kinds of disks.
void ApplyStorageWrite(PersistentState& disk, const StorageWrite& write);

struct OutgoingMessage {
  Message message;
  uint64_t after_sequence_number = 0;  // not before this ticket is durable
};

struct AppliedEntry {
  Index index = 0;
  LogEntry entry;
  std::optional<Snapshot> snapshot;  // instead of an entry: the whole up to `index`
};

struct RaftOutput {
  std::vector<StorageWrite> writes;
  std::vector<OutgoingMessage> messages;
  std::vector<AppliedEntry> applied;
  bool storage_rolled_back =
      false;  // this disk has gone back: it takes no part any more, see Forgot()
};

enum class Role : uint8_t {
  kFollower,
  kPreCandidate,
  kCandidate,
  kLeader
};

class RaftNode {
 public:
  // `disk` is what was durable, its boot already counted up. Throws std::invalid_argument for a
  // timing that makes no sense.
  RaftNode(std::string name, const RaftTiming& timing, PersistentState disk, uint64_t seed,
           Time now);

  // A link to another member came up, or went down. `of_you`: what the other remembers of this one,
  // told before anything else.
  void OnPeerConnected(Time now, const std::string& name, uint64_t life, const StorageClaim& of_you,
                       RaftOutput& out);
  void OnPeerDisconnected(const std::string& name);

  void OnMessage(Time now, const Message& message, RaftOutput& out);
  // The write with this ticket and all before it are durable.
  void OnDurable(Time now, uint64_t ticket, RaftOutput& out);
  // What is due by now; to be called at NextDue() at the latest.
  void OnTimeout(Time now, RaftOutput& out);
  [[nodiscard]] Time NextTimeout() const;

  // The entry's index, where this member leads; it is agreed once it is applied in the same term.
  std::optional<Index> Propose(Time now, std::string bytes, RaftOutput& out);
  // Voters with one more, one less, or one whose life is another's. Nothing where this member does
  // not lead, or an earlier such change is not agreed yet.
  std::optional<Index> ProposeVoters(Time now, std::vector<Voter> voters, RaftOutput& out);

  // What each of the users' entries takes to apply beside its own bytes: one event applies as many
  // as `apply_bytes` allow, and the rest is due at once, an event each. So one that has much to
  // catch up with holds up nothing else that its process does.
  void set_apply_cost_bytes(size_t bytes) { apply_cost_bytes_ = bytes; }
  // Whether something that is agreed is still to be applied here.
  [[nodiscard]] bool HasEntriesToApply() const {
    return last_applied_ < commit_index_ && !storage_rolled_back_;
  }

  // No lease goes to one that has not applied this entry; a slow one then holds nobody up for
  // longer than the lease that it has.
  void RequireAppliedForLease(Index index) { required_for_lease_ = index; }

  // Puts all up to `index`, which must be applied, into a snapshot.
  void TakeSnapshot(Index index, std::string bytes, RaftOutput& out);

  // Whether this member leads and can know it: its word is good now.
  [[nodiscard]] bool IsLeaderWithLease(Time now) const { return now < LeaderLeaseUntil(now); }
  [[nodiscard]] Time LeaderLeaseUntil(Time now) const;  // if nothing is heard
  // Until when it may act on what it has applied.
  [[nodiscard]] Time LeaseUntil(Time now) const;
  // Leader: every member that may hold a lease has applied `index`.
  [[nodiscard]] bool AllLeaseHoldersApplied(Time now, Index index) const;

  [[nodiscard]] Role role() const { return role_; }
  [[nodiscard]] Term current_term() const { return current_term_; }
  [[nodiscard]] const std::string& leader() const { return leader_; }
  // Since when no leader has been heard.
  [[nodiscard]] Time leader_heard_at() const { return leader_heard_at_; }
  [[nodiscard]] Index last_applied() const { return last_applied_; }
  [[nodiscard]] Index commit_index() const { return commit_index_; }
  [[nodiscard]] Index last_log_index() const { return snapshot_.index + log_.size(); }
  [[nodiscard]] Index first_log_index() const { return snapshot_.index + 1; }
  // One that is still in the log, agreed or not.
  [[nodiscard]] const LogEntry& EntryAt(Index index) const { return At(index); }
  [[nodiscard]] const std::vector<Voter>& voters() const;
  [[nodiscard]] bool IsVotingMember() const;
  // Whether a disk that has gone back was found out: it must start anew with another life.
  [[nodiscard]] bool storage_rolled_back() const { return storage_rolled_back_; }
  [[nodiscard]] uint64_t incarnation() const { return incarnation_; }
  // What is remembered of another, to be told it when a link comes up.
  [[nodiscard]] StorageClaim ClaimKnownOf(const std::string& name) const;
  // Until it is called, this member asks for no votes: a bank that is being formed, of which too
  // few are here. One whose disk went back to that state would else lead a bank of its own.
  void set_may_campaign(bool may) { may_campaign_ = may; }
  [[nodiscard]] Index MatchIndexOf(const std::string& name) const;

 private:
  struct Peer {
    uint64_t incarnation = 0;
    bool connected = false;
    Index next_index = 1, match_index = 0, last_applied = 0,
          notified_commit_index = 0;  // `told`: the commit that it was sent
    bool append_in_flight = false;    // an append with entries is on its way
    Time last_append_sent_at{0};      // when the last one went
    Time acknowledged_sent_at{-1};    // when that was sent which it last answered
    Time lease_asked_at{-1};          // its clock, to be told back
    Time lease_asked_received_at{0};  // ours
    Time lease_ends_at{-1};           // ours
    bool vote_granted = false;        // a vote, in this election
  };
  [[nodiscard]] Term TermAt(Index index) const;
  [[nodiscard]] const LogEntry& At(Index index) const { return log_[index - snapshot_.index - 1]; }
  [[nodiscard]] Duration Scaled(Duration d, double factor) const;
  // The most that a majority of the voters has at the least.
  template <typename Value, typename Of>
  [[nodiscard]] Value Majority(Value none, Of&& of) const {
    std::array<Value, kMaxVoters> all{};
    size_t count = 0;
    for (const Voter& v : voters()) {
      if (count < all.size()) {
        all[count++] = of(v);
      }
    }
    std::sort(all.begin(), all.begin() + count, std::greater<>());
    return count == 0 ? none : all[count / 2];
  }
  [[nodiscard]] Time QuorumAcknowledgedSentAt(Time now) const;
  [[nodiscard]] bool IsVoter(const std::string& name, uint64_t life) const;
  [[nodiscard]] bool HeardFromLeaderRecently(Time now) const;
  void ResetElectionTimer(Time now);
  void BecomeFollower(Time now, Term term, const std::string& leader, RaftOutput& out);
  void StepDown();
  void StartNewElection(Time now, bool trial, RaftOutput& out);
  void CountVotes(Time now, RaftOutput& out);
  void BecomeLeader(Time now, RaftOutput& out);
  Index AppendToOwnLog(Time now, LogEntry entry, RaftOutput& out);
  void WriteToStorage(RaftOutput& out, Index from, std::vector<LogEntry> entries,
                      std::optional<Snapshot> snapshot = std::nullopt);
  void SendAppendEntries(Time now, const std::string& name, Peer& peer, RaftOutput& out);
  void SendAppendEntriesToAll(Time now, RaftOutput& out);
  void SendMessage(RaftOutput& out, Message message, const std::string& to, uint64_t after);
  bool RememberClaim(const Message& message, RaftOutput& out);
  bool CheckOwnClaim(const StorageClaim& of_you, RaftOutput& out);
  void SendStorageClaims(Time now, RaftOutput& out);
  void OnRequestVote(Time now, const Message& m, RaftOutput& out);
  void OnRequestVoteReply(Time now, const Message& m, RaftOutput& out);
  void OnAppendEntries(Time now, const Message& m, RaftOutput& out);
  void OnAppendEntriesReply(Time now, const Message& m, RaftOutput& out);
  void OnInstallSnapshot(Time now, const Message& m, RaftOutput& out);
  void AdvanceCommitIndex(Time now, RaftOutput& out);
  [[nodiscard]] bool Current() const;
  void ApplyCommittedEntries(RaftOutput& out);
  void NotifyApplied(RaftOutput& out);
  void RebuildVoterIndex();

  std::string name_;
  RaftTiming timing_;
  uint64_t incarnation_, restart_count_;
  std::mt19937_64 random_;
  Term current_term_;
  std::string voted_for_;
  Snapshot snapshot_;
  std::deque<LogEntry> log_;
  std::vector<std::pair<Index, std::vector<Voter>>>
      voter_configurations_;  // by the entry that made them
  Index commit_index_, last_applied_;
  Term term_at_start_;  // as the disk was found
  Index last_index_at_start_;
  Index acknowledged_index_ = 0;  // to the leader of this term
  Index required_for_lease_ = 0;
  size_t apply_cost_bytes_ = 0;
  bool storage_rolled_back_ = false, may_campaign_ = true;
  Time claims_due_at_;  // when the other voters are told again what this disk holds

  Role role_ = Role::kFollower;
  std::string leader_;
  Time leader_heard_at_, election_timer_started_at_, election_timer_due_at_{0};
  Time lease_until_{-1};
  Time leader_since_{0};
  uint64_t last_sequence_number_ = 0, durable_sequence_number_ = 0;
  std::deque<std::pair<uint64_t, Index>> pending_writes_;  // ticket, the last entry that it holds
  Index durable_last_index_ = 0;
  bool own_vote_granted_ = false;
  uint64_t vote_sequence_number_ = 0;
  std::map<std::string, Peer> peers_;
  std::map<std::string, StorageClaim> known_claims_;
};

}  // namespace paddlestile::raft

#endif  // PADDLESTILE_RAFT_RAFT_NODE_H_
