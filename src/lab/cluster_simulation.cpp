#include "lab/cluster_simulation.h"

#include <fmt/format.h>
#include <xxhash.h>

#include <algorithm>
#include <array>
#include <atomic>
#include <cstdio>
#include <functional>
#include <memory>
#include <mutex>
#include <nlohmann/json.hpp>
#include <optional>
#include <queue>
#include <random>
#include <set>
#include <thread>

#include "cluster/cluster_member.h"
#include "cluster/config_document.h"

namespace paddlestile::lab {
namespace {

using cluster::ChangeResult;
using cluster::ClusterMember;
using cluster::EffectiveConfig;
using cluster::MemberMessage;
using nlohmann::json;
using raft::Message;
using raft::PersistentState;

constexpr Duration kMillisecond{1000};
constexpr size_t kMaxFullMeshMembers = 16;
constexpr uint64_t kMaxMeasuredSchedules = 20'000;
constexpr size_t kMaxListedPerRule = 8;  // broken schedules listed for each rule
// A restart with a copy older than this is detected if the members it was connected to live on.
constexpr Duration kMinOldCopyAge{600'000};  // us
// The longest time to apply one entry, where entries are applied one at a time.
constexpr size_t kMaxApplyUs = 20'000;
constexpr double kLongOutageMinUs = 6e6, kLongOutageMaxUs = 60e6;
// All members must have converged this long after all faults are repaired.
constexpr Duration kRecoveryLimit{8'000'000};  // us

double Ms(Duration duration) {
  return static_cast<double>(duration.count()) / 1000;
}

// What a client sets and removes. Its effect on a version is implemented here a second time,
// without the program's delta code, so that each implementation checks the other.
struct ChangeParts {
  std::map<std::string, bool> barred, drain;                // true: added
  std::map<std::string, std::optional<std::string>> zones;  // nothing: removed
  std::map<std::string, std::optional<int>> tenants;        // quota; nothing: removed
  std::optional<int> cap, slo;
};

json DeltaOf(const ChangeParts& parts) {
  json delta = json::object();
  const auto add_hosts = [&](const char* key, const std::map<std::string, bool>& host_changes) {
    for (const auto& [id, add] : host_changes) {
      delta[key][add ? "add" : "remove"].push_back(id);
    }
  };
  add_hosts("barred", parts.barred);
  add_hosts("drain", parts.drain);
  for (const auto& [id, zone] : parts.zones) {
    delta["zone_only"][id] = zone ? json(*zone) : json();
  }
  for (const auto& [name, quota] : parts.tenants) {
    delta["settings"]["Tenants"][name] = quota ? json{{"QuotaPerS", *quota}} : json();
  }
  if (parts.cap) {
    delta["settings"]["Allowed"]["SendCap"] = *parts.cap;
  }
  if (parts.slo) {
    delta["settings"]["Classes"]["c"]["Slo"] = *parts.slo;
  }
  return delta;
}

cluster::ConfigDocument ApplyParts(cluster::ConfigDocument document, const ChangeParts& parts) {
  const auto apply_hosts = [](std::set<std::string>& hosts,
                              const std::map<std::string, bool>& host_changes) {
    for (const auto& [id, add] : host_changes) {
      add ? (void)hosts.insert(id) : (void)hosts.erase(id);
    }
  };
  apply_hosts(document.excluded, parts.barred);
  apply_hosts(document.draining, parts.drain);
  for (const auto& [id, zone] : parts.zones) {
    document.zone_only.erase(id);
    if (zone) {
      document.zone_only[id] = *zone;
    }
  }
  for (const auto& [name, quota] : parts.tenants) {
    if (!quota && !document.settings.contains("Tenants")) {
      continue;
    }
    json& tenants = document.settings["Tenants"];
    size_t index = 0;
    while (index < tenants.size() && tenants[index]["Name"] != name) {
      ++index;
    }
    if (!quota && index < tenants.size()) {
      tenants.erase(index);
    }
    if (quota && index == tenants.size()) {
      tenants.push_back({{"Name", name}});
    }
    if (quota) {
      tenants[index]["QuotaPerS"] = *quota;
    }
  }
  if (parts.cap) {
    document.settings["Allowed"]["SendCap"] = *parts.cap;
  }
  if (parts.slo && !document.settings.contains("Classes")) {
    document.settings["Classes"] = json::array({{{"Name", "c"}}});
  }
  if (parts.slo) {
    document.settings["Classes"][0]["Slo"] = *parts.slo;
  }
  return document;
}

class World {
 public:
  explicit World(const WorldOptions& options)
      : options_(options), random_(options.seed), client_random_(options.seed ^ 0xde17a) {
    // In one run of four, only some members propose deltas, as during an upgrade or a partial
    // rollout.
    const bool mixed_support = options_.deltas && PickForClient(4) == 0;
    all_propose_deltas_ = options_.deltas && !mixed_support;
    max_tenants_ = PickForClient(8) == 0 ? 100 : 10;
    // In two runs of five, committed entries are applied one at a time, each with a delay.
    if (options_.seed % 5 < 2) {
      timing_.max_apply_bytes = 1;
    }
    const size_t count = options_.voters + options_.followers;
    nodes_.resize(count);
    blocked_.assign(count, std::vector<bool>(count, false));
    slowed_.assign(count, std::vector<bool>(count, false));
    last_arrival_.assign(count, std::vector<Time>(count, Time(0)));
    for (size_t i = 0; i < count; ++i) {
      Node& node = nodes_[i];
      node.name = fmt::format("g{}", i);
      // Clocks drift apart by at most the documented rate.
      node.rate = 1 + Draw(-0.005, 0.005);
      node.offset = Duration(static_cast<int64_t>(Draw(0, 1e9)));
      node.disk.incarnation = ++last_incarnation_;
      node.deltas = options_.deltas && (!mixed_support || PickForClient(2) == 0);
      if (i < options_.voters) {
        initial_voters_.insert(node.name);
      }
    }
    // As after `bank init` at one member, which the others then join.
    raft::LogEntry entry{
        1, raft::LogEntry::Kind::kVoters, {}, {{nodes_[0].name, nodes_[0].disk.incarnation}}};
    nodes_[0].disk.current_term = 1;
    nodes_[0].disk.log = {entry};
    for (size_t i = 0; i < count; ++i) {
      Start(i);
    }
  }

  WorldResult Simulate() {
    const Time end(static_cast<int64_t>(options_.seconds * 1e6));
    for (size_t i = 0; i < options_.faults; ++i) {
      Schedule(Time(static_cast<int64_t>(Draw(1.2e6, options_.seconds * 1e6))),
               [this] { InjectFault(); });
    }
    Schedule(Time(300'000), [this] { SubmitNewChange(); });
    Schedule(end, [this] { RepairAll(); });
    while (!queue_.empty() && result_.broken.empty()) {
      Event event = queue_.top();
      queue_.pop();
      if (event.at > end + kRecoveryLimit || (event.at > end && HasConverged())) {
        break;
      }
      now_ = event.at;
      ++result_.events;
      event.action();
      CheckInvariants();
    }
    if (result_.broken.empty()) {
      CheckFinalState();
    }
    result_.digest = digest_;
    return std::move(result_);
  }

 private:
  struct Node {
    std::string name;
    double rate = 1;
    Duration offset{0};
    PersistentState disk;                     // durable
    std::optional<PersistentState> old_copy;  // an older state of `disk`
    Time copied_at{0};
    bool rolled_back = false;  // by an injected fault
    std::unique_ptr<ClusterMember> member;
    uint64_t start_id = 0;  // identifies the process; events of earlier processes are ignored
    Time paused_until{0};
    Time timer_due{0};
    // Writes that arrive during a sync share the next sync.
    Time sync_end{0}, next_sync_end{0}, last_sync_end{0};
    bool disk_slow = false, deltas = false;
    uint64_t durable = 0;
    std::vector<raft::OutgoingMessage> held_messages;  // until a write is durable
    std::map<size_t, uint64_t> links;                  // peer to the peer's start id
    raft::Index applied = 0;
    Time leads_until{-1}, acts_until{-1};
    uint64_t acting_on_version = 0;
  };
  struct Event {
    Time at{0};
    uint64_t number = 0;
    std::function<void()> action;
    bool operator<(const Event& other) const {
      return std::pair(at, number) > std::pair(other.at, other.number);
    }
  };
  struct ClientChange {
    std::string id;
    uint64_t attempt = 0;              // incremented each time a submission is scheduled
    std::string document;              // the whole document, or
    std::optional<ChangeParts> parts;  // the delta of these parts
    std::optional<uint64_t> expected_version;
    Time first_submitted{0}, done_at{-1};
    uint64_t version = 0;
    bool retried = false, refused = false;
  };

  double Draw(double low, double high) {
    return std::uniform_real_distribution<double>(low, high)(random_);
  }
  // Client changes use a generator of their own, so that they do not alter the sequence of faults.
  size_t PickForClient(size_t n) {
    return std::uniform_int_distribution<size_t>(0, n - 1)(client_random_);
  }
  size_t Pick(size_t n) { return std::uniform_int_distribution<size_t>(0, n - 1)(random_); }
  bool Chance(double p) { return Draw(0, 1) < p; }
  void Schedule(Time at, std::function<void()> action) {
    queue_.push({std::max(at, now_), ++last_number_, std::move(action)});
  }
  Time LocalTime(const Node& node) const {
    return node.offset +
           Duration(static_cast<int64_t>(static_cast<double>(now_.count()) * node.rate));
  }
  Time GlobalTime(const Node& node, Time local_time) const {
    return Time(
        static_cast<int64_t>(static_cast<double>((local_time - node.offset).count()) / node.rate) +
        1);
  }
  void Trace(const std::string& description) {
    if (options_.trace) {
      fmt::print(stderr, "{:9.3f} ms {}\n", Ms(now_), description);
    }
  }
  void ReportViolation(const std::string& description) {
    result_.broken.push_back(fmt::format("{} at {:.3f} ms", description, Ms(now_)));
  }

  // ---- Processes --------------------------------------------------------------------------------
  void Start(size_t i) {
    Node& node = nodes_[i];
    if (node.disk.incarnation == 0) {
      node.disk.incarnation = ++last_incarnation_;
    }
    ++node.disk.restart_count;
    node.start_id = ++last_start_id_;
    node.durable = 0;
    node.held_messages.clear();
    node.links.clear();
    node.applied = 0;
    node.timer_due = Time(0);
    node.paused_until = now_;
    node.sync_end = node.next_sync_end = node.last_sync_end = now_;
    PersistentState loaded = node.disk;
    if (options_.mischief == Mischief::kForgetsVote) {
      loaded.current_term = node.disk.current_term > 1 ? node.disk.current_term - 1 : 1;
      loaded.voted_for.clear();
    }
    if (options_.mischief == Mischief::kForgetsLog && node.disk.log.size() > 2) {
      loaded.log.resize(loaded.log.size() - std::min<size_t>(3, loaded.log.size() - 1));
    }
    ClusterMember::Options options;
    options.name = node.name;
    options.timing = timing_;
    options.initial_voters = initial_voters_;
    options.compact_after = 24;
    options.deltas = node.deltas;
    node.member = std::make_unique<ClusterMember>(options, loaded, random_(), LocalTime(node));
    Run(i, [](ClusterMember&, Time, cluster::MemberOutput&) {});
    for (size_t j = 0; j < nodes_.size(); ++j) {
      if (j != i) {
        Link(i, j);
      }
    }
  }
  void Kill(size_t i) {
    Node& node = nodes_[i];
    if (!node.member) {
      return;
    }
    Trace(node.name + " dies");
    if (node.member->raft_node().IsLeaderWithLease(LocalTime(node))) {
      leader_lost_at_ = now_;
    }
    for (const auto& [j, start_id] : std::map(node.links)) {
      Unlink(i, j);
    }
    node.member.reset();
    node.start_id = 0;
  }

  // ---- Connections ------------------------------------------------------------------------------
  void Link(size_t a, size_t b) {
    Node &node_a = nodes_[a], &node_b = nodes_[b];
    if (!node_a.member || !node_b.member) {
      return;
    }
    // In a large cluster, members that only follow do not connect to each other.
    if (nodes_.size() > kMaxFullMeshMembers && std::min(a, b) >= options_.voters) {
      return;
    }
    if (node_a.links.contains(b) && node_a.links[b] == node_b.start_id) {
      return;
    }
    // A connection is only established while both directions are open.
    if (blocked_[a][b] || blocked_[b][a]) {
      return;
    }
    node_a.links[b] = node_b.start_id;
    node_b.links[a] = node_a.start_id;
    const uint64_t incarnation_a = node_a.member->raft_node().incarnation(),
                   incarnation_b = node_b.member->raft_node().incarnation();
    const raft::StorageClaim claim_of_a = node_b.member->raft_node().ClaimKnownOf(node_a.name);
    const raft::StorageClaim claim_of_b = node_a.member->raft_node().ClaimKnownOf(node_b.name);
    Run(a, [&](ClusterMember& member, Time now, cluster::MemberOutput& out) {
      member.OnPeerConnected(now, node_b.name, incarnation_b, claim_of_a, out);
    });
    Run(b, [&](ClusterMember& member, Time now, cluster::MemberOutput& out) {
      member.OnPeerConnected(now, node_a.name, incarnation_a, claim_of_b, out);
    });
  }
  void Unlink(size_t a, size_t b) {
    Node &node_a = nodes_[a], &node_b = nodes_[b];
    node_a.links.erase(b);
    node_b.links.erase(a);
    if (node_a.member) {
      Run(a, [&](ClusterMember& member, Time now, cluster::MemberOutput& out) {
        member.OnPeerDisconnected(now, node_b.name, out);
      });
    }
    if (node_b.member) {
      Run(b, [&](ClusterMember& member, Time now, cluster::MemberOutput& out) {
        member.OnPeerDisconnected(now, node_a.name, out);
      });
    }
  }
  template <typename Payload>
  void Send(size_t from, const Payload& payload) {
    const size_t to = std::stoul(payload.to.substr(1));
    Node &source = nodes_[from], &target = nodes_[to];
    const auto link = source.links.find(to);
    if (link == source.links.end() || blocked_[from][to]) {
      return;
    }
    const Duration delay(
        static_cast<int64_t>(slowed_[from][to] ? Draw(40e3, 400e3) : Draw(100, 4000)));
    // Messages of a connection arrive in order.
    Time& arrival = last_arrival_[from][to];
    arrival = std::max(arrival, now_ + delay);
    const int copies = Chance(0.002) ? 2 : 1;
    for (int c = 0; c < copies; ++c) {
      Deliver(arrival, to, target.start_id, from, source.start_id, payload);
    }
  }
  template <typename Payload>
  void Deliver(Time at, size_t to, uint64_t start_id, size_t from, uint64_t from_start_id,
               Payload payload) {
    Schedule(at, [=, this] {
      Node& target = nodes_[to];
      if (!target.member || target.start_id != start_id) {
        return;
      }
      if (now_ < target.paused_until) {
        return Deliver(target.paused_until, to, start_id, from, from_start_id, payload);
      }
      const auto link = target.links.find(from);
      if (link == target.links.end() || link->second != from_start_id) {
        return;
      }
      Payload received = payload;
      Tamper(to, received);
      Run(to, [&](ClusterMember& member, Time now, cluster::MemberOutput& out) {
        member.OnMessage(now, received, out);
      });
    });
  }
  void Tamper(size_t to, Message& message) {
    if (options_.mischief == Mischief::kMisapplies && to >= options_.voters) {
      DropDeltaParts(message);
    }
    if (options_.mischief != Mischief::kVotesForAll ||
        message.type != Message::Type::kRequestVote) {
      return;
    }
    Message vote;
    vote.type = Message::Type::kRequestVoteReply;
    vote.from = message.to;
    vote.to = message.from;
    vote.from_incarnation = nodes_[to].member->raft_node().incarnation();
    vote.term = message.is_pre_vote ? message.term - 1 : message.term;
    vote.is_pre_vote = message.is_pre_vote;
    vote.granted = true;
    Send(to, vote);
  }
  static void DropDeltaParts(Message& message) {
    for (raft::LogEntry& entry : message.entries) {
      if (entry.kind != raft::LogEntry::Kind::kData) {
        continue;
      }
      json value = json::from_cbor(entry.bytes);
      value.erase("hash");
      const std::string id = value.value("id", "");
      if (value.contains("delta") && XXH3_64bits(id.data(), id.size()) % 3 == 0) {
        value["delta"] = "{}";
      }
      entry.bytes.clear();
      json::to_cbor(value, entry.bytes);
    }
  }
  void Tamper(size_t, MemberMessage& note) {
    if (options_.mischief == Mischief::kTakesTwice && note.request) {
      note.request->change.id += fmt::format("'{}", ++last_number_);
    }
  }

  // ---- Running a member ------------------------------------------------------------------------
  template <typename Action>
  void Run(size_t i, Action&& action) {
    Node& node = nodes_[i];
    cluster::MemberOutput out;
    action(*node.member, LocalTime(node), out);
    HandleOutput(i, out);
  }
  void HandleOutput(size_t i, cluster::MemberOutput& out) {
    Node& node = nodes_[i];
    const uint64_t start_id = node.start_id;
    for (const raft::StorageWrite& write : out.writes) {
      const Duration write_time(
          static_cast<int64_t>(node.disk_slow ? Draw(20e3, 900e3) : Draw(50, 3000)));
      Schedule(
          write.commit_only ? std::max(now_, node.last_sync_end) : ScheduleSync(node, write_time),
          [this, i, start_id, write] { OnWritten(i, start_id, write); });
    }
    for (raft::OutgoingMessage& outgoing : out.messages) {
      if (options_.mischief == Mischief::kAppliesLate &&
          outgoing.message.type == Message::Type::kAppendEntriesReply) {
        // Claims entries as applied as soon as it has received them.
        outgoing.message.commit_index += 2;
      }
      if (outgoing.after_sequence_number <= node.durable) {
        Send(i, outgoing.message);
      } else {
        node.held_messages.push_back(std::move(outgoing));
      }
    }
    for (const MemberMessage& note : out.member_messages) {
      Send(i, note);
    }
    for (const auto& [ticket, answer] : out.results) {
      OnAnswer(ticket, answer);
    }
    if (options_.trace) {
      for (const std::string& line : out.log) {
        Trace(node.name + ": " + line);
      }
    }
    if (out.storage_rolled_back) {
      ++result_.rollbacks_detected;
      if (!node.rolled_back) {
        ReportViolation(
            fmt::format("memory: {} restarted without the former contents of its disk", node.name));
      }
      Trace(node.name + " detects that its disk was rolled back");
      Schedule(now_, [this, i, start_id] {
        if (nodes_[i].start_id == start_id) {
          RestartWithDisk(i, PersistentState{});
        }
      });
    }
    if (options_.mischief == Mischief::kNone && node.member->content_mismatch_count() > 0) {
      ReportViolation(
          fmt::format("content: {}: {}", node.name, node.member->history().content_mismatch()));
    }
    if (!out.needs_resync.empty()) {
      Schedule(now_, [this, i, start_id] {
        if (nodes_[i].start_id == start_id) {
          RestartWithDisk(i, PersistentState{});
        }
      });
    }
    CheckApplied(node);
    UpdateLeases(node);
    ScheduleTimer(i);
  }
  Time ScheduleSync(Node& node, Duration write_time) {
    if (now_ >= node.sync_end) {
      node.sync_end = std::max(node.sync_end, node.next_sync_end);
    }
    if (now_ >= node.sync_end) {
      node.last_sync_end = node.sync_end = now_ + write_time;
    } else if (node.next_sync_end <= node.sync_end) {
      node.last_sync_end = node.next_sync_end = node.sync_end + write_time;
    }
    return node.last_sync_end;
  }
  void ScheduleTimer(size_t i) {
    Node& node = nodes_[i];
    if (!node.member) {
      return;
    }
    const Time due = node.member->NextTimeout();
    if (due == Time::max()) {
      return;
    }
    const Duration min_delay(
        node.member->raft_node().HasEntriesToApply() ? 1 + PickForClient(kMaxApplyUs) : 1);
    const Time at = std::max(GlobalTime(node, due), now_ + min_delay);
    if (node.timer_due > now_ && node.timer_due <= at) {
      return;
    }
    node.timer_due = at;
    const uint64_t start_id = node.start_id;
    Schedule(at, [this, i, start_id] { OnTimer(i, start_id); });
  }
  void OnTimer(size_t i, uint64_t start_id) {
    Node& node = nodes_[i];
    if (node.start_id != start_id || !node.member) {
      return;
    }
    if (now_ < node.paused_until) {
      return Schedule(node.paused_until, [this, i, start_id] { OnTimer(i, start_id); });
    }
    Run(i, [](ClusterMember& member, Time now, cluster::MemberOutput& out) {
      member.OnTimeout(now, out);
    });
  }
  void OnWritten(size_t i, uint64_t start_id, const raft::StorageWrite& write) {
    Node& node = nodes_[i];
    if (node.start_id != start_id) {
      return;  // the process died before the sync; the write is lost
    }
    raft::ApplyStorageWrite(node.disk, write);
    if (write.commit_only) {
      return;
    }
    if (now_ < node.paused_until) {
      // The write is on the disk, but the paused process is only notified when it resumes.
      return Schedule(node.paused_until, [this, i, start_id, ticket = write.sequence_number] {
        NotifyDurable(i, start_id, ticket);
      });
    }
    NotifyDurable(i, start_id, write.sequence_number);
  }
  void NotifyDurable(size_t i, uint64_t start_id, uint64_t ticket) {
    Node& node = nodes_[i];
    if (node.start_id != start_id || !node.member) {
      return;
    }
    node.durable = std::max(node.durable, ticket);
    std::vector<raft::OutgoingMessage> held_messages = std::move(node.held_messages);
    node.held_messages.clear();
    for (raft::OutgoingMessage& outgoing : held_messages) {
      if (outgoing.after_sequence_number <= node.durable) {
        Send(i, outgoing.message);
      } else {
        node.held_messages.push_back(std::move(outgoing));
      }
    }
    Run(i, [&](ClusterMember& member, Time now, cluster::MemberOutput& out) {
      member.OnDurable(now, ticket, out);
    });
  }
  void RestartWithDisk(size_t i, const PersistentState& disk) {
    Kill(i);
    nodes_[i].rolled_back = false;
    nodes_[i].disk = disk;
    Start(i);
  }

  // ---- Clients ----------------------------------------------------------------------------------
  void SubmitNewChange() {
    if (repaired_) {
      return;
    }
    ClientChange& change = client_changes_.emplace_back();
    const uint64_t ticket = client_changes_.size() - 1;
    change.id = fmt::format("c{}", ticket);
    // Each change excludes a different host, so that any two versions contradict each other.
    change.document = fmt::format(R"({{"barred":["h{}"]}})", ticket);
    if (options_.deltas) {
      ComposeChange(change);
    }
    change.first_submitted = now_;
    ++result_.submitted;
    Submit(ticket);
    Schedule(now_ + Duration(static_cast<int64_t>(Draw(50e3, 500e3))),
             [this] { SubmitNewChange(); });
  }
  // Bases the change on the latest version or on a stale one, with or without an expected version.
  void ComposeChange(ClientChange& change) {
    const uint64_t latest = expected_documents_.size(),
                   base = PickForClient(5) == 0 ? PickForClient(latest + 1) : latest;
    const ChangeParts parts = DrawParts();
    if (PickForClient(3) == 0) {
      change.expected_version = base;
    }
    if (all_propose_deltas_ && PickForClient(3) == 0) {
      change.parts = parts;
      change.document = DeltaOf(parts).dump();
    } else {
      change.document = cluster::ToText(ApplyParts(ExpectedDocument(base), parts));
    }
  }
  ChangeParts DrawParts() {
    ChangeParts parts;
    const auto host = [this] {
      return fmt::format("h{}", PickForClient(8));
    };
    for (size_t i = 1 + PickForClient(4); i > 0; --i) {
      switch (PickForClient(8)) {
        case 0:
        case 1:
        case 2:
          parts.barred[host()] = PickForClient(5) < 3;
          break;
        case 3:
          parts.drain[host()] = PickForClient(5) < 3;
          break;
        case 4:
          parts.zones[host()] = PickForClient(3) == 0
                                    ? std::nullopt
                                    : std::optional(fmt::format("z{}", PickForClient(2)));
          break;
        case 5:
          for (size_t k = 1 + PickForClient(PickForClient(4) == 0 ? max_tenants_ : 3); k > 0; --k) {
            parts.tenants[fmt::format("t{}", PickForClient(max_tenants_))] =
                PickForClient(4) == 0 ? std::nullopt
                                      : std::optional(static_cast<int>(PickForClient(5)));
          }
          break;
        case 6:
          parts.cap = static_cast<int>(1 + PickForClient(3));
          break;
        default:
          parts.slo = static_cast<int>(100 + PickForClient(5));
          break;
      }
    }
    return parts;
  }
  const cluster::ConfigDocument& ExpectedDocument(uint64_t version) const {
    static const cluster::ConfigDocument kNone;
    return version == 0 || version > expected_documents_.size() ? kNone
                                                                : expected_documents_[version - 1];
  }
  void Submit(uint64_t ticket) {
    ClientChange& change = client_changes_[ticket];
    if (change.done_at >= Time(0)) {
      return;
    }
    const size_t i = Pick(nodes_.size());
    Node& node = nodes_[i];
    if (!node.member || now_ < node.paused_until) {
      return Retry(ticket);
    }
    cluster::ChangeRequest request;
    request.change.id = change.id;
    request.change.author = "client";
    request.change.document = change.document;
    request.change.is_delta = change.parts.has_value();
    request.change.expected_version = change.expected_version;
    // Retries if the answer is lost with the member that was asked. Scheduled before the
    // submission, because an answer within the submission may schedule an earlier retry.
    SubmitLater(ticket, 4000 * kMillisecond);
    Run(i, [&](ClusterMember& member, Time now, cluster::MemberOutput& out) {
      member.Submit(now, request, ticket, out);
    });
  }
  void Retry(uint64_t ticket) {
    client_changes_[ticket].retried = true;
    SubmitLater(ticket, Duration(static_cast<int64_t>(Draw(50e3, 300e3))));
  }
  // With long outages a retry is dropped if a later one has been scheduled; otherwise the retries
  // of one change would multiply without bound.
  void SubmitLater(uint64_t ticket, Duration after) {
    const uint64_t attempt = ++client_changes_[ticket].attempt;
    Schedule(now_ + after, [this, ticket, attempt] {
      if (!options_.long_outages || client_changes_[ticket].attempt == attempt) {
        Submit(ticket);
      }
    });
  }
  void OnAnswer(uint64_t ticket, const ChangeResult& answer) {
    if (ticket >= client_changes_.size()) {
      return;  // a voter change
    }
    ClientChange& change = client_changes_[ticket];
    if (answer.kind == ChangeResult::Kind::kRefused && change.expected_version &&
        (change.done_at < Time(0) || change.refused)) {
      if (!change.refused) {
        ++result_.refused;
      }
      change.refused = true;
      change.done_at = now_;
      return;
    }
    if (answer.kind == ChangeResult::Kind::kRefused) {
      return ReportViolation(fmt::format("refused: change {}: {}", change.id, answer.text));
    }
    if (answer.kind != ChangeResult::Kind::kDone) {
      // A superseded submission of the same change is answered here, too.
      return Retry(ticket);
    }
    if (change.done_at >= Time(0)) {
      if (change.version != answer.version) {  // 0 after a refusal
        ReportViolation(fmt::format("twice: change {} is version {} and {}", change.id,
                                    change.version, answer.version));
      }
      return;
    }
    ++result_.acknowledged;
    change.done_at = now_;
    change.version = answer.version;
    if (!change.retried) {
      result_.change_latency_ms.push_back(Ms(now_ - change.first_submitted));
    }
    if (last_acknowledged_ >= Time(0)) {
      result_.max_unavailable_ms =
          std::max(result_.max_unavailable_ms, Ms(now_ - last_acknowledged_));
    }
    last_acknowledged_ = now_;
    for (const ClientChange& other : client_changes_) {
      // A change acknowledged before this one was submitted must have a lower version.
      if (other.done_at >= Time(0) && other.done_at < change.first_submitted &&
          other.version >= change.version) {
        ReportViolation(fmt::format(
            "order: change {} is version {}, but {} was acknowledged as {} before it was "
            "submitted",
            change.id, change.version, other.id, other.version));
      }
    }
  }

  // ---- Faults -----------------------------------------------------------------------------------
  void InjectFault() {
    const size_t member_count = nodes_.size(), i = Pick(member_count),
                 j = (i + 1 + Pick(member_count - 1)) % member_count;
    const Duration duration = DrawOutage();
    const uint64_t kind = Pick(12);
    Node& node = nodes_[i];
    switch (kind) {
      case 0: {  // one member against all others, without a reset
        Trace(fmt::format("{} is cut off for {:.0f} ms", node.name, Ms(duration)));
        for (size_t k = 0; k < member_count; ++k) {
          BlockLink(i, k, duration, true, true);
        }
        return;
      }
      case 1:  // one direction, to one member or to most
        Trace(fmt::format("outgoing links of {} are cut for {:.0f} ms", node.name, Ms(duration)));
        for (size_t k = 0; k < member_count; ++k) {
          if (k == j || Chance(0.7)) {
            BlockLink(i, k, duration, true, false);
          }
        }
        return;
      case 2:
        Trace(fmt::format("incoming links of {} are cut for {:.0f} ms", node.name, Ms(duration)));
        for (size_t k = 0; k < member_count; ++k) {
          if (k == j || Chance(0.7)) {
            BlockLink(i, k, duration, false, true);
          }
        }
        return;
      case 3: {  // one group of members against the rest
        std::vector<bool> side(member_count);
        for (size_t k = 0; k < member_count; ++k) {
          side[k] = Chance(0.5);
        }
        Trace(fmt::format("the members are partitioned for {:.0f} ms", Ms(duration)));
        for (size_t a = 0; a < member_count; ++a) {
          for (size_t b = 0; b < member_count; ++b) {
            if (side[a] && !side[b]) {
              BlockLink(a, b, duration, true, true);
            }
          }
        }
        return;
      }
      case 4:  // a connection reset
        Trace(fmt::format("connection of g{} and g{} is reset", i, j));
        Unlink(i, j);
        return Schedule(now_ + Duration(20'000), [this, i, j] { Link(i, j); });
      case 5:
        Trace(fmt::format("{} is paused for {:.0f} ms", node.name, Ms(duration)));
        node.paused_until = std::max(node.paused_until, now_ + duration);
        return;
      case 6:
      case 7: {
        Kill(i);
        if (Chance(0.3)) {
          const size_t other = Pick(member_count);
          if (other != i) {
            Kill(other);
            StartLater(other, Duration(static_cast<int64_t>(Draw(10e3, 2e6))));
          }
        }
        return StartLater(i, duration);
      }
      case 8:
        slowed_[i][j] = true;
        return Schedule(now_ + duration, [this, i, j] { slowed_[i][j] = false; });
      case 9:
        node.disk_slow = true;
        return Schedule(now_ + duration, [this, i] { nodes_[i].disk_slow = false; });
      case 10:
        return ReplaceDisk(i, duration);
      default:
        return ChangeVoters(i, j);
    }
  }
  // How long a cut or an outage lasts.
  Duration DrawOutage() {
    if (options_.long_outages) {
      return Duration(static_cast<int64_t>(Draw(kLongOutageMinUs, kLongOutageMaxUs)));
    }
    return Duration(static_cast<int64_t>(Chance(0.3) ? Draw(5e3, 100e3) : Draw(100e3, 3e6)));
  }
  // Kills member `i` and restarts it with an empty disk or an older copy of its own disk.
  void ReplaceDisk(size_t i, Duration duration) {
    Node& node = nodes_[i];
    // Losing two of three disks at once always loses the history. Only one disk is replaced at a
    // time, and only after the previous member has been admitted as a voter again.
    if (!node.member || !AllVotersIntact()) {
      return;
    }
    if (node.old_copy && options_.old_disks && now_ - node.copied_at > kMinOldCopyAge &&
        Chance(0.6)) {
      Trace(node.name + " comes back with an older disk");
      PersistentState old = *node.old_copy;
      Kill(i);
      node.disk = old;
      node.rolled_back = true;
      return StartLater(i, duration);
    }
    Trace(node.name + " comes back with an empty disk");
    Kill(i);
    node.disk = PersistentState{};
    return StartLater(i, duration);
  }

  // Asks member `i` to add, remove or replace member `j` as a voter.
  void ChangeVoters(size_t i, size_t j) {
    Node& node = nodes_[i];
    cluster::ChangeRequest request;
    request.kind = static_cast<cluster::ChangeRequest::Kind>(1 + Pick(3));
    request.change.id = fmt::format("v{}", ++last_number_);
    request.name = nodes_[j].name;
    if (!node.member || node.member->raft_node().voters().size() < 3) {
      return;
    }
    Trace(fmt::format("voter change of kind {} for {} submitted at {}",
                      static_cast<int>(request.kind), request.name, node.name));
    Run(i, [&](ClusterMember& member, Time now, cluster::MemberOutput& out) {
      member.Submit(now, request, UINT64_MAX, out);
    });
  }

  // Whether every change is answered and every member is up to date; checked every 64 events.
  bool HasConverged() {
    if (result_.events % 64 != 0) {
      return false;
    }
    for (const ClientChange& change : client_changes_) {
      if (change.done_at < Time(0)) {
        return false;
      }
    }
    return std::ranges::all_of(nodes_, [&](const Node& node) {
      return node.member && node.member->history().version_in_force() == versions_.size() &&
             node.member->CurrentConfig(LocalTime(node)).kind == EffectiveConfig::Kind::kAgreed;
    });
  }
  // Whether all members run and every configured voter has the disk that it was admitted with.
  bool AllVotersIntact() const {
    for (const Node& node : nodes_) {
      if (!node.member) {
        return false;
      }
      for (const raft::Voter& v : node.member->raft_node().voters()) {
        const size_t k = std::stoul(v.name.substr(1));
        // A rolled-back disk that has not been detected yet counts as lost, too.
        if (nodes_[k].disk.incarnation != v.incarnation || nodes_[k].rolled_back) {
          return false;
        }
      }
      if (node.member->raft_node().voters().size() < 3) {
        return false;
      }
    }
    return true;
  }
  void BlockLink(size_t a, size_t b, Duration duration, bool block_outgoing, bool block_incoming) {
    if (a == b) {
      return;
    }
    if (block_outgoing) {
      blocked_[a][b] = true;
    }
    if (block_incoming) {
      blocked_[b][a] = true;
    }
    Schedule(now_ + duration, [this, a, b, block_outgoing, block_incoming] {
      if (block_outgoing) {
        blocked_[a][b] = false;
      }
      if (block_incoming) {
        blocked_[b][a] = false;
      }
      Link(a, b);
    });
  }
  void StartLater(size_t i, Duration after) {
    Schedule(now_ + after, [this, i] {
      if (!nodes_[i].member) {
        Start(i);
      }
    });
  }
  void RepairAll() {
    Trace("all faults are repaired");
    repaired_ = true;
    const size_t member_count = nodes_.size();
    for (auto& row : blocked_) {
      row.assign(member_count, false);
    }
    for (auto& row : slowed_) {
      row.assign(member_count, false);
    }
    for (size_t i = 0; i < member_count; ++i) {
      nodes_[i].disk_slow = false;
      nodes_[i].paused_until = std::min(nodes_[i].paused_until, now_);
      if (!nodes_[i].member) {
        Start(i);
      }
    }
    for (size_t a = 0; a < member_count; ++a) {
      for (size_t b = a + 1; b < member_count; ++b) {
        Link(a, b);
      }
    }
  }

  // ---- Invariants ------------------------------------------------------------------------------
  // All members must apply the same version at the same number.
  void CheckApplied(Node& node) {
    const cluster::VersionHistory& history = node.member->history();
    for (const cluster::Version& v : history.versions()) {
      if (v.number <= node.applied) {
        continue;
      }
      node.applied = v.number;
      if (v.number > versions_.size()) {
        versions_.resize(v.number);
      }
      auto& known = versions_[v.number - 1];
      if (known.first.empty()) {
        known = {v.id, v.hash};
        digest_ = XXH3_64bits_withSeed(v.hash.data(), v.hash.size(), digest_ ^ v.number);
        CheckContent(node, v);
      } else if (known.first != v.id) {
        ReportViolation(fmt::format("agreement: version {} is {} at {} and {} elsewhere", v.number,
                                    v.id, node.name, known.first));
      } else if (known.second != v.hash) {
        ReportViolation(fmt::format("content: version {} is {} at {} and {} elsewhere", v.number,
                                    v.hash, node.name, known.second));
      }
    }
    if (node.old_copy == std::nullopt || Chance(0.002)) {
      node.old_copy = node.disk;
      node.copied_at = now_;
    }
  }
  // Compares the version's content with what was submitted.
  void CheckContent(const Node& node, const cluster::Version& v) {
    if (v.number != expected_documents_.size() + 1) {
      return;  // an earlier version was not seen here; reported by other checks
    }
    const ClientChange& change = client_changes_[std::stoul(v.id.substr(1))];
    expected_documents_.push_back(change.parts
                                      ? ApplyParts(ExpectedDocument(v.number - 1), *change.parts)
                                      : cluster::ParseDocument(change.document));
    // The hash covers the document's text or its parts; its prefix says which.
    const std::string hash =
        v.hash.starts_with('p')
            ? cluster::HashOf(cluster::VersionContent(expected_documents_.back()))
            : cluster::HashOf(cluster::ToText(expected_documents_.back()));
    if (hash != v.hash) {
      ReportViolation(fmt::format("content: version {} is {} at {}, {} by what was submitted",
                                  v.number, v.hash, node.name, hash));
    }
    if (change.expected_version && *change.expected_version != v.number - 1) {
      ReportViolation(fmt::format("content: change {} is version {}, but expected to follow {}",
                                  change.id, v.number, *change.expected_version));
    }
  }
  bool AreContradictory(uint64_t a, uint64_t b) {
    const auto [at, inserted] = contradiction_cache_.emplace(std::pair(a, b), false);
    if (inserted) {
      at->second = !cluster::Contradictions(ExpectedDocument(a), ExpectedDocument(b)).empty();
    }
    return at->second;
  }
  // Updates until when the member leads and acts on one version alone, unless it receives something
  // earlier.
  void UpdateLeases(Node& node) {
    const Time local_time = LocalTime(node);
    const raft::RaftNode& raft_node = node.member->raft_node();
    node.leads_until = Time(-1);
    if (raft_node.IsLeaderWithLease(local_time)) {
      node.leads_until = GlobalTime(node, raft_node.LeaderLeaseUntil(local_time));
    }
    const EffectiveConfig effective = node.member->CurrentConfig(local_time);
    node.acts_until = Time(-1);
    node.acting_on_version = effective.version_in_force;
    if (effective.version_in_force != effective.latest_version) {
      return;
    }
    if (effective.kind == EffectiveConfig::Kind::kAgreed) {
      node.acts_until = GlobalTime(node, effective.valid_until);
    }
    if (options_.mischief == Mischief::kActsOn) {
      node.acts_until = Time::max();
    }
  }
  // Checks who leads at this moment and which versions are acted on.
  void CheckInvariants() {
    std::set<uint64_t> active_versions;
    size_t leaders = 0;
    std::string leader_names;
    for (Node& node : nodes_) {
      if (!node.member || now_ < node.paused_until) {
        continue;
      }
      if (now_ < node.leads_until) {
        ++leaders;
        leader_names += node.name + " ";
        if (leader_lost_at_ >= Time(0)) {
          result_.failover_ms.push_back(Ms(now_ - leader_lost_at_));
          leader_lost_at_ = Time(-1);
        }
      }
      if (now_ >= node.acts_until) {
        continue;
      }
      active_versions.insert(node.acting_on_version);
    }
    if (leaders > 1) {
      ReportViolation("one leader: leaders at the same time: " + leader_names);
    }
    std::map<std::pair<uint64_t, uint64_t>, Time> contradictory_since;
    for (auto a = active_versions.begin(); a != active_versions.end(); ++a) {
      for (auto b = std::next(a); b != active_versions.end(); ++b) {
        if (!AreContradictory(*a, *b)) {
          continue;
        }
        const auto before = contradictory_since_.find({*a, *b});
        const Time from = before == contradictory_since_.end() ? now_ : before->second;
        contradictory_since[{*a, *b}] = from;
        result_.max_contradiction_ms = std::max(result_.max_contradiction_ms, Ms(now_ - from));
        // If no step between the two versions contradicts its predecessor, no step had to wait for
        // other members, and the bound is a running lease. Otherwise no overlap is allowed at all,
        // given the limit on clock drift; the bound would only cover delays of the processes.
        bool step_contradicts = false;
        for (uint64_t v = *a; v < *b && !step_contradicts; ++v) {
          step_contradicts = AreContradictory(v, v + 1);
        }
        if (step_contradicts || now_ - from > cluster::MaxDisagreement(timing_, Duration(0))) {
          ReportViolation(fmt::format(
              "contradiction: versions {} and {} are acted on at the same time", *a, *b));
        }
      }
    }
    contradictory_since_ = std::move(contradictory_since);
  }
  void CheckFinalState() {
    if (options_.trace) {
      for (const Node& node : nodes_) {
        Trace(node.member->Status(LocalTime(node)).dump());
      }
    }
    std::map<std::string, uint64_t> by_id;
    for (size_t i = 0; i < versions_.size(); ++i) {
      const auto [at, inserted] =
          by_id.emplace(versions_[i].first.substr(0, versions_[i].first.find('\'')), i + 1);
      if (!inserted) {
        ReportViolation(
            fmt::format("twice: change {} is version {} and {}", at->first, at->second, i + 1));
      }
    }
    for (const ClientChange& change : client_changes_) {
      const auto at = by_id.find(change.id);
      if (change.refused) {
        if (at != by_id.end()) {
          ReportViolation(fmt::format("refused: change {} is version {}", change.id, at->second));
        }
        continue;
      }
      if (change.done_at >= Time(0) && (at == by_id.end() || at->second != change.version)) {
        ReportViolation(fmt::format("lost: change {} was acknowledged as version {}", change.id,
                                    change.version));
      }
      if (change.done_at < Time(0)) {
        ReportViolation(fmt::format("stuck: change {} was never acknowledged", change.id));
      }
    }
    for (const Node& node : nodes_) {
      const cluster::VersionHistory& history = node.member->history();
      if (history.version_in_force() != versions_.size() ||
          history.latest_version() != versions_.size()) {
        ReportViolation(fmt::format("level: {} is at {} of {} versions {:.0f} ms after the repair",
                                    node.name, history.version_in_force(), versions_.size(),
                                    Ms(kRecoveryLimit)));
      } else if (node.member->CurrentConfig(LocalTime(node)).kind !=
                 EffectiveConfig::Kind::kAgreed) {
        ReportViolation(fmt::format("level: {} holds no lease {:.0f} ms after the repair",
                                    node.name, Ms(kRecoveryLimit)));
      }
    }
  }

  WorldOptions options_;
  std::mt19937_64 random_, client_random_;
  bool all_propose_deltas_ = false;
  size_t max_tenants_ = 0;  // limit of a version
  raft::RaftTiming timing_;
  std::vector<Node> nodes_;
  std::vector<std::vector<bool>> blocked_, slowed_;
  std::vector<std::vector<Time>> last_arrival_;
  std::set<std::string> initial_voters_;
  std::priority_queue<Event> queue_;
  Time now_{0};
  uint64_t last_number_ = 0, last_incarnation_ = 100, last_start_id_ = 0;
  std::vector<ClientChange> client_changes_;
  std::vector<std::pair<std::string, std::string>> versions_;
  std::vector<cluster::ConfigDocument> expected_documents_;  // by version
  std::map<std::pair<uint64_t, uint64_t>, bool> contradiction_cache_;
  std::map<std::pair<uint64_t, uint64_t>, Time> contradictory_since_;
  Time last_acknowledged_{-1}, leader_lost_at_{-1};
  bool repaired_ = false;
  uint64_t digest_ = 0;
  WorldResult result_;
};

}  // namespace

const char* NameOf(Mischief mischief) {
  constexpr std::array<const char*, kMischiefs> kNames = {
      "none",         "forgets-vote",  "forgets-log", "acts-on",
      "applies-late", "votes-for-all", "takes-twice", "misapplies"};
  return kNames[static_cast<size_t>(mischief)];
}

const char* NameOf(WorldChanges changes) {
  return changes == WorldChanges::kMixed   ? "mixed"
         : changes == WorldChanges::kWhole ? "whole"
                                           : "delta";
}

WorldResult PlayWorld(const WorldOptions& options) {
  return World(options).Simulate();
}

WorldsResult PlayWorlds(const WorldsOptions& options) {
  std::atomic<uint64_t> next{0};
  std::mutex mutex;
  WorldsResult total;
  const auto worker = [&] {
    for (uint64_t i = next++; i < options.schedules; i = next++) {
      WorldOptions world = options.world;
      world.seed += i;
      world.voters = world.seed % 3 == 0 ? 5 : 3;
      world.deltas = options.changes == WorldChanges::kDelta ||
                     (options.changes == WorldChanges::kMixed && world.seed % 2 == 1);
      WorldResult result = PlayWorld(world);
      const std::scoped_lock lock(mutex);
      ++total.schedules;
      total.events += result.events;
      total.acknowledged += result.acknowledged;
      total.submitted += result.submitted;
      total.rollbacks_detected += result.rollbacks_detected;
      total.refused += result.refused;
      total.with_deltas += world.deltas ? 1 : 0;
      // A sum, so that it does not depend on the order of completion.
      total.digest += result.digest * (2 * world.seed + 1);
      total.max_contradiction_ms =
          std::max(total.max_contradiction_ms, result.max_contradiction_ms);
      total.max_unavailable_ms = std::max(total.max_unavailable_ms, result.max_unavailable_ms);
      // Only of the first schedules: latencies of a million would exhaust the memory.
      if (i < kMaxMeasuredSchedules) {
        total.change_latency_ms.insert(total.change_latency_ms.end(),
                                       result.change_latency_ms.begin(),
                                       result.change_latency_ms.end());
        total.failover_ms.insert(total.failover_ms.end(), result.failover_ms.begin(),
                                 result.failover_ms.end());
      }
      if (result.broken.empty()) {
        continue;
      }
      ++total.broken;
      const std::string& description = result.broken.front();
      ++total.violations_by_rule[description.substr(0, description.find(':'))];
      // Keeps the lowest seeds of each rule.
      total.first_violations.emplace_back(world.seed, description);
      std::ranges::sort(total.first_violations);
      const std::string rule = description.substr(0, description.find(':') + 1);
      const auto same = [&](const auto& one) {
        return one.second.starts_with(rule);
      };
      if (static_cast<size_t>(std::ranges::count_if(total.first_violations, same)) >
          kMaxListedPerRule) {
        total.first_violations.erase(
            std::find_if(total.first_violations.rbegin(), total.first_violations.rend(), same)
                .base() -
            1);
      }
    }
  };
  std::vector<std::thread> threads;
  for (size_t j = 1; j < options.jobs; ++j) {
    threads.emplace_back(worker);
  }
  worker();
  for (std::thread& thread : threads) {
    thread.join();
  }
  std::ranges::sort(total.change_latency_ms);
  std::ranges::sort(total.failover_ms);
  return total;
}

std::string ToText(const WorldsResult& result, const WorldsOptions& options) {
  const auto quantiles = [](const std::vector<double>& values) -> std::string {
    if (values.empty()) {
      return "none";
    }
    const auto quantile = [&](double fraction) {
      return values[static_cast<size_t>(fraction * static_cast<double>(values.size() - 1))];
    };
    return fmt::format("p50 {:.1f}, p99 {:.1f}, max {:.1f}, count {}", quantile(0.5),
                       quantile(0.99), values.back(), values.size());
  };
  std::string text = fmt::format(
      "{} schedules from seed {}: {} broken; {} events, {} of {} changes acknowledged, {} disk "
      "rollbacks detected, digest {:016x}\n  change latency, ms: {}\n  leader failover, ms: {}\n "
      " "
      "contradiction at most {:.3f} ms\n  {} schedules with deltas; {} changes refused as stale\n",
      result.schedules, options.world.seed, result.broken, result.events, result.acknowledged,
      result.submitted, result.rollbacks_detected, result.digest,
      quantiles(result.change_latency_ms), quantiles(result.failover_ms),
      result.max_contradiction_ms, result.with_deltas, result.refused);
  for (const auto& [rule, count] : result.violations_by_rule) {
    text += fmt::format("  broken: {} in {}\n", rule, count);
  }
  for (const auto& [seed, description] : result.first_violations) {
    std::string extra_options = options.world.mischief == Mischief::kNone
                                    ? ""
                                    : fmt::format(" --mischief {}", NameOf(options.world.mischief));
    if (options.world.long_outages) {
      extra_options += fmt::format(" --long-outages --seconds {}", options.world.seconds);
    }
    if (options.changes != WorldChanges::kMixed) {
      extra_options += fmt::format(" --changes {}", NameOf(options.changes));
    }
    text += fmt::format("  {}\n    paddlestile lab world --schedules 1 --trace --seed {}{}\n",
                        description, seed, extra_options);
  }
  return text;
}

}  // namespace paddlestile::lab
