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
inline constexpr size_t kVotersMost = 9;

// How long things take. All clocks may run apart by `clock_rate` (0.01: one part in a hundred).
struct Timing {
  Duration heartbeat{100'000};     // from the leader to a voter; to others 2.5 times that
  Duration election{500'000};      // no leader heard for so long, up to twice that: one is elected
  Duration lease{1'000'000};       // a member acts on what it knows for so long after it asked
  double clock_rate = 0.01;        // 0 to 0.2
  size_t append_bytes = 64 << 10;  // of entries in one message, beyond the first
  size_t apply_bytes = 64 << 10;   // of work in one event, beyond its first entry; see Weigh
};

// A lease as its holder counts it, from when it asked, and as everybody else must wait for it.
inline Duration HeldFor(const Timing& t) {
  return Duration(
      static_cast<int64_t>(static_cast<double>(t.lease.count()) * (1 - 2 * t.clock_rate)));
}
inline Duration WaitFor(const Timing& t) {
  return Duration(
      static_cast<int64_t>(static_cast<double>(t.lease.count()) * (1 + 2 * t.clock_rate)));
}

// A member's disk as one life of it: a folder that was lost gives another life under the same name.
struct Voter {
  std::string name;
  uint64_t life = 0;
  auto operator<=>(const Voter&) const = default;
};

struct Entry {
  enum class Kind : uint8_t { kNone, kVoters, kData };
  Term term = 0;
  Kind kind = Kind::kNone;
  std::string bytes;          // kData: the users'
  std::vector<Voter> voters;  // kVoters: those from this entry on
  bool operator==(const Entry&) const = default;
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
struct Disk {
  uint64_t life = 0;  // drawn once for a folder; 0: never
  uint64_t boot = 0;  // how often this life has started, this time included
  Term term = 0;
  std::string vote;  // who got this member's vote in that term
  Snapshot snapshot;
  std::vector<Entry> log;  // behind the snapshot
  Index commit = 0;        // agreed by then, or more
};

// What one member remembers that another has told of its disk, by which a disk that has gone back
// to an older state is found out.
struct Claim {
  uint64_t life = 0, boot = 0;
  Term term = 0;
  Index match = 0;  // acknowledged to the leader of that term
};

struct Message {
  enum class Type : uint8_t { kAskVote, kVote, kAppend, kAppended, kSnapshot, kClaim };
  Type type = Type::kAppend;
  std::string from, to;
  uint64_t from_life = 0;
  Term term = 0;
  bool trial = false;    // kAskVote, kVote: whether it would; nothing is bound by it
  bool granted = false;  // kVote, kAppended: yes
  Index index = 0;  // kAskVote: last entry; kAppend: the one before; kAppended: match, or a hint
  Term index_term = 0;  // kAskVote, kAppend: its term
  Index commit = 0;     // kAppend, kSnapshot; kAppended: applied
  Time sent{0};         // kAppend, kSnapshot: by the leader's clock; kAppended: that told back
  Time asked{-1};  // kAppended: by the member's clock; kAppend: that told back, a lease with it
  std::vector<Entry> entries;
  Snapshot snapshot;
  Claim own, of_you;  // what the sender's disk holds; what it knows of the receiver's
};

// To be made durable as a whole and in order.
struct Write {
  uint64_t ticket = 0;
  Term term = 0;
  std::string vote;
  Index from = 0;  // where `entries` begin; what was there and behind goes. 0: none
  std::vector<Entry> entries;
  std::optional<Snapshot> snapshot;  // replaces all that was there
  Index commit = 0;
  bool lazy = false;  // `commit` alone is news: nothing waits for it
};

// What a disk holds once a write is durable: the one meaning of writes for all kinds of disks.
void ApplyWrite(Disk& disk, const Write& write);

struct Outgoing {
  Message message;
  uint64_t after = 0;  // not before this ticket is durable
};

struct Applied {
  Index index = 0;
  Entry entry;
  std::optional<Snapshot> snapshot;  // instead of an entry: the whole up to `index`
};

struct Output {
  std::vector<Write> writes;
  std::vector<Outgoing> sends;
  std::vector<Applied> applied;
  bool forgot = false;  // this disk has gone back: it takes no part any more, see Forgot()
};

enum class Role : uint8_t { kFollower, kTrial, kCandidate, kLeader };

class Agreement {
 public:
  // `disk` is what was durable, its boot already counted up. Throws std::invalid_argument for a
  // timing that makes no sense.
  Agreement(std::string name, const Timing& timing, Disk disk, uint64_t seed, Time now);

  // A link to another member came up, or went down. `of_you`: what the other remembers of this one,
  // told before anything else.
  void Linked(Time now, const std::string& name, uint64_t life, const Claim& of_you, Output& out);
  void Unlinked(const std::string& name);

  void Receive(Time now, const Message& message, Output& out);
  // The write with this ticket and all before it are durable.
  void Durable(Time now, uint64_t ticket, Output& out);
  // What is due by now; to be called at NextDue() at the latest.
  void Tick(Time now, Output& out);
  [[nodiscard]] Time NextDue() const;

  // The entry's index, where this member leads; it is agreed once it is applied in the same term.
  std::optional<Index> Propose(Time now, std::string bytes, Output& out);
  // Voters with one more, one less, or one whose life is another's. Nothing where this member does
  // not lead, or an earlier such change is not agreed yet.
  std::optional<Index> ProposeVoters(Time now, std::vector<Voter> voters, Output& out);

  // What each of the users' entries takes to apply beside its own bytes: one event applies as many
  // as `apply_bytes` allow, and the rest is due at once, an event each. So one that has much to
  // catch up with holds up nothing else that its process does.
  void Weigh(size_t bytes) { entry_weight_ = bytes; }
  // Whether something that is agreed is still to be applied here.
  [[nodiscard]] bool Behind() const { return applied_ < commit_ && !forgot_; }

  // No lease goes to one that has not applied this entry; a slow one then holds nobody up for
  // longer than the lease that it has.
  void Require(Index index) { required_ = index; }

  // Puts all up to `index`, which must be applied, into a snapshot.
  void Compact(Index index, std::string bytes, Output& out);

  // Whether this member leads and can know it: its word is good now.
  [[nodiscard]] bool Leads(Time now) const { return now < LeadsUntil(now); }
  [[nodiscard]] Time LeadsUntil(Time now) const;  // if nothing is heard
  // Until when it may act on what it has applied.
  [[nodiscard]] Time LeaseUntil(Time now) const;
  // Leader: every member that may hold a lease has applied `index`.
  [[nodiscard]] bool AllApplied(Time now, Index index) const;

  [[nodiscard]] Role role() const { return role_; }
  [[nodiscard]] Term term() const { return term_; }
  [[nodiscard]] const std::string& leader() const { return leader_; }
  // Since when no leader has been heard.
  [[nodiscard]] Time heard() const { return heard_; }
  [[nodiscard]] Index applied() const { return applied_; }
  [[nodiscard]] Index commit() const { return commit_; }
  [[nodiscard]] Index last() const { return snapshot_.index + log_.size(); }
  [[nodiscard]] Index first() const { return snapshot_.index + 1; }
  // One that is still in the log, agreed or not.
  [[nodiscard]] const Entry& EntryAt(Index index) const { return At(index); }
  [[nodiscard]] const std::vector<Voter>& voters() const;
  [[nodiscard]] bool Votes() const;
  // Whether a disk that has gone back was found out: it must start anew with another life.
  [[nodiscard]] bool Forgot() const { return forgot_; }
  [[nodiscard]] uint64_t life() const { return life_; }
  // What is remembered of another, to be told it when a link comes up.
  [[nodiscard]] Claim KnownOf(const std::string& name) const;
  // Until it is called, this member asks for no votes: a bank that is being formed, of which too
  // few are here. One whose disk went back to that state would else lead a bank of its own.
  void set_may_campaign(bool may) { may_campaign_ = may; }
  [[nodiscard]] Index MatchOf(const std::string& name) const;

 private:
  struct Peer {
    uint64_t life = 0;
    bool linked = false;
    Index next = 1, match = 0, applied = 0, told = 0;  // `told`: the commit that it was sent
    bool waiting = false;                              // an append with entries is on its way
    Time sent_at{0};                                   // when the last one went
    Time acked_sent{-1};                               // when that was sent which it last answered
    Time asked{-1};                                    // its clock, to be told back
    Time asked_came{0};                                // ours
    Time lease_end{-1};                                // ours
    bool granted = false;                              // a vote, in this election
  };
  [[nodiscard]] Term TermAt(Index index) const;
  [[nodiscard]] const Entry& At(Index index) const { return log_[index - snapshot_.index - 1]; }
  [[nodiscard]] Duration Scaled(Duration d, double factor) const;
  // The most that a majority of the voters has at the least.
  template <typename Value, typename Of>
  [[nodiscard]] Value Majority(Value none, Of&& of) const {
    std::array<Value, kVotersMost> all{};
    size_t count = 0;
    for (const Voter& v : voters()) {
      if (count < all.size()) all[count++] = of(v);
    }
    std::sort(all.begin(), all.begin() + count, std::greater<>());
    return count == 0 ? none : all[count / 2];
  }
  [[nodiscard]] Time QuorumSent(Time now) const;
  [[nodiscard]] bool IsVoter(const std::string& name, uint64_t life) const;
  [[nodiscard]] bool HeardLately(Time now) const;
  void RestartTimer(Time now);
  void Follow(Time now, Term term, const std::string& leader, Output& out);
  void StepDown();
  void Campaign(Time now, bool trial, Output& out);
  void CountVotes(Time now, Output& out);
  void Lead(Time now, Output& out);
  Index AppendOwn(Time now, Entry entry, Output& out);
  void WriteOut(Output& out, Index from, std::vector<Entry> entries,
                std::optional<Snapshot> snapshot = std::nullopt);
  void SendAppend(Time now, const std::string& name, Peer& peer, Output& out);
  void SendAll(Time now, Output& out);
  void Post(Output& out, Message message, const std::string& to, uint64_t after);
  bool Remember(const Message& message, Output& out);
  bool Recognise(const Claim& of_you, Output& out);
  void TellClaims(Time now, Output& out);
  void OnAskVote(Time now, const Message& m, Output& out);
  void OnVote(Time now, const Message& m, Output& out);
  void OnAppend(Time now, const Message& m, Output& out);
  void OnAppended(Time now, const Message& m, Output& out);
  void OnSnapshot(Time now, const Message& m, Output& out);
  void AdvanceCommit(Time now, Output& out);
  [[nodiscard]] bool Current() const;
  void Apply(Output& out);
  void TellApplied(Output& out);
  void Reindex();

  std::string name_;
  Timing timing_;
  uint64_t life_, boot_;
  std::mt19937_64 random_;
  Term term_;
  std::string vote_;
  Snapshot snapshot_;
  std::deque<Entry> log_;
  std::vector<std::pair<Index, std::vector<Voter>>> voters_;  // by the entry that made them
  Index commit_, applied_;
  Term found_term_;  // as the disk was found
  Index found_last_;
  Index acked_ = 0;  // to the leader of this term
  Index required_ = 0;
  size_t entry_weight_ = 0;
  bool forgot_ = false, may_campaign_ = true;
  Time claims_due_;  // when the other voters are told again what this disk holds

  Role role_ = Role::kFollower;
  std::string leader_;
  Time heard_, timer_from_, timer_{0};
  Time lease_until_{-1};
  Time led_since_{0};
  uint64_t ticket_ = 0, durable_ = 0;
  std::deque<std::pair<uint64_t, Index>> durable_at_;  // ticket, the last entry that it holds
  Index durable_last_ = 0;
  bool self_granted_ = false;
  uint64_t vote_ticket_ = 0;
  std::map<std::string, Peer> peers_;
  std::map<std::string, Claim> known_;
};

}  // namespace paddlestile::raft

#endif  // PADDLESTILE_RAFT_RAFT_NODE_H_
