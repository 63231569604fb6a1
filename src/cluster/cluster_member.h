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
Duration MaxDisagreement(const raft::RaftTiming& timing, Duration slack);
inline constexpr Duration kDetectionDelay{250'000};  // us; for a process that runs

struct ChangeRequest {
  enum class Kind : uint8_t {
    kChange,
    kAddVoter,
    kRemoveVoter,
    kReplaceVoter
  };
  Kind kind = Kind::kChange;
  Change change;     // kChange; its id and author count for all
  std::string name;  // of the voter
};

struct ChangeResult {
  enum class Kind : uint8_t {
    kDone,      // agreed, and acted on by all that may act
    kRefused,   // it was not taken, and never will be under this id
    kNoLeader,  // not taken: nobody can lead
    kUnknown    // it may have been taken: submit again under the same id
  };
  Kind kind = Kind::kUnknown;
  std::string id;
  uint64_t version = 0;
  std::string text;
};

// From member to member beside the log's messages.
struct MemberMessage {
  std::string from, to;
  std::optional<ChangeRequest> request;  // for the leader
  std::optional<ChangeResult> result;    // to it
};

struct MemberOutput : raft::RaftOutput {
  std::vector<MemberMessage> member_messages;
  std::vector<std::pair<uint64_t, ChangeResult>> results;  // by the ticket of Submit
  std::vector<std::string> log;                            // lines for people
  // Why this member, which does not vote, needs all content anew; empty: it does not.
  std::string needs_resync;
};

// What a gateway acts on.
struct EffectiveConfig {
  enum class Kind : uint8_t {
    kAgreed,        // the version in force
    kInTransition,  // a newer one is held and not on: the stricter of both
    // Its lease is over, or its content is not what was agreed: nothing that could contradict a
    // version that it does not have.
    kIsolated
  };
  Kind kind = Kind::kIsolated;
  uint64_t version_in_force = 0, latest_version = 0;
  Time valid_until{0};  // by then another stance at the latest, if nothing is heard
  bool operator==(const EffectiveConfig&) const = default;
};

class ClusterMember {
 public:
  struct Options {
    std::string name;
    raft::RaftTiming timing;
    std::set<std::string> initial_voters;  // who is to vote once it is there, until all are
    Duration result_timeout{3'000'000};
    size_t compact_after = 512;  // entries
    bool deltas = false;         // as leader it proposes changes by their own size
  };
  ClusterMember(Options options, raft::PersistentState disk, uint64_t seed, Time now);

  void OnPeerConnected(Time now, const std::string& name, uint64_t life,
                       const raft::StorageClaim& of_you, MemberOutput& out);
  void OnPeerDisconnected(Time now, const std::string& name, MemberOutput& out);
  void OnMessage(Time now, const raft::Message& message, MemberOutput& out);
  void OnMessage(Time now, const MemberMessage& note, MemberOutput& out);
  void OnDurable(Time now, uint64_t ticket, MemberOutput& out);
  void OnTimeout(Time now, MemberOutput& out);
  [[nodiscard]] Time NextTimeout() const;

  // The answer comes under this ticket, once.
  void Submit(Time now, ChangeRequest wish, uint64_t ticket, MemberOutput& out);

  [[nodiscard]] EffectiveConfig CurrentConfig(Time now) const;
  // The rules of a stance of this moment.
  [[nodiscard]] VersionContent ContentOf(const EffectiveConfig& stance) const;

  [[nodiscard]] const raft::RaftNode& raft_node() const { return raft_node_; }
  [[nodiscard]] const VersionHistory& history() const { return history_; }
  // How often its content was found to be another than what was agreed.
  [[nodiscard]] uint64_t content_mismatch_count() const { return differed_; }
  [[nodiscard]] nlohmann::json Status(Time now) const;

 private:
  struct PendingChange {
    std::optional<uint64_t> ticket;  // here, or
    std::string from;                // at this member
    Time until{0};
    raft::Index index = 0;  // of voters: agreed once this is
    raft::Term term = 0;
    uint64_t version = 0;  // of a change: done once this is in force
    bool sent = false;     // with the leader, who is to answer
  };
  void After(Time now, MemberOutput& out);
  void Take(Time now, ChangeRequest wish, PendingChange waiting, MemberOutput& out);
  std::optional<std::string> EntryOf(const Change& change, std::vector<std::string>& faults) const;
  void TakeVoters(Time now, const ChangeRequest& wish, PendingChange waiting, MemberOutput& out);
  void Give(const PendingChange& waiting, ChangeResult answer, MemberOutput& out);
  void Form(Time now, MemberOutput& out);
  [[nodiscard]] std::string WhoLeads(Time now) const;

  Options options_;
  raft::RaftNode raft_node_;
  VersionHistory history_;
  Time started_;
  std::map<std::string, uint64_t> linked_;                // name to life
  std::map<std::string, PendingChange> pending_changes_;  // by the change's id
  std::pair<raft::Term, uint64_t> on_proposed_{0, 0};
  bool formed_proposed_ = false;
  bool differs_ = false;  // said so
  uint64_t differed_ = 0;
  std::optional<std::string> then_add_;  // a voter replaced: out first, then in
};

}  // namespace paddlestile::cluster

#endif  // PADDLESTILE_CLUSTER_CLUSTER_MEMBER_H_
