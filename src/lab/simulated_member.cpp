#include "lab/simulated_member.h"

#include <fmt/format.h>
#include <sys/resource.h>
#include <sys/signalfd.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <chrono>
#include <csignal>
#include <cstdio>
#include <map>
#include <memory>
#include <numeric>
#include <random>
#include <set>
#include <sstream>
#include <system_error>
#include <utility>
#include <vector>

#include "base/log.h"
#include "cluster/cluster_member.h"
#include "cluster/codec.h"
#include "config/operator_config.h"
#include "event/event_loop.h"
#include "event/stream.h"
#include "peer/peer_connections.h"
#include "raft/codec.h"

namespace paddlestile::lab {
namespace {

using cluster::ClusterMember;
using cluster::EffectiveConfig;
using cluster::MemberOutput;
using nlohmann::json;

constexpr std::array<std::string_view, 5> kWhats = {"agreed", "between", "alone", "down", "up"};
constexpr Duration kFlushEvery{100'000};  // us
constexpr Duration kWithin{1'000'000};    // us; in which those drawn go down
constexpr Duration kDownFor{1'000'000};   // us; of a restart
constexpr Duration kCutFor{3'000'000};    // us; past a lease
constexpr size_t kSocketsOfMember = 64;   // descriptors: its voters, its listener and some spare

// The lines of one process.
class Book {
 public:
  explicit Book(const std::string& path) : file_(std::fopen(path.c_str(), "ae")) {
    if (file_ == nullptr) {
      throw std::system_error(errno, std::generic_category(), path);
    }
  }
  Book(const Book&) = delete;
  Book& operator=(const Book&) = delete;
  ~Book() { std::fclose(file_); }
  void Add(const HollowLine& line) { std::fputs((ToText(line) + "\n").c_str(), file_); }
  void Flush() { std::fflush(file_); }

 private:
  std::FILE* file_;
};

class HollowMember final : public peer::PeerConnections::Listener {
 public:
  HollowMember(EventLoop& loop, DescriptorBudget& budget, const ClusterConfig& config,
               size_t number, uint64_t seed, Book& book)
      : loop_(loop),
        budget_(budget),
        config_(config),
        number_(number),
        name_(HollowName(number)),
        random_(seed ^ number),
        book_(book) {
    disk_.incarnation = random_() | 1;
    Up();
  }
  HollowMember(const HollowMember&) = delete;
  HollowMember& operator=(const HollowMember&) = delete;
  virtual ~HollowMember() { Stop(); }

  // As a process that dies, and starts with what its disk held.
  void Down() {
    if (!member_) {
      return;
    }
    Stop();
    Write({.what = HollowLine::What::kDown});
  }
  void Up() {
    if (member_) {
      return;
    }
    ++disk_.restart_count;
    durable_ = 0;
    stance_.reset();
    wanted_.clear();
    ClusterMember::Options options;
    options.name = name_;
    options.timing = config_.timing;
    for (const auto& [name, seat] : config_.members) {
      if (seat.votes) {
        options.initial_voters.insert(name);
      }
    }
    Write({.what = HollowLine::What::kUp});
    member_ = std::make_unique<ClusterMember>(std::move(options), disk_, random_(), loop_.Now());
    Link();
    Tick();
  }
  // As one whose links are cut: it goes on by itself.
  void Cut(bool cut) {
    if (!member_ || cut == (links_ == nullptr)) {
      return;
    }
    if (!cut) {
      Link();
      wanted_.clear();
      Wants();
      return;
    }
    links_.reset();
    const std::set<std::string> linked = std::move(linked_);
    linked_.clear();
    for (const std::string& name : linked) {
      Run([&](ClusterMember& m, Time now, MemberOutput& out) {
        m.OnPeerDisconnected(now, name, out);
      });
    }
  }

 private:
  void Stop() {
    loop_.CancelTimer(timer_);
    loop_.CancelTimer(act_timer_);
    links_.reset();
    linked_.clear();
    member_.reset();
  }
  void Link() {
    peer::PeerConnectionOptions options;
    options.cluster_name = config_.cluster_name;
    options.name = name_;
    options.incarnation = disk_.incarnation;
    options.restart_count = disk_.restart_count;
    options.seed = random_();
    options.listen = config_.members.at(name_).address;
    for (const auto& [name, seat] : config_.members) {
      if (seat.votes || name == name_) {
        options.members[name] = seat.dial_address;
      }
    }
    links_ = std::make_unique<peer::PeerConnections>(loop_, budget_, std::move(options), this);
  }

  json ClaimKnownOf(const std::string& name) override {
    return raft::ToJson(member_->raft_node().ClaimKnownOf(name));
  }
  void OnConnected(const std::string& name, uint64_t life, const json& known) override {
    linked_.insert(name);
    const raft::StorageClaim claim = raft::ParseStorageClaim(known).value_or(raft::StorageClaim{});
    Run([&](ClusterMember& m, Time now, MemberOutput& out) {
      m.OnPeerConnected(now, name, life, claim, out);
    });
  }
  void OnDisconnected(const std::string& name) override {
    linked_.erase(name);
    Run([&](ClusterMember& m, Time now, MemberOutput& out) {
      m.OnPeerDisconnected(now, name, out);
    });
  }
  void OnFrame(const std::string& name, const json& value) override {
    if (!value.is_object()) {
      return;
    }
    if (const auto at = value.find("m"); at != value.end()) {
      const auto message = raft::ParseMessage(*at);
      if (!message || message->from != name) {
        return;
      }
      Run([&](ClusterMember& m, Time now, MemberOutput& out) { m.OnMessage(now, *message, out); });
    }
  }
  void OnCall(uint64_t call, const json&) override {
    links_->Reply(call, {{"error", "a hollow member takes no calls"}});
  }

  template <typename What>
  void Run(What&& what) {
    if (!member_) {
      return;
    }
    MemberOutput out;
    what(*member_, loop_.Now(), out);
    uint64_t durable = durable_;
    for (const raft::StorageWrite& write : out.writes) {
      raft::ApplyStorageWrite(disk_, write);
      durable = std::max(durable, write.sequence_number);
    }
    if (links_) {
      for (const raft::OutgoingMessage& o : out.messages) {
        links_->Send(o.message.to, {{"m", raft::ToJson(o.message)}});
      }
    }
    if (out.storage_rolled_back || (!out.needs_resync.empty() && !std::exchange(anew_, true))) {
      // Another life under this name, as a member does whose disk has gone back.
      loop_.RunDeferred([this, alive = std::weak_ptr(alive_)] {
        if (alive.expired()) {
          return;
        }
        Down();
        disk_ = {};
        disk_.incarnation = random_() | 1;
        Up();
      });
    }
    if (durable > durable_) {
      durable_ = durable;
      Durable();
    }
    Wants();
    Act();
    loop_.CancelTimer(timer_);
    const Time due = member_->NextTimeout();
    if (due == Time::max()) {
      return;
    }
    timer_ = loop_.RunAfter(std::max(Duration(0), due - loop_.Now()), [this] { Tick(); });
  }
  // Not within Run: each of its kinds would make another one.
  void Durable() {
    Run([this](ClusterMember& m, Time now, MemberOutput& out) { m.OnDurable(now, durable_, out); });
  }
  void Tick() {
    Run([](ClusterMember& m, Time now, MemberOutput& out) { m.OnTimeout(now, out); });
  }
  void Wants() {
    std::set<std::string> wanted;
    for (const auto& [name, seat] : config_.members) {
      if (seat.votes) {
        wanted.insert(name);
      }
    }
    if (!links_ || wanted == wanted_) {
      return;
    }
    wanted_ = wanted;
    links_->SetWantedMembers(std::move(wanted));
  }
  // What it acts on, written down as it changes over.
  void Act() {
    const EffectiveConfig stance = member_->CurrentConfig(loop_.Now());
    if (stance.kind != EffectiveConfig::Kind::kIsolated) {
      loop_.CancelTimer(act_timer_);
      act_timer_ = loop_.RunAfter(std::max(Duration(0), stance.valid_until - loop_.Now()),
                                  [this] { Act(); });
    }
    const bool same = stance_ && stance_->kind == stance.kind &&
                      stance_->version_in_force == stance.version_in_force &&
                      stance_->latest_version == stance.latest_version;
    stance_ = stance;
    if (same) {
      return;
    }
    Write({.what = static_cast<HollowLine::What>(stance.kind),
           .on = stance.version_in_force,
           .latest = stance.latest_version});
  }
  void Write(HollowLine line) {
    line.at = MachineNow();
    line.member = number_;
    book_.Add(line);
  }

  EventLoop& loop_;
  DescriptorBudget& budget_;
  const ClusterConfig& config_;
  size_t number_;
  std::string name_;
  std::mt19937_64 random_;
  Book& book_;
  raft::PersistentState disk_;
  std::unique_ptr<ClusterMember> member_;
  std::unique_ptr<peer::PeerConnections> links_;
  std::set<std::string> wanted_, linked_;
  uint64_t durable_ = 0;
  bool anew_ = false;  // it has begun anew for other content, once
  std::optional<EffectiveConfig> stance_;
  EventLoop::TimerId timer_, act_timer_;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};
static_assert(static_cast<int>(HollowLine::What::kAgreed) ==
              static_cast<int>(EffectiveConfig::Kind::kAgreed));
static_assert(static_cast<int>(HollowLine::What::kAlone) ==
              static_cast<int>(EffectiveConfig::Kind::kIsolated));

class HollowProcess final : public EventLoop::Handler {
 public:
  explicit HollowProcess(const HollowOptions& options)
      : options_(options),
        config_(ReadClusterConfig(options.operator_file, HollowName(options.first))),
        budget_(options.count * kSocketsOfMember),
        random_(options.seed ^ 0x4011),
        book_(options.book) {
    sigset_t set;
    sigemptyset(&set);
    for (const int signal : {SIGTERM, SIGINT, SIGUSR1}) {
      sigaddset(&set, signal);
    }
    sigprocmask(SIG_BLOCK, &set, nullptr);
    signals_ = FileDescriptor(signalfd(-1, &set, SFD_NONBLOCK | SFD_CLOEXEC));
    if (!signals_ || !loop_.Watch(signals_.get(), this, token_)) {
      throw std::runtime_error("cannot watch for signals");
    }
    for (size_t i = 0; i < options_.count; ++i) {
      members_.push_back(std::make_unique<HollowMember>(loop_, budget_, config_, options_.first + i,
                                                        options_.seed, book_));
    }
    Flush();
  }
  HollowProcess(const HollowProcess&) = delete;
  HollowProcess& operator=(const HollowProcess&) = delete;
  virtual ~HollowProcess() { loop_.Unwatch(signals_.get(), token_); }
  int Run() {
    loop_.Run();
    return 0;
  }

 private:
  void OnEvents(uint32_t) override {
    signalfd_siginfo info{};
    while (read(signals_.get(), &info, sizeof(info)) == static_cast<ssize_t>(sizeof(info))) {
      if (info.ssi_signo == SIGUSR1) {
        Play();
      } else {
        loop_.Stop();
      }
    }
  }
  void Flush() {
    book_.Flush();
    loop_.RunAfter(kFlushEvery, [this] { Flush(); });
  }
  // Some of them restart, others are cut off, within a second.
  void Play() {
    std::vector<size_t> drawn(members_.size());
    std::iota(drawn.begin(), drawn.end(), size_t{0});
    std::ranges::shuffle(drawn, random_);
    drawn.resize(std::min(drawn.size(), options_.restarts + options_.cuts));
    std::uniform_int_distribution<int64_t> when(0, kWithin.count());
    for (size_t i = 0; i < drawn.size(); ++i) {
      HollowMember* const member = members_[drawn[i]].get();
      const Duration at(when(random_));
      if (i < options_.restarts) {
        loop_.RunAfter(at, [member] { member->Down(); });
        loop_.RunAfter(at + kDownFor, [member] { member->Up(); });
      } else {
        loop_.RunAfter(at, [member] { member->Cut(true); });
        loop_.RunAfter(at + kCutFor, [member] { member->Cut(false); });
      }
    }
  }

  HollowOptions options_;
  ClusterConfig config_;
  EventLoop loop_;
  DescriptorBudget budget_;
  std::mt19937_64 random_;
  Book book_;
  FileDescriptor signals_;
  uint64_t token_ = 0;
  std::vector<std::unique_ptr<HollowMember>> members_;
};

}  // namespace

Duration MachineNow() {
  return std::chrono::duration_cast<Duration>(std::chrono::steady_clock::now().time_since_epoch());
}

std::string HollowName(size_t number) {
  return fmt::format("{}{:05}", kHollowPrefix, number);
}

std::string ToText(const HollowLine& line) {
  return fmt::format("{} {} {} {} {}", line.at.count(), line.member,
                     kWhats[static_cast<size_t>(line.what)], line.on, line.latest);
}

std::optional<HollowLine> ParseHollowLine(std::string_view text) {
  std::istringstream in{std::string(text)};
  HollowLine line;
  int64_t at = 0;
  std::string what, more;
  if (!(in >> at >> line.member >> what >> line.on >> line.latest) || in >> more) {
    return std::nullopt;
  }
  const auto* const place = std::ranges::find(kWhats, what);
  if (place == kWhats.end()) {
    return std::nullopt;
  }
  line.at = Duration(at);
  line.what = static_cast<HollowLine::What>(place - kWhats.begin());
  return line;
}

int RunHollow(const HollowOptions& options) {
  rlimit files{};
  if (getrlimit(RLIMIT_NOFILE, &files) == 0) {
    files.rlim_cur = files.rlim_max;
    setrlimit(RLIMIT_NOFILE, &files);
  }
  std::signal(SIGPIPE, SIG_IGN);
  // One line a link of each member would be most of what it does.
  SetLogLevel(LogLevel::kWarning);
  return HollowProcess(options).Run();
}

}  // namespace paddlestile::lab
