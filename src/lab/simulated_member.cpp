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

constexpr std::array<std::string_view, 5> kStateNames = {"agreed", "between", "alone", "down",
                                                         "up"};
constexpr Duration kFlushInterval{100'000};   // us
constexpr Duration kFaultWindow{1'000'000};   // us; in which the selected members fail
constexpr Duration kDowntime{1'000'000};      // us; between kill and restart
constexpr Duration kCutDuration{3'000'000};   // us; longer than a lease
constexpr size_t kDescriptorsPerMember = 64;  // connections to voters, listener and a reserve

// The file of records of one process.
class RecordFile {
 public:
  explicit RecordFile(const std::string& path) : file_(std::fopen(path.c_str(), "ae")) {
    if (file_ == nullptr) {
      throw std::system_error(errno, std::generic_category(), path);
    }
  }
  RecordFile(const RecordFile&) = delete;
  RecordFile& operator=(const RecordFile&) = delete;
  ~RecordFile() { std::fclose(file_); }
  void Add(const SimulatedMemberRecord& record) {
    std::fputs((ToText(record) + "\n").c_str(), file_);
  }
  void Flush() { std::fflush(file_); }

 private:
  std::FILE* file_;
};

class SimulatedMember final : public peer::PeerConnections::Listener {
 public:
  SimulatedMember(EventLoop& loop, DescriptorBudget& budget, const ClusterConfig& config,
                  size_t number, uint64_t seed, RecordFile& record_file)
      : loop_(loop),
        budget_(budget),
        config_(config),
        number_(number),
        name_(SimulatedMemberName(number)),
        random_(seed ^ number),
        record_file_(record_file) {
    disk_.incarnation = random_() | 1;
    Start();
  }
  SimulatedMember(const SimulatedMember&) = delete;
  SimulatedMember& operator=(const SimulatedMember&) = delete;
  virtual ~SimulatedMember() { Stop(); }

  // `Kill` and `Start` act like a killed process that restarts with its persistent state.
  void Kill() {
    if (!member_) {
      return;
    }
    Stop();
    WriteRecord({.state = SimulatedMemberRecord::State::kDown});
  }
  void Start() {
    if (member_) {
      return;
    }
    ++disk_.restart_count;
    durable_sequence_ = 0;
    effective_.reset();
    wanted_members_.clear();
    ClusterMember::Options options;
    options.name = name_;
    options.timing = config_.timing;
    for (const auto& [name, entry] : config_.members) {
      if (entry.votes) {
        options.initial_voters.insert(name);
      }
    }
    WriteRecord({.state = SimulatedMemberRecord::State::kUp});
    member_ = std::make_unique<ClusterMember>(std::move(options), disk_, random_(), loop_.Now());
    Connect();
    OnTimer();
  }
  // Cuts or restores the connections; the member keeps running.
  void SetCut(bool cut) {
    if (!member_ || cut == (connections_ == nullptr)) {
      return;
    }
    if (!cut) {
      Connect();
      wanted_members_.clear();
      UpdateWantedMembers();
      return;
    }
    connections_.reset();
    const std::set<std::string> connected = std::move(connected_);
    connected_.clear();
    for (const std::string& name : connected) {
      Run([&](ClusterMember& member, Time now, MemberOutput& out) {
        member.OnPeerDisconnected(now, name, out);
      });
    }
  }

 private:
  void Stop() {
    loop_.CancelTimer(timer_);
    loop_.CancelTimer(config_timer_);
    connections_.reset();
    connected_.clear();
    member_.reset();
  }
  void Connect() {
    peer::PeerConnectionOptions options;
    options.cluster_name = config_.cluster_name;
    options.name = name_;
    options.incarnation = disk_.incarnation;
    options.restart_count = disk_.restart_count;
    options.seed = random_();
    options.listen = config_.members.at(name_).address;
    for (const auto& [name, entry] : config_.members) {
      if (entry.votes || name == name_) {
        options.members[name] = entry.dial_address;
      }
    }
    connections_ =
        std::make_unique<peer::PeerConnections>(loop_, budget_, std::move(options), this);
  }

  json ClaimKnownOf(const std::string& name) override {
    return raft::ToJson(member_->raft_node().ClaimKnownOf(name));
  }
  void OnConnected(const std::string& name, uint64_t incarnation,
                   const json& claim_value) override {
    connected_.insert(name);
    const raft::StorageClaim claim =
        raft::ParseStorageClaim(claim_value).value_or(raft::StorageClaim{});
    Run([&](ClusterMember& member, Time now, MemberOutput& out) {
      member.OnPeerConnected(now, name, incarnation, claim, out);
    });
  }
  void OnDisconnected(const std::string& name) override {
    connected_.erase(name);
    Run([&](ClusterMember& member, Time now, MemberOutput& out) {
      member.OnPeerDisconnected(now, name, out);
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
      Run([&](ClusterMember& member, Time now, MemberOutput& out) {
        member.OnMessage(now, *message, out);
      });
    }
  }
  void OnCall(uint64_t call, const json&) override {
    connections_->Reply(call, {{"error", "a hollow member takes no calls"}});
  }

  template <typename Action>
  void Run(Action&& action) {
    if (!member_) {
      return;
    }
    MemberOutput out;
    action(*member_, loop_.Now(), out);
    uint64_t durable = durable_sequence_;
    for (const raft::StorageWrite& write : out.writes) {
      raft::ApplyStorageWrite(disk_, write);
      durable = std::max(durable, write.sequence_number);
    }
    if (connections_) {
      for (const raft::OutgoingMessage& outgoing : out.messages) {
        connections_->Send(outgoing.message.to, {{"m", raft::ToJson(outgoing.message)}});
      }
    }
    if (out.storage_rolled_back ||
        (!out.needs_resync.empty() && !std::exchange(restarted_empty_, true))) {
      // Restarts with an empty state and a new incarnation, as a member with a rolled-back disk
      // does.
      loop_.RunDeferred([this, alive = std::weak_ptr(alive_)] {
        if (alive.expired()) {
          return;
        }
        Kill();
        disk_ = {};
        disk_.incarnation = random_() | 1;
        Start();
      });
    }
    if (durable > durable_sequence_) {
      durable_sequence_ = durable;
      NotifyDurable();
    }
    UpdateWantedMembers();
    RecordEffectiveConfig();
    loop_.CancelTimer(timer_);
    const Time due = member_->NextTimeout();
    if (due == Time::max()) {
      return;
    }
    timer_ = loop_.RunAfter(std::max(Duration(0), due - loop_.Now()), [this] { OnTimer(); });
  }
  // A function of its own: a lambda within the template Run would instantiate Run without end.
  void NotifyDurable() {
    Run([this](ClusterMember& member, Time now, MemberOutput& out) {
      member.OnDurable(now, durable_sequence_, out);
    });
  }
  void OnTimer() {
    Run([](ClusterMember& member, Time now, MemberOutput& out) { member.OnTimeout(now, out); });
  }
  void UpdateWantedMembers() {
    std::set<std::string> wanted_members;
    for (const auto& [name, entry] : config_.members) {
      if (entry.votes) {
        wanted_members.insert(name);
      }
    }
    if (!connections_ || wanted_members == wanted_members_) {
      return;
    }
    wanted_members_ = wanted_members;
    connections_->SetWantedMembers(std::move(wanted_members));
  }
  // Records what the member acts on, whenever that changes.
  void RecordEffectiveConfig() {
    const EffectiveConfig effective = member_->CurrentConfig(loop_.Now());
    if (effective.kind != EffectiveConfig::Kind::kIsolated) {
      loop_.CancelTimer(config_timer_);
      config_timer_ = loop_.RunAfter(std::max(Duration(0), effective.valid_until - loop_.Now()),
                                     [this] { RecordEffectiveConfig(); });
    }
    const bool unchanged = effective_ && effective_->kind == effective.kind &&
                           effective_->version_in_force == effective.version_in_force &&
                           effective_->latest_version == effective.latest_version;
    effective_ = effective;
    if (unchanged) {
      return;
    }
    WriteRecord({.state = static_cast<SimulatedMemberRecord::State>(effective.kind),
                 .version_in_force = effective.version_in_force,
                 .latest_version = effective.latest_version});
  }
  void WriteRecord(SimulatedMemberRecord record) {
    record.at = MonotonicNow();
    record.member = number_;
    record_file_.Add(record);
  }

  EventLoop& loop_;
  DescriptorBudget& budget_;
  const ClusterConfig& config_;
  size_t number_;
  std::string name_;
  std::mt19937_64 random_;
  RecordFile& record_file_;
  raft::PersistentState disk_;
  std::unique_ptr<ClusterMember> member_;
  std::unique_ptr<peer::PeerConnections> connections_;
  std::set<std::string> wanted_members_, connected_;
  uint64_t durable_sequence_ = 0;
  bool restarted_empty_ = false;  // it has restarted once because its content differed
  std::optional<EffectiveConfig> effective_;
  EventLoop::TimerId timer_, config_timer_;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};
static_assert(static_cast<int>(SimulatedMemberRecord::State::kAgreed) ==
              static_cast<int>(EffectiveConfig::Kind::kAgreed));
static_assert(static_cast<int>(SimulatedMemberRecord::State::kIsolated) ==
              static_cast<int>(EffectiveConfig::Kind::kIsolated));

class SimulatedMemberProcess final : public EventLoop::Handler {
 public:
  explicit SimulatedMemberProcess(const HollowOptions& options)
      : options_(options),
        config_(ReadClusterConfig(options.operator_file, SimulatedMemberName(options.first))),
        budget_(options.count * kDescriptorsPerMember),
        random_(options.seed ^ 0x4011),
        record_file_(options.book) {
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
      members_.push_back(std::make_unique<SimulatedMember>(
          loop_, budget_, config_, options_.first + i, options_.seed, record_file_));
    }
    Flush();
  }
  SimulatedMemberProcess(const SimulatedMemberProcess&) = delete;
  SimulatedMemberProcess& operator=(const SimulatedMemberProcess&) = delete;
  virtual ~SimulatedMemberProcess() { loop_.Unwatch(signals_.get(), token_); }
  int Run() {
    loop_.Run();
    return 0;
  }

 private:
  void OnEvents(uint32_t) override {
    signalfd_siginfo info{};
    while (read(signals_.get(), &info, sizeof(info)) == static_cast<ssize_t>(sizeof(info))) {
      if (info.ssi_signo == SIGUSR1) {
        InjectFaults();
      } else {
        loop_.Stop();
      }
    }
  }
  void Flush() {
    record_file_.Flush();
    loop_.RunAfter(kFlushInterval, [this] { Flush(); });
  }
  // Restarts some of the members and cuts others off, within a second.
  void InjectFaults() {
    std::vector<size_t> selected(members_.size());
    std::iota(selected.begin(), selected.end(), size_t{0});
    std::ranges::shuffle(selected, random_);
    selected.resize(std::min(selected.size(), options_.restarts + options_.cuts));
    std::uniform_int_distribution<int64_t> delay(0, kFaultWindow.count());
    for (size_t i = 0; i < selected.size(); ++i) {
      SimulatedMember* const member = members_[selected[i]].get();
      const Duration fail_at(delay(random_));
      if (i < options_.restarts) {
        loop_.RunAfter(fail_at, [member] { member->Kill(); });
        loop_.RunAfter(fail_at + kDowntime, [member] { member->Start(); });
      } else {
        loop_.RunAfter(fail_at, [member] { member->SetCut(true); });
        loop_.RunAfter(fail_at + kCutDuration, [member] { member->SetCut(false); });
      }
    }
  }

  HollowOptions options_;
  ClusterConfig config_;
  EventLoop loop_;
  DescriptorBudget budget_;
  std::mt19937_64 random_;
  RecordFile record_file_;
  FileDescriptor signals_;
  uint64_t token_ = 0;
  std::vector<std::unique_ptr<SimulatedMember>> members_;
};

}  // namespace

Duration MonotonicNow() {
  return std::chrono::duration_cast<Duration>(std::chrono::steady_clock::now().time_since_epoch());
}

std::string SimulatedMemberName(size_t number) {
  return fmt::format("{}{:05}", kSimulatedMemberPrefix, number);
}

std::string ToText(const SimulatedMemberRecord& record) {
  return fmt::format("{} {} {} {} {}", record.at.count(), record.member,
                     kStateNames[static_cast<size_t>(record.state)], record.version_in_force,
                     record.latest_version);
}

std::optional<SimulatedMemberRecord> ParseSimulatedMemberRecord(std::string_view text) {
  std::istringstream in{std::string(text)};
  SimulatedMemberRecord record;
  int64_t at = 0;
  std::string state, rest;
  if (!(in >> at >> record.member >> state >> record.version_in_force >> record.latest_version) ||
      in >> rest) {
    return std::nullopt;
  }
  const auto* const name = std::ranges::find(kStateNames, state);
  if (name == kStateNames.end()) {
    return std::nullopt;
  }
  record.at = Duration(at);
  record.state = static_cast<SimulatedMemberRecord::State>(name - kStateNames.begin());
  return record;
}

int RunHollow(const HollowOptions& options) {
  rlimit files{};
  if (getrlimit(RLIMIT_NOFILE, &files) == 0) {
    files.rlim_cur = files.rlim_max;
    setrlimit(RLIMIT_NOFILE, &files);
  }
  std::signal(SIGPIPE, SIG_IGN);
  // Info lines about each connection of each member would dominate the load of this process.
  SetLogLevel(LogLevel::kWarning);
  return SimulatedMemberProcess(options).Run();
}

}  // namespace paddlestile::lab
