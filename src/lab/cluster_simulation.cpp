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

constexpr Duration kMs{1000};
constexpr size_t kAllLinked = 16;       // members
constexpr uint64_t kMeasured = 20'000;  // schedules
constexpr size_t kShown = 8;            // broken ones of a term named
// A copy of a disk that is older than this is found out, where those it was linked to live on.
constexpr Duration kOldDisk{600'000};  // us
constexpr size_t kApplyMost = 20'000;  // us; for one entry, where they are applied one by one
constexpr double kLongOutageMinUs = 6e6, kLongOutageMaxUs = 60e6;
constexpr Duration kHeal{8'000'000};  // us; within this all is level once everything is mended

double Ms(Duration d) {
  return static_cast<double>(d.count()) / 1000;
}

// What a client sets and removes, and what that makes of a version: told here a second time,
// without the program's deltas, so that the one can be held against the other.
struct Parts {
  std::map<std::string, bool> barred, drain;                // true: added
  std::map<std::string, std::optional<std::string>> zones;  // nothing: removed
  std::map<std::string, std::optional<int>> tenants;        // their quota
  std::optional<int> cap, slo;
};

json DeltaOf(const Parts& parts) {
  json delta = json::object();
  const auto hosts = [&](const char* key, const std::map<std::string, bool>& of) {
    for (const auto& [id, add] : of) {
      delta[key][add ? "add" : "remove"].push_back(id);
    }
  };
  hosts("barred", parts.barred);
  hosts("drain", parts.drain);
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

cluster::ConfigDocument With(cluster::ConfigDocument rules, const Parts& parts) {
  const auto hosts = [](std::set<std::string>& of, const std::map<std::string, bool>& parts_of) {
    for (const auto& [id, add] : parts_of) {
      add ? (void)of.insert(id) : (void)of.erase(id);
    }
  };
  hosts(rules.excluded, parts.barred);
  hosts(rules.draining, parts.drain);
  for (const auto& [id, zone] : parts.zones) {
    rules.zone_only.erase(id);
    if (zone) {
      rules.zone_only[id] = *zone;
    }
  }
  for (const auto& [name, quota] : parts.tenants) {
    if (!quota && !rules.settings.contains("Tenants")) {
      continue;
    }
    json& list = rules.settings["Tenants"];
    size_t at = 0;
    while (at < list.size() && list[at]["Name"] != name) {
      ++at;
    }
    if (!quota && at < list.size()) {
      list.erase(at);
    }
    if (quota && at == list.size()) {
      list.push_back({{"Name", name}});
    }
    if (quota) {
      list[at]["QuotaPerS"] = *quota;
    }
  }
  if (parts.cap) {
    rules.settings["Allowed"]["SendCap"] = *parts.cap;
  }
  if (parts.slo && !rules.settings.contains("Classes")) {
    rules.settings["Classes"] = json::array({{{"Name", "c"}}});
  }
  if (parts.slo) {
    rules.settings["Classes"][0]["Slo"] = *parts.slo;
  }
  return rules;
}

class World {
 public:
  explicit World(const WorldOptions& options)
      : o_(options), random_(options.seed), draws_(options.seed ^ 0xde17a) {
    // In one of four not all propose deltas: two versions of the program, or half way switched on.
    const bool some = o_.deltas && Among(4) == 0;
    all_deltas_ = o_.deltas && !some;
    tenants_ = Among(8) == 0 ? 100 : 10;
    // In two of five what is agreed is applied an entry at a time, and each takes a while.
    if (o_.seed % 5 < 2) {
      timing_.max_apply_bytes = 1;
    }
    const size_t count = o_.voters + o_.followers;
    nodes_.resize(count);
    cut_.assign(count, std::vector<bool>(count, false));
    slow_.assign(count, std::vector<bool>(count, false));
    arrives_.assign(count, std::vector<Time>(count, Time(0)));
    for (size_t i = 0; i < count; ++i) {
      Node& n = nodes_[i];
      n.name = fmt::format("g{}", i);
      // Two clocks run apart by the stated rate at most.
      n.rate = 1 + Draw(-0.005, 0.005);
      n.offset = Duration(static_cast<int64_t>(Draw(0, 1e9)));
      n.disk.incarnation = ++lives_;
      n.deltas = o_.deltas && (!some || Among(2) == 0);
      if (i < o_.voters) {
        first_.insert(n.name);
      }
    }
    // `bank init` at one member, the others come to it.
    raft::LogEntry entry{
        1, raft::LogEntry::Kind::kVoters, {}, {{nodes_[0].name, nodes_[0].disk.incarnation}}};
    nodes_[0].disk.current_term = 1;
    nodes_[0].disk.log = {entry};
    for (size_t i = 0; i < count; ++i) {
      Start(i);
    }
  }

  WorldResult Play() {
    const Time end(static_cast<int64_t>(o_.seconds * 1e6));
    for (size_t i = 0; i < o_.faults; ++i) {
      At(Time(static_cast<int64_t>(Draw(1.2e6, o_.seconds * 1e6))), [this] { Fault(); });
    }
    At(Time(300'000), [this] { Client(); });
    At(end, [this] { Mend(); });
    while (!queue_.empty() && r_.broken.empty()) {
      Event event = queue_.top();
      queue_.pop();
      if (event.at > end + kHeal || (event.at > end && Level())) {
        break;
      }
      now_ = event.at;
      ++r_.events;
      event.then();
      Judge();
    }
    if (r_.broken.empty()) {
      JudgeEnd();
    }
    r_.digest = digest_;
    return std::move(r_);
  }

 private:
  struct Node {
    std::string name;
    double rate = 1;
    Duration offset{0};
    PersistentState disk;                 // durable
    std::optional<PersistentState> copy;  // an older state of it
    Time copied{0};
    bool gone_back = false;  // the script has it so
    std::unique_ptr<ClusterMember> member;
    uint64_t start = 0;  // of its process: events of earlier ones are void
    Time stopped{0};     // until
    Time tick{0};
    // What is written while a sync runs is synced together behind it.
    Time synced{0}, synced_next{0}, synced_last{0};
    bool disk_slow = false, deltas = false;
    uint64_t durable = 0;
    std::vector<raft::OutgoingMessage> held;  // for a write to be durable
    std::map<size_t, uint64_t> links;         // other to its start
    raft::Index applied = 0;
    Time leads_until{-1}, acts_until{-1};
    uint64_t acts_on = 0;
  };
  struct Event {
    Time at{0};
    uint64_t number = 0;
    std::function<void()> then;
    bool operator<(const Event& other) const {
      return std::pair(at, number) > std::pair(other.at, other.number);
    }
  };
  struct Try {
    std::string id;
    uint64_t turn = 0;           // grows with each submission, and each that is put off
    std::string rules;           // whole, or
    std::optional<Parts> parts;  // a delta of these
    std::optional<uint64_t> expect;
    Time first{0}, done{-1};
    uint64_t version = 0;
    bool again = false, refused = false;
  };

  double Draw(double low, double high) {
    return std::uniform_real_distribution<double>(low, high)(random_);
  }
  // What clients ask for comes from a generator of its own: the faults are the same without it.
  size_t Among(size_t n) { return std::uniform_int_distribution<size_t>(0, n - 1)(draws_); }
  size_t Pick(size_t n) { return std::uniform_int_distribution<size_t>(0, n - 1)(random_); }
  bool Chance(double p) { return Draw(0, 1) < p; }
  void At(Time at, std::function<void()> then) {
    queue_.push({std::max(at, now_), ++number_, std::move(then)});
  }
  Time Local(const Node& n) const {
    return n.offset + Duration(static_cast<int64_t>(static_cast<double>(now_.count()) * n.rate));
  }
  Time Global(const Node& n, Time local) const {
    return Time(static_cast<int64_t>(static_cast<double>((local - n.offset).count()) / n.rate) + 1);
  }
  void Trace(const std::string& what) {
    if (o_.trace) {
      fmt::print(stderr, "{:9.3f} ms {}\n", Ms(now_), what);
    }
  }
  void Broken(const std::string& what) {
    r_.broken.push_back(fmt::format("{} at {:.3f} ms", what, Ms(now_)));
  }

  // ---- Processes --------------------------------------------------------------------------------
  void Start(size_t i) {
    Node& n = nodes_[i];
    if (n.disk.incarnation == 0) {
      n.disk.incarnation = ++lives_;
    }
    ++n.disk.restart_count;
    n.start = ++starts_;
    n.durable = 0;
    n.held.clear();
    n.links.clear();
    n.applied = 0;
    n.tick = Time(0);
    n.stopped = now_;
    n.synced = n.synced_next = n.synced_last = now_;
    PersistentState found = n.disk;
    if (o_.mischief == Mischief::kForgetsVote) {
      found.current_term = n.disk.current_term > 1 ? n.disk.current_term - 1 : 1;
      found.voted_for.clear();
    }
    if (o_.mischief == Mischief::kForgetsLog && n.disk.log.size() > 2) {
      found.log.resize(found.log.size() - std::min<size_t>(3, found.log.size() - 1));
    }
    ClusterMember::Options options;
    options.name = n.name;
    options.timing = timing_;
    options.initial_voters = first_;
    options.compact_after = 24;
    options.deltas = n.deltas;
    n.member = std::make_unique<ClusterMember>(options, found, random_(), Local(n));
    Run(i, [](ClusterMember&, Time, cluster::MemberOutput&) {});
    for (size_t j = 0; j < nodes_.size(); ++j) {
      if (j != i) {
        Link(i, j);
      }
    }
  }
  void Kill(size_t i) {
    Node& n = nodes_[i];
    if (!n.member) {
      return;
    }
    Trace(n.name + " dies");
    if (n.member->raft_node().IsLeaderWithLease(Local(n))) {
      leader_lost_ = now_;
    }
    for (const auto& [j, start] : std::map(n.links)) {
      Unlink(i, j);
    }
    n.member.reset();
    n.start = 0;
  }

  // ---- PeerConnections
  // ------------------------------------------------------------------------------------
  void Link(size_t a, size_t b) {
    Node &x = nodes_[a], &y = nodes_[b];
    if (!x.member || !y.member) {
      return;
    }
    // In a large bank those that only follow have nothing to say to each other.
    if (nodes_.size() > kAllLinked && std::min(a, b) >= o_.voters) {
      return;
    }
    if (x.links.contains(b) && x.links[b] == y.start) {
      return;
    }
    // Both ways have to be open for a connection to come up.
    if (cut_[a][b] || cut_[b][a]) {
      return;
    }
    x.links[b] = y.start;
    y.links[a] = x.start;
    const uint64_t lx = x.member->raft_node().incarnation(),
                   ly = y.member->raft_node().incarnation();
    const raft::StorageClaim of_x = y.member->raft_node().ClaimKnownOf(x.name);
    const raft::StorageClaim of_y = x.member->raft_node().ClaimKnownOf(y.name);
    Run(a, [&](ClusterMember& m, Time t, cluster::MemberOutput& out) {
      m.OnPeerConnected(t, y.name, ly, of_x, out);
    });
    Run(b, [&](ClusterMember& m, Time t, cluster::MemberOutput& out) {
      m.OnPeerConnected(t, x.name, lx, of_y, out);
    });
  }
  void Unlink(size_t a, size_t b) {
    Node &x = nodes_[a], &y = nodes_[b];
    x.links.erase(b);
    y.links.erase(a);
    if (x.member) {
      Run(a, [&](ClusterMember& m, Time t, cluster::MemberOutput& out) {
        m.OnPeerDisconnected(t, y.name, out);
      });
    }
    if (y.member) {
      Run(b, [&](ClusterMember& m, Time t, cluster::MemberOutput& out) {
        m.OnPeerDisconnected(t, x.name, out);
      });
    }
  }
  template <typename What>
  void Carry(size_t from, const What& what) {
    const size_t to = std::stoul(what.to.substr(1));
    Node &x = nodes_[from], &y = nodes_[to];
    const auto link = x.links.find(to);
    if (link == x.links.end() || cut_[from][to]) {
      return;
    }
    const Duration delay(
        static_cast<int64_t>(slow_[from][to] ? Draw(40e3, 400e3) : Draw(100, 4000)));
    // In order, as on a connection.
    Time& arrives = arrives_[from][to];
    arrives = std::max(arrives, now_ + delay);
    const int copies = Chance(0.002) ? 2 : 1;
    for (int c = 0; c < copies; ++c) {
      Deliver(arrives, to, y.start, from, x.start, what);
    }
  }
  template <typename What>
  void Deliver(Time at, size_t to, uint64_t start, size_t from, uint64_t from_start, What what) {
    At(at, [=, this] {
      Node& y = nodes_[to];
      if (!y.member || y.start != start) {
        return;
      }
      if (now_ < y.stopped) {
        return Deliver(y.stopped, to, start, from, from_start, what);
      }
      const auto link = y.links.find(from);
      if (link == y.links.end() || link->second != from_start) {
        return;
      }
      What told = what;
      Twist(to, told);
      Run(to,
          [&](ClusterMember& m, Time t, cluster::MemberOutput& out) { m.OnMessage(t, told, out); });
    });
  }
  void Twist(size_t to, Message& m) {
    if (o_.mischief == Mischief::kMisapplies && to >= o_.voters) {
      LeaveOut(m);
    }
    if (o_.mischief != Mischief::kVotesForAll || m.type != Message::Type::kRequestVote) {
      return;
    }
    Message vote;
    vote.type = Message::Type::kRequestVoteReply;
    vote.from = m.to;
    vote.to = m.from;
    vote.from_incarnation = nodes_[to].member->raft_node().incarnation();
    vote.term = m.is_pre_vote ? m.term - 1 : m.term;
    vote.is_pre_vote = m.is_pre_vote;
    vote.granted = true;
    Carry(to, vote);
  }
  static void LeaveOut(Message& m) {
    for (raft::LogEntry& entry : m.entries) {
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
  void Twist(size_t, MemberMessage& note) {
    if (o_.mischief == Mischief::kTakesTwice && note.request) {
      note.request->change.id += fmt::format("'{}", ++number_);
    }
  }

  // ---- A member's turn --------------------------------------------------------------------------
  template <typename What>
  void Run(size_t i, What&& what) {
    Node& n = nodes_[i];
    cluster::MemberOutput out;
    what(*n.member, Local(n), out);
    CarryOutput(i, out);
  }
  void CarryOutput(size_t i, cluster::MemberOutput& out) {
    Node& n = nodes_[i];
    const uint64_t start = n.start;
    for (const raft::StorageWrite& write : out.writes) {
      const Duration takes(static_cast<int64_t>(n.disk_slow ? Draw(20e3, 900e3) : Draw(50, 3000)));
      At(write.commit_only ? std::max(now_, n.synced_last) : SyncedAt(n, takes),
         [this, i, start, write] { Wrote(i, start, write); });
    }
    for (raft::OutgoingMessage& outgoing : out.messages) {
      if (o_.mischief == Mischief::kAppliesLate &&
          outgoing.message.type == Message::Type::kAppendEntriesReply) {
        // Held, it says, as soon as it has heard of it; applied only later.
        outgoing.message.commit_index += 2;
      }
      if (outgoing.after_sequence_number <= n.durable) {
        Carry(i, outgoing.message);
      } else {
        n.held.push_back(std::move(outgoing));
      }
    }
    for (const MemberMessage& note : out.member_messages) {
      Carry(i, note);
    }
    for (const auto& [ticket, answer] : out.results) {
      Answered(ticket, answer);
    }
    if (o_.trace) {
      for (const std::string& line : out.log) {
        Trace(n.name + ": " + line);
      }
    }
    if (out.storage_rolled_back) {
      ++r_.forgot;
      if (!n.gone_back) {
        Broken(fmt::format("memory: {} came back without what its disk had held", n.name));
      }
      Trace(n.name + " finds that its disk has gone back");
      At(now_, [this, i, start] {
        if (nodes_[i].start == start) {
          Return(i, PersistentState{});
        }
      });
    }
    if (o_.mischief == Mischief::kNone && n.member->content_mismatch_count() > 0) {
      Broken(fmt::format("content: {}: {}", n.name, n.member->history().content_mismatch()));
    }
    if (!out.needs_resync.empty()) {
      At(now_, [this, i, start] {
        if (nodes_[i].start == start) {
          Return(i, PersistentState{});
        }
      });
    }
    Applied(n);
    Cache(n);
    Plan(i);
  }
  Time SyncedAt(Node& n, Duration takes) {
    if (now_ >= n.synced) {
      n.synced = std::max(n.synced, n.synced_next);
    }
    if (now_ >= n.synced) {
      n.synced_last = n.synced = now_ + takes;
    } else if (n.synced_next <= n.synced) {
      n.synced_last = n.synced_next = n.synced + takes;
    }
    return n.synced_last;
  }
  void Plan(size_t i) {
    Node& n = nodes_[i];
    if (!n.member) {
      return;
    }
    const Time due = n.member->NextTimeout();
    if (due == Time::max()) {
      return;
    }
    const Duration least(n.member->raft_node().HasEntriesToApply() ? 1 + Among(kApplyMost) : 1);
    const Time at = std::max(Global(n, due), now_ + least);
    if (n.tick > now_ && n.tick <= at) {
      return;
    }
    n.tick = at;
    const uint64_t start = n.start;
    At(at, [this, i, start] { Ticked(i, start); });
  }
  void Ticked(size_t i, uint64_t start) {
    Node& n = nodes_[i];
    if (n.start != start || !n.member) {
      return;
    }
    if (now_ < n.stopped) {
      return At(n.stopped, [this, i, start] { Ticked(i, start); });
    }
    Run(i, [](ClusterMember& m, Time t, cluster::MemberOutput& out) { m.OnTimeout(t, out); });
  }
  void Wrote(size_t i, uint64_t start, const raft::StorageWrite& write) {
    Node& n = nodes_[i];
    if (n.start != start) {
      return;  // died before: lost
    }
    raft::ApplyStorageWrite(n.disk, write);
    if (write.commit_only) {
      return;
    }
    if (now_ < n.stopped) {
      // The disk has it; the process hears of it once it wakes.
      return At(n.stopped,
                [this, i, start, ticket = write.sequence_number] { Durable(i, start, ticket); });
    }
    Durable(i, start, write.sequence_number);
  }
  void Durable(size_t i, uint64_t start, uint64_t ticket) {
    Node& n = nodes_[i];
    if (n.start != start || !n.member) {
      return;
    }
    n.durable = std::max(n.durable, ticket);
    std::vector<raft::OutgoingMessage> held = std::move(n.held);
    n.held.clear();
    for (raft::OutgoingMessage& outgoing : held) {
      if (outgoing.after_sequence_number <= n.durable) {
        Carry(i, outgoing.message);
      } else {
        n.held.push_back(std::move(outgoing));
      }
    }
    Run(i,
        [&](ClusterMember& m, Time t, cluster::MemberOutput& out) { m.OnDurable(t, ticket, out); });
  }
  void Return(size_t i, const PersistentState& disk) {
    Kill(i);
    nodes_[i].gone_back = false;
    nodes_[i].disk = disk;
    Start(i);
  }

  // ---- Clients ----------------------------------------------------------------------------------
  void Client() {
    if (over_) {
      return;
    }
    Try& t = tries_.emplace_back();
    const uint64_t ticket = tries_.size() - 1;
    t.id = fmt::format("c{}", ticket);
    // Each bars another host, so that any two contradict each other.
    t.rules = fmt::format(R"({{"barred":["h{}"]}})", ticket);
    if (o_.deltas) {
      Compose(t);
    }
    t.first = now_;
    ++r_.submitted;
    Submit(ticket);
    At(now_ + Duration(static_cast<int64_t>(Draw(50e3, 500e3))), [this] { Client(); });
  }
  // From the latest version that anybody has, or from a stale one, with and without saying so.
  void Compose(Try& t) {
    const uint64_t latest = models_.size(), base = Among(5) == 0 ? Among(latest + 1) : latest;
    const Parts parts = DrawParts();
    if (Among(3) == 0) {
      t.expect = base;
    }
    if (all_deltas_ && Among(3) == 0) {
      t.parts = parts;
      t.rules = DeltaOf(parts).dump();
    } else {
      t.rules = cluster::ToText(With(ModelOf(base), parts));
    }
  }
  Parts DrawParts() {
    Parts parts;
    const auto host = [this] {
      return fmt::format("h{}", Among(8));
    };
    for (size_t i = 1 + Among(4); i > 0; --i) {
      switch (Among(8)) {
        case 0:
        case 1:
        case 2:
          parts.barred[host()] = Among(5) < 3;
          break;
        case 3:
          parts.drain[host()] = Among(5) < 3;
          break;
        case 4:
          parts.zones[host()] =
              Among(3) == 0 ? std::nullopt : std::optional(fmt::format("z{}", Among(2)));
          break;
        case 5:
          for (size_t k = 1 + Among(Among(4) == 0 ? tenants_ : 3); k > 0; --k) {
            parts.tenants[fmt::format("t{}", Among(tenants_))] =
                Among(4) == 0 ? std::nullopt : std::optional(static_cast<int>(Among(5)));
          }
          break;
        case 6:
          parts.cap = static_cast<int>(1 + Among(3));
          break;
        default:
          parts.slo = static_cast<int>(100 + Among(5));
          break;
      }
    }
    return parts;
  }
  const cluster::ConfigDocument& ModelOf(uint64_t version) const {
    static const cluster::ConfigDocument kNone;
    return version == 0 || version > models_.size() ? kNone : models_[version - 1];
  }
  void Submit(uint64_t ticket) {
    Try& t = tries_[ticket];
    if (t.done >= Time(0)) {
      return;
    }
    const size_t i = Pick(nodes_.size());
    Node& n = nodes_[i];
    if (!n.member || now_ < n.stopped) {
      return Again(ticket);
    }
    cluster::ChangeRequest wish;
    wish.change.id = t.id;
    wish.change.author = "client";
    wish.change.document = t.rules;
    wish.change.is_delta = t.parts.has_value();
    wish.change.expected_version = t.expect;
    // For an answer that is lost with the gateway that was asked. Before the submission: one that
    // is answered within it is repeated sooner.
    SubmitLater(ticket, 4000 * kMs);
    Run(i, [&](ClusterMember& m, Time now, cluster::MemberOutput& out) {
      m.Submit(now, wish, ticket, out);
    });
  }
  void Again(uint64_t ticket) {
    tries_[ticket].again = true;
    SubmitLater(ticket, Duration(static_cast<int64_t>(Draw(50e3, 300e3))));
  }
  // In a long outage not beside a later turn: the submissions of one change would multiply without
  // bound.
  void SubmitLater(uint64_t ticket, Duration after) {
    const uint64_t turn = ++tries_[ticket].turn;
    At(now_ + after, [this, ticket, turn] {
      if (!o_.long_outages || tries_[ticket].turn == turn) {
        Submit(ticket);
      }
    });
  }
  void Answered(uint64_t ticket, const ChangeResult& answer) {
    if (ticket >= tries_.size()) {
      return;  // an operator's
    }
    Try& t = tries_[ticket];
    if (answer.kind == ChangeResult::Kind::kRefused && t.expect &&
        (t.done < Time(0) || t.refused)) {
      if (!t.refused) {
        ++r_.refused;
      }
      t.refused = true;
      t.done = now_;
      return;
    }
    if (answer.kind == ChangeResult::Kind::kRefused) {
      return Broken(fmt::format("refused: change {}: {}", t.id, answer.text));
    }
    if (answer.kind != ChangeResult::Kind::kDone) {
      // A trial that asked for itself again hears so of the older one.
      return Again(ticket);
    }
    if (t.done >= Time(0)) {
      if (t.version != answer.version) {  // none where it was told refused
        Broken(
            fmt::format("twice: change {} is version {} and {}", t.id, t.version, answer.version));
      }
      return;
    }
    ++r_.told_done;
    t.done = now_;
    t.version = answer.version;
    if (!t.again) {
      r_.change_ms.push_back(Ms(now_ - t.first));
    }
    if (last_done_ >= Time(0)) {
      r_.unavailable_ms_most = std::max(r_.unavailable_ms_most, Ms(now_ - last_done_));
    }
    last_done_ = now_;
    for (const Try& other : tries_) {
      // What was told before this one was asked for comes before it.
      if (other.done >= Time(0) && other.done < t.first && other.version >= t.version) {
        Broken(
            fmt::format("order: change {} is version {}, but {} was told as {} before it was "
                        "submitted",
                        t.id, t.version, other.id, other.version));
      }
    }
  }

  // ---- Faults -----------------------------------------------------------------------------------
  void Fault() {
    const size_t n = nodes_.size(), i = Pick(n), j = (i + 1 + Pick(n - 1)) % n;
    const Duration lasts = DrawOutage();
    const uint64_t kind = Pick(12);
    Node& node = nodes_[i];
    switch (kind) {
      case 0: {  // one against all, silent
        Trace(fmt::format("{} is cut off for {:.0f} ms", node.name, Ms(lasts)));
        for (size_t k = 0; k < n; ++k) {
          Cut(i, k, lasts, true, true);
        }
        return;
      }
      case 1:  // one way, of a pair or all
        Trace(fmt::format("{} is not heard for {:.0f} ms", node.name, Ms(lasts)));
        for (size_t k = 0; k < n; ++k) {
          if (k == j || Chance(0.7)) {
            Cut(i, k, lasts, true, false);
          }
        }
        return;
      case 2:
        Trace(fmt::format("{} does not hear for {:.0f} ms", node.name, Ms(lasts)));
        for (size_t k = 0; k < n; ++k) {
          if (k == j || Chance(0.7)) {
            Cut(i, k, lasts, false, true);
          }
        }
        return;
      case 3: {  // a part against the rest
        std::vector<bool> side(n);
        for (size_t k = 0; k < n; ++k) {
          side[k] = Chance(0.5);
        }
        Trace(fmt::format("split for {:.0f} ms", Ms(lasts)));
        for (size_t a = 0; a < n; ++a) {
          for (size_t b = 0; b < n; ++b) {
            if (side[a] && !side[b]) {
              Cut(a, b, lasts, true, true);
            }
          }
        }
        return;
      }
      case 4:  // with a reset
        Trace(fmt::format("link {} {} is reset", i, j));
        Unlink(i, j);
        return At(now_ + Duration(20'000), [this, i, j] { Link(i, j); });
      case 5:
        Trace(fmt::format("{} is stopped for {:.0f} ms", node.name, Ms(lasts)));
        node.stopped = std::max(node.stopped, now_ + lasts);
        return;
      case 6:
      case 7: {
        Kill(i);
        if (Chance(0.3)) {
          const size_t other = Pick(n);
          if (other != i) {
            Kill(other);
            Back(other, Duration(static_cast<int64_t>(Draw(10e3, 2e6))));
          }
        }
        return Back(i, lasts);
      }
      case 8:
        slow_[i][j] = true;
        return At(now_ + lasts, [this, i, j] { slow_[i][j] = false; });
      case 9:
        node.disk_slow = true;
        return At(now_ + lasts, [this, i] { nodes_[i].disk_slow = false; });
      case 10:
        return ReplaceDisk(i, lasts);
      default:
        return ExchangeVoters(i, j);
    }
  }
  // How long a cut or an outage lasts.
  Duration DrawOutage() {
    if (o_.long_outages) {
      return Duration(static_cast<int64_t>(Draw(kLongOutageMinUs, kLongOutageMaxUs)));
    }
    return Duration(static_cast<int64_t>(Chance(0.3) ? Draw(5e3, 100e3) : Draw(100e3, 3e6)));
  }
  // Member `i` dies and comes back with another disk: an empty one, or an older state of its own.
  void ReplaceDisk(size_t i, Duration lasts) {
    Node& node = nodes_[i];
    // Losing two disks of three at once loses the history, whatever is done: one at a time, and
    // not before the last was let in anew.
    if (!node.member || !Whole()) {
      return;
    }
    if (node.copy && o_.old_disks && now_ - node.copied > kOldDisk && Chance(0.6)) {
      Trace(node.name + " comes back with an older disk");
      PersistentState old = *node.copy;
      Kill(i);
      node.disk = old;
      node.gone_back = true;
      return Back(i, lasts);
    }
    Trace(node.name + " comes back with an empty disk");
    Kill(i);
    node.disk = PersistentState{};
    return Back(i, lasts);
  }

  // Member `i` is asked to add, remove or replace member `j` as a voter.
  void ExchangeVoters(size_t i, size_t j) {
    Node& node = nodes_[i];
    cluster::ChangeRequest wish;
    wish.kind = static_cast<cluster::ChangeRequest::Kind>(1 + Pick(3));
    wish.change.id = fmt::format("v{}", ++number_);
    wish.name = nodes_[j].name;
    if (!node.member || node.member->raft_node().voters().size() < 3) {
      return;
    }
    Trace(fmt::format("voters: {} {} at {}", static_cast<int>(wish.kind), wish.name, node.name));
    Run(i, [&](ClusterMember& m, Time now, cluster::MemberOutput& out) {
      m.Submit(now, wish, UINT64_MAX, out);
    });
  }

  // Looked at now and then: whether nothing is left to be waited for.
  bool Level() {
    if (r_.events % 64 != 0) {
      return false;
    }
    for (const Try& t : tries_) {
      if (t.done < Time(0)) {
        return false;
      }
    }
    return std::ranges::all_of(nodes_, [&](const Node& n) {
      return n.member && n.member->history().version_in_force() == versions_.size() &&
             n.member->CurrentConfig(Local(n)).kind == EffectiveConfig::Kind::kAgreed;
    });
  }
  // Every voter that counts has its disk.
  bool Whole() const {
    for (const Node& n : nodes_) {
      if (!n.member) {
        return false;
      }
      for (const raft::Voter& v : n.member->raft_node().voters()) {
        const size_t k = std::stoul(v.name.substr(1));
        // One that went back and was not found out yet is lost too.
        if (nodes_[k].disk.incarnation != v.incarnation || nodes_[k].gone_back) {
          return false;
        }
      }
      if (n.member->raft_node().voters().size() < 3) {
        return false;
      }
    }
    return true;
  }
  void Cut(size_t a, size_t b, Duration lasts, bool there, bool back) {
    if (a == b) {
      return;
    }
    if (there) {
      cut_[a][b] = true;
    }
    if (back) {
      cut_[b][a] = true;
    }
    At(now_ + lasts, [this, a, b, there, back] {
      if (there) {
        cut_[a][b] = false;
      }
      if (back) {
        cut_[b][a] = false;
      }
      Link(a, b);
    });
  }
  void Back(size_t i, Duration after) {
    At(now_ + after, [this, i] {
      if (!nodes_[i].member) {
        Start(i);
      }
    });
  }
  void Mend() {
    Trace("all is mended");
    over_ = true;
    const size_t n = nodes_.size();
    for (auto& row : cut_) {
      row.assign(n, false);
    }
    for (auto& row : slow_) {
      row.assign(n, false);
    }
    for (size_t i = 0; i < n; ++i) {
      nodes_[i].disk_slow = false;
      nodes_[i].stopped = std::min(nodes_[i].stopped, now_);
      if (!nodes_[i].member) {
        Start(i);
      }
    }
    for (size_t a = 0; a < n; ++a) {
      for (size_t b = a + 1; b < n; ++b) {
        Link(a, b);
      }
    }
  }

  // ---- The judge --------------------------------------------------------------------------------
  // One history: what one member applied at an index is what all apply there.
  void Applied(Node& n) {
    const cluster::VersionHistory& history = n.member->history();
    for (const cluster::Version& v : history.versions()) {
      if (v.number <= n.applied) {
        continue;
      }
      n.applied = v.number;
      if (v.number > versions_.size()) {
        versions_.resize(v.number);
      }
      auto& known = versions_[v.number - 1];
      if (known.first.empty()) {
        known = {v.id, v.hash};
        digest_ = XXH3_64bits_withSeed(v.hash.data(), v.hash.size(), digest_ ^ v.number);
        Model(n, v);
      } else if (known.first != v.id) {
        Broken(fmt::format("agreement: version {} is {} at {} and {} elsewhere", v.number, v.id,
                           n.name, known.first));
      } else if (known.second != v.hash) {
        Broken(fmt::format("content: version {} is {} at {} and {} elsewhere", v.number, v.hash,
                           n.name, known.second));
      }
    }
    if (n.copy == std::nullopt || Chance(0.002)) {
      n.copy = n.disk;
      n.copied = now_;
    }
  }
  // What the version must be by what was submitted.
  void Model(const Node& n, const cluster::Version& v) {
    if (v.number != models_.size() + 1) {
      return;  // one before was never seen: told elsewhere
    }
    const Try& t = tries_[std::stoul(v.id.substr(1))];
    models_.push_back(t.parts ? With(ModelOf(v.number - 1), *t.parts)
                              : cluster::ParseDocument(t.rules));
    // Of the model's text or of its parts, as the version says that it came.
    const std::string hash = v.hash.starts_with('p')
                                 ? cluster::HashOf(cluster::VersionContent(models_.back()))
                                 : cluster::HashOf(cluster::ToText(models_.back()));
    if (hash != v.hash) {
      Broken(fmt::format("content: version {} is {} at {}, {} by what was submitted", v.number,
                         v.hash, n.name, hash));
    }
    if (t.expect && *t.expect != v.number - 1) {
      Broken(fmt::format("content: change {} is version {}, and was to follow {}", t.id, v.number,
                         *t.expect));
    }
  }
  bool Contradict(uint64_t a, uint64_t b) {
    const auto [at, fresh] = contradict_.emplace(std::pair(a, b), false);
    if (fresh) {
      at->second = !cluster::Contradictions(ModelOf(a), ModelOf(b)).empty();
    }
    return at->second;
  }
  // Until when it leads and acts on one version alone, unless it hears something before.
  void Cache(Node& n) {
    const Time local = Local(n);
    const raft::RaftNode& a = n.member->raft_node();
    n.leads_until = Time(-1);
    if (a.IsLeaderWithLease(local)) {
      n.leads_until = Global(n, a.LeaderLeaseUntil(local));
    }
    const EffectiveConfig stance = n.member->CurrentConfig(local);
    n.acts_until = Time(-1);
    n.acts_on = stance.version_in_force;
    if (stance.version_in_force != stance.latest_version) {
      return;
    }
    if (stance.kind == EffectiveConfig::Kind::kAgreed) {
      n.acts_until = Global(n, stance.valid_until);
    }
    if (o_.mischief == Mischief::kActsOn) {
      n.acts_until = Time::max();
    }
  }
  // Whom the world sees act, and on what, at this moment.
  void Judge() {
    std::set<uint64_t> acted;
    size_t leaders = 0;
    std::string who;
    for (Node& n : nodes_) {
      if (!n.member || now_ < n.stopped) {
        continue;
      }
      if (now_ < n.leads_until) {
        ++leaders;
        who += n.name + " ";
        if (leader_lost_ >= Time(0)) {
          r_.takeover_ms.push_back(Ms(now_ - leader_lost_));
          leader_lost_ = Time(-1);
        }
      }
      if (now_ >= n.acts_until) {
        continue;
      }
      acted.insert(n.acts_on);
    }
    if (leaders > 1) {
      Broken("one leader: at a time lead " + who);
    }
    std::map<std::pair<uint64_t, uint64_t>, Time> since;
    for (auto a = acted.begin(); a != acted.end(); ++a) {
      for (auto b = std::next(a); b != acted.end(); ++b) {
        if (!Contradict(*a, *b)) {
          continue;
        }
        const auto before = since_.find({*a, *b});
        const Time from = before == since_.end() ? now_ : before->second;
        since[{*a, *b}] = from;
        r_.contradiction_ms_most = std::max(r_.contradiction_ms_most, Ms(now_ - from));
        // Where no step between the two contradicts what it follows none of them waited for
        // anybody: a lease that runs is the bound. In all else there is no moment of it, by the
        // clocks' rate; the bound is for processes' own lateness.
        bool steps = false;
        for (uint64_t v = *a; v < *b && !steps; ++v) {
          steps = Contradict(v, v + 1);
        }
        if (steps || now_ - from > cluster::MaxDisagreement(timing_, Duration(0))) {
          Broken(fmt::format("contradiction: versions {} and {} are acted on at a time", *a, *b));
        }
      }
    }
    since_ = std::move(since);
  }
  void JudgeEnd() {
    if (o_.trace) {
      for (const Node& n : nodes_) {
        Trace(n.member->Status(Local(n)).dump());
      }
    }
    std::map<std::string, uint64_t> by_id;
    for (size_t i = 0; i < versions_.size(); ++i) {
      const auto [at, fresh] =
          by_id.emplace(versions_[i].first.substr(0, versions_[i].first.find('\'')), i + 1);
      if (!fresh) {
        Broken(fmt::format("twice: change {} is version {} and {}", at->first, at->second, i + 1));
      }
    }
    for (const Try& t : tries_) {
      const auto at = by_id.find(t.id);
      if (t.refused) {
        if (at != by_id.end()) {
          Broken(fmt::format("refused: change {} is version {}", t.id, at->second));
        }
        continue;
      }
      if (t.done >= Time(0) && (at == by_id.end() || at->second != t.version)) {
        Broken(fmt::format("lost: change {} was told done as version {}", t.id, t.version));
      }
      if (t.done < Time(0)) {
        Broken(fmt::format("stuck: change {} was never told done", t.id));
      }
    }
    for (const Node& n : nodes_) {
      const cluster::VersionHistory& h = n.member->history();
      if (h.version_in_force() != versions_.size() || h.latest_version() != versions_.size()) {
        Broken(fmt::format("level: {} is at {} of {} versions, all mended for {:.0f} ms", n.name,
                           h.version_in_force(), versions_.size(), Ms(kHeal)));
      } else if (n.member->CurrentConfig(Local(n)).kind != EffectiveConfig::Kind::kAgreed) {
        Broken(
            fmt::format("level: {} holds no lease, all mended for {:.0f} ms", n.name, Ms(kHeal)));
      }
    }
  }

  WorldOptions o_;
  std::mt19937_64 random_, draws_;
  bool all_deltas_ = false;
  size_t tenants_ = 0;  // that versions may hold
  raft::RaftTiming timing_;
  std::vector<Node> nodes_;
  std::vector<std::vector<bool>> cut_, slow_;
  std::vector<std::vector<Time>> arrives_;
  std::set<std::string> first_;
  std::priority_queue<Event> queue_;
  Time now_{0};
  uint64_t number_ = 0, lives_ = 100, starts_ = 0;
  std::vector<Try> tries_;
  std::vector<std::pair<std::string, std::string>> versions_;
  std::vector<cluster::ConfigDocument> models_;  // by version
  std::map<std::pair<uint64_t, uint64_t>, bool> contradict_;
  std::map<std::pair<uint64_t, uint64_t>, Time> since_;
  Time last_done_{-1}, leader_lost_{-1};
  bool over_ = false;
  uint64_t digest_ = 0;
  WorldResult r_;
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
  return World(options).Play();
}

WorldsResult PlayWorlds(const WorldsOptions& options) {
  std::atomic<uint64_t> next{0};
  std::mutex mutex;
  WorldsResult all;
  const auto work = [&] {
    for (uint64_t i = next++; i < options.schedules; i = next++) {
      WorldOptions o = options.world;
      o.seed += i;
      o.voters = o.seed % 3 == 0 ? 5 : 3;
      o.deltas = options.changes == WorldChanges::kDelta ||
                 (options.changes == WorldChanges::kMixed && o.seed % 2 == 1);
      WorldResult r = PlayWorld(o);
      const std::scoped_lock lock(mutex);
      ++all.schedules;
      all.events += r.events;
      all.told_done += r.told_done;
      all.submitted += r.submitted;
      all.forgot += r.forgot;
      all.refused += r.refused;
      all.with_deltas += o.deltas ? 1 : 0;
      all.digest += r.digest * (2 * o.seed + 1);  // whatever the order
      all.contradiction_ms_most = std::max(all.contradiction_ms_most, r.contradiction_ms_most);
      all.unavailable_ms_most = std::max(all.unavailable_ms_most, r.unavailable_ms_most);
      // Of the first schedules alone: a million of them would fill the memory.
      if (i < kMeasured) {
        all.change_ms.insert(all.change_ms.end(), r.change_ms.begin(), r.change_ms.end());
        all.takeover_ms.insert(all.takeover_ms.end(), r.takeover_ms.begin(), r.takeover_ms.end());
      }
      if (r.broken.empty()) {
        continue;
      }
      ++all.broken;
      const std::string& what = r.broken.front();
      ++all.terms[what.substr(0, what.find(':'))];
      // The lowest seeds of each term.
      all.first.emplace_back(o.seed, what);
      std::ranges::sort(all.first);
      const std::string term = what.substr(0, what.find(':') + 1);
      const auto same = [&](const auto& one) {
        return one.second.starts_with(term);
      };
      if (static_cast<size_t>(std::ranges::count_if(all.first, same)) > kShown) {
        all.first.erase(std::find_if(all.first.rbegin(), all.first.rend(), same).base() - 1);
      }
    }
  };
  std::vector<std::thread> threads;
  for (size_t j = 1; j < options.jobs; ++j) {
    threads.emplace_back(work);
  }
  work();
  for (std::thread& thread : threads) {
    thread.join();
  }
  std::ranges::sort(all.change_ms);
  std::ranges::sort(all.takeover_ms);
  return all;
}

std::string ToText(const WorldsResult& r, const WorldsOptions& options) {
  const auto quantiles = [](const std::vector<double>& of) -> std::string {
    if (of.empty()) {
      return "none";
    }
    const auto at = [&](double q) {
      return of[static_cast<size_t>(q * static_cast<double>(of.size() - 1))];
    };
    return fmt::format("p50 {:.1f}, p99 {:.1f}, most {:.1f}, of {}", at(0.5), at(0.99), of.back(),
                       of.size());
  };
  std::string text = fmt::format(
      "{} schedules from seed {}: {} broken; {} events, {} changes of {} told done, {} disks gone "
      "back "
      "found out, digest {:016x}\n  change told done, ms: {}\n  leader's end to the next, ms: {}\n "
      " "
      "contradiction at most {:.3f} ms\n  {} schedules with deltas; {} changes refused as stale\n",
      r.schedules, options.world.seed, r.broken, r.events, r.told_done, r.submitted, r.forgot,
      r.digest, quantiles(r.change_ms), quantiles(r.takeover_ms), r.contradiction_ms_most,
      r.with_deltas, r.refused);
  for (const auto& [term, count] : r.terms) {
    text += fmt::format("  broken: {} in {}\n", term, count);
  }
  for (const auto& [seed, what] : r.first) {
    std::string mischief = options.world.mischief == Mischief::kNone
                               ? ""
                               : fmt::format(" --mischief {}", NameOf(options.world.mischief));
    if (options.world.long_outages) {
      mischief += fmt::format(" --long-outages --seconds {}", options.world.seconds);
    }
    if (options.changes != WorldChanges::kMixed) {
      mischief += fmt::format(" --changes {}", NameOf(options.changes));
    }
    text += fmt::format("  {}\n    paddlestile lab world --schedules 1 --trace --seed {}{}\n", what,
                        seed, mischief);
  }
  return text;
}

}  // namespace paddlestile::lab
