// One gateway's part in the bank: the agreed log, the versions that it makes, and what this gateway
// may act on now. No I/O, clock, thread or global.
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

#include "cluster/version_content.h"
#include "cluster/version_history.h"
#include "raft/raft_node.h"

namespace paddlestile::cluster {

// The longest that two gateways may act on rules that contradict each other: one that got its lease
// at the last moment acts on for that long, and for `slack` until it notices.
Duration BoundOf(const raft::Timing& timing, Duration slack);
inline constexpr Duration kSlack{250'000};  // us; for a process that runs

struct Wish {
  enum class Kind : uint8_t { kChange, kAddVoter, kRemoveVoter, kReplaceVoter };
  Kind kind = Kind::kChange;
  Change change;     // kChange; its id and author count for all
  std::string name;  // of the voter
};

struct Answer {
  enum class Kind : uint8_t {
    kDone,     // agreed, and acted on by all that may act
    kRefused,  // it was not taken, and never will be under this id
    kNobody,   // not taken: nobody can lead
    kUnknown   // it may have been taken: submit again under the same id
  };
  Kind kind = Kind::kUnknown;
  std::string id;
  uint64_t version = 0;
  std::string text;
};

// From member to member beside the log's messages.
struct Note {
  std::string from, to;
  std::optional<Wish> wish;      // for the leader
  std::optional<Answer> answer;  // to it
};

struct MemberOutput : raft::Output {
  std::vector<Note> notes;
  std::vector<std::pair<uint64_t, Answer>> answers;  // by the ticket of Submit
  std::vector<std::string> log;                      // lines for people
  // Why this member, which does not vote, needs all content anew; empty: it does not.
  std::string needs_anew;
};

// What a gateway acts on.
struct Stance {
  enum class Kind : uint8_t {
    kAgreed,   // the version in force
    kBetween,  // a newer one is held and not on: the stricter of both
    // Its lease is over, or its content is not what was agreed: nothing that could contradict a
    // version that it does not have.
    kAlone
  };
  Kind kind = Kind::kAlone;
  uint64_t on = 0, latest = 0;
  Time until{0};  // by then another stance at the latest, if nothing is heard
  bool operator==(const Stance&) const = default;
};

class Member {
 public:
  struct Options {
    std::string name;
    raft::Timing timing;
    std::set<std::string> first_voters;  // who is to vote once it is there, until all are
    Duration answer_within{3'000'000};
    size_t compact_after = 512;  // entries
    bool deltas = false;         // as leader it proposes changes by their own size
  };
  Member(Options options, raft::Disk disk, uint64_t seed, Time now);

  void Linked(Time now, const std::string& name, uint64_t life, const raft::Claim& of_you,
              MemberOutput& out);
  void Unlinked(Time now, const std::string& name, MemberOutput& out);
  void Receive(Time now, const raft::Message& message, MemberOutput& out);
  void Receive(Time now, const Note& note, MemberOutput& out);
  void Durable(Time now, uint64_t ticket, MemberOutput& out);
  void Tick(Time now, MemberOutput& out);
  [[nodiscard]] Time NextDue() const;

  // The answer comes under this ticket, once.
  void Submit(Time now, Wish wish, uint64_t ticket, MemberOutput& out);

  [[nodiscard]] Stance Acting(Time now) const;
  // The rules of a stance of this moment.
  [[nodiscard]] Content RulesOf(const Stance& stance) const;

  [[nodiscard]] const raft::Agreement& agreement() const { return agreement_; }
  [[nodiscard]] const History& history() const { return history_; }
  // How often its content was found to be another than what was agreed.
  [[nodiscard]] uint64_t differed() const { return differed_; }
  [[nodiscard]] nlohmann::json Status(Time now) const;

 private:
  struct Waiting {
    std::optional<uint64_t> ticket;  // here, or
    std::string from;                // at this member
    Time until{0};
    raft::Index index = 0;  // of voters: agreed once this is
    raft::Term term = 0;
    uint64_t version = 0;  // of a change: done once this is in force
    bool sent = false;     // with the leader, who is to answer
  };
  void After(Time now, MemberOutput& out);
  void Take(Time now, Wish wish, Waiting waiting, MemberOutput& out);
  std::optional<std::string> EntryOf(const Change& change, std::vector<std::string>& faults) const;
  void TakeVoters(Time now, const Wish& wish, Waiting waiting, MemberOutput& out);
  void Give(const Waiting& waiting, Answer answer, MemberOutput& out);
  void Form(Time now, MemberOutput& out);
  [[nodiscard]] std::string WhoLeads(Time now) const;

  Options options_;
  raft::Agreement agreement_;
  History history_;
  Time started_;
  std::map<std::string, uint64_t> linked_;  // name to life
  std::map<std::string, Waiting> waiting_;  // by the change's id
  std::pair<raft::Term, uint64_t> on_proposed_{0, 0};
  bool formed_proposed_ = false;
  bool differs_ = false;  // said so
  uint64_t differed_ = 0;
  std::optional<std::string> then_add_;  // a voter replaced: out first, then in
};

}  // namespace paddlestile::cluster

#endif  // PADDLESTILE_CLUSTER_CLUSTER_MEMBER_H_
