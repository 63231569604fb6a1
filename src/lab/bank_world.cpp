#include "lab/bank_world.h"

#include <fmt/format.h>
#include <xxhash.h>

#include <algorithm>
#include <array>
#include <atomic>
#include <cstdio>
#include <functional>
#include <memory>
#include <mutex>
#include <optional>
#include <queue>
#include <random>
#include <set>
#include <thread>

#include "bank/member.h"

namespace paddlestile::lab {
namespace {

using bank::Answer;
using bank::Disk;
using bank::Duration;
using bank::Member;
using bank::Message;
using bank::Note;
using bank::Stance;
using bank::Time;

constexpr Duration kMs{1000};
constexpr size_t kAllLinked = 16;       // members
constexpr uint64_t kMeasured = 20'000;  // schedules
constexpr size_t kShown = 8;            // broken ones of a term named
// A copy of a disk that is older than this is found out, where those it was linked to live on.
constexpr Duration kOldDisk{600'000};  // us
constexpr Duration kHeal{8'000'000};   // us; within this all is level once everything is mended

double Ms(Duration d) { return static_cast<double>(d.count()) / 1000; }

class World {
 public:
  explicit World(const WorldOptions& options) : o_(options), random_(options.seed) {
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
      n.disk.life = ++lives_;
      if (i < o_.voters) first_.insert(n.name);
    }
    // `bank init` at one member, the others come to it.
    bank::Entry entry{1, bank::Entry::Kind::kVoters, {}, {{nodes_[0].name, nodes_[0].disk.life}}};
    nodes_[0].disk.term = 1;
    nodes_[0].disk.log = {entry};
    for (size_t i = 0; i < count; ++i) Start(i);
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
      if (event.at > end + kHeal || (event.at > end && Level())) break;
      now_ = event.at;
      ++r_.events;
      event.then();
      Judge();
    }
    if (r_.broken.empty()) JudgeEnd();
    r_.digest = digest_;
    return std::move(r_);
  }

 private:
  struct Node {
    std::string name;
    double rate = 1;
    Duration offset{0};
    Disk disk;                 // durable
    std::optional<Disk> copy;  // an older state of it
    Time copied{0};
    bool gone_back = false;  // the script has it so
    std::unique_ptr<Member> member;
    uint64_t start = 0;  // of its process: events of earlier ones are void
    Time stopped{0};     // until
    Time tick{0};
    // What is written while a sync runs is synced together behind it.
    Time synced{0}, synced_next{0}, synced_last{0};
    bool disk_slow = false;
    uint64_t durable = 0;
    std::vector<bank::Outgoing> held;  // for a write to be durable
    std::map<size_t, uint64_t> links;  // other to its start
    bank::Index applied = 0;
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
    std::string rules;
    Time first{0}, done{-1};
    uint64_t version = 0;
    bool again = false;
  };

  double Draw(double low, double high) {
    return std::uniform_real_distribution<double>(low, high)(random_);
  }
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
  void Note_(const std::string& what) {
    if (o_.trace) fmt::print(stderr, "{:9.3f} ms {}\n", Ms(now_), what);
  }
  void Broken(const std::string& what) {
    r_.broken.push_back(fmt::format("{} at {:.3f} ms", what, Ms(now_)));
  }

  // ---- Processes --------------------------------------------------------------------------------
  void Start(size_t i) {
    Node& n = nodes_[i];
    if (n.disk.life == 0) n.disk.life = ++lives_;
    ++n.disk.boot;
    n.start = ++starts_;
    n.durable = 0;
    n.held.clear();
    n.links.clear();
    n.applied = 0;
    n.tick = Time(0);
    n.stopped = now_;
    n.synced = n.synced_next = n.synced_last = now_;
    Disk found = n.disk;
    if (o_.mischief == Mischief::kForgetsVote)
      found.term = n.disk.term > 1 ? n.disk.term - 1 : 1, found.vote.clear();
    if (o_.mischief == Mischief::kForgetsLog && n.disk.log.size() > 2) {
      found.log.resize(found.log.size() - std::min<size_t>(3, found.log.size() - 1));
    }
    Member::Options options;
    options.name = n.name;
    options.timing = timing_;
    options.first_voters = first_;
    options.compact_after = 24;
    n.member = std::make_unique<Member>(options, found, random_(), Local(n));
    Run(i, [](Member&, Time, bank::MemberOutput&) {});
    for (size_t j = 0; j < nodes_.size(); ++j) {
      if (j != i) Link(i, j);
    }
  }
  void Kill(size_t i) {
    Node& n = nodes_[i];
    if (!n.member) return;
    Note_(n.name + " dies");
    if (n.member->agreement().Leads(Local(n))) leader_lost_ = now_;
    for (const auto& [j, start] : std::map(n.links)) Unlink(i, j);
    n.member.reset();
    n.start = 0;
  }

  // ---- Links ------------------------------------------------------------------------------------
  void Link(size_t a, size_t b) {
    Node &x = nodes_[a], &y = nodes_[b];
    if (!x.member || !y.member) return;
    // In a large bank those that only follow have nothing to say to each other.
    if (nodes_.size() > kAllLinked && std::min(a, b) >= o_.voters) return;
    if (x.links.contains(b) && x.links[b] == y.start) return;
    // Both ways have to be open for a connection to come up.
    if (cut_[a][b] || cut_[b][a]) return;
    x.links[b] = y.start;
    y.links[a] = x.start;
    const uint64_t lx = x.member->agreement().life(), ly = y.member->agreement().life();
    const bank::Claim of_x = y.member->agreement().KnownOf(x.name);
    const bank::Claim of_y = x.member->agreement().KnownOf(y.name);
    Run(a, [&](Member& m, Time t, bank::MemberOutput& out) { m.Linked(t, y.name, ly, of_x, out); });
    Run(b, [&](Member& m, Time t, bank::MemberOutput& out) { m.Linked(t, x.name, lx, of_y, out); });
  }
  void Unlink(size_t a, size_t b) {
    Node &x = nodes_[a], &y = nodes_[b];
    x.links.erase(b);
    y.links.erase(a);
    if (x.member) {
      Run(a, [&](Member& m, Time t, bank::MemberOutput& out) { m.Unlinked(t, y.name, out); });
    }
    if (y.member) {
      Run(b, [&](Member& m, Time t, bank::MemberOutput& out) { m.Unlinked(t, x.name, out); });
    }
  }
  template <typename What>
  void Carry(size_t from, const What& what) {
    const size_t to = std::stoul(what.to.substr(1));
    Node &x = nodes_[from], &y = nodes_[to];
    const auto link = x.links.find(to);
    if (link == x.links.end() || cut_[from][to]) return;
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
      if (!y.member || y.start != start) return;
      if (now_ < y.stopped) return Deliver(y.stopped, to, start, from, from_start, what);
      const auto link = y.links.find(from);
      if (link == y.links.end() || link->second != from_start) return;
      What told = what;
      Twist(to, told);
      Run(to, [&](Member& m, Time t, bank::MemberOutput& out) { m.Receive(t, told, out); });
    });
  }
  void Twist(size_t to, Message& m) {
    if (o_.mischief != Mischief::kVotesForAll || m.type != Message::Type::kAskVote) return;
    Message vote;
    vote.type = Message::Type::kVote;
    vote.from = m.to;
    vote.to = m.from;
    vote.from_life = nodes_[to].member->agreement().life();
    vote.term = m.trial ? m.term - 1 : m.term;
    vote.trial = m.trial;
    vote.granted = true;
    Carry(to, vote);
  }
  void Twist(size_t, Note& note) {
    if (o_.mischief == Mischief::kTakesTwice && note.wish) {
      note.wish->change.id += fmt::format("'{}", ++number_);
    }
  }

  // ---- A member's turn --------------------------------------------------------------------------
  template <typename What>
  void Run(size_t i, What&& what) {
    Node& n = nodes_[i];
    bank::MemberOutput out;
    what(*n.member, Local(n), out);
    Carry_(i, out);
  }
  void Carry_(size_t i, bank::MemberOutput& out) {
    Node& n = nodes_[i];
    const uint64_t start = n.start;
    for (const bank::Write& write : out.writes) {
      const Duration takes(static_cast<int64_t>(n.disk_slow ? Draw(20e3, 900e3) : Draw(50, 3000)));
      At(write.lazy ? std::max(now_, n.synced_last) : SyncedAt(n, takes),
         [this, i, start, write] { Wrote(i, start, write); });
    }
    for (bank::Outgoing& outgoing : out.sends) {
      if (o_.mischief == Mischief::kAppliesLate &&
          outgoing.message.type == Message::Type::kAppended) {
        // Held, it says, as soon as it has heard of it; applied only later.
        outgoing.message.commit += 2;
      }
      if (outgoing.after <= n.durable) {
        Carry(i, outgoing.message);
      } else {
        n.held.push_back(std::move(outgoing));
      }
    }
    for (const Note& note : out.notes) Carry(i, note);
    for (const auto& [ticket, answer] : out.answers) Answered(ticket, answer);
    if (o_.trace) {
      for (const std::string& line : out.log) Note_(n.name + ": " + line);
    }
    if (out.forgot) {
      ++r_.forgot;
      if (!n.gone_back) {
        Broken(fmt::format("memory: {} came back without what its disk had held", n.name));
      }
      Note_(n.name + " finds that its disk has gone back");
      At(now_, [this, i, start] {
        if (nodes_[i].start == start) Return(i, Disk{});
      });
    }
    Applied(n);
    Cache(n);
    Plan(i);
  }
  Time SyncedAt(Node& n, Duration takes) {
    if (now_ >= n.synced) n.synced = std::max(n.synced, n.synced_next);
    if (now_ >= n.synced) {
      n.synced_last = n.synced = now_ + takes;
    } else if (n.synced_next <= n.synced) {
      n.synced_last = n.synced_next = n.synced + takes;
    }
    return n.synced_last;
  }
  void Plan(size_t i) {
    Node& n = nodes_[i];
    if (!n.member) return;
    const Time due = n.member->NextDue();
    if (due == Time::max()) return;
    const Time at = std::max(Global(n, due), now_ + Duration(1));
    if (n.tick > now_ && n.tick <= at) return;
    n.tick = at;
    const uint64_t start = n.start;
    At(at, [this, i, start] { Ticked(i, start); });
  }
  void Ticked(size_t i, uint64_t start) {
    Node& n = nodes_[i];
    if (n.start != start || !n.member) return;
    if (now_ < n.stopped) return At(n.stopped, [this, i, start] { Ticked(i, start); });
    Run(i, [](Member& m, Time t, bank::MemberOutput& out) { m.Tick(t, out); });
  }
  void Wrote(size_t i, uint64_t start, const bank::Write& write) {
    Node& n = nodes_[i];
    if (n.start != start) return;  // died before: lost
    bank::ApplyWrite(n.disk, write);
    if (write.lazy) return;
    if (now_ < n.stopped) {
      // The disk has it; the process hears of it once it wakes.
      return At(n.stopped, [this, i, start, ticket = write.ticket] { Durable(i, start, ticket); });
    }
    Durable(i, start, write.ticket);
  }
  void Durable(size_t i, uint64_t start, uint64_t ticket) {
    Node& n = nodes_[i];
    if (n.start != start || !n.member) return;
    n.durable = std::max(n.durable, ticket);
    std::vector<bank::Outgoing> held = std::move(n.held);
    n.held.clear();
    for (bank::Outgoing& outgoing : held) {
      if (outgoing.after <= n.durable) {
        Carry(i, outgoing.message);
      } else {
        n.held.push_back(std::move(outgoing));
      }
    }
    Run(i, [&](Member& m, Time t, bank::MemberOutput& out) { m.Durable(t, ticket, out); });
  }
  void Return(size_t i, const Disk& disk) {
    Kill(i);
    nodes_[i].gone_back = false;
    nodes_[i].disk = disk;
    Start(i);
  }

  // ---- Clients ----------------------------------------------------------------------------------
  void Client() {
    if (over_) return;
    Try& t = tries_.emplace_back();
    const uint64_t ticket = tries_.size() - 1;
    t.id = fmt::format("c{}", ticket);
    // Each bars another host, so that any two contradict each other.
    t.rules = fmt::format(R"({{"barred":["h{}"]}})", ticket);
    t.first = now_;
    ++r_.submitted;
    Submit(ticket);
    At(now_ + Duration(static_cast<int64_t>(Draw(50e3, 500e3))), [this] { Client(); });
  }
  void Submit(uint64_t ticket) {
    Try& t = tries_[ticket];
    if (t.done >= Time(0)) return;
    const size_t i = Pick(nodes_.size());
    Node& n = nodes_[i];
    if (!n.member || now_ < n.stopped) return Again(ticket);
    bank::Wish wish;
    wish.change.id = t.id;
    wish.change.author = "client";
    wish.change.rules = t.rules;
    Run(i, [&](Member& m, Time now, bank::MemberOutput& out) { m.Submit(now, wish, ticket, out); });
    // An answer that is lost with the gateway that was asked.
    At(now_ + 4000 * kMs, [this, ticket] { Submit(ticket); });
  }
  void Again(uint64_t ticket) {
    tries_[ticket].again = true;
    At(now_ + Duration(static_cast<int64_t>(Draw(50e3, 300e3))),
       [this, ticket] { Submit(ticket); });
  }
  void Answered(uint64_t ticket, const Answer& answer) {
    if (ticket >= tries_.size()) return;  // an operator's
    Try& t = tries_[ticket];
    if (answer.kind == Answer::Kind::kRefused) {
      return Broken(fmt::format("refused: change {}: {}", t.id, answer.text));
    }
    if (answer.kind != Answer::Kind::kDone) {
      // A trial that asked for itself again hears so of the older one.
      return Again(ticket);
    }
    if (t.done >= Time(0)) {
      if (t.version != answer.version) {
        Broken(
            fmt::format("twice: change {} is version {} and {}", t.id, t.version, answer.version));
      }
      return;
    }
    ++r_.told_done;
    t.done = now_;
    t.version = answer.version;
    if (!t.again) r_.change_ms.push_back(Ms(now_ - t.first));
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
    const Duration lasts(static_cast<int64_t>(Chance(0.3) ? Draw(5e3, 100e3) : Draw(100e3, 3e6)));
    const uint64_t kind = Pick(12);
    Node& node = nodes_[i];
    switch (kind) {
      case 0: {  // one against all, silent
        Note_(fmt::format("{} is cut off for {:.0f} ms", node.name, Ms(lasts)));
        for (size_t k = 0; k < n; ++k) Cut(i, k, lasts, true, true);
        return;
      }
      case 1:  // one way, of a pair or all
        Note_(fmt::format("{} is not heard for {:.0f} ms", node.name, Ms(lasts)));
        for (size_t k = 0; k < n; ++k) {
          if (k == j || Chance(0.7)) Cut(i, k, lasts, true, false);
        }
        return;
      case 2:
        Note_(fmt::format("{} does not hear for {:.0f} ms", node.name, Ms(lasts)));
        for (size_t k = 0; k < n; ++k) {
          if (k == j || Chance(0.7)) Cut(i, k, lasts, false, true);
        }
        return;
      case 3: {  // a part against the rest
        std::vector<bool> side(n);
        for (size_t k = 0; k < n; ++k) side[k] = Chance(0.5);
        Note_(fmt::format("split for {:.0f} ms", Ms(lasts)));
        for (size_t a = 0; a < n; ++a) {
          for (size_t b = 0; b < n; ++b) {
            if (side[a] && !side[b]) Cut(a, b, lasts, true, true);
          }
        }
        return;
      }
      case 4:  // with a reset
        Note_(fmt::format("link {} {} is reset", i, j));
        Unlink(i, j);
        return At(now_ + Duration(20'000), [this, i, j] { Link(i, j); });
      case 5:
        Note_(fmt::format("{} is stopped for {:.0f} ms", node.name, Ms(lasts)));
        node.stopped = std::max(node.stopped, now_ + lasts);
        return;
      case 6:
      case 7: {
        Kill(i);
        if (Chance(0.3)) {
          const size_t other = Pick(n);
          if (other != i) Kill(other), Back(other, Duration(static_cast<int64_t>(Draw(10e3, 2e6))));
        }
        return Back(i, lasts);
      }
      case 8: slow_[i][j] = true; return At(now_ + lasts, [this, i, j] { slow_[i][j] = false; });
      case 9:
        node.disk_slow = true;
        return At(now_ + lasts, [this, i] { nodes_[i].disk_slow = false; });
      case 10: {  // another disk: an empty one, or an older state of its own
        // Losing two disks of three at once loses the history, whatever is done: one at a time, and
        // not before the last was let in anew.
        if (!node.member || !Whole()) return;
        if (node.copy && o_.old_disks && now_ - node.copied > kOldDisk && Chance(0.6)) {
          Note_(node.name + " comes back with an older disk");
          Disk old = *node.copy;
          Kill(i);
          node.disk = old;
          node.gone_back = true;
          return Back(i, lasts);
        }
        Note_(node.name + " comes back with an empty disk");
        Kill(i);
        node.disk = Disk{};
        return Back(i, lasts);
      }
      default: {  // voters exchanged
        bank::Wish wish;
        wish.kind = static_cast<bank::Wish::Kind>(1 + Pick(3));
        wish.change.id = fmt::format("v{}", ++number_);
        wish.name = nodes_[j].name;
        if (!node.member || node.member->agreement().voters().size() < 3) return;
        Note_(
            fmt::format("voters: {} {} at {}", static_cast<int>(wish.kind), wish.name, node.name));
        Run(i, [&](Member& m, Time now, bank::MemberOutput& out) {
          m.Submit(now, wish, UINT64_MAX, out);
        });
        return;
      }
    }
  }
  // Looked at now and then: whether nothing is left to be waited for.
  bool Level() {
    if (r_.events % 64 != 0) return false;
    for (const Try& t : tries_) {
      if (t.done < Time(0)) return false;
    }
    return std::ranges::all_of(nodes_, [&](const Node& n) {
      return n.member && n.member->history().on() == versions_.size() &&
             n.member->Acting(Local(n)).kind == Stance::Kind::kAgreed;
    });
  }
  // Every voter that counts has its disk.
  bool Whole() const {
    for (const Node& n : nodes_) {
      if (!n.member) return false;
      for (const bank::Voter& v : n.member->agreement().voters()) {
        const size_t k = std::stoul(v.name.substr(1));
        // One that went back and was not found out yet is lost too.
        if (nodes_[k].disk.life != v.life || nodes_[k].gone_back) return false;
      }
      if (n.member->agreement().voters().size() < 3) return false;
    }
    return true;
  }
  void Cut(size_t a, size_t b, Duration lasts, bool there, bool back) {
    if (a == b) return;
    if (there) cut_[a][b] = true;
    if (back) cut_[b][a] = true;
    At(now_ + lasts, [this, a, b, there, back] {
      if (there) cut_[a][b] = false;
      if (back) cut_[b][a] = false;
      Link(a, b);
    });
  }
  void Back(size_t i, Duration after) {
    At(now_ + after, [this, i] {
      if (!nodes_[i].member) Start(i);
    });
  }
  void Mend() {
    Note_("all is mended");
    over_ = true;
    const size_t n = nodes_.size();
    for (auto& row : cut_) row.assign(n, false);
    for (auto& row : slow_) row.assign(n, false);
    for (size_t i = 0; i < n; ++i) {
      nodes_[i].disk_slow = false;
      nodes_[i].stopped = std::min(nodes_[i].stopped, now_);
      if (!nodes_[i].member) Start(i);
    }
    for (size_t a = 0; a < n; ++a) {
      for (size_t b = a + 1; b < n; ++b) Link(a, b);
    }
  }

  // ---- The judge --------------------------------------------------------------------------------
  // One history: what one member applied at an index is what all apply there.
  void Applied(Node& n) {
    const bank::History& history = n.member->history();
    for (const bank::Version& v : history.versions()) {
      if (v.number <= n.applied) continue;
      n.applied = v.number;
      if (v.number > versions_.size()) versions_.resize(v.number);
      auto& known = versions_[v.number - 1];
      if (known.first.empty()) {
        known = {v.id, v.hash};
        digest_ = XXH3_64bits_withSeed(v.hash.data(), v.hash.size(), digest_ ^ v.number);
      } else if (known != std::pair(v.id, v.hash)) {
        Broken(fmt::format("agreement: version {} is {} at {} and {} elsewhere", v.number, v.id,
                           n.name, known.first));
      }
    }
    if (n.copy == std::nullopt || Chance(0.002)) n.copy = n.disk, n.copied = now_;
  }
  // Until when it leads and acts on one version alone, unless it hears something before.
  void Cache(Node& n) {
    const Time local = Local(n);
    const bank::Agreement& a = n.member->agreement();
    n.leads_until = Time(-1);
    if (a.Leads(local)) n.leads_until = Global(n, a.LeadsUntil(local));
    const Stance stance = n.member->Acting(local);
    n.acts_until = Time(-1);
    n.acts_on = stance.on;
    if (stance.on != stance.latest) return;
    if (stance.kind == Stance::Kind::kAgreed) n.acts_until = Global(n, stance.until);
    if (o_.mischief == Mischief::kActsOn) n.acts_until = Time::max();
  }
  // Whom the world sees act, and on what, at this moment.
  void Judge() {
    uint64_t low = UINT64_MAX, high = 0;
    size_t leaders = 0;
    std::string who;
    for (size_t i = 0; i < nodes_.size(); ++i) {
      Node& n = nodes_[i];
      if (!n.member || now_ < n.stopped) continue;
      if (now_ < n.leads_until) {
        ++leaders;
        who += n.name + " ";
        if (leader_lost_ >= Time(0)) {
          r_.takeover_ms.push_back(Ms(now_ - leader_lost_));
          leader_lost_ = Time(-1);
        }
      }
      if (now_ >= n.acts_until) continue;
      low = std::min(low, n.acts_on);
      high = std::max(high, n.acts_on);
    }
    if (leaders > 1) Broken("one leader: at a time lead " + who);
    const auto rules = [&](uint64_t v) { return v == 0 ? std::string() : versions_[v - 1].second; };
    if (low < high && rules(low) != rules(high)) {
      if (contradict_ < Time(0)) contradict_ = now_;
      r_.contradiction_ms_most = std::max(r_.contradiction_ms_most, Ms(now_ - contradict_));
      // By the clocks' rate there is no moment of it; the bound is for processes' own lateness.
      Broken(fmt::format("contradiction: versions {} and {} are acted on at a time", low, high));
    } else {
      contradict_ = Time(-1);
    }
  }
  void JudgeEnd() {
    if (o_.trace) {
      for (const Node& n : nodes_) Note_(n.member->Status(Local(n)).dump());
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
      if (t.done >= Time(0) && (at == by_id.end() || at->second != t.version)) {
        Broken(fmt::format("lost: change {} was told done as version {}", t.id, t.version));
      }
      if (t.done < Time(0)) Broken(fmt::format("stuck: change {} was never told done", t.id));
    }
    for (const Node& n : nodes_) {
      const bank::History& h = n.member->history();
      if (h.on() != versions_.size() || h.latest() != versions_.size()) {
        Broken(fmt::format("level: {} is at {} of {} versions, all mended for {:.0f} ms", n.name,
                           h.on(), versions_.size(), Ms(kHeal)));
      } else if (n.member->Acting(Local(n)).kind != Stance::Kind::kAgreed) {
        Broken(
            fmt::format("level: {} holds no lease, all mended for {:.0f} ms", n.name, Ms(kHeal)));
      }
    }
  }

  WorldOptions o_;
  std::mt19937_64 random_;
  bank::Timing timing_;
  std::vector<Node> nodes_;
  std::vector<std::vector<bool>> cut_, slow_;
  std::vector<std::vector<Time>> arrives_;
  std::set<std::string> first_;
  std::priority_queue<Event> queue_;
  Time now_{0};
  uint64_t number_ = 0, lives_ = 100, starts_ = 0;
  std::vector<Try> tries_;
  std::vector<std::pair<std::string, std::string>> versions_;
  Time last_done_{-1}, leader_lost_{-1}, contradict_{-1};
  bool over_ = false;
  uint64_t digest_ = 0;
  WorldResult r_;
};

}  // namespace

const char* NameOf(Mischief mischief) {
  constexpr std::array<const char*, kMischiefs> kNames = {
      "none",         "forgets-vote",  "forgets-log", "acts-on",
      "applies-late", "votes-for-all", "takes-twice"};
  return kNames[static_cast<size_t>(mischief)];
}

WorldResult PlayWorld(const WorldOptions& options) { return World(options).Play(); }

WorldsResult PlayWorlds(const WorldsOptions& options) {
  std::atomic<uint64_t> next{0};
  std::mutex mutex;
  WorldsResult all;
  const auto work = [&] {
    for (uint64_t i = next++; i < options.schedules; i = next++) {
      WorldOptions o = options.world;
      o.seed += i;
      o.voters = o.seed % 3 == 0 ? 5 : 3;
      WorldResult r = PlayWorld(o);
      const std::scoped_lock lock(mutex);
      ++all.schedules;
      all.events += r.events;
      all.told_done += r.told_done;
      all.submitted += r.submitted;
      all.forgot += r.forgot;
      all.digest += r.digest * (2 * o.seed + 1);  // whatever the order
      all.contradiction_ms_most = std::max(all.contradiction_ms_most, r.contradiction_ms_most);
      all.unavailable_ms_most = std::max(all.unavailable_ms_most, r.unavailable_ms_most);
      // Of the first schedules alone: a million of them would fill the memory.
      if (i < kMeasured) {
        all.change_ms.insert(all.change_ms.end(), r.change_ms.begin(), r.change_ms.end());
        all.takeover_ms.insert(all.takeover_ms.end(), r.takeover_ms.begin(), r.takeover_ms.end());
      }
      if (r.broken.empty()) continue;
      ++all.broken;
      const std::string& what = r.broken.front();
      ++all.terms[what.substr(0, what.find(':'))];
      // The lowest seeds of each term.
      all.first.emplace_back(o.seed, what);
      std::ranges::sort(all.first);
      const std::string term = what.substr(0, what.find(':') + 1);
      const auto same = [&](const auto& one) { return one.second.starts_with(term); };
      if (static_cast<size_t>(std::ranges::count_if(all.first, same)) > kShown) {
        all.first.erase(std::find_if(all.first.rbegin(), all.first.rend(), same).base() - 1);
      }
    }
  };
  std::vector<std::thread> threads;
  for (size_t j = 1; j < options.jobs; ++j) threads.emplace_back(work);
  work();
  for (std::thread& thread : threads) thread.join();
  std::ranges::sort(all.change_ms);
  std::ranges::sort(all.takeover_ms);
  return all;
}

std::string ToText(const WorldsResult& r, const WorldsOptions& options) {
  const auto quantiles = [](const std::vector<double>& of) -> std::string {
    if (of.empty()) return "none";
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
      "contradiction at most {:.3f} ms\n",
      r.schedules, options.world.seed, r.broken, r.events, r.told_done, r.submitted, r.forgot,
      r.digest, quantiles(r.change_ms), quantiles(r.takeover_ms), r.contradiction_ms_most);
  for (const auto& [term, count] : r.terms)
    text += fmt::format("  broken: {} in {}\n", term, count);
  for (const auto& [seed, what] : r.first) {
    const std::string mischief =
        options.world.mischief == Mischief::kNone
            ? ""
            : fmt::format(" --mischief {}", NameOf(options.world.mischief));
    text += fmt::format("  {}\n    paddlestile lab world --schedules 1 --trace --seed {}{}\n", what,
                        seed, mischief);
  }
  return text;
}

}  // namespace paddlestile::lab
